package core

import (
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/hedge"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/prog"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// tick runs the time-driven work.
func (c *Core) tick(now time.Time) {
	for _, r := range c.dueRequests(now) {
		c.expireOrHedge(now, r)
	}
	for _, s := range c.sortedShards() {
		c.evictRepeatable(now, s)
	}
	for pool, l := range c.poolQueues {
		if l.len() > 0 {
			c.dirty[pool] = true
		}
	}
	if now.Sub(c.lastCleanup) >= cleanupInterval {
		c.lastCleanup = now
		c.cleanUp(now)
	}
}

// cleanupInterval is how often cleanUp runs.
const cleanupInterval = time.Second

// dueRequests returns the requests that have timed out, have lost their callers or are
// late to start. They are sorted by id, which makes runs reproducible.
func (c *Core) dueRequests(now time.Time) []*request {
	var all []*request
	for _, r := range c.requests {
		if !now.Before(r.deadline) || !r.unattendedSince.IsZero() || c.lateToStart(now, r) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *request) int { return compareStrings(a.call.ID(), b.call.ID()) })
	return all
}

// unattendedTimeout is how long a repeatable call continues without a caller.
const unattendedTimeout = 2 * time.Second

// expireOrHedge ends a request that has timed out or lost its callers, and hedges
// one whose first token is late.
func (c *Core) expireOrHedge(now time.Time, r *request) {
	switch {
	case c.requests[r.call.ID()] != r || r.stage == settling:
	case r.stage <= ready && !now.Before(r.deadline):
		c.giveUp(now, r, "deadline", "no endpoint was free in time", time.Second)
	case r.repeatable() && !r.unattendedSince.IsZero() && now.Sub(r.unattendedSince) >= unattendedTimeout:
		c.cancel(now, r)
	case r.stage == running:
		c.hedge(now, r)
	}
}

// cancel ends a call that has no callers. Its key can be tried again.
func (c *Core) cancel(now time.Time, r *request) {
	a := refuse("cancelled", "the caller left", 0)
	if len(r.attempts) == 0 && r.possiblySpent == (amount{}) {
		c.finishRequest(now, r, a)
		return
	}
	c.settle(now, r, a)
}

// modelCalls is the hedger's name for all model calls. Their expected times make those of
// different pools comparable.
const modelCalls = "model"

// hedge sends a model call whose first token is late to a second endpoint.
func (c *Core) hedge(now time.Time, r *request) {
	if !c.lateToStart(now, r) {
		return
	}
	at, ok := c.place(now, r, r.attempts[0].endpoint)
	n := r.maxCost()
	if !ok || !r.program.Budget().Fits(n.tokens, n.money) || c.hedger.Take(now, modelCalls, hedge.Capacity{}) != hedge.Allowed {
		return
	}
	r.hedged = true
	c.startAttempt(now, r, at)
}

// demandDecay is the factor by which a model's demand decays each second; it
// gives a half-life of a minute.
const demandDecay = 0.9885

// lateToStart reports whether the first token of a model call's only attempt is
// late.
func (c *Core) lateToStart(now time.Time, r *request) bool {
	if r.operation != nil || r.hedged || r.winner != nil || len(r.attempts) != 1 || r.shard.handingOver {
		return false
	}
	a := r.attempts[0]
	after, ok := c.hedger.Delay(now, modelCalls, c.firstTokenTime(r.service.Pool).Estimate(a.cost))
	return ok && !a.sentAt.IsZero() && now.Sub(a.sentAt) >= after
}

// cleanUp expires refusals and programs, decays the demand, reconciles the engines
// and retries releases.
func (c *Core) cleanUp(now time.Time) {
	c.dropRefusals(now, refusalRetention, 0)
	for n := range c.modelDemand {
		c.modelDemand[n] *= demandDecay
	}
	c.reconcileEngines(now)
	for _, s := range c.sortedShards() {
		for _, id := range c.expiredPrograms(now, s) {
			c.expireProgram(now, s, s.programs[id])
		}
		c.retrySweeps(now, s)
	}
	c.makeRoom()
	c.madeRoom = false
}

// defaultIdle ends programs of services that declare no idle time.
const defaultIdle = 30 * time.Minute

// expiredPrograms returns the programs that are due to be ended, stripped or
// removed. They are sorted, which makes runs reproducible.
func (c *Core) expiredPrograms(now time.Time, s *shard) []string {
	var ids []string
	for id, p := range s.programs {
		idle := now.Sub(p.LastChange())
		switch {
		case !p.Ended() && (idle < c.idleTime(p) || s.active[id] > 0 || s.handingOver):
		case p.Ended() && idle < c.options.AnswerRetention:
		case p.Stripped() && (idle < c.options.KeyRetention || !p.Swept()):
		default:
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// expireProgram ends an idle program, drops the answers of an ended one, or removes
// one whose keys have expired.
func (c *Core) expireProgram(now time.Time, s *shard, p *prog.Program) {
	switch {
	case !p.Ended():
		c.journal(s, []record.Record{endedRecord(p, "idle", now)}, func(time.Time) { c.sweep(s, p) })
	case p.Swept() && now.Sub(p.LastChange()) >= c.options.KeyRetention:
		delete(s.programs, p.Customer()+"/"+p.ID())
	default:
		p.Strip(c.isIdempotent)
	}
}

func (c *Core) idleTime(p *prog.Program) time.Duration {
	if v := c.config.Services[p.Service()]; v != nil && v.Idle > 0 {
		return v.Idle
	}
	return defaultIdle
}

func (c *Core) isIdempotent(k *call.Call) bool {
	if k.Kind == call.Chat {
		return true
	}
	v := c.config.Services[k.Service]
	return v != nil && v.Operations[k.Operation] != nil && v.Operations[k.Operation].Idempotent
}
