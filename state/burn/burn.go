// Package burn (state layer) keeps how calls meet their services' objectives,
// and how fast each objective's budget of misses burns.
package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// Sample is one finished call as its caller saw it.
type Sample struct {
	Customer string
	Service  string
	Program  string
	Key      string
	// Outcome is empty when the caller left before the answer.
	Outcome answer.Outcome
	Reason  string
	// Began is when the edge took the call; Whole is the time to the complete answer.
	Began   time.Time
	Latency time.Duration
	// TimeToFirst is the time to the first piece of text; 0 if there was none.
	TimeToFirst time.Duration
	// Gap is the mean time between two pieces of text; 0 with fewer than two.
	Gap time.Duration
	// Tokens are the generated tokens.
	Tokens int
}

// ours are the reasons for which a call that did not run missed its objective;
// for any other the caller has the cause.
var ours = map[string]bool{"overload": true, "deadline": true, "owner": true, "starting": true}

// Eligible tells whether a sample says anything of the objective.
func (s Sample) Eligible() bool {
	switch s.Outcome {
	case answer.Done, answer.Unknown:
		return s.Reason != "limit"
	case answer.NotRun:
		return ours[s.Reason]
	}
	return false
}

// Misses tells whether a sample that counts missed the objective.
func (s Sample) Misses(objective time.Duration) bool {
	return s.Outcome != answer.Done || s.Latency > objective
}

// pair names one customer of one service.
type pair struct{ customer, service string }

// Recorder holds the samples of one node. One goroutine at a time may use it.
type Recorder struct {
	node string
	// series has at most maxSeries entries; further customers share one for
	// each service.
	series map[pair]*series
	// latency has one histogram for each service.
	latency map[string]*hdrhistogram.Histogram
}

const (
	// maxSeries bounds the pairs of customer and service.
	maxSeries = 16384
	// maxServices bounds the histograms.
	maxServices = 256
	// maxLatency is the longest latency that is told apart.
	maxLatency = time.Hour
	// digits is the histograms' precision in decimal digits.
	digits = 2
	// OtherCustomers is the customer that stands for those beyond the bound.
	OtherCustomers = "(others)"
)

// New returns a recorder of a node without calls.
func New(node string) *Recorder {
	return &Recorder{node: node, series: map[pair]*series{}, latency: map[string]*hdrhistogram.Histogram{}}
}

// Add records a finished call of a service.
func (c *Recorder) Add(now time.Time, s Sample, v *config.Service) {
	if v == nil || !s.Eligible() {
		return
	}
	c.record(s)
	if v.Objective == 0 {
		return
	}
	p := pair{s.Customer, s.Service}
	x := c.series[p]
	if x == nil {
		if len(c.series) >= maxSeries {
			p.customer = OtherCustomers
		}
		if x = c.series[p]; x == nil {
			x = newSeries()
			c.series[p] = x
		}
	}
	x.objective, x.target = v.Objective, v.Target
	x.add(now, s)
}

func (c *Recorder) record(s Sample) {
	h := c.latency[s.Service]
	if h == nil {
		if len(c.latency) >= maxServices {
			return
		}
		h = hdrhistogram.New(1, maxLatency.Milliseconds(), digits)
		c.latency[s.Service] = h
	}
	_ = h.RecordValue(min(max(s.Latency.Milliseconds(), 1), maxLatency.Milliseconds()))
}
