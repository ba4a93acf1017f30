package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cowslipstage/cowslipstage/bench/agent"
	"github.com/cowslipstage/cowslipstage/bench/audit"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// Quantiles holds quantiles of a duration in milliseconds of wall-clock time.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Sample is the cache memory held by all engines at one time, in tokens.
type Sample struct {
	Seconds float64 `json:"seconds"`
	Live    int     `json:"live"`
	Wasted  int     `json:"wasted"`
}

// Result holds the measurements of one trial.
type Result struct {
	Policy string  `json:"policy"`
	Seed   uint64  `json:"seed"`
	Load   float64 `json:"load"`
	Nodes  int     `json:"nodes"`
	// Latency is the time from a user's message to the complete answer.
	Latency Quantiles `json:"latency"`
	// Urgent is the latency for services of the most urgent class.
	Urgent Quantiles `json:"urgent"`
	// First is the time to the first token of a model call.
	First Quantiles `json:"first"`
	// Overhead is the time that a plain call spends outside its endpoint.
	Overhead Quantiles `json:"overhead"`
	// Queue is the time that a model call spends outside its endpoint, including queueing.
	Queue Quantiles `json:"queue"`
	// Wasted is the cache memory held for no live program, in token-seconds, and
	// WastedShare its share of the cache.
	Wasted      float64 `json:"wasted"`
	WastedShare float64 `json:"share"`
	// LiveShare is the share of the cache held for live programs.
	LiveShare float64 `json:"live"`
	// Busy is the share of time in which the engines worked, and Slots the share of
	// their slots in use. DelayShare is the share of time by which the stand-ins ran
	// late because the machine was too slow.
	Busy       float64 `json:"busy"`
	Slots      float64 `json:"slots"`
	DelayShare float64 `json:"late"`
	// Hits is the share of prompt tokens found in the cache.
	Hits float64 `json:"hits"`
	// Goodput is the number of answered messages per second.
	Goodput float64 `json:"goodput"`
	// Offered counts the programs that arrived, Answered the messages that were answered.
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	// Broken counts the messages that failed, Unfinished those still waiting at the end.
	Broken     int `json:"broken"`
	Unfinished int `json:"cut"`
	// NotRun and Unknown count the calls with these outcomes.
	NotRun  int `json:"notrun"`
	Unknown int `json:"unknown"`
	// Hedges counts runs that overlap an earlier run of the same call, Retries those
	// that began after it ended.
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
	// Rules counts the violations by rule. Violations is their total, and Details
	// describes the first of them.
	Rules      map[audit.Rule]int `json:"rules"`
	Violations int                `json:"broke"`
	Details    []string           `json:"details,omitempty"`
	Samples    []Sample           `json:"samples,omitempty"`
	// CDF is the latency at each percentile from 0 to 100, in milliseconds.
	CDF []float64 `json:"cdf,omitempty"`
}

// usageTotals is the cumulative usage of all engines up to one time.
type usageTotals struct{ usage engine.Usage }

// engineUsage returns the sum of all engines' usage up to now.
func (t *Trial) engineUsage(now time.Time) usageTotals {
	var a usageTotals
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

// The range of histograms, from 1 microsecond to 10 minutes, and their precision.
const (
	minMicroseconds   = 1
	maxMicroseconds   = 600_000_000
	significantDigits = 3
)

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
}

// recordTime records d, limited to the histogram's range.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// inMeasurement reports whether a time is in the measured time.
func (t *Trial) inMeasurement(at time.Time) bool {
	return !at.Before(t.measureStart) && at.Before(t.measureEnd)
}

func (t *Trial) result() *Result {
	o, e := t.options, t.evidence()
	r := &Result{
		Policy: o.Policy.Name, Seed: o.Seed, Load: o.Load, Nodes: o.Nodes,
		Offered: t.offered, Samples: t.samples,
	}
	t.measureChains(r)
	t.measureCalls(r, e)
	t.measureUsage(r, e)
	report := audit.Check(e)
	r.Rules, r.Violations, r.Details = report.Counts(), report.Total(), report.Samples()
	if o.Policy.Plain {
		// A plain scheduler does not promise to release memory. These violations are
		// listed under Rules but not counted as violations of the run.
		r.Violations -= r.Rules[audit.Memory]
	}
	return r
}

// measureChains measures the messages sent during the measurement. A message without
// an answer at the end counts with the time it has waited so far.
func (t *Trial) measureChains(r *Result) {
	latency, urgent := histogram(), histogram()
	classes := t.options.Experiment.Urgent()
	finished := 0
	for _, c := range t.log.Chains() {
		if c.Done && t.inMeasurement(c.Ended) {
			finished++
		}
		if !t.inMeasurement(c.Began) {
			continue
		}
		if !c.Done {
			r.Broken++
			continue
		}
		r.Answered++
		recordTime(latency, c.Ended.Sub(c.Began))
		if classes[c.Service] {
			recordTime(urgent, c.Ended.Sub(c.Began))
		}
	}
	for _, began := range t.log.Open() {
		if t.inMeasurement(began) {
			r.Unfinished++
			recordTime(latency, time.Since(began))
		}
	}
	r.Latency, r.Urgent = quantiles(latency), quantiles(urgent)
	r.Goodput = float64(finished) / t.options.Experiment.Time.Seconds()
	for i := range 101 {
		r.CDF = append(r.CDF, float64(latency.ValueAtQuantile(float64(i)))/1000)
	}
}

// callRun is one run of a call at an endpoint.
type callRun struct{ arrived, ended time.Time }

// measureCalls measures the calls sent during the measurement and counts their
// outcomes and extra runs.
func (t *Trial) measureCalls(r *Result, e audit.Evidence) {
	runs := map[string][]callRun{}
	for _, n := range e.Engines {
		for _, l := range n.Ledger {
			runs[l.Key] = append(runs[l.Key], callRun{l.Arrived, l.Ended})
		}
	}
	for _, n := range e.Desks {
		for _, l := range n.Ledger {
			runs[l.Key] = append(runs[l.Key], callRun{l.Arrived, l.Ended})
		}
	}
	first, overhead, queue := histogram(), histogram(), histogram()
	for _, c := range e.Records {
		if !t.inMeasurement(c.Sent) {
			continue
		}
		r.countOutcome(c)
		callRuns := runs[c.Key]
		r.countExtraRuns(callRuns)
		if c.Err != nil || c.Result.Outcome != answer.Done || len(callRuns) != 1 || callRuns[0].ended.IsZero() {
			continue
		}
		outside := c.Got.Sub(c.Sent) - callRuns[0].ended.Sub(callRuns[0].arrived)
		if c.Operation != "" {
			recordTime(overhead, outside)
			continue
		}
		recordTime(queue, outside)
		recordTime(first, c.Result.First)
	}
	r.First, r.Overhead, r.Queue = quantiles(first), quantiles(overhead), quantiles(queue)
}

// countOutcome counts the outcomes "not run" and "unknown".
func (r *Result) countOutcome(c agent.Record) {
	switch {
	case c.Err != nil:
	case c.Result.Outcome == answer.NotRun:
		r.NotRun++
	case c.Result.Outcome == answer.Unknown:
		r.Unknown++
	}
}

// countExtraRuns counts the runs of a call after the first as hedges or retries.
func (r *Result) countExtraRuns(runs []callRun) {
	for i := 1; i < len(runs); i++ {
		earlier := runs[i-1]
		if runs[i].arrived.Before(earlier.arrived) {
			earlier, runs[i] = runs[i], earlier
		}
		if earlier.ended.IsZero() || runs[i].arrived.Before(earlier.ended) {
			r.Hedges++
			continue
		}
		r.Retries++
	}
}

// measureUsage computes the results from the engines' usage and cache hits.
func (t *Trial) measureUsage(r *Result, e audit.Evidence) {
	memory := t.endUsage.usage.CacheTokenSeconds - t.startUsage.usage.CacheTokenSeconds
	r.Wasted = t.endUsage.usage.WastedTokenSeconds - t.startUsage.usage.WastedTokenSeconds
	if memory > 0 {
		r.WastedShare = r.Wasted / memory
		r.LiveShare = (t.endUsage.usage.LiveTokenSeconds - t.startUsage.usage.LiveTokenSeconds) / memory
	}
	if seconds := t.options.Experiment.Time.Seconds() * float64(len(e.Engines)); seconds > 0 {
		r.Busy = (t.endUsage.usage.BusySeconds - t.startUsage.usage.BusySeconds) / seconds
		r.Slots = (t.endUsage.usage.StreamSeconds - t.startUsage.usage.StreamSeconds) / seconds / float64(t.options.Experiment.Engine.Slots)
		r.DelayShare = (t.endUsage.usage.DelaySeconds - t.startUsage.usage.DelaySeconds) / seconds
	}
	prompt, cached := 0, 0
	for _, n := range e.Engines {
		for _, l := range n.Ledger {
			if t.inMeasurement(l.Started) {
				prompt += l.PromptTokens
				cached += l.CachedTokens
			}
		}
	}
	if prompt > 0 {
		r.Hits = float64(cached) / float64(prompt)
	}
}
