package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Report is the burn of one node, or of several that were merged.
type Report struct {
	Nodes     []string  `json:"nodes"`
	CreatedAt time.Time `json:"taken"`
	// Lines are sorted by service and customer.
	Lines []Line `json:"lines"`
	// Latencies are sorted by service.
	Latencies []Latency `json:"latencies"`
}

// Line is one customer of one service.
type Line struct {
	Service  string `json:"service"`
	Customer string `json:"customer"`
	// Objective is in milliseconds; Target is the share of calls that must meet it.
	Objective int64   `json:"objective"`
	Target    float64 `json:"target"`
	// Windows go from the shortest to the longest.
	Windows []Window `json:"windows"`
	// Remaining is the share of the longest window's budget that is left; below 0
	// it is overspent.
	Remaining float64   `json:"left"`
	Alert     Alert     `json:"alert,omitempty"`
	Examples  []Example `json:"examples,omitempty"`
}

// Window is the calls of one span.
type Window struct {
	// Span is in seconds.
	Span  int64  `json:"span"`
	Total uint64 `json:"total"`
	Bad   uint64 `json:"bad"`
	// Burn is 1 when the misses use the budget up exactly at the target.
	Burn float64 `json:"burn"`
}

// Example is a call that spent budget.
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

// Latency is one service's latencies, in milliseconds.
type Latency struct {
	Service string `json:"service"`
	Count   int64  `json:"count"`
	P50     int64  `json:"p50"`
	P95     int64  `json:"p95"`
	P99     int64  `json:"p99"`
	// Histogram is the whole distribution in HdrHistogram's own encoding.
	Histogram []byte `json:"histogram"`
}

// Alert says how a budget burns.
type Alert string

// The alerts.
const (
	// Fast means that a fifth of three days' budget goes in an hour.
	Fast Alert = "fast"
	// Slow means that the budget won't last the three days.
	Slow Alert = "slow"
)

const (
	// fastBurn is the burn over both short windows that raises Fast.
	fastBurn = 14.4
	// slowBurn is the burn over both long windows that raises Slow.
	slowBurn = 1
	// minCalls keeps single calls from raising alerts.
	minCalls = 10
)

// ErrReport means that a saved report can't be read.
var ErrReport = errors.New("burn: unreadable report")

// Report returns the burn of what was recorded.
func (c *Recorder) Report(now time.Time) Report {
	r := Report{Nodes: []string{c.node}, CreatedAt: now, Lines: []Line{}, Latencies: []Latency{}}
	for p, s := range c.series {
		r.Lines = append(r.Lines, s.line(now, p))
	}
	for service, h := range c.latency {
		r.Latencies = append(r.Latencies, latency(service, h))
	}
	r.sort()
	return r
}

func (s *series) line(now time.Time, p pair) Line {
	l := Line{
		Service: p.service, Customer: p.customer, Objective: s.objective.Milliseconds(), Target: s.target,
		Examples: slices.Clone(s.examples),
	}
	for _, span := range spans {
		total, bad := s.sum(now, span)
		l.Windows = append(l.Windows, Window{Span: int64(span.Seconds()), Total: total, Bad: bad})
	}
	l.judge()
	return l
}

// judge sets what follows from the counts.
func (l *Line) judge() {
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
	case short.over(fastBurn) && hour.over(fastBurn):
		l.Alert = Fast
	case long.over(slowBurn) && longest.over(slowBurn):
		l.Alert = Slow
	}
	slices.SortFunc(l.Examples, func(a, b Example) int {
		return cmp.Or(cmp.Compare(b.Latency, a.Latency), cmp.Compare(a.Key, b.Key))
	})
	l.Examples = l.Examples[:min(len(l.Examples), maxExamples)]
}

func (w Window) over(burn float64) bool { return w.Total >= minCalls && w.Burn > burn }

func latency(service string, h *hdrhistogram.Histogram) Latency {
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

// Merge adds up the reports of several nodes. The objectives of the latest
// report hold.
func Merge(reports ...Report) (Report, error) {
	lines, merged := map[pair]*Line{}, Report{Lines: []Line{}, Latencies: []Latency{}}
	histograms := map[string]*hdrhistogram.Histogram{}
	for _, r := range reports {
		for _, l := range r.Lines {
			if len(l.Windows) != len(spans) {
				return Report{}, errors.Mark(errors.Newf("burn: %s of %s has %d windows, not %d", l.Service, l.Customer, len(l.Windows), len(spans)), ErrReport)
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
		l.judge()
		merged.Lines = append(merged.Lines, *l)
	}
	for service, h := range histograms {
		merged.Latencies = append(merged.Latencies, latency(service, h))
	}
	merged.sort()
	return merged, nil
}

func addLine(lines map[pair]*Line, l Line, latest bool) {
	p := pair{l.Customer, l.Service}
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
			return errors.Mark(errors.Wrapf(err, "burn: latencies of %s", l.Service), ErrReport)
		}
		if sum := histograms[l.Service]; sum != nil {
			sum.Merge(h)
			continue
		}
		histograms[l.Service] = h
	}
	return nil
}

// Distribution returns a service's histogram.
func (l Latency) Distribution() (*hdrhistogram.Histogram, error) {
	h, err := hdrhistogram.Decode(l.Histogram)
	return h, errors.Wrap(err, "burn: latencies")
}
