// Package trial runs an experiment once, under one policy at one load, and
// measures it from the callers' record and the endpoints' ledgers.
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

// Policy is a pair of settings that decides how calls are scheduled.
type Policy struct {
	Name  string
	Queue string
	Route string
	// Plain is a scheduler that neither hedges nor copies caches, and leaves
	// the memory of ended programs to the engines.
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

// FindPolicy returns the policy with this name, or the one that a
// "queue+route" pair describes.
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

// Options say what to run.
type Options struct {
	Experiment *work.Experiment
	Policy     Policy
	Seed       uint64
	// Load is the arrival rate over the engines' calculated capacity.
	Load  float64
	Nodes int
	// Adjust changes the nodes' settings further; nil changes nothing.
	Adjust func(s *setup.Settings)
	// During runs beside the workload, for faults; nil runs nothing.
	During func(ctx context.Context, d *local.Deployment, began time.Time)
	// Faults runs the table of faults beside the workload.
	Faults bool
	Log    zerolog.Logger
}

// Trial is one run under way.
type Trial struct {
	options    Options
	deployment *local.Deployment
	log        *agent.Log
	began      time.Time
	// from and to bound what is measured.
	from time.Time
	to   time.Time
	// first and last are the engines' accounts at these bounds.
	first account
	last  account
	// offered is the programs that came while measuring.
	offered int
	samples []Sample
	// left and back are when endpoints began to leave and came back.
	left map[string]time.Time
	back map[string]time.Time
}

const (
	// patience bounds how long the last programs may take after the arrivals have ended.
	patience = 8 * time.Second
	// settle is how long engines may hold memory after the last program's end.
	settle = 3 * time.Second
	// grace is how long work may still arrive at a leaving endpoint.
	grace = 3 * time.Second
	// minLoad is the least time between two reads of an engine's load.
	minLoad = 20 * time.Millisecond
	// sampling is the time between two samples of the caches.
	sampling = 100 * time.Millisecond
)

// Run runs one trial.
func Run(ctx context.Context, o Options) (*Result, error) {
	d, err := local.Start(local.Options{
		Ticket: o.Experiment.Ticket(), Nodes: o.Nodes, Engine: o.Experiment.Engine, Desk: o.Experiment.Desk,
		Log: o.Log, Adjust: func(s *setup.Settings) {
			s.Policy.Queue, s.Policy.Route, s.Policy.Seed = o.Policy.Queue, o.Policy.Route, o.Seed
			s.Policy.LoadInterval = max(minLoad, time.Duration(float64(s.Policy.LoadInterval)/o.Experiment.Engine.Speed))
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
	t := &Trial{options: o, deployment: d, log: agent.NewLog(), left: map[string]time.Time{}, back: map[string]time.Time{}}
	t.log.OnEnd = func(now time.Time, program string) {
		for _, e := range d.Engines() {
			e.EndPrograms(now, program)
		}
	}
	if err := t.load(ctx); err != nil {
		return nil, err
	}
	t.forgotten(ctx)
	return t.result(), ctx.Err()
}

// load runs the workload: programs come when the plan says, however the
// earlier ones fare.
func (t *Trial) load(ctx context.Context) error {
	o, e := t.options, t.options.Experiment
	arrivals := work.Arrivals(e, o.Seed, fmt.Sprintf("s%d", o.Seed), o.Load*e.Capacity(), e.Warm+e.Time)
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	t.began = time.Now()
	t.from, t.to = t.began.Add(e.Warm), t.began.Add(e.Warm+e.Time)
	var beside, programs sync.WaitGroup
	beside.Go(func() { t.watch(running) })
	if o.During != nil {
		beside.Go(func() { o.During(running, t.deployment, t.began) })
	}
	if o.Faults {
		beside.Go(func() { t.faults(running) })
	}
	c := client.New(e.Customer, t.deployment.Addrs())
	driver := agent.NewDriver(c, t.log, t.to)
	for _, a := range arrivals {
		at := t.began.Add(a.At)
		if sleepUntil(ctx, at) != nil {
			break
		}
		if !at.Before(t.from) {
			t.offered++
		}
		programs.Go(func() { _, _ = driver.Run(running, a.Program) })
	}
	_ = sleepUntil(ctx, t.to)
	late := time.AfterFunc(patience, cancel)
	programs.Wait()
	late.Stop()
	cancel()
	beside.Wait()
	return ctx.Err()
}

// watch takes the engines' accounts at the bounds and samples them between.
func (t *Trial) watch(ctx context.Context) {
	if sleepUntil(ctx, t.from) != nil {
		return
	}
	t.first = t.account(time.Now())
	for next := t.from; next.Before(t.to); next = next.Add(sampling) {
		if sleepUntil(ctx, next) != nil {
			break
		}
		t.sample(next)
	}
	_ = sleepUntil(ctx, t.to)
	t.last = t.account(time.Now())
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

// forgotten waits until the engines hold nothing for ended programs, for as
// long as the rule allows.
func (t *Trial) forgotten(ctx context.Context) {
	end := time.Now().Add(settle)
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
		_ = sleepUntil(ctx, time.Now().Add(sampling))
	}
}

func (t *Trial) evidence() audit.Evidence {
	e := audit.Collect(t.deployment, t.log)
	e.Tokens, e.Left, e.Back, e.Grace = t.options.Experiment.Tokens(), t.left, t.back, grace
	return e
}

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
