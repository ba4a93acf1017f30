// Package retry (coordination layer) bounds retries and hedges to a share of the
// calls, so that what is failing or behind does not get more work than what is well.
package retry

import "time"

// Budget is a token bucket for retries or hedges: every call adds a fraction of a
// token, every retry takes one.
type Budget struct {
	// tokens is between 0 and most.
	tokens, most float64
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
	// maxHedges bounds the hedges that accumulate. Hundreds of callers have budgets
	// of their own for the same few servers.
	maxHedges = 8.0
)

// New returns a full budget of retries.
func New(now time.Time) *Budget { return &Budget{tokens: maxTokens, most: maxTokens, refilled: now} }

// NewHedges returns a full budget of hedges.
func NewHedges(now time.Time) *Budget {
	return &Budget{tokens: maxHedges, most: maxHedges, refilled: now}
}

// AddCall counts a new call.
func (b *Budget) AddCall() { b.tokens = min(b.most, b.tokens+tokensPerCall) }

// Take reports whether a retry is allowed now, and counts it.
func (b *Budget) Take(now time.Time) bool {
	if s := now.Sub(b.refilled).Seconds(); s > 0 {
		b.tokens = min(b.most, b.tokens+s*tokensPerSecond)
		b.refilled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
