package gate

import (
	"context"
	"maps"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/hedge"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/state/toggle"
)

const (
	// plainExpected is passed to the hedger for every call, because a gate does not know how
	// long a call of a plain service should take.
	plainExpected = time.Millisecond
	// maxTimerLag is how late a timer may fire. If it is later, this process itself was
	// paused, as happens on hosts with a small part of a core, and answers may be waiting
	// to be read.
	maxTimerLag = 10 * time.Millisecond
	// maxCopies is the number of copies of one request.
	maxCopies = 1
)

// Reasons of denied hedges beside those of the hedger.
const (
	// deniedPaused means that the gate itself was paused.
	deniedPaused hedge.Reason = "paused"
	// deniedNoEndpoint means that no other endpoint has a free slot.
	deniedNoEndpoint hedge.Reason = "endpoint"
	// deniedRetries means that the budget of retries for lost answers is used up.
	deniedRetries hedge.Reason = "retries"
)

// newHedger returns the hedger of a gate.
func newHedger(share float64) *hedge.Hedger { return hedge.New(hedge.PlainCalls(share)) }

// hedgeTimer fires when a request's answer is late.
type hedgeTimer struct {
	// C is nil for requests that are not hedged.
	C     <-chan time.Time
	timer *time.Timer
	delay time.Duration
	due   time.Time
}

// newHedgeTimer returns the timer of a request that is about to be sent.
func (g *Gate) newHedgeTimer(now time.Time, q *request) *hedgeTimer {
	if q.route.Kind != table.Idempotent || q.route.Attempts < 2 || !g.site.Off.On(toggle.Hedges) {
		return &hedgeTimer{}
	}
	g.mu.Lock()
	g.hedger.AddCall()
	delay, known := g.hedger.Delay(now, q.service.Name, plainExpected)
	g.mu.Unlock()
	if !known {
		return &hedgeTimer{}
	}
	t := time.NewTimer(delay)
	return &hedgeTimer{C: t.C, timer: t, delay: delay, due: now.Add(delay)}
}

// restart lets the delay begin again.
func (t *hedgeTimer) restart(now time.Time) {
	if t.timer != nil {
		t.timer.Reset(t.delay)
		t.due = now.Add(t.delay)
	}
}

func (t *hedgeTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// hedge sends a copy of a late request to another endpoint, if that is allowed, and reports
// whether it did. If not, it is tried again after the same delay: the slowest requests
// gain most.
func (a *attempts) hedge(ctx context.Context, now time.Time, t *hedgeTimer) bool {
	if a.copies >= maxCopies || a.pending != 1 || a.pending+a.mayHaveRun >= a.request.route.Attempts || ctx.Err() != nil {
		return false
	}
	lag := now.Sub(t.due)
	t.restart(now)
	if lag > maxTimerLag {
		a.gate.meters.countDenied(string(deniedPaused))
		return false
	}
	reason := a.sendCopy(ctx, now)
	if reason == hedge.Allowed {
		a.copies++
		a.gate.meters.hedges.Inc()
		a.gate.log.Info().Str("request", a.request.ID).Str("route", a.request.route.Name).Str("service", a.request.service.Name).
			Dur("delay", t.delay).Dur("after", now.Sub(a.request.started)).Str("reason", "late").Msg("hedged")
		return true
	}
	if !a.denied {
		a.denied = true
		a.gate.meters.countDenied(string(reason))
		a.gate.routine.Info().Str("request", a.request.ID).Str("service", a.request.service.Name).
			Dur("delay", t.delay).Str("reason", string(reason)).Msg("hedge denied")
	}
	return false
}

// sendCopy sends the request to an endpoint with a free slot. It returns why it did not.
func (a *attempts) sendCopy(ctx context.Context, now time.Time) hedge.Reason {
	g, q := a.gate, a.request
	full, capacity := g.fullEndpoints(now, q.service.Name)
	g.mu.Lock()
	reason := g.hedger.Take(now, q.service.Name, capacity)
	g.mu.Unlock()
	if reason != hedge.Allowed {
		return reason
	}
	tried := q.tried
	q.tried = maps.Clone(tried)
	maps.Copy(q.tried, full)
	sent := a.startAttempt(ctx, false, true)
	for id := range full {
		if !tried[id] {
			delete(q.tried, id)
		}
	}
	if sent {
		return hedge.Allowed
	}
	g.mu.Lock()
	g.hedger.Return()
	g.mu.Unlock()
	return deniedNoEndpoint
}

// fullEndpoints returns a service's endpoints without a free slot, and the load of the
// others, as far as this gate and the other gates' reports show.
func (g *Gate) fullEndpoints(now time.Time, service string) (map[string]bool, hedge.Capacity) {
	usable := g.fleet.Usable(now, service)
	var others map[string]int
	if g.site.Off.On(toggle.Exchange) {
		others, _ = g.vaults.exchange.others(now)
	}
	full, capacity := map[string]bool{}, hedge.Capacity{}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range usable {
		c := g.candidate(now, e, 0)
		calls, slots := c.OwnCalls+others[e.ID], max(1, e.Slots)
		if c.Share <= 0 {
			full[e.ID] = true
			continue
		}
		capacity.Running += calls
		capacity.Slots += slots
		if calls >= slots {
			full[e.ID] = true
		}
	}
	return full, capacity
}

// observeCall tells the hedger how long an endpoint took for a whole answer.
func (g *Gate) observeCall(now time.Time, q *request, took time.Duration) {
	if q.route.Kind != table.Idempotent {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hedger.Observe(now, q.service.Name, took, plainExpected)
}

// observeCancelled learns from a call that was cancelled without an answer. If it was late,
// its time counts as a step of the endpoint, else hedging would hide slow endpoints from
// placement.
func (g *Gate) observeCancelled(now time.Time, q *request, id string, after time.Duration) {
	if q.route.Kind != table.Idempotent {
		return
	}
	g.mu.Lock()
	late := g.hedger.ObserveCancelled(now, q.service.Name, after, plainExpected)
	g.mu.Unlock()
	if late {
		g.recordStep(now, id, after)
	}
}

// retryLost sends a request whose answer is presumed lost to another endpoint. That is a
// retry: it needs no credit for hedges, but uses it up, so that hedges give way.
func (a *attempts) retryLost(ctx context.Context, now time.Time) {
	if !a.mayRunAgain(ctx) {
		return
	}
	g := a.gate
	g.mu.Lock()
	allowed := g.lostRetries.Take(now)
	g.mu.Unlock()
	if !allowed {
		g.meters.countDenied(string(deniedRetries))
		return
	}
	if !a.startAttempt(ctx, false, false) {
		return
	}
	g.mu.Lock()
	g.hedger.Spend()
	g.mu.Unlock()
	g.meters.lostRetries.Inc()
	g.log.Info().Str("request", a.request.ID).Str("route", a.request.route.Name).Str("service", a.request.service.Name).
		Dur("after", now.Sub(a.request.started)).Str("reason", "no answer").Msg("tried elsewhere")
}
