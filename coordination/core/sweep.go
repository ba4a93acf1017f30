package core

import (
	"sort"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/route"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/prog"
	"github.com/cowslipstage/cowslipstage/state/record"
)

func ended(p *prog.Program, reason string, now time.Time) record.Record {
	return record.Record{Ended: &record.Ended{
		Customer: p.Customer(), Program: p.ID(), Reason: reason, Time: now,
	}}
}

func (c *Core) closeProgram(now time.Time, e Closed) {
	s := c.shardOf(e.Customer, e.Program)
	if s == nil {
		c.do(Reply{To: e.From, Moved: true})
		return
	}
	done := Reply{To: e.From, Final: &answer.Answer{Outcome: answer.Done}}
	p := s.programs[e.Customer+"/"+e.Program]
	if p == nil || p.Ended() {
		c.do(done)
		return
	}
	c.journal(s, []record.Record{ended(p, "caller", now)}, func(at time.Time) {
		c.do(done)
		c.sweep(at, s, p)
	})
}

// sweep asks the engines to release what they hold for an ended program.
func (c *Core) sweep(_ time.Time, s *shard, p *prog.Program) {
	c.router.Forget(p.Customer() + "/" + p.ID())
	for name, e := range c.config.Endpoints {
		if e.Kind != "engine" {
			continue
		}
		c.do(Release{
			Endpoint: name, Target: e, Customer: p.Customer(), Program: p.ID(), Epoch: s.epoch,
		})
	}
}

func (c *Core) released(_ time.Time, _ Released) {}

// tick expires what has waited too long.
func (c *Core) tick(now time.Time) {
	for _, r := range c.requests {
		if r.stage <= ready && !now.Before(r.deadline) {
			c.refuse(now, r, refuse("deadline", "no endpoint was free in time", time.Second))
		}
	}
}

func sortChoices(all []route.Choice) {
	sort.Slice(all, func(a, b int) bool { return all[a].Name < all[b].Name })
}
