package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/admit"
	"github.com/cowslipstage/cowslipstage/coordination/retry"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/state/toggle"
)

const (
	// roomCheckEvery is the pause between two looks for room for a call that waits: a
	// fraction of the time in which one of the busiest pools ends a call.
	roomCheckEvery = 5 * time.Millisecond
	// maxWaitingCalls bounds the calls that wait at one gate, and maxWaitingShare the part of
	// its memory that their bodies take.
	maxWaitingCalls = 256
	maxWaitingShare = 0.05
)

// waiting counts the calls that wait for room by service. The gate's mutex guards it.
type waiting struct {
	calls map[string]int
	// bytes is the size of all their bodies.
	bytes int64
}

// controlsAdmission reports whether calls of a route are admitted by the room of their
// service: where customers share the engines, and where callers send the whole prompt with
// every turn and so can come back through any gate.
func (g *Gate) controlsAdmission(t *table.Table, r *table.Route) bool {
	return r.Kind == table.Stream && (t.Keys() != nil || !r.KeepsTurns) && g.site.Off.On(toggle.Admission)
}

// admit waits until there is room for a turn. It reports whether the turn may be sent; if
// not, the caller has left or has been refused.
func (g *Gate) admit(ctx context.Context, t *turn) bool {
	if !t.admission {
		return true
	}
	for first := true; ; first = false {
		now := time.Now()
		verdict, room := g.decideAdmission(now, t, first)
		switch v := verdict.(type) {
		case admit.Send:
			if !first {
				g.endWait(t)
				g.log.Info().Str("request", t.ID).Str("program", t.Program).Dur("waited", now.Sub(t.started)).Msg("admitted after a wait")
			}
			return true
		case admit.Refuse:
			if !first {
				g.endWait(t)
			}
			g.settleTurn(t, nil)
			g.returnAllowance(now, t.request)
			g.meters.shed.Inc()
			t.retryAfter = v.RetryAfter
			g.log.Info().Str("request", t.ID).Str("program", t.Program).Bool("underWay", t.underWay).Dur("age", t.age).Float64("slots", room.Slots).
				Float64("calls", room.Calls).Int("waiting", room.Waiting).Dur("call", room.Call).
				Dur("retryAfter", v.RetryAfter).Msg("no room at the endpoints")
			g.refuse(t.request, http.StatusServiceUnavailable, "no room at the endpoints of "+t.service.Name+"; it has not run")
			return false
		case admit.Wait:
			if first {
				g.meters.waited.Inc()
			}
		}
		select {
		case <-time.After(roomCheckEvery):
		case <-ctx.Done():
			g.endWait(t)
			g.settleTurn(t, nil)
			g.returnAllowance(time.Now(), t.request)
			g.leaveUnsent(t)
			return false
		}
	}
}

// leaveUnsent ends a call that waited until its caller left or its time was over.
func (g *Gate) leaveUnsent(t *turn) {
	if t.httpRequest.Context().Err() != nil {
		g.meters.countAnswer("left")
		g.log.Info().Str("request", t.ID).Dur("after", time.Since(t.started)).Msg("caller left while its call waited")
		panic(http.ErrAbortHandler)
	}
	g.refuse(t.request, http.StatusServiceUnavailable, "no room at the endpoints in time; it has not run")
}

// decideAdmission returns the verdict for a turn, and counts the turn as waiting if that is
// its first verdict and says so.
func (g *Gate) decideAdmission(now time.Time, t *turn, first bool) (admit.Verdict, admit.Room) {
	room := g.room(now, t)
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := admit.Decide(now, t.admitCall(now), room, g.random)
	if _, wait := verdict.(admit.Wait); wait && first {
		full := g.waiting.calls[t.service.Name] >= maxWaitingCalls ||
			g.waiting.bytes+int64(len(t.promptText)) > int64(maxWaitingShare*float64(g.site.Memory))
		if full {
			return admit.Refuse{RetryAfter: room.Call}, room
		}
		g.waiting.calls[t.service.Name]++
		g.waiting.bytes += int64(len(t.promptText))
	}
	return verdict, room
}

// endWait ends the count of a turn that waited.
func (g *Gate) endWait(t *turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting.calls[t.service.Name]--
	g.waiting.bytes -= int64(len(t.promptText))
}

// admitCall describes a turn to the admission control.
func (q *request) admitCall(now time.Time) admit.Call {
	return admit.Call{
		UnderWay: q.underWay, Age: q.age, ProgramLeft: q.ProgramTimeLeft,
		Arrived: q.started, Target: q.route.FirstByteTarget, TimeLeft: q.deadline.Sub(now), Importance: q.importance,
	}
}

// room returns what this gate knows of the room at the endpoints of a turn's service.
func (g *Gate) room(now time.Time, t *turn) admit.Room {
	usable := g.fleet.Usable(now, t.service.Name)
	var others map[string]int
	if g.site.Off.On(toggle.Exchange) {
		others, _ = g.vaults.exchange.others(now)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := admit.Room{Waiting: g.waiting.calls[t.service.Name], Call: g.speedOf(t.service.Name).Speed().Call}
	for _, e := range usable {
		c := g.candidate(now, e, 0)
		r.Slots += float64(c.Slots) * c.Share
		r.Calls += float64(c.OwnCalls + others[e.ID])
	}
	return r
}

// mayResend reports whether a call that an endpoint declined or did not get may be sent to
// another one. Calls sent again are bounded to a share of all, so that full endpoints are
// not kept full by calls that they decline.
func (g *Gate) mayResend(now time.Time, q *request) bool {
	if !q.admission {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resendBudget(now, q.service.Name).Take(now) {
		return true
	}
	g.meters.resendsDenied.Inc()
	return false
}

// resendBudget returns the budget of a service. The caller holds the mutex.
func (g *Gate) resendBudget(now time.Time, service string) *retry.Budget {
	b := g.resends[service]
	if b == nil {
		b = retry.New(now)
		g.resends[service] = b
	}
	return b
}

// recordServed adds a served call to the budget of calls sent again.
func (g *Gate) recordServed(now time.Time, q *request) {
	if !q.admission {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resendBudget(now, q.service.Name).AddCall()
}
