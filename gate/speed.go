package gate

import (
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/gauge"
	"github.com/cowslipstage/cowslipstage/coordination/slack"
	"github.com/cowslipstage/cowslipstage/state/toggle"
)

// speedOf returns what is known of the speed of a service's endpoints. The caller
// holds the mutex.
func (g *Gate) speedOf(service string) *gauge.Gauge {
	p := g.speeds[service]
	if p == nil {
		p = gauge.New()
		g.speeds[service] = p
	}
	return p
}

// slackOf returns what is known of the time that programs of a service have to spare. The caller
// holds the mutex.
func (g *Gate) slackOf(service string) *slack.Slack {
	s := g.slacks[service]
	if s == nil {
		s = slack.New()
		g.slacks[service] = s
	}
	return s
}

// recordTurnEnd learns from a turn that ended how much of its program's time is over.
func (g *Gate) recordTurnEnd(now time.Time, t *turn) {
	if !t.HasProgramTimeLeft || t.underWay && t.age <= 0 {
		return // nobody knows when the program began
	}
	elapsed := now.Sub(t.started)
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.rooms[t.service.Name]; r != nil {
		g.slackOf(t.service.Name).Add(now, t.account(), elapsed, t.age+elapsed, t.ProgramTimeLeft-elapsed, r.calls >= r.slots)
	}
}

// recordCall learns from the times of a complete stream.
func (g *Gate) recordCall(p placement, firstEvent, total time.Duration) {
	if !g.site.Off.On(toggle.Speed) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.speedOf(p.Service).Add(gauge.Sample{Unread: p.unread, Load: p.load, FirstEvent: firstEvent, Total: total})
}
