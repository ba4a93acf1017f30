package node

import (
	"sync"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/limit"
	"github.com/cowslipstage/cowslipstage/coordination/member"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// limits guards the limits of customers and services for the edge's goroutines.
type limits struct {
	mu      sync.Mutex
	limiter *limit.Limiter
}

func newLimits() *limits { return &limits{limiter: limit.New()} }

func (l *limits) hear(now time.Time, node string, used map[string]limit.Usage, nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.SetNodes(nodes)
	l.limiter.UpdatePeer(now, node, used)
}

func (l *limits) used(now time.Time) map[string]limit.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.UsageForPeers(now)
}

// fleet counts the nodes that share the limits, as far as this one knows.
func (n *Node) fleet(now time.Time) int {
	count := 1
	for _, name := range n.view.Nodes(now, member.Live, member.Suspect) {
		if name != n.settings.Node.Name {
			count++
		}
	}
	return count
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
	l := n.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, b := range all {
		v := l.limiter.Acquire(now, b.name, b.bound)
		if v.OK {
			continue
		}
		l.release(all[:i])
		n.metrics.GetOrCreateCounter(`limited_total{reason="` + v.Reason + `"}`).Inc()
		return nil, &answer.Answer{
			Outcome: answer.NotRun, Reason: "limit", RetryAfter: v.RetryAfter,
			Detail: "[" + b.name + "] " + v.Reason + ": the limit is reached",
		}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.release(all)
	}, nil
}

// release takes a call out of its limits; the caller holds mu.
func (l *limits) release(all []bounded) {
	for _, b := range all {
		l.limiter.Release(b.name)
	}
}
