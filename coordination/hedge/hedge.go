// Package hedge (coordination layer) decides when a call whose endpoint is
// slow to answer is also sent to another endpoint.
package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Hedger learns how long endpoints take to begin an answer, and allows a
// bounded share of calls to be sent twice.
type Hedger struct {
	// current holds ratios of observed to expected times, in thousandths.
	current *hdrhistogram.Histogram
	// threshold is the ratio, from the last full window, that a call must exceed.
	// It is 0 until the first window is full.
	threshold float64
	// tokens is the number of hedges allowed now, between 0 and maxTokens.
	tokens float64
	on     bool
}

const (
	// tokensPerCall is how many hedges one call allows.
	tokensPerCall = 0.03
	// maxTokens bounds the hedges that accumulate.
	maxTokens = 10.0
	// quantile is the percentile of observed ratios that the threshold is based
	// on.
	quantile = 95.0
	// thresholdFactor multiplies the quantile.
	thresholdFactor = 1.5
	// window is the number of observations in a window. No hedge is allowed
	// before the first window is full.
	window = 200
	// minDelay is the shortest delay before a hedge.
	minDelay = 150 * time.Millisecond
	// maxRatio bounds the recorded ratios, in thousandths.
	maxRatio = 1_000_000
)

// New returns a hedger. If on is false it never hedges.
func New(on bool) *Hedger {
	return &Hedger{current: histogram(), on: on}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio, 2) }

// AddCall counts a new call that may be hedged.
func (h *Hedger) AddCall() { h.tokens = min(maxTokens, h.tokens+tokensPerCall) }

// Observe records how long a call took to begin its answer, and how long was
// expected.
func (h *Hedger) Observe(took, expected time.Duration) {
	ratio := int64(float64(took) / float64(max(expected, time.Millisecond)) * 1000)
	_ = h.current.RecordValue(min(max(ratio, 1), maxRatio))
	if h.current.TotalCount() >= window {
		h.threshold = float64(h.current.ValueAtPercentile(quantile)) / 1000 * thresholdFactor
		h.current = histogram()
	}
}

// Delay returns how long a call with the expected time may take before it is
// hedged, or false while hedging is off or the first window is not full.
func (h *Hedger) Delay(expected time.Duration) (time.Duration, bool) {
	if !h.on || h.threshold == 0 {
		return 0, false
	}
	return max(minDelay, time.Duration(float64(expected)*h.threshold)), true
}

// Take reports whether a hedge is allowed, and counts it.
func (h *Hedger) Take() bool {
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}
