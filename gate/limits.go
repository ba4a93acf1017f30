package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/quota"
	"github.com/cowslipstage/cowslipstage/protocol/meta"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/caps"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/transport/pool"
)

const (
	// limitsEvery is the pause between two reports of what is sent to limited
	// endpoints, and limitsPerGate its minimum for each gate that takes part, so that
	// the vaults' load does not grow with the deployment.
	limitsEvery   = 100 * time.Millisecond
	limitsPerGate = 5 * time.Millisecond
	// defaultPatience is how long a request waits for a limited endpoint if its route
	// names no aim.
	defaultPatience = 200 * time.Millisecond
)

// recordLimit notes the limit that an endpoint names in an answer, or that it names
// none.
func (g *Gate) recordLimit(now time.Time, q *request, e fleet.Entry, answer meta.Answer) {
	if answer.Moved {
		return // another endpoint's answer
	}
	if answer.BadLimit {
		g.log.Warn().Str("request", q.ID).Str("endpoint", e.ID).Msg("endpoint names a limit that cannot be read; ignored")
		return
	}
	said := caps.Cap{Rate: answer.Limit, Lifted: !answer.HasLimit, StartedAt: e.StartedAt, HeardAt: now, Own: true}
	g.mu.Lock()
	changed := g.hearLimit(now, e.ID, said)
	g.mu.Unlock()
	if !changed {
		return
	}
	g.vaults.exchange.markLimited()
	line := g.log.Info().Str("request", q.ID).Str("endpoint", e.ID).Str("service", e.Service)
	if said.Lifted {
		line.Msg("endpoint names no limit any more")
		return
	}
	line.Float64("perSecond", said.Rate).Msg("endpoint names a limit")
}

// hearLimit stores what an endpoint said to this gate or another one, and reports
// whether that changes its limit. The caller holds the mutex.
func (g *Gate) hearLimit(now time.Time, id string, said caps.Cap) bool {
	if !g.caps.Hear(id, said) {
		return false
	}
	if said.Lifted {
		g.quota.End(id)
	} else {
		g.quota.Begin(now, id)
	}
	g.meters.limitChanges.Inc()
	return true
}

// limitWait returns how long a request has to wait for an endpoint because of the
// endpoint's limit. The caller holds the mutex.
func (g *Gate) limitWait(now time.Time, e fleet.Entry) time.Duration {
	limit, limited := g.caps.Rate(e.ID, e.StartedAt)
	if !limited {
		return 0
	}
	return g.quota.Wait(now, e.ID, limit)
}

// patience returns how long a request may still wait for a limited endpoint: until
// its route's aim, and for half of the time that is left.
func (q *request) patience(now time.Time) time.Duration {
	aim := q.route.FirstByteTarget
	if aim <= 0 {
		aim = defaultPatience
	}
	return max(0, min(q.started.Add(aim).Sub(now), q.deadline.Sub(now)/2))
}

// awaitLimit waits until the endpoint's limit allows the request. The error means that it
// has not been sent.
func (p placement) awaitLimit(ctx context.Context) error {
	if p.wait <= 0 {
		return nil
	}
	select {
	case <-time.After(p.wait):
		return nil
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), "waiting for the endpoint's limit"), pool.ErrNotSent)
	}
}

// limitsLoop tells the vaults what this gate sends to limited endpoints, and learns
// what the others do, while any endpoint has a limit.
func (g *Gate) limitsLoop(ctx context.Context) {
	x := g.vaults.exchange
	for {
		select {
		case <-x.limited:
		case <-ctx.Done():
			return
		}
		for pause := g.exchangeLimits(ctx, time.Now()); pause > 0; pause = g.exchangeLimits(ctx, time.Now()) {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return
			}
		}
	}
}

// exchangeLimits sends one report to every vault and requests the other gates' from
// the nearest one. It returns the pause before the next, or 0 if no endpoint has a limit
// any more.
func (g *Gate) exchangeLimits(ctx context.Context, now time.Time) time.Duration {
	report, gates := g.limitsReport(now)
	wantOthers := true
	for _, s := range g.vaults.currentRoster().Order(g.site.Centre, "") {
		if !g.vaults.connection(s.Addr).Connected() {
			continue
		}
		l := *report
		l.WantOthers, wantOthers = wantOthers, false
		go g.sendLimits(ctx, s.Addr, &l)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.caps.Limited(now) {
		return 0
	}
	return max(limitsEvery, time.Duration(gates)*limitsPerGate)
}

// limitsReport returns what this gate knows and does about limits, and how many gates
// share them.
func (g *Gate) limitsReport(now time.Time) (*vaults.Limits, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := &vaults.Limits{Sent: g.quota.Counts(now), Heard: map[string]vaults.Cap{}}
	for id, known := range g.caps.All(now) {
		if known.Own {
			l.Heard[id] = vaults.Cap{Rate: known.Rate, Lifted: known.Lifted, StartedAt: known.StartedAt, Age: now.Sub(known.HeardAt)}
		}
	}
	return l, g.quota.Gates()
}

// sendLimits sends a report to one vault and stores its answer.
func (g *Gate) sendLimits(ctx context.Context, addr string, l *vaults.Limits) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	m, err := g.vaults.connection(addr).Call(ctx, &vaults.Load{Node: g.site.Node, Limits: l, Partial: true})
	if err != nil {
		g.log.Debug().Err(err).Str("vault", addr).Msg("sending limits failed; the next report repeats it")
		return
	}
	reply, ok := m.(*vaults.LoadReply)
	if !ok || reply.Limits == nil {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quota.SetOthers(now, quota.Others{Gates: reply.Limits.OtherGates, Sent: reply.Limits.OtherSent, Ranks: reply.Limits.Ranks})
	for id, said := range reply.Limits.Heard {
		c := caps.Cap{Rate: said.Rate, Lifted: said.Lifted, StartedAt: said.StartedAt, HeardAt: now.Add(-max(0, said.Age))}
		if g.hearLimit(now, id, c) {
			g.log.Info().Str("endpoint", id).Float64("perSecond", c.Rate).Bool("lifted", c.Lifted).Msg("limit heard from other gates")
		}
	}
}
