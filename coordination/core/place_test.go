package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/coordination/queue"
	"github.com/cowslipstage/cowslipstage/coordination/route"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/load"
)

// BenchmarkCall measures one model call in the core: submit, placement, dispatch,
// answer and journal.
func BenchmarkCall(b *testing.B) {
	for _, n := range []int{10, 100, 400, 860} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := benchCore(n)
			now := time.Unix(2000, 0)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				runCall(c, now, i)
			}
		})
	}
}

func benchCore(engines int) *core.Core {
	d := config.New()
	d.Revision = 1
	d.Services["chat"] = &config.Service{Kind: "model", Pool: "engines", Output: 50, Class: 1}
	now := time.Unix(2000, 0)
	c := core.New(core.Options{Shards: 1, Queue: queue.Attained, Route: route.EarliestFinish, Seed: 1})
	for i := range engines {
		d.Endpoints[fmt.Sprintf("engine-%d", i)] = &config.Endpoint{Pool: "engines", Kind: "engine", Slots: 64}
	}
	c.Step(now, core.Configured{Config: d})
	c.Step(now, core.ShardAcquired{Shard: 0, Epoch: 1})
	for i := range engines {
		c.Step(now, core.LoadReported{Endpoint: fmt.Sprintf("engine-%d", i), Report: load.Report{Running: i % 16, MeasuredAt: now}})
	}
	return c
}

func runCall(c *core.Core, now time.Time, i int) {
	k := &call.Call{
		Key: fmt.Sprint(i), Customer: "c", Program: fmt.Sprint("p", i%1000), Kind: call.Chat, Service: "chat",
		Messages: []call.Message{{Role: "user", Content: "Hello"}},
	}
	pending := c.Step(now, core.Submitted{Call: k})
	for len(pending) > 0 {
		a := pending[0]
		pending = pending[1:]
		switch a := a.(type) {
		case core.Append:
			pending = append(pending, c.Step(now, core.Committed{Ref: a.Ref})...)
		case core.Dispatch:
			pending = append(pending, c.Step(now, core.AttemptFinished{Attempt: a.Attempt, Text: "answer"})...)
		}
	}
}

// BenchmarkTick measures the time-driven work while calls are running.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{250, 1000, 4000, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := benchCore(400)
			now := time.Unix(2000, 0)
			for i := range n {
				k := &call.Call{
					Key: fmt.Sprint(i), Customer: "c", Program: fmt.Sprint("p", i), Kind: call.Chat, Service: "chat",
					Messages: []call.Message{{Role: "user", Content: "Hello"}},
				}
				for _, a := range c.Step(now, core.Submitted{Call: k}) {
					if a, ok := a.(core.Append); ok {
						c.Step(now, core.Committed{Ref: a.Ref})
					}
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Step(now, core.Ticked{})
			}
		})
	}
}
