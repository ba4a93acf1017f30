package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Report holds the objectives and latencies of one node, or of several nodes after Merge.
type Report struct {
	Nodes     []string  `json:"nodes"`
	CreatedAt time.Time `json:"taken"`
	// Lines are sorted by service and customer.
	Lines []Line `json:"lines"`
	// Latencies are sorted by service.
	Latencies []Latency `json:"latencies"`
}

// Line reports how the calls of one customer met one service's objective.
type Line struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
	// Objective is in milliseconds; Target is the share of calls that must meet it.
	Objective int64   `json:"objective"`
	Target    float64 `json:"target"`
	// Windows are ordered from the shortest to the longest.
	Windows []Window `json:"windows"`
	// Remaining is the share of the longest window's error budget that is left; negative
	// if the budget is overspent.
	Remaining float64   `json:"left"`
	Alert     Alert     `json:"alert,omitempty"`
	Examples  []Example `json:"examples,omitempty"`
}

// Window counts the calls of one time span.
type Window struct {
	// Span is in seconds.
	Span  int64  `json:"span"`
	Total uint64 `json:"total"`
	// Bad counts the calls that missed the objective.
	Bad uint64 `json:"bad"`
	// Burn is the share of missed calls divided by the allowed share: 1 uses the budget up
	// exactly.
	Burn float64 `json:"burn"`
}

// Example is a call that missed its objective.
type Example struct {
	Customer string    `json:"customer"`
	Program  string    `json:"program"`
	Key      string    `json:"key"`
	Began    time.Time `json:"began"`
	Outcome  string    `json:"outcome"`
	Reason   string    `json:"reason,omitempty"`
	// Latency is in milliseconds.
	Latency int64 `json:"latency"`
}

// Latency summarizes one service's latencies, in milliseconds.
type Latency struct {
	Service string `json:"service"`
	Count   int64  `json:"count"`
	P50     int64  `json:"p50"`
	P95     int64  `json:"p95"`
	P99     int64  `json:"p99"`
	// Histogram is the full distribution in HdrHistogram's own encoding.
	Histogram []byte `json:"histogram"`
}

// Alert says how fast an error budget burns.
type Alert string

// Alert levels.
const (
	// Fast means that one hour uses up a fifth of the three-day budget.
	Fast Alert = "fast"
	// Slow means that the budget will not last three days.
	Slow Alert = "slow"
)

const (
	// fastBurn is the burn rate that raises Fast when both short windows exceed it.
	fastBurn = 14.4
	// slowBurn is the burn rate that raises Slow when both long windows exceed it.
	slowBurn = 1
	// minCalls is the fewest calls in a window that can raise an alert, so that single
	// calls raise none.
	minCalls = 10
)

// ErrReport means that a saved report is malformed.
var ErrReport = errors.New("burn: unreadable report")

// Report returns the report of all recorded samples.
func (r *Recorder) Report(now time.Time) Report {
	report := Report{Nodes: []string{r.node}, CreatedAt: now, Lines: []Line{}, Latencies: []Latency{}}
	for p, s := range r.series {
		report.Lines = append(report.Lines, s.buildLine(now, p))
	}
	for service, h := range r.latency {
		report.Latencies = append(report.Latencies, newLatency(service, h))
	}
	report.sort()
	return report
}

func (s *series) buildLine(now time.Time, p seriesKey) Line {
	l := Line{
		Service: p.service, Customer: p.customer, Objective: s.objective.Milliseconds(), Target: s.target,
		Examples: slices.Clone(s.examples),
	}
	for _, span := range windowSpans {
		total, bad := s.sum(now, span)
		l.Windows = append(l.Windows, Window{Span: int64(span.Seconds()), Total: total, Bad: bad})
	}
	l.evaluate()
	return l
}

// evaluate computes the burn rates, the remaining budget and the alert from the counts,
// and keeps the worst examples.
func (l *Line) evaluate() {
	budget := 1 - l.Target
	for i := range l.Windows {
		w := &l.Windows[i]
		w.Burn = 0
		if w.Total > 0 && budget > 0 {
			w.Burn = float64(w.Bad) / float64(w.Total) / budget
		}
	}
	short, hour, long, longest := l.Windows[0], l.Windows[1], l.Windows[2], l.Windows[3]
	l.Remaining, l.Alert = 1-longest.Burn, ""
	switch {
	case short.exceeds(fastBurn) && hour.exceeds(fastBurn):
		l.Alert = Fast
	case long.exceeds(slowBurn) && longest.exceeds(slowBurn):
		l.Alert = Slow
	}
	slices.SortFunc(l.Examples, func(a, b Example) int {
		return cmp.Or(cmp.Compare(b.Latency, a.Latency), cmp.Compare(a.Key, b.Key))
	})
	l.Examples = l.Examples[:min(len(l.Examples), maxExamples)]
}

func (w Window) exceeds(burn float64) bool { return w.Total >= minCalls && w.Burn > burn }

func newLatency(service string, h *hdrhistogram.Histogram) Latency {
	data, _ := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return Latency{
		Service: service, Count: h.TotalCount(), Histogram: data,
		P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99),
	}
}

func (r *Report) sort() {
	slices.Sort(r.Nodes)
	slices.SortFunc(r.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
	})
	slices.SortFunc(r.Latencies, func(a, b Latency) int { return cmp.Compare(a.Service, b.Service) })
}

// Merge combines the reports of several nodes. The latest report sets the objectives.
func Merge(reports ...Report) (Report, error) {
	lines, merged := map[seriesKey]*Line{}, Report{Lines: []Line{}, Latencies: []Latency{}}
	histograms := map[string]*hdrhistogram.Histogram{}
	for _, r := range reports {
		for _, l := range r.Lines {
			if len(l.Windows) != len(windowSpans) {
				return Report{}, errors.Mark(errors.Newf("burn: service %s of customer %s has %d windows, not %d", l.Service, l.Customer, len(l.Windows), len(windowSpans)), ErrReport)
			}
			addLine(lines, l, !r.CreatedAt.Before(merged.CreatedAt))
		}
		if err := addLatencies(histograms, r.Latencies); err != nil {
			return Report{}, err
		}
		merged.Nodes = append(merged.Nodes, r.Nodes...)
		if r.CreatedAt.After(merged.CreatedAt) {
			merged.CreatedAt = r.CreatedAt
		}
	}
	for l := range maps.Values(lines) {
		l.evaluate()
		merged.Lines = append(merged.Lines, *l)
	}
	for service, h := range histograms {
		merged.Latencies = append(merged.Latencies, newLatency(service, h))
	}
	merged.sort()
	return merged, nil
}

func addLine(lines map[seriesKey]*Line, l Line, latest bool) {
	p := seriesKey{l.Customer, l.Service}
	sum := lines[p]
	if sum == nil {
		l.Windows, l.Examples = slices.Clone(l.Windows), slices.Clone(l.Examples)
		lines[p] = &l
		return
	}
	for i, w := range l.Windows {
		sum.Windows[i].Total += w.Total
		sum.Windows[i].Bad += w.Bad
	}
	sum.Examples = append(sum.Examples, l.Examples...)
	if latest {
		sum.Objective, sum.Target = l.Objective, l.Target
	}
}

func addLatencies(histograms map[string]*hdrhistogram.Histogram, all []Latency) error {
	for _, l := range all {
		h, err := hdrhistogram.Decode(l.Histogram)
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "burn: decoding latencies of %s", l.Service), ErrReport)
		}
		if sum := histograms[l.Service]; sum != nil {
			sum.Merge(h)
			continue
		}
		histograms[l.Service] = h
	}
	return nil
}

// Distribution returns the decoded histogram.
func (l Latency) Distribution() (*hdrhistogram.Histogram, error) {
	h, err := hdrhistogram.Decode(l.Histogram)
	return h, errors.Wrap(err, "burn: decoding latencies")
}
