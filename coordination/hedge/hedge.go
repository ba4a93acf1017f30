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
	// late is the ratio of the last whole window that a call must exceed; 0
	// until the first window is full.
	late float64
	// level is the hedges allowed now, between 0 and ceiling.
	level float64
	on    bool
}

const (
	// share is how many hedges one call allows.
	share = 0.03
	// ceiling bounds the hedges saved up.
	ceiling = 10.0
	// quantile is the percentile of observed ratios that a call must exceed.
	quantile = 95.0
	// margin multiplies the quantile.
	margin = 1.5
	// window is the observations of one window; fewer allow no hedge.
	window = 200
	// floor is the shortest wait before a hedge.
	floor = 150 * time.Millisecond
	// maxRatio bounds the ratios kept, in thousandths.
	maxRatio = 1_000_000
)

// New returns a hedger; off never hedges.
func New(on bool) *Hedger {
	return &Hedger{current: histogram(), on: on}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio, 2) }

// AddCall notes a new call that may be hedged.
func (h *Hedger) AddCall() { h.level = min(ceiling, h.level+share) }

// Observe notes how long a call took to begin, against what was expected.
func (h *Hedger) Observe(took, expected time.Duration) {
	ratio := int64(float64(took) / float64(max(expected, time.Millisecond)) * 1000)
	_ = h.current.RecordValue(min(max(ratio, 1), maxRatio))
	if h.current.TotalCount() >= window {
		h.late = float64(h.current.ValueAtPercentile(quantile)) / 1000 * margin
		h.current = histogram()
	}
}

// Delay returns how long a call with the expected time may take before it is
// hedged, and false while too little is known.
func (h *Hedger) Delay(expected time.Duration) (time.Duration, bool) {
	if !h.on || h.late == 0 {
		return 0, false
	}
	return max(floor, time.Duration(float64(expected)*h.late)), true
}

// Take tells whether a hedge is allowed, and takes it.
func (h *Hedger) Take() bool {
	if h.level < 1 {
		return false
	}
	h.level--
	return true
}
