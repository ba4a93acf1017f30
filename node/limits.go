package node

import (
	"sync"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/limit"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// gate guards the limits of customers and services for the edge's goroutines.
type gate struct {
	mu    sync.Mutex
	limit *limit.Gate
}

func newGate() *gate { return &gate{limit: limit.New()} }

func (g *gate) hear(now time.Time, node string, used map[string]limit.Use, nodes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.Size(nodes)
	g.limit.Hear(now, node, used)
}

func (g *gate) used(now time.Time) map[string]limit.Use {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit.Used(now)
}

// bounded is a name with its bound.
type bounded struct {
	name  string
	bound limit.Bound
}

// bounds returns the limits that a call comes under.
func bounds(c *config.Config, k *call.Call) []bounded {
	var all []bounded
	if x := c.Customers[k.Customer]; x != nil {
		all = append(all, bounded{"customer " + k.Customer, limit.Bound{Rate: x.Rate, Burst: x.Burst, Active: x.Active}})
	}
	if x := c.Services[k.Service]; x != nil {
		all = append(all, bounded{"service " + k.Service, limit.Bound{Rate: x.Rate, Burst: x.Burst, Active: x.Active}})
	}
	return all
}

// admit lets a call through the limits, or refuses it.
func (n *Node) admit(now time.Time, k *call.Call) (func(), *answer.Answer) {
	all := bounds(n.current(), k)
	g := n.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, b := range all {
		v := g.limit.Enter(now, b.name, b.bound)
		if v.OK {
			continue
		}
		g.leave(all[:i])
		n.metrics.GetOrCreateCounter(`limited_total{reason="` + v.Reason + `"}`).Inc()
		return nil, &answer.Answer{
			Outcome: answer.NotRun, Reason: "limit", RetryAfter: v.Wait,
			Detail: "[" + b.name + "] " + v.Reason + ": the limit is reached",
		}
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.leave(all)
	}, nil
}

// leave takes a call out of its limits; the caller holds mu.
func (g *gate) leave(all []bounded) {
	for _, b := range all {
		g.limit.Leave(b.name)
	}
}
