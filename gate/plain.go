package gate

import (
	"context"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/protocol/meta"
	"github.com/cowslipstage/cowslipstage/state/bulk"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/state/toggle"
	"github.com/cowslipstage/cowslipstage/transport/pool"
)

const (
	// maxDeclines bounds how many endpoints may decline one request or be
	// unreachable, in addition to those that run it.
	maxDeclines = 4
	// maxBufferedBytes is the largest answer of a plain service, and the most output
	// of a stream. What is longer is taken for bytes without end.
	maxBufferedBytes = 1 << 20
)

// errDeclined means that the endpoint did not run the request.
var errDeclined = errors.New("gate: the endpoint declined")

// result is how a call of one endpoint ended.
type result struct {
	endpoint fleet.Entry
	answer   *fullAnswer
	err      error
	// copied says that the call was a hedge.
	copied bool
}

// attempts are the calls of endpoints for one request of a plain service.
type attempts struct {
	gate    *Gate
	request *request
	results chan result
	// pending counts the calls that have not ended, mayHaveRun those that
	// failed after the endpoint may have run the request.
	pending    int
	mayHaveRun int
	// copies counts the hedges; denied says that one was denied.
	copies int
	denied bool
	// failure is an endpoint's answer that reports a failure, kept while another call of
	// a hedged request is pending.
	failure *result
	lastErr error
}

// servePlain serves a request of a plain service.
func (g *Gate) servePlain(ctx context.Context, q *request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempts{gate: g, request: q, results: make(chan result, maxDeclines+q.route.Attempts)}
	now := time.Now()
	late, lostDelay := g.newHedgeTimer(now, q), g.lostDelay(now, q)
	defer late.stop()
	lost := time.NewTicker(lostDelay)
	defer lost.Stop()
	a.startAttempt(ctx, true, false)
	for a.pending > 0 {
		select {
		case r := <-a.results:
			a.pending--
			if a.receive(ctx, r, late) {
				cancel() // the other endpoint can stop
				g.writeAnswer(q, r.endpoint, r.answer)
				return
			}
		case <-late.C:
			if a.hedge(ctx, time.Now(), late) {
				lost.Reset(lostDelay)
			}
		case <-lost.C:
			if a.failure != nil {
				a.pending = 0 // the other call takes too long
			} else if g.site.Off.On(toggle.Hedges) {
				a.retryLost(ctx, time.Now())
			}
		}
	}
	cancel()
	switch {
	case a.failure != nil:
		g.writeAnswer(q, a.failure.endpoint, a.failure.answer)
	case a.lastErr != nil:
		g.failMayHaveRun(ctx, q, a.lastErr)
	default:
		g.refuseUnplaced(q)
	}
}

// receive handles the end of a call, and reports whether its answer is the one for the
// caller. A failure waits for the other call of a hedged request.
func (a *attempts) receive(ctx context.Context, r result, late *hedgeTimer) bool {
	notRun := errors.Is(r.err, pool.ErrNotSent) || errors.Is(r.err, errDeclined)
	waits := a.copies > 0 && a.pending > 0
	switch {
	case r.err == nil && waits && r.answer.status >= http.StatusInternalServerError:
		a.failure = &r
	case r.err == nil:
		if r.copied {
			a.gate.meters.hedgesWon.Inc()
		}
		return true
	case ctx.Err() == nil && notRun:
		if !r.copied || !waits {
			late.restart(time.Now())
			a.startAttempt(ctx, true, false)
		}
	default:
		a.lastErr = r.err
		a.mayHaveRun++
		if !waits && a.failure == nil && a.mayRunAgain(ctx) {
			a.startAttempt(ctx, true, false)
		}
	}
	return false
}

// refuseUnplaced refuses a request that no endpoint has run.
func (g *Gate) refuseUnplaced(q *request) {
	g.returnAllowance(time.Now(), q)
	if !g.refuseRevoked(q) && !g.refuseBlocked(time.Now(), q) && !g.refuseStopping(q) {
		g.refuse(q, http.StatusServiceUnavailable, "no endpoint of "+q.service.Name+" took it; it has not run")
	}
}

// mayRunAgain reports whether one more endpoint may run the request.
func (a *attempts) mayRunAgain(ctx context.Context) bool {
	return a.request.route.Kind == table.Idempotent && a.mayHaveRun+a.pending < a.request.route.Attempts && ctx.Err() == nil
}

// startAttempt calls an endpoint that has not been tried yet, and reports whether there is
// one. mayWait says whether it may wait for a limited one, copied that the call is a hedge.
func (a *attempts) startAttempt(ctx context.Context, mayWait, copied bool) bool {
	q := a.request
	if len(q.tried) >= maxDeclines+q.route.Attempts || a.gate.blockLeft(time.Now(), q) > 0 || !a.gate.mayBegin(q) {
		return false
	}
	p, ok := a.gate.choose(time.Now(), q, "", mayWait)
	if !ok {
		return false
	}
	q.tried[p.ID] = true
	a.pending++
	go func() {
		r := result{endpoint: p.Entry, err: errPanicked, copied: copied}
		defer func() {
			if v := recover(); v != nil {
				a.gate.meters.panics.Inc()
				a.gate.log.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Str("request", q.ID).Str("endpoint", p.ID).
					Msg("panic; only this call ends")
			}
			a.results <- r
		}()
		r.answer, r.err = a.gate.callEndpoint(ctx, q, p)
	}()
	return true
}

// errPanicked means that a call of an endpoint ended unexpectedly. The endpoint may
// have run it.
var errPanicked = errors.New("gate: unexpected error while an endpoint was called")

const (
	// lostDelaySteps is how many mean call times pass before the answer to an idempotent
	// request is presumed lost.
	lostDelaySteps = 6
	// minLostDelay bounds that delay from below, also if no call time is known.
	minLostDelay = 50 * time.Millisecond
)

// lostDelay returns how long an idempotent request waits for one endpoint before its answer
// is presumed lost. It is longer than the route's aim and than calls usually take now, so
// that load alone does not cause more load.
func (g *Gate) lostDelay(now time.Time, q *request) time.Duration {
	usable := g.fleet.Usable(now, q.service.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	if q.route.Kind == table.Idempotent {
		g.lostRetries.AddCall()
	}
	meanTimes := time.Duration(lostDelaySteps * g.meanStepSeconds(now, usable) * float64(time.Second))
	return max(meanTimes, q.route.FirstByteTarget, minLostDelay)
}

// fullAnswer is an answer that has been read to its end.
type fullAnswer struct {
	status int
	header http.Header
	body   *bulk.Pages
}

// callEndpoint sends a request to one endpoint and reads the whole answer.
func (g *Gate) callEndpoint(ctx context.Context, q *request, p placement) (*fullAnswer, error) {
	e := p.Entry
	defer g.release(e.ID)
	if err := p.awaitLimit(ctx); err != nil {
		return nil, err
	}
	started := time.Now()
	answered := false
	defer func() {
		if !answered && ctx.Err() != nil {
			g.observeCancelled(time.Now(), q, e.ID, time.Since(started))
		}
	}()
	a, err := g.pool.Send(ctx, g.endpointRequest(q, e.Addr, e.ID, q.body))
	if err != nil {
		g.recordFailure(ctx, q, e, err)
		return nil, err
	}
	defer a.Close()
	answer := g.parseAnswer(q, e, a)
	body, err := readAnswer(q, a)
	if answer.NotRun || err != nil {
		body.Release()
	}
	if answer.NotRun {
		g.recordProgress(time.Now(), e.ID)
		return nil, g.recordDecline(q, e, a.Status, answer)
	}
	if err != nil {
		g.recordFailure(ctx, q, e, err)
		return nil, err
	}
	answered = true
	now := time.Now()
	g.observeCall(now, q, now.Sub(started))
	g.recordOutcome(now, e.Service, e.ID, true)
	g.recordProgress(now, e.ID)
	g.addEnd(now, q)
	g.recordStep(now, e.ID, now.Sub(started))
	g.meters.observeSince(g.meters.call, started)
	return &fullAnswer{a.Status, a.Header, body}, nil
}

// readAnswer reads the whole body of an answer that is not a stream.
func readAnswer(q *request, a *pool.Answer) (*bulk.Pages, error) {
	body, err := q.answer.ReadAll(a.Body, maxBufferedBytes)
	if err == nil && body.Len() > maxBufferedBytes {
		err = errors.Mark(errors.Newf("the answer is longer than %d bytes", maxBufferedBytes), pool.ErrMayHaveRun)
	}
	return body, err
}

// parseAnswer reads the headers of an endpoint's answer, and gives the endpoint no new
// work if it is leaving.
func (g *Gate) parseAnswer(q *request, e fleet.Entry, a *pool.Answer) meta.Answer {
	answer := g.dialect.ParseAnswer(a.Status, a.Header)
	if answer.Leaving && g.fleet.MarkLeaving(e.ID, e.StartedAt) {
		g.vaults.exchange.markLeaving(time.Now())
		g.pool.CloseIdle(e.Addr)
		g.meters.leaving.Inc()
		g.log.Info().Str("request", q.ID).Str("endpoint", e.ID).Str("service", e.Service).Str("addr", e.Addr).
			Int64("started", e.StartedAt).Int("status", a.Status).Msg("endpoint says that it is leaving; it gets no new work")
	}
	g.recordLimit(time.Now(), q, e, answer)
	return answer
}

// recordDecline notes that an endpoint did not run a request and returns
// errDeclined.
func (g *Gate) recordDecline(q *request, e fleet.Entry, status int, answer meta.Answer) error {
	if answer.Moved {
		g.fleet.MarkWrongAddress(e.ID)
	}
	g.log.Info().Str("request", q.ID).Str("endpoint", e.ID).Int("status", status).Bool("moved", answer.Moved).Msg("endpoint declined")
	return errors.Wrapf(errDeclined, "%s: %d", e.ID, status)
}

// recordFailure notes that an endpoint failed, unless the call ended because of
// the caller or the deadline.
func (g *Gate) recordFailure(ctx context.Context, q *request, e fleet.Entry, err error) {
	if ctx.Err() != nil {
		return
	}
	g.checkCrash(time.Now(), q, e, err)
	broken := brokenReason(err)
	if broken != "" {
		g.meters.countBroken(broken)
	}
	if g.isCutOff() {
		g.log.Info().Err(err).Str("request", q.ID).Str("endpoint", e.ID).Str("addr", e.Addr).Msg("endpoint not reached while this gate is cut off")
		return
	}
	if errors.Is(err, pool.ErrNotSent) {
		g.recordUnreachable(time.Now(), e.Service, e.ID)
	} else {
		g.recordOutcome(time.Now(), e.Service, e.ID, false)
	}
	line := g.log.Warn().Err(err).Str("request", q.ID).Str("endpoint", e.ID).Str("addr", e.Addr)
	if broken != "" {
		line = line.Str("broken", broken)
	}
	line.Msg("endpoint failed")
}

// writeAnswer sends a whole answer to the caller.
func (g *Gate) writeAnswer(q *request, e fleet.Entry, a *fullAnswer) {
	defer a.body.Release()
	if !q.beginAnswer() {
		g.refuse(q, http.StatusBadGateway, "it may have run: "+bulk.ErrEnded.Error())
		return
	}
	g.meters.countAnswer("done")
	q.addCustomer(g.routine.Info()).Str("request", q.ID).Str("program", q.Program).Str("endpoint", e.ID).Int("status", a.status).
		Dur("after", time.Since(q.started)).Msg("answered")
	h := q.writer.Header()
	copyHeader(h, a.header)
	h.Set("Content-Length", strconv.Itoa(a.body.Len()))
	q.writer.WriteHeader(a.status)
	if _, err := a.body.WriteTo(q.writer); err != nil {
		g.log.Info().Err(err).Str("request", q.ID).Msg("caller left during its answer")
	}
}
