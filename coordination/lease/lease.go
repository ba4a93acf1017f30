// Package lease (coordination layer) detects failed nodes by local clocks. It
// decides when others may take over, but fencing decides whose writes are
// valid.
package lease

import "time"

// margin is the share of a lease, in per cent, that is subtracted to allow for
// clock drift.
const margin = 5

// Lease is a lease as its holder sees it.
type Lease struct {
	duration time.Duration
	// lastSent is when the last confirmed renewal was sent. It never decreases.
	lastSent time.Time
}

// New returns a lease that was never renewed.
func New(duration time.Duration) *Lease { return &Lease{duration: duration} }

// Renewed records a confirmed renewal by the time it was sent. The store
// counts from a later moment, so that the holder stops before others may take
// over.
func (l *Lease) Renewed(sent time.Time) {
	if sent.After(l.lastSent) {
		l.lastSent = sent
	}
}

// Expiry returns when the lease may have expired, or the zero time if it was
// never renewed.
func (l *Lease) Expiry() time.Time {
	if l.lastSent.IsZero() {
		return time.Time{}
	}
	return l.lastSent.Add(l.duration - l.duration*margin/100)
}

// Valid reports whether the lease has certainly not expired.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.Expiry()) }

// Detector is a failure detector: it records when other nodes were last heard.
type Detector struct {
	duration time.Duration
	// start is the earliest time that silence is counted from, so that a node
	// which has just begun to listen reports no node as silent.
	start time.Time
	// maxSilence is how long a living node may send nothing. It can exceed
	// duration.
	maxSilence time.Duration
	heard      map[string]time.Time
}

// NewDetector returns a detector that has listened since now.
func NewDetector(now time.Time, duration time.Duration) *Detector {
	return &Detector{duration: duration, start: now, heard: map[string]time.Time{}}
}

// Heard records a message from a node.
func (d *Detector) Heard(now time.Time, node string) {
	if now.After(d.heard[node]) {
		d.heard[node] = now
	}
}

// Forget drops a node that is gone for good.
func (d *Detector) Forget(node string) { delete(d.heard, node) }

// SetMaxSilence sets how long living nodes may send nothing. This grows with
// the number of nodes.
func (d *Detector) SetMaxSilence(maxSilence time.Duration) { d.maxSilence = maxSilence }

// Silent reports whether nothing was heard from a node for a lease's duration
// and for the maximum silence.
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
