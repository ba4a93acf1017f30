// Package burn (state layer) tracks how calls meet their services' latency objectives and
// how fast each objective's error budget burns.
package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// Sample describes one finished call as its caller saw it.
type Sample struct {
	Customer string
	Service  string
	Program  string
	Key      string
	// Outcome is empty if the caller left before the answer.
	Outcome answer.Outcome
	Reason  string
	// Began is when the edge received the call; TotalLatency is the time from then to the
	// complete answer.
	Began        time.Time
	TotalLatency time.Duration
	// TimeToFirst is the time to the first piece of text; 0 if there was none.
	TimeToFirst time.Duration
	// Gap is the mean time between two pieces of text; 0 with fewer than two pieces.
	Gap time.Duration
	// Tokens is the number of generated tokens.
	Tokens int
}

// systemReasons are the reasons for which a call that did not run counts as a miss. All
// other reasons are the caller's own.
var systemReasons = map[string]bool{"overload": true, "deadline": true, "owner": true, "starting": true}

// Eligible reports whether a sample counts toward the objective.
func (s Sample) Eligible() bool {
	switch s.Outcome {
	case answer.Done, answer.Unknown:
		return s.Reason != "limit"
	case answer.NotRun:
		return systemReasons[s.Reason]
	}
	return false
}

// Misses reports whether an eligible sample missed the objective.
func (s Sample) Misses(objective time.Duration) bool {
	return s.Outcome != answer.Done || s.TotalLatency > objective
}

// seriesKey identifies one customer of one service.
type seriesKey struct{ customer, service string }

// Recorder aggregates the samples of one node. It is not safe for concurrent use.
type Recorder struct {
	node string
	// series has at most maxSeries entries. Customers beyond that share one entry per
	// service, under OtherCustomers.
	series map[seriesKey]*series
	// latency has one histogram per service.
	latency map[string]*hdrhistogram.Histogram
}

const (
	// maxSeries bounds the pairs of customer and service.
	maxSeries = 16384
	// maxServices bounds the latency histograms.
	maxServices = 256
	// maxLatency is the longest latency recorded; longer ones are counted as maxLatency.
	maxLatency = time.Hour
	// latencyDigits is the histograms' precision in decimal digits.
	latencyDigits = 2
	// OtherCustomers is the name under which customers beyond maxSeries are counted.
	OtherCustomers = "(others)"
)

// New returns an empty recorder of a node.
func New(node string) *Recorder {
	return &Recorder{node: node, series: map[seriesKey]*series{}, latency: map[string]*hdrhistogram.Histogram{}}
}

// Add records a finished call of a service.
func (r *Recorder) Add(now time.Time, s Sample, v *config.Service) {
	if v == nil || !s.Eligible() {
		return
	}
	r.recordLatency(s)
	if v.Objective == 0 {
		return
	}
	p := seriesKey{s.Customer, s.Service}
	x := r.series[p]
	if x == nil {
		if len(r.series) >= maxSeries {
			p.customer = OtherCustomers
		}
		if x = r.series[p]; x == nil {
			x = newSeries()
			r.series[p] = x
		}
	}
	x.objective, x.target = v.Objective, v.Target
	x.add(now, s)
}

func (r *Recorder) recordLatency(s Sample) {
	h := r.latency[s.Service]
	if h == nil {
		if len(r.latency) >= maxServices {
			return
		}
		h = hdrhistogram.New(1, maxLatency.Milliseconds(), latencyDigits)
		r.latency[s.Service] = h
	}
	_ = h.RecordValue(min(max(s.TotalLatency.Milliseconds(), 1), maxLatency.Milliseconds()))
}
