package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cowslipstage/cowslipstage/bench/agent"
	"github.com/cowslipstage/cowslipstage/bench/audit"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// Quantiles are times in milliseconds of the clock.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Sample is the cache memory held at one time, in tokens of all engines.
type Sample struct {
	Seconds float64 `json:"seconds"`
	Live    int     `json:"live"`
	Wasted  int     `json:"wasted"`
}

// Result is what one trial measured.
type Result struct {
	Policy string  `json:"policy"`
	Seed   uint64  `json:"seed"`
	Load   float64 `json:"load"`
	Nodes  int     `json:"nodes"`
	// Latency is from a person's message to the complete answer.
	Latency Quantiles `json:"latency"`
	// Urgent is the same for services of the most urgent class.
	Urgent Quantiles `json:"urgent"`
	// First is the time to the first token of a model call.
	First Quantiles `json:"first"`
	// Overhead is the time of a plain call outside its endpoint.
	Overhead Quantiles `json:"overhead"`
	// Queue is the time of a model call outside its endpoint, waiting included.
	Queue Quantiles `json:"queue"`
	// Wasted is token-seconds held for no live program, Share its share of the cache.
	Wasted      float64 `json:"wasted"`
	WastedShare float64 `json:"share"`
	// LiveShare is the share of the cache held for live programs.
	LiveShare float64 `json:"live"`
	// Busy is the share of the time in which the engines worked, Slots the share
	// of their slots in use, Late the share by which the machine was too slow.
	Busy       float64 `json:"busy"`
	Slots      float64 `json:"slots"`
	DelayShare float64 `json:"late"`
	// Hits is the share of prompt tokens found in the cache.
	Hits float64 `json:"hits"`
	// Goodput is answered messages a second.
	Goodput float64 `json:"goodput"`
	// Offered and Answered count programs that came and messages that were answered.
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	// Broken counts messages without an answer, Cut those still waiting at the end.
	Broken     int `json:"broken"`
	Unfinished int `json:"cut"`
	// NotRun and Unknown count what callers were told.
	NotRun  int `json:"notrun"`
	Unknown int `json:"unknown"`
	// Hedges counts runs beside another run of the same call, Retries those after one.
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
	// Rules counts the violations by rule.
	Rules      map[audit.Rule]int `json:"rules"`
	Violations int                `json:"broke"`
	Details    []string           `json:"details,omitempty"`
	Samples    []Sample           `json:"samples,omitempty"`
	// CDF is the latency at each hundredth of the messages, in milliseconds.
	CDF []float64 `json:"cdf,omitempty"`
}

// account is the engines' usage of their caches up to one time.
type account struct{ usage engine.Usage }

func (t *Trial) account(now time.Time) account {
	var a account
	for _, e := range t.deployment.Engines() {
		u := e.Usage(now)
		a.usage.LiveTokenSeconds += u.LiveTokenSeconds
		a.usage.WastedTokenSeconds += u.WastedTokenSeconds
		a.usage.CacheTokenSeconds += u.CacheTokenSeconds
		a.usage.BusySeconds += u.BusySeconds
		a.usage.StreamSeconds += u.StreamSeconds
		a.usage.DelaySeconds += u.DelaySeconds
	}
	return a
}

// The bounds of histograms: microseconds, to ten minutes.
const (
	lowest  = 1
	highest = 600_000_000
	digits  = 3
)

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

func note(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

func (t *Trial) measured(at time.Time) bool { return !at.Before(t.from) && at.Before(t.to) }

func (t *Trial) result() *Result {
	o, e := t.options, t.evidence()
	r := &Result{
		Policy: o.Policy.Name, Seed: o.Seed, Load: o.Load, Nodes: o.Nodes,
		Offered: t.offered, Samples: t.samples,
	}
	t.chains(r)
	t.calls(r, e)
	t.caches(r, e)
	report := audit.Check(e)
	r.Rules, r.Violations, r.Details = report.Counts(), report.Total(), report.Samples()
	if o.Policy.Plain {
		// A plain scheduler promises nothing about memory; it is shown, not held against the run.
		r.Violations -= r.Rules[audit.Memory]
	}
	return r
}

// chains measures the messages that began while measuring. A message still
// without an answer at the end counts with the time it has waited.
func (t *Trial) chains(r *Result) {
	whole, urgent := histogram(), histogram()
	classes := t.options.Experiment.Urgent()
	finished := 0
	for _, c := range t.log.Chains() {
		if c.Done && t.measured(c.Ended) {
			finished++
		}
		if !t.measured(c.Began) {
			continue
		}
		if !c.Done {
			r.Broken++
			continue
		}
		r.Answered++
		note(whole, c.Ended.Sub(c.Began))
		if classes[c.Service] {
			note(urgent, c.Ended.Sub(c.Began))
		}
	}
	for _, began := range t.log.Open() {
		if t.measured(began) {
			r.Unfinished++
			note(whole, time.Since(began))
		}
	}
	r.Latency, r.Urgent = quantiles(whole), quantiles(urgent)
	r.Goodput = float64(finished) / t.options.Experiment.Time.Seconds()
	for i := range 101 {
		r.CDF = append(r.CDF, float64(whole.ValueAtQuantile(float64(i)))/1000)
	}
}

// ran is one run of a call at its endpoint.
type ran struct{ came, ended time.Time }

func (t *Trial) calls(r *Result, e audit.Evidence) {
	runs := map[string][]ran{}
	for _, n := range e.Engines {
		for _, l := range n.Ledger {
			runs[l.Key] = append(runs[l.Key], ran{l.Arrived, l.Ended})
		}
	}
	for _, n := range e.Desks {
		for _, l := range n.Ledger {
			runs[l.Key] = append(runs[l.Key], ran{l.Arrived, l.Ended})
		}
	}
	first, overhead, queue := histogram(), histogram(), histogram()
	for _, c := range e.Records {
		if !t.measured(c.Sent) {
			continue
		}
		r.told(c)
		x := runs[c.Key]
		r.extra(x)
		if c.Err != nil || c.Result.Outcome != answer.Done || len(x) != 1 || x[0].ended.IsZero() {
			continue
		}
		outside := c.Got.Sub(c.Sent) - x[0].ended.Sub(x[0].came)
		if c.Operation != "" {
			note(overhead, outside)
			continue
		}
		note(queue, outside)
		note(first, c.Result.First)
	}
	r.First, r.Overhead, r.Queue = quantiles(first), quantiles(overhead), quantiles(queue)
}

func (r *Result) told(c agent.Record) {
	switch {
	case c.Err != nil:
	case c.Result.Outcome == answer.NotRun:
		r.NotRun++
	case c.Result.Outcome == answer.Unknown:
		r.Unknown++
	}
}

// extra counts the runs of a call besides the first.
func (r *Result) extra(runs []ran) {
	for i := 1; i < len(runs); i++ {
		earlier := runs[i-1]
		if runs[i].came.Before(earlier.came) {
			earlier, runs[i] = runs[i], earlier
		}
		if earlier.ended.IsZero() || runs[i].came.Before(earlier.ended) {
			r.Hedges++
			continue
		}
		r.Retries++
	}
}

func (t *Trial) caches(r *Result, e audit.Evidence) {
	memory := t.last.usage.CacheTokenSeconds - t.first.usage.CacheTokenSeconds
	r.Wasted = t.last.usage.WastedTokenSeconds - t.first.usage.WastedTokenSeconds
	if memory > 0 {
		r.WastedShare = r.Wasted / memory
		r.LiveShare = (t.last.usage.LiveTokenSeconds - t.first.usage.LiveTokenSeconds) / memory
	}
	if seconds := t.options.Experiment.Time.Seconds() * float64(len(e.Engines)); seconds > 0 {
		r.Busy = (t.last.usage.BusySeconds - t.first.usage.BusySeconds) / seconds
		r.Slots = (t.last.usage.StreamSeconds - t.first.usage.StreamSeconds) / seconds / float64(t.options.Experiment.Engine.Slots)
		r.DelayShare = (t.last.usage.DelaySeconds - t.first.usage.DelaySeconds) / seconds
	}
	prompt, cached := 0, 0
	for _, n := range e.Engines {
		for _, l := range n.Ledger {
			if t.measured(l.Started) {
				prompt += l.PromptTokens
				cached += l.CachedTokens
			}
		}
	}
	if prompt > 0 {
		r.Hits = float64(cached) / float64(prompt)
	}
}
