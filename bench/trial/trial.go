// Package trial runs an experiment once with one policy and one load, and measures it
// from the callers' records and the endpoints' ledgers.
package trial

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/bench/agent"
	"github.com/cowslipstage/cowslipstage/bench/audit"
	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/bench/local"
	"github.com/cowslipstage/cowslipstage/bench/work"
	"github.com/cowslipstage/cowslipstage/setup"
)

// Policy is a combination of queue and route settings that decides how calls are scheduled.
type Policy struct {
	Name  string
	Queue string
	Route string
	// Plain disables hedges, cache copies and the release of ended programs' memory,
	// which is then left to the engines.
	Plain bool
}

// Policies returns the product's policy and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "product", Queue: "program", Route: "finish"},
		{Name: "round", Queue: "fifo", Route: "round", Plain: true},
		{Name: "least", Queue: "fifo", Route: "least", Plain: true},
		{Name: "sticky", Queue: "fifo", Route: "sticky", Plain: true},
	}
}

// FindPolicy returns the policy with this name, or the policy described by a
// "queue+route" pair.
func FindPolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	queue, route, ok := strings.Cut(name, "+")
	if !ok {
		return Policy{}, errors.Newf("trial: no policy is named %q; allowed are product, round, least, sticky and QUEUE+ROUTE", name)
	}
	return Policy{Name: name, Queue: queue, Route: route}, nil
}

// Options configures a trial.
type Options struct {
	Experiment *work.Experiment
	Policy     Policy
	Seed       uint64
	// Load is the arrival rate divided by the engines' calculated capacity.
	Load  float64
	Nodes int
	// Adjust changes the nodes' settings after the policy's changes. It may be nil.
	Adjust func(s *setup.Settings)
	// During runs while the workload runs, to inject faults. It may be nil.
	During func(ctx context.Context, d *local.Deployment, began time.Time)
	// Faults runs the fault scenarios while the workload runs.
	Faults bool
	Log    zerolog.Logger
}

// Trial is a trial that is running.
type Trial struct {
	options    Options
	deployment *local.Deployment
	log        *agent.Log
	began      time.Time
	// measureStart and measureEnd bound the measured time.
	measureStart time.Time
	measureEnd   time.Time
	// startUsage and endUsage are the engines' usage at these times.
	startUsage usageTotals
	endUsage   usageTotals
	// offered is the number of programs that arrived during the measurement.
	offered int
	samples []Sample
	// leftAt and returnedAt are the times at which endpoints began to leave and came back.
	leftAt     map[string]time.Time
	returnedAt map[string]time.Time
}

const (
	// finishTimeout is how long programs may still run after the measured time.
	finishTimeout = 8 * time.Second
	// releaseTimeout is how long engines may still hold memory after the last program's end.
	releaseTimeout = 3 * time.Second
	// leavingGrace is how long calls may still arrive at a leaving endpoint.
	leavingGrace = 3 * time.Second
	// minLoadInterval is the minimum time between two reads of an engine's load.
	minLoadInterval = 20 * time.Millisecond
	// sampleInterval is the time between two samples of the caches.
	sampleInterval = 100 * time.Millisecond
)

// Run runs one trial and returns its measurements.
func Run(ctx context.Context, o Options) (*Result, error) {
	d, err := local.Start(local.Options{
		Ticket: o.Experiment.Ticket(), Nodes: o.Nodes, Engine: o.Experiment.Engine, Desk: o.Experiment.Desk,
		Log: o.Log, Adjust: func(s *setup.Settings) {
			s.Policy.Queue, s.Policy.Route, s.Policy.Seed = o.Policy.Queue, o.Policy.Route, o.Seed
			s.Policy.LoadInterval = max(minLoadInterval, time.Duration(float64(s.Policy.LoadInterval)/o.Experiment.Engine.Speed))
			if o.Policy.Plain {
				s.Policy.Hedge, s.Policy.CopyCache, s.Policy.Release = false, false, false
			}
			if o.Adjust != nil {
				o.Adjust(s)
			}
		},
	})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	t := &Trial{options: o, deployment: d, log: agent.NewLog(), leftAt: map[string]time.Time{}, returnedAt: map[string]time.Time{}}
	t.log.OnEnd = func(now time.Time, program string) {
		for _, e := range d.Engines() {
			e.EndPrograms(now, program)
		}
	}
	if err := t.runWorkload(ctx); err != nil {
		return nil, err
	}
	t.awaitRelease(ctx)
	return t.result(), ctx.Err()
}

// runWorkload starts each program at its planned arrival, whether or not earlier
// programs have ended, and waits until all programs have ended or were cancelled.
func (t *Trial) runWorkload(ctx context.Context) error {
	o, e := t.options, t.options.Experiment
	arrivals := work.Arrivals(e, o.Seed, fmt.Sprintf("s%d", o.Seed), o.Load*e.Capacity(), e.Warm+e.Time)
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.began = time.Now()
	t.measureStart, t.measureEnd = t.began.Add(e.Warm), t.began.Add(e.Warm+e.Time)
	var background, programs sync.WaitGroup
	background.Go(func() { t.measureCaches(runCtx) })
	if o.During != nil {
		background.Go(func() { o.During(runCtx, t.deployment, t.began) })
	}
	if o.Faults {
		background.Go(func() { t.runScenarios(runCtx) })
	}
	c := client.New(e.Customer, t.deployment.Addrs())
	driver := agent.NewDriver(c, t.log, t.measureEnd)
	for _, a := range arrivals {
		at := t.began.Add(a.At)
		if sleepUntil(ctx, at) != nil {
			break
		}
		if !at.Before(t.measureStart) {
			t.offered++
		}
		programs.Go(func() { _, _ = driver.Run(runCtx, a.Program) })
	}
	_ = sleepUntil(ctx, t.measureEnd)
	cancelTimer := time.AfterFunc(finishTimeout, cancel)
	programs.Wait()
	cancelTimer.Stop()
	cancel()
	background.Wait()
	return ctx.Err()
}

// measureCaches reads the engines' usage at the start and end of the measured time
// and samples the caches in between.
func (t *Trial) measureCaches(ctx context.Context) {
	if sleepUntil(ctx, t.measureStart) != nil {
		return
	}
	t.startUsage = t.engineUsage(time.Now())
	for next := t.measureStart; next.Before(t.measureEnd); next = next.Add(sampleInterval) {
		if sleepUntil(ctx, next) != nil {
			break
		}
		t.sample(next)
	}
	_ = sleepUntil(ctx, t.measureEnd)
	t.endUsage = t.engineUsage(time.Now())
}

func (t *Trial) sample(now time.Time) {
	s := Sample{Seconds: now.Sub(t.began).Seconds()}
	for _, e := range t.deployment.Engines() {
		c := e.Sample(now)
		s.Live += c.LiveTokens
		s.Wasted += c.WastedTokens
	}
	t.samples = append(t.samples, s)
}

// awaitRelease waits until the engines hold no memory for ended programs, at most
// for releaseTimeout.
func (t *Trial) awaitRelease(ctx context.Context) {
	end := time.Now().Add(releaseTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		ended, held := t.log.Ended(), 0
		for _, e := range t.deployment.Engines() {
			for p := range e.HeldTokens() {
				if _, ok := ended[p]; ok {
					held++
				}
			}
		}
		if held == 0 {
			return
		}
		_ = sleepUntil(ctx, time.Now().Add(sampleInterval))
	}
}

func (t *Trial) evidence() audit.Evidence {
	e := audit.Collect(t.deployment, t.log)
	e.Tokens, e.Left, e.Back, e.Grace = t.options.Experiment.Tokens(), t.leftAt, t.returnedAt, leavingGrace
	return e
}

// sleepUntil sleeps until a time, or until ctx ends and returns its error.
func sleepUntil(ctx context.Context, at time.Time) error {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
