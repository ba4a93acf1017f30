// Package lease (coordination layer) judges by local clocks who is alive: a
// failure detector that decides when others may take over, never who is right.
package lease

import "time"

// margin is the share of a lease, in per cent, kept back for clocks that drift.
const margin = 5

// Lease is the holder's own view of its lease.
type Lease struct {
	duration time.Duration
	// sent is when the last confirmed renewal was sent; it never goes back.
	sent time.Time
}

// New returns a lease that was never renewed.
func New(duration time.Duration) *Lease { return &Lease{duration: duration} }

// Renewed notes a confirmed renewal by the time it was sent: the store counts
// from a later moment, so that the holder gives up before others may take over.
func (l *Lease) Renewed(sent time.Time) {
	if sent.After(l.sent) {
		l.sent = sent
	}
}

// Expiry returns when the lease may have lapsed; the zero time if it was never renewed.
func (l *Lease) Expiry() time.Time {
	if l.sent.IsZero() {
		return time.Time{}
	}
	return l.sent.Add(l.duration - l.duration*margin/100)
}

// Valid tells whether the lease surely stands.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.Expiry()) }

// Detector notes the signs of life of other nodes.
type Detector struct {
	duration time.Duration
	// start bounds the silence of nodes never heard: a node that has just begun
	// to listen judges nobody.
	start time.Time
	// pause is how long living nodes may say nothing; it can exceed duration.
	pause time.Duration
	heard map[string]time.Time
}

// NewDetector returns a watch that has listened since now.
func NewDetector(now time.Time, duration time.Duration) *Detector {
	return &Detector{duration: duration, start: now, heard: map[string]time.Time{}}
}

// Heard notes a sign of life.
func (w *Detector) Heard(now time.Time, node string) {
	if now.After(w.heard[node]) {
		w.heard[node] = now
	}
}

// Forget drops a node that is gone for good.
func (w *Detector) Forget(node string) { delete(w.heard, node) }

// SetMaxSilence says how long living nodes may say nothing, which grows with a fleet.
func (w *Detector) SetMaxSilence(pause time.Duration) { w.pause = pause }

// Silent tells whether a node gave no sign of life for a whole lease, and for
// longer than is usual.
func (w *Detector) Silent(now time.Time, node string) bool {
	return w.quiet(now, node) >= max(w.duration, w.pause)
}

func (w *Detector) quiet(now time.Time, node string) time.Duration {
	last := w.start
	if t, ok := w.heard[node]; ok && t.After(last) {
		last = t
	}
	return now.Sub(last)
}
