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
	// its memory that their prompts take.
	maxWaitingCalls = 256
	maxWaitingShare = 0.05
)

// waiting counts the calls that wait for room by service. The gate's mutex guards it.
type waiting struct {
	calls map[string]int
	// bytes is the size of all their prompts, at most maxBytes.
	bytes, maxBytes int64
}

// controlsAdmission reports whether calls of a route are admitted by the room of their service.
// While there is room, which is most of the time, they all are.
func (g *Gate) controlsAdmission(r *table.Route) bool {
	return r.Kind == table.Stream && g.site.Off.On(toggle.Admission)
}

// admit waits until there is room for a turn. It reports whether the turn may be sent; if
// not, the caller has left or has been refused.
func (g *Gate) admit(ctx context.Context, t *turn) bool {
	if !t.admission {
		return true
	}
	for first := true; ; first = false {
		now := time.Now()
		if !first && !g.mayBegin(t.request) {
			g.endWait(t)
			g.settleTurn(t, nil)
			g.refuseUnplaced(t.request)
			return false
		}
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
				Float64("calls", room.Calls).Int("waiting", room.Waiting).Dur("call", room.Call).Float64("used", room.Used).Float64("inCalls", room.InCalls).
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
	g.meters.shed.Inc()
	g.refuse(t.request, http.StatusServiceUnavailable, "no room at the endpoints of "+t.service.Name+" in time; it has not run")
}

// decideAdmission returns the verdict for a turn, and counts the turn as waiting if that is
// its first verdict and says so.
func (g *Gate) decideAdmission(now time.Time, t *turn, first bool) (admit.Verdict, admit.Room) {
	room := g.room(now, t)
	g.mu.Lock()
	defer g.mu.Unlock()
	if first {
		room.QueueFull = g.waiting.full(t)
		t.ahead = room.Waiting
	}
	room.Waiting = min(room.Waiting, t.ahead)
	verdict := admit.Decide(now, t.admitCall(now), room, g.random)
	if _, wait := verdict.(admit.Wait); wait && first {
		g.waiting.calls[t.service.Name]++
		g.waiting.bytes += int64(len(t.promptText))
	}
	return verdict, room
}

// full reports whether a turn may not wait because too many do.
func (w *waiting) full(t *turn) bool {
	return w.calls[t.service.Name] >= maxWaitingCalls || w.bytes+int64(len(t.promptText)) > w.maxBytes
}

// endWait ends the count of a turn that waited.
func (g *Gate) endWait(t *turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting.calls[t.service.Name]--
	g.waiting.bytes -= int64(len(t.promptText))
}

// admitCall describes a turn to the admission control. What the caller and the vaults said
// held when the request arrived.
func (q *request) admitCall(now time.Time) admit.Call {
	c := admit.Call{
		UnderWay: q.underWay, Arrived: q.started, Target: q.route.FirstByteTarget, TimeLeft: q.deadline.Sub(now), Importance: q.importance,
	}
	if q.HasProgramTimeLeft { // without it, the age does not tell whether the program is late
		elapsed := now.Sub(q.started)
		c.Age, c.ProgramLeft = q.age+elapsed, max(0, q.ProgramTimeLeft-elapsed)
	}
	return c
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
