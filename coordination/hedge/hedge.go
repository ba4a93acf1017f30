// Package hedge (coordination layer) decides when a call that is late at one
// endpoint is also sent to another.
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
	// threshold is the ratio of the last whole window that a call must exceed; 0
	// until the first window is full.
	threshold float64
	// tokens is the hedges allowed now, between 0 and ceiling.
	tokens float64
	on     bool
}

const (
	// tokensPerCall is how many hedges one call allows.
	tokensPerCall = 0.03
	// maxTokens bounds the hedges saved up.
	maxTokens = 10.0
	// quantile is the percentile of observed ratios that a call must exceed.
	quantile = 95.0
	// thresholdFactor multiplies the quantile.
	thresholdFactor = 1.5
	// window is the observations of one window; fewer allow no hedge.
	window = 200
	// minDelay is the shortest wait before a hedge.
	minDelay = 150 * time.Millisecond
	// maxRatio bounds the ratios kept, in thousandths.
	maxRatio = 1_000_000
)

// New returns a hedger; off never hedges.
func New(on bool) *Hedger {
	return &Hedger{current: histogram(), on: on}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio, 2) }

// AddCall notes a new call that may be hedged.
func (h *Hedger) AddCall() { h.tokens = min(maxTokens, h.tokens+tokensPerCall) }

// Observe notes how long a call took to begin, against what was expected.
func (h *Hedger) Observe(took, expected time.Duration) {
	ratio := int64(float64(took) / float64(max(expected, time.Millisecond)) * 1000)
	_ = h.current.RecordValue(min(max(ratio, 1), maxRatio))
	if h.current.TotalCount() >= window {
		h.threshold = float64(h.current.ValueAtPercentile(quantile)) / 1000 * thresholdFactor
		h.current = histogram()
	}
}

// Delay returns how long a call with the expected time may take before it is
// hedged, and false while too little is known.
func (h *Hedger) Delay(expected time.Duration) (time.Duration, bool) {
	if !h.on || h.threshold == 0 {
		return 0, false
	}
	return max(minDelay, time.Duration(float64(expected)*h.threshold)), true
}

// Take tells whether a hedge is allowed, and takes it.
func (h *Hedger) Take() bool {
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}
