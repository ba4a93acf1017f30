// Package retry (coordination layer) bounds the retries of a node, so that
// failing endpoints do not get more work than healthy ones.
package retry

import "time"

// Budget is a token bucket for retries: every call adds a fraction of a token,
// every retry takes one.
type Budget struct {
	// tokens is between 0 and maxTokens.
	tokens float64
	// refilled is when tokens were last added for elapsed time. It never
	// decreases.
	refilled time.Time
}

const (
	// tokensPerCall is how many retries one call allows.
	tokensPerCall = 0.1
	// tokensPerSecond is the number of retries allowed per second without any
	// call.
	tokensPerSecond = 2.0
	// maxTokens bounds the retries that accumulate.
	maxTokens = 50.0
)

// New returns a full budget.
func New(now time.Time) *Budget { return &Budget{tokens: maxTokens, refilled: now} }

// AddCall counts a new call.
func (b *Budget) AddCall() { b.tokens = min(maxTokens, b.tokens+tokensPerCall) }

// Take reports whether a retry is allowed now, and counts it.
func (b *Budget) Take(now time.Time) bool {
	if s := now.Sub(b.refilled).Seconds(); s > 0 {
		b.tokens = min(maxTokens, b.tokens+s*tokensPerSecond)
		b.refilled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
