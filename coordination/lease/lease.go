// Package lease (coordination layer) judges by local clocks who is alive: a
// failure detector that decides when others may take over, never who is right.
package lease

import "time"

// margin is the share of a lease, in per cent, kept back for clocks that drift.
const margin = 5

// Lease is the holder's own view of its lease.
type Lease struct {
	duration time.Duration
	// lastSent is when the last confirmed renewal was lastSent; it never goes back.
	lastSent time.Time
}

// New returns a lease that was never renewed.
func New(duration time.Duration) *Lease { return &Lease{duration: duration} }

// Renewed notes a confirmed renewal by the time it was sent: the store counts
// from a later moment, so that the holder gives up before others may take over.
func (l *Lease) Renewed(sent time.Time) {
	if sent.After(l.lastSent) {
		l.lastSent = sent
	}
}

// Expiry returns when the lease may have lapsed; the zero time if it was never renewed.
func (l *Lease) Expiry() time.Time {
	if l.lastSent.IsZero() {
		return time.Time{}
	}
	return l.lastSent.Add(l.duration - l.duration*margin/100)
}

// Valid tells whether the lease surely stands.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.Expiry()) }

// Detector notes the signs of life of other nodes.
type Detector struct {
	duration time.Duration
	// start bounds the silence of nodes never heard: a node that has just begun
	// to listen judges nobody.
	start time.Time
	// maxSilence is how long living nodes may say nothing; it can exceed duration.
	maxSilence time.Duration
	heard      map[string]time.Time
}

// NewDetector returns a watch that has listened since now.
func NewDetector(now time.Time, duration time.Duration) *Detector {
	return &Detector{duration: duration, start: now, heard: map[string]time.Time{}}
}

// Heard notes a sign of life.
func (d *Detector) Heard(now time.Time, node string) {
	if now.After(d.heard[node]) {
		d.heard[node] = now
	}
}

// Forget drops a node that is gone for good.
func (d *Detector) Forget(node string) { delete(d.heard, node) }

// SetMaxSilence says how long living nodes may say nothing, which grows with a fleet.
func (d *Detector) SetMaxSilence(maxSilence time.Duration) { d.maxSilence = maxSilence }

// Silent tells whether a node gave no sign of life for a whole lease, and for
// longer than is usual.
func (d *Detector) Silent(now time.Time, node string) bool {
	return d.silence(now, node) >= max(d.duration, d.maxSilence)
}

func (d *Detector) silence(now time.Time, node string) time.Duration {
	last := d.start
	if t, ok := d.heard[node]; ok && t.After(last) {
		last = t
	}
	return now.Sub(last)
}
