package hedge

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windows is how many histograms hold the recent answers; the oldest is dropped as
	// a new one begins.
	windows = 3
	// windowAnswers is the number of answers in one window.
	windowAnswers = 100
	// refreshEvery is how many answers come between two computations of the quantiles.
	refreshEvery = 10
	// newest is how many answers show whether the service has slowed down, newestAge how
	// old they may be, and minNewest how many of them are needed.
	newest    = 16
	newestAge = 5 * time.Second
	minNewest = 6
	// scale and maxScaled set the resolution and the range of the recorded ratios.
	scale     = 1000
	maxScaled = 100_000_000
)

// times holds the ratios of observed to expected times of one service's recent answers.
type times struct {
	recorded *hdrhistogram.WindowedHistogram
	// windowStart is when the current window began; zero before the first answer.
	windowStart time.Time
	// late and median are ratios learned from the recorded answers; 0 until there are
	// enough of them.
	late, median float64
	// unread counts the answers since late and median were computed.
	unread int
	// newest is a ring of the newest answers; count is how many were ever added.
	newest [newest]newestAnswer
	count  int
}

type newestAnswer struct {
	at    time.Time
	ratio float64
}

func newTimes() *times { return &times{recorded: hdrhistogram.NewWindowed(windows, 1, maxScaled, 2)} }

// add records one answer.
func (t *times) add(now time.Time, ratio float64, p *Policy) {
	t.expire(now, p)
	if t.recorded.Current.TotalCount() >= windowAnswers {
		t.rotate(now)
	}
	_ = t.recorded.Current.RecordValue(min(max(int64(ratio*scale), 1), maxScaled)) // always within the range
	t.newest[t.count%newest] = newestAnswer{at: now, ratio: ratio}
	t.count++
	if t.unread++; t.unread >= refreshEvery {
		t.refresh(p)
	}
}

// known reports whether enough recent answers are recorded.
func (t *times) known(now time.Time, p *Policy) bool {
	t.expire(now, p)
	return t.late > 0
}

// expire drops the windows that are too old.
func (t *times) expire(now time.Time, p *Policy) {
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	if p.MaxAge == 0 {
		return
	}
	windowAge := p.MaxAge / windows
	due := int(min(now.Sub(t.windowStart)/windowAge, windows))
	for range due {
		t.rotate(now)
	}
	if due > 0 {
		t.refresh(p)
	}
}

func (t *times) rotate(now time.Time) {
	t.recorded.Rotate()
	t.windowStart = now
}

// refresh computes late and median from the recorded answers.
func (t *times) refresh(p *Policy) {
	t.unread, t.late, t.median = 0, 0, 0
	all := t.recorded.Merge()
	if all.TotalCount() < int64(p.MinAnswers) {
		return
	}
	t.late = float64(all.ValueAtPercentile(p.Quantile)) / scale * p.Factor
	t.median = float64(all.ValueAtPercentile(50)) / scale
}

// slowedDown reports whether half of the newest answers took much longer than usual. One
// slow endpoint does not change the median.
func (t *times) slowedDown(now time.Time) bool {
	if t.median == 0 {
		return false
	}
	ratios := make([]float64, 0, newest)
	for _, a := range t.newest[:min(t.count, newest)] {
		if now.Sub(a.at) <= newestAge {
			ratios = append(ratios, a.ratio)
		}
	}
	if len(ratios) < minNewest {
		return false
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2] > slowdownFactor*t.median
}
