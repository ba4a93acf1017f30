package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/protocol/meta"
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
}

// servePlain serves a request of a plain service.
func (g *Gate) servePlain(ctx context.Context, q *request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempts{gate: g, request: q, results: make(chan result, maxDeclines+q.route.Attempts)}
	a.startAttempt(ctx, true)
	hedge := time.NewTicker(g.hedgeDelay(time.Now(), q))
	defer hedge.Stop()
	var lastErr error
	for a.pending > 0 {
		select {
		case r := <-a.results:
			a.pending--
			switch {
			case r.err == nil:
				g.writeAnswer(q, r.endpoint, r.answer)
				return
			case ctx.Err() == nil && (errors.Is(r.err, pool.ErrNotSent) || errors.Is(r.err, errDeclined)):
				a.startAttempt(ctx, true)
			default:
				lastErr = r.err
				a.mayHaveRun++
				a.startAnother(ctx, true)
			}
		case <-hedge.C:
			if g.site.Off.On(toggle.Hedges) {
				a.startAnother(ctx, false)
			}
		}
	}
	if lastErr != nil {
		g.failMayHaveRun(ctx, q, lastErr)
		return
	}
	g.refuseUnplaced(q)
}

// refuseUnplaced refuses a request that no endpoint has run.
func (g *Gate) refuseUnplaced(q *request) {
	g.returnAllowance(time.Now(), q)
	if !g.refuseRevoked(q) && !g.refuseBlocked(time.Now(), q) {
		g.refuse(q, http.StatusServiceUnavailable, "no endpoint of "+q.service.Name+" took it; it has not run")
	}
}

// startAnother starts one more call if the request may run once more.
func (a *attempts) startAnother(ctx context.Context, mayWait bool) {
	if a.request.route.Kind == table.Idempotent && a.mayHaveRun+a.pending < a.request.route.Attempts && ctx.Err() == nil {
		a.startAttempt(ctx, mayWait)
	}
}

// startAttempt calls an endpoint that has not been tried yet, if there is one. mayWait
// says whether it may wait for a limited one.
func (a *attempts) startAttempt(ctx context.Context, mayWait bool) {
	q := a.request
	if len(q.tried) >= maxDeclines+q.route.Attempts || a.gate.blockLeft(time.Now(), q) > 0 {
		return
	}
	p, ok := a.gate.choose(time.Now(), q, "", mayWait)
	if !ok {
		return
	}
	q.tried[p.ID] = true
	a.pending++
	go func() {
		r := result{endpoint: p.Entry, err: errPanicked}
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
}

// errPanicked means that a call of an endpoint ended unexpectedly. The endpoint may
// have run it.
var errPanicked = errors.New("gate: unexpected error while an endpoint was called")

const (
	// hedgeDelaySteps is how many mean call times pass before a second endpoint
	// is sent the same idempotent request.
	hedgeDelaySteps = 6
	// minHedgeDelay bounds that delay from below, also if no call time is
	// known.
	minHedgeDelay = 50 * time.Millisecond
)

// hedgeDelay returns how long an idempotent request waits for one endpoint
// before another one is called as well. It is longer than the route's aim and
// than calls usually take now, so that load alone does not cause more load.
func (g *Gate) hedgeDelay(now time.Time, q *request) time.Duration {
	usable := g.fleet.Usable(now, q.service.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	meanTimes := time.Duration(hedgeDelaySteps * g.meanStepSeconds(now, usable) * float64(time.Second))
	return max(meanTimes, q.route.FirstByteTarget, minHedgeDelay)
}

// fullAnswer is an answer that has been read to its end.
type fullAnswer struct {
	status int
	header http.Header
	body   []byte
}

// callEndpoint sends a request to one endpoint and reads the whole answer.
func (g *Gate) callEndpoint(ctx context.Context, q *request, p placement) (*fullAnswer, error) {
	e := p.Entry
	defer g.release(e.ID)
	if err := p.awaitLimit(ctx); err != nil {
		return nil, err
	}
	started := time.Now()
	a, err := g.pool.Send(ctx, g.endpointRequest(q, e.Addr, e.ID, q.body))
	if err != nil {
		g.recordFailure(ctx, q, e, err)
		return nil, err
	}
	defer a.Close()
	answer := g.parseAnswer(q, e, a)
	body, err := readAnswer(a)
	if answer.NotRun {
		g.recordProgress(time.Now(), e.ID)
		return nil, g.recordDecline(q, e, a.Status, answer)
	}
	if err != nil {
		g.recordFailure(ctx, q, e, err)
		return nil, err
	}
	now := time.Now()
	g.recordOutcome(now, e.Service, e.ID, true)
	g.recordProgress(now, e.ID)
	g.addEnd(now, q)
	g.recordStep(now, e.ID, now.Sub(started))
	g.meters.observeSince(g.meters.call, started)
	return &fullAnswer{a.Status, a.Header, body}, nil
}

// readAnswer reads the whole body of an answer that is not a stream.
func readAnswer(a *pool.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes+1))
	if err == nil && len(body) > maxBufferedBytes {
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
	if g.isCutOff() {
		g.log.Info().Err(err).Str("request", q.ID).Str("endpoint", e.ID).Str("addr", e.Addr).Msg("endpoint not reached while this gate is cut off")
		return
	}
	if errors.Is(err, pool.ErrNotSent) {
		g.recordUnreachable(time.Now(), e.Service, e.ID)
	} else {
		g.recordOutcome(time.Now(), e.Service, e.ID, false)
	}
	g.log.Warn().Err(err).Str("request", q.ID).Str("endpoint", e.ID).Str("addr", e.Addr).Msg("endpoint failed")
}

// writeAnswer sends a whole answer to the caller.
func (g *Gate) writeAnswer(q *request, e fleet.Entry, a *fullAnswer) {
	g.meters.countAnswer("done")
	q.addCustomer(g.routine.Info()).Str("request", q.ID).Str("program", q.Program).Str("endpoint", e.ID).Int("status", a.status).
		Dur("after", time.Since(q.started)).Msg("answered")
	h := q.writer.Header()
	copyHeader(h, a.header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	q.writer.WriteHeader(a.status)
	if _, err := io.Copy(q.writer, bytes.NewReader(a.body)); err != nil {
		g.log.Info().Err(err).Str("request", q.ID).Msg("caller left during its answer")
	}
}
