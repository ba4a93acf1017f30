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

// limits makes the limiter of customers and services safe for concurrent use.
type limits struct {
	mu      sync.Mutex
	limiter *limit.Limiter
}

func newLimits() *limits { return &limits{limiter: limit.New()} }

func (l *limits) recordUse(now time.Time, node string, used map[string]limit.Usage, nodes int) {
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

// fleetSize returns the number of nodes known to share the limits.
func (n *Node) fleetSize(now time.Time) int {
	count := 1
	for _, name := range n.view.Nodes(now, member.Live, member.Suspect) {
		if name != n.settings.Node.Name {
			count++
		}
	}
	return count
}

// namedBound is a bound and the name it is counted under.
type namedBound struct {
	name  string
	bound limit.Bound
}

// callBounds returns the bounds that apply to a call.
func callBounds(c *config.Config, k *call.Call) []namedBound {
	var all []namedBound
	if x := c.Customers[k.Customer]; x != nil {
		all = append(all, namedBound{"customer " + k.Customer, limit.Bound{Rate: x.Rate, Burst: x.Burst, Active: x.Active}})
	}
	if x := c.Services[k.Service]; x != nil {
		all = append(all, namedBound{"service " + k.Service, limit.Bound{Rate: x.Rate, Burst: x.Burst, Active: x.Active}})
	}
	return all
}

// admit counts a call against its limits and returns a function that releases
// it, or returns the answer that refuses it.
func (n *Node) admit(now time.Time, k *call.Call) (func(), *answer.Answer) {
	all := callBounds(n.currentConfig(), k)
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

// release ends a call's use of its limits. The caller holds mu.
func (l *limits) release(all []namedBound) {
	for _, b := range all {
		l.limiter.Release(b.name)
	}
}
