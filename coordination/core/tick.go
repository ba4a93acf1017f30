package core

import (
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/prog"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// tick does what time alone brings about.
func (c *Core) tick(now time.Time) {
	for _, r := range c.due(now) {
		c.expire(now, r)
	}
	for _, s := range c.ordered() {
		c.hasten(now, s)
	}
	for pool, l := range c.ready {
		if l.len() > 0 {
			c.dirty[pool] = true
		}
	}
	if now.Sub(c.cleaned) >= cleanInterval {
		c.cleaned = now
		c.clean(now)
	}
}

// cleanInterval is how often the slow housekeeping runs.
const cleanInterval = time.Second

// due returns the requests that time may have an effect on, by id, so that
// runs can be repeated.
func (c *Core) due(now time.Time) []*request {
	var all []*request
	for _, r := range c.requests {
		if !now.Before(r.deadline) || !r.alone.IsZero() || c.late(now, r) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *request) int { return compareStrings(a.call.ID(), b.call.ID()) })
	return all
}

// aloneTime is how long a call that may be repeated goes on without a caller.
const aloneTime = 2 * time.Second

// expire ends a request whose time is over, and hedges one that is late.
func (c *Core) expire(now time.Time, r *request) {
	switch {
	case c.requests[r.call.ID()] != r || r.stage == settling:
	case r.stage <= ready && !now.Before(r.deadline):
		c.giveUp(now, r, "deadline", "no endpoint was free in time", time.Second)
	case r.repeatable() && !r.alone.IsZero() && now.Sub(r.alone) >= aloneTime:
		c.cancel(now, r)
	case r.stage == running:
		c.hedge(now, r)
	}
}

// cancel ends a call that nobody waits for. Its key can be tried again.
func (c *Core) cancel(now time.Time, r *request) {
	a := refuse("cancelled", "the caller left", 0)
	if len(r.flights) == 0 && r.burnt == (need{}) {
		c.answered(now, r, a)
		return
	}
	c.settle(now, r, a)
}

// hedge sends a model call that is late to begin to a second endpoint.
func (c *Core) hedge(now time.Time, r *request) {
	if !c.late(now, r) {
		return
	}
	at, ok := c.place(now, r, r.flights[0].endpoint)
	n := r.worst()
	if !ok || !r.program.Budget().Fits(n.tokens, n.money) || !c.hedger.Take() {
		return
	}
	r.hedged = true
	c.launch(now, r, at)
}

// demandDecay is what remains of a model's demand after a second; a half-life
// of a minute.
const demandDecay = 0.9885

// late tells whether a model call's only attempt is late to begin.
func (c *Core) late(now time.Time, r *request) bool {
	if r.operation != nil || r.hedged || r.winner != nil || len(r.flights) != 1 || r.shard.leaving {
		return false
	}
	f := r.flights[0]
	after, ok := c.hedger.Delay(c.first(r.service.Pool).Estimate(f.cost))
	return ok && !f.sent.IsZero() && now.Sub(f.sent) >= after
}

// clean runs the slow housekeeping: idle programs, releases, old refusals.
func (c *Core) clean(now time.Time) {
	for to, f := range c.refused {
		if !now.Before(f.until) {
			delete(c.refused, to)
		}
	}
	for n := range c.demand {
		c.demand[n] *= demandDecay
	}
	c.manage(now)
	for _, s := range c.ordered() {
		for _, id := range c.old(now, s) {
			c.idle(now, s, s.programs[id])
		}
		c.resweep(now, s)
	}
}

// defaultIdle ends programs of services that declare no idle time.
const defaultIdle = 30 * time.Minute

// old returns the programs that are to be ended, stripped or forgotten, sorted
// so that runs can be repeated.
func (c *Core) old(now time.Time, s *shard) []string {
	var ids []string
	for id, p := range s.programs {
		quiet := now.Sub(p.LastChange())
		switch {
		case !p.Ended() && (quiet < c.idleTime(p) || s.active[id] > 0 || s.leaving):
		case p.Ended() && quiet < c.options.AnswerRetention:
		case p.Stripped() && (quiet < c.options.KeyRetention || !p.Swept()):
		default:
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) idle(now time.Time, s *shard, p *prog.Program) {
	switch {
	case !p.Ended():
		c.journal(s, []record.Record{ended(p, "idle", now)}, func(time.Time) { c.sweep(s, p) })
	case p.Swept() && now.Sub(p.LastChange()) >= c.options.KeyRetention:
		delete(s.programs, p.Customer()+"/"+p.ID())
	default:
		p.Strip(c.mayRepeat)
	}
}

func (c *Core) idleTime(p *prog.Program) time.Duration {
	if v := c.config.Services[p.Service()]; v != nil && v.Idle > 0 {
		return v.Idle
	}
	return defaultIdle
}

func (c *Core) mayRepeat(k *call.Call) bool {
	if k.Kind == call.Chat {
		return true
	}
	v := c.config.Services[k.Service]
	return v != nil && v.Operations[k.Operation] != nil && v.Operations[k.Operation].Idempotent
}
