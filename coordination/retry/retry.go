// Package retry (coordination layer) bounds the retries of a node, so that
// failing endpoints do not get more work than healthy ones.
package retry

import "time"

// Budget is a bucket of retries: every call adds a share, every retry takes one.
type Budget struct {
	// level is between 0 and ceiling.
	level float64
	// filled is when the trickle was last added; it never goes back.
	filled time.Time
}

const (
	// share is how many retries one call allows.
	share = 0.1
	// trickle is the retries allowed per second without any call.
	trickle = 2.0
	// ceiling bounds the retries saved up.
	ceiling = 50.0
)

// New returns a budget that is full.
func New(now time.Time) *Budget { return &Budget{level: ceiling, filled: now} }

// AddCall notes a new call.
func (b *Budget) AddCall() { b.level = min(ceiling, b.level+share) }

// Take tells whether a retry is allowed now, and takes it.
func (b *Budget) Take(now time.Time) bool {
	if s := now.Sub(b.filled).Seconds(); s > 0 {
		b.level = min(ceiling, b.level+s*trickle)
		b.filled = now
	}
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
