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
	// current and former hold ratios of observed to expected times, in
	// thousandths; former is the finished half window.
	current *hdrhistogram.Histogram
	former  *hdrhistogram.Histogram
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
	// window is the observations of half a window; fewer allow no hedge.
	window = 200
	// floor is the shortest wait before a hedge.
	floor = 150 * time.Millisecond
	// maxRatio bounds the ratios kept, in thousandths.
	maxRatio = 1_000_000
)

// New returns a hedger; off never hedges.
func New(on bool) *Hedger {
	return &Hedger{current: histogram(), former: histogram(), on: on}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio, 2) }

// Call notes a new call that may be hedged.
func (h *Hedger) Call() { h.level = min(ceiling, h.level+share) }

// Observe notes how long a call took to begin, against what was expected.
func (h *Hedger) Observe(took, expected time.Duration) {
	ratio := int64(float64(took) / float64(max(expected, time.Millisecond)) * 1000)
	_ = h.current.RecordValue(min(max(ratio, 1), maxRatio))
	if h.current.TotalCount() >= window {
		h.former, h.current = h.current, histogram()
	}
}

// After returns how long a call with the expected time may take before it is
// hedged, and false while too little is known.
func (h *Hedger) After(expected time.Duration) (time.Duration, bool) {
	if !h.on || h.former.TotalCount() == 0 {
		return 0, false
	}
	ratio := float64(h.former.ValueAtPercentile(quantile)) / 1000 * margin
	return max(floor, time.Duration(float64(expected)*ratio)), true
}

// Take tells whether a hedge is allowed, and takes it.
func (h *Hedger) Take() bool {
	if h.level < 1 {
		return false
	}
	h.level--
	return true
}
