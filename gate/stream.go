package gate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/protocol/events"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/transport/pool"
)

const (
	// readBytes is the most that is read from an endpoint at once. An event has
	// some hundred bytes.
	readBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 256 << 10
	// settleTime bounds the attempts to record what a turn has spent. Until
	// that is recorded, the turn's maximum counts as spent.
	settleTime = 3 * time.Second
)

// turn is a request that is answered with a stream of events.
type turn struct {
	*request
	// promptText is the endpoint's input: the chain and the new input.
	promptText []byte
	// previousEndpoint is the endpoint that ran the chain's previous turn, or
	// "".
	previousEndpoint string
	// hasHold says that the vaults hold tokens of the budget for this turn.
	hasHold bool
	// begun says that part of an answer was sent to the caller. eventsSent counts the
	// events with data in it.
	begun      bool
	eventsSent int
	// output is the data of those events.
	output []byte
}

// serveStream serves a request that is answered with events.
func (g *Gate) serveStream(ctx context.Context, q *request) {
	t := &turn{request: q, promptText: q.body}
	if q.route.KeepsTurns && !g.prepareTurn(ctx, t) {
		return
	}
	for len(q.tried) < maxDeclines+q.route.Attempts && g.blockLeft(time.Now(), q) == 0 {
		p, ok := g.choose(time.Now(), q, t.previousEndpoint, true)
		if !ok {
			break
		}
		q.tried[p.ID] = true
		err := g.runTurn(ctx, t, p)
		switch {
		case err == nil:
			g.finishTurn(ctx, t, p.Entry)
			return
		case ctx.Err() == nil && (errors.Is(err, pool.ErrNotSent) || errors.Is(err, errDeclined)):
			continue
		}
		g.abandonTurn(ctx, t, p.Entry, err)
		return
	}
	g.settleTurn(t)
	g.refuseUnplaced(q)
}

// prepareTurn reads the chain and has the vaults hold the tokens that the turn
// may spend. It reports whether the turn may run; if not, the caller has been
// refused.
func (g *Gate) prepareTurn(ctx context.Context, t *turn) bool {
	hold := &chains.Hold{Program: t.Program, Turn: t.ID, MaxTokens: t.MaxOutputTokens, Retention: keepFactor * t.route.Retention}
	budget := t.Budget
	if t.Program == "" || t.MaxOutputTokens == 0 {
		budget = -1
	}
	t.hasHold = budget >= 0
	chain, err := g.vaults.openTurn(ctx, hold, budget, t.Previous)
	switch {
	case errors.Is(err, errSpent):
		g.settleTurn(t)
		g.refuse(t.request, http.StatusPaymentRequired, err.Error())
		return false
	case errors.Is(err, errUnknown):
		g.settleTurn(t)
		g.refuse(t.request, http.StatusNotFound, err.Error())
		return false
	case err != nil:
		g.settleTurn(t)
		g.refuse(t.request, http.StatusServiceUnavailable, "its chain or budget is not certain; it has not run: "+err.Error())
		return false
	}
	if len(chain) > 0 {
		t.previousEndpoint = chain[len(chain)-1].Endpoint
		t.promptText = chains.BuildInput(chain, t.body)
	}
	return true
}

// runTurn sends a turn to one endpoint and relays its events. Without an error
// the stream was complete, and the caller's answer has not been ended yet.
func (g *Gate) runTurn(ctx context.Context, t *turn, p placement) error {
	e := p.Entry
	defer g.release(e.ID)
	if err := p.awaitLimit(ctx); err != nil {
		return err
	}
	sent := time.Now()
	a, err := g.pool.Send(ctx, g.endpointRequest(t.request, e.Addr, e.ID, t.promptText))
	if err != nil {
		g.recordFailure(ctx, t.request, e, err)
		return err
	}
	defer a.Close()
	answer := g.parseAnswer(t.request, e, a)
	if answer.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, readBytes)) // lets the connection be reused
		return g.recordDecline(t.request, e, a.Status, answer)
	}
	if a.Status != http.StatusOK {
		return g.passFailure(t, a)
	}
	if err := g.relayEvents(t, a, p, sent); err != nil {
		g.recordFailure(ctx, t.request, e, err)
		return err
	}
	now := time.Now()
	g.recordOutcome(now, e.Service, e.ID, true)
	g.addEnd(now, t.request)
	return nil
}

// errPassed means that the endpoint answered with a failure, which was sent to
// the caller.
var errPassed = errors.New("gate: the endpoint answered with a failure")

// passFailure sends an endpoint's answer that is not a stream to the caller.
func (g *Gate) passFailure(t *turn, a *pool.Answer) error {
	body, err := readAnswer(a)
	if err != nil {
		return err
	}
	copyHeader(t.writer.Header(), a.Header)
	t.writer.WriteHeader(a.Status)
	if _, err := t.writer.Write(body); err != nil {
		g.log.Info().Err(err).Str("request", t.ID).Msg("caller left during its answer")
	}
	return errors.Wrapf(errPassed, "status %d", a.Status)
}

// relayEvents sends events to the caller as they arrive, complete events only.
func (g *Gate) relayEvents(t *turn, a *pool.Answer, p placement, sent time.Time) error {
	e := p.Entry
	var split events.Splitter
	var firstEvent time.Duration
	control := http.NewResponseController(t.writer)
	buffer := make([]byte, readBytes)
	lastEvent := time.Now()
	for {
		n, err := a.Body.Read(buffer)
		if complete, count := split.Add(buffer[:n]); len(complete) > 0 {
			if !t.begun {
				copyHeader(t.writer.Header(), a.Header)
				t.writer.WriteHeader(a.Status)
				t.begun = true
			}
			if count > 0 {
				now := time.Now()
				g.recordProgress(now, e.ID)
				if t.eventsSent == 0 {
					g.meters.observeSince(g.meters.firstEvent, t.started)
					firstEvent = now.Sub(sent)
				} else {
					g.recordStep(now, e.ID, now.Sub(lastEvent)/time.Duration(count))
				}
				lastEvent = now
				t.eventsSent += count
			}
			t.output = events.AppendData(t.output, complete)
			if _, err := t.writer.Write(complete); err != nil {
				return errors.Wrap(err, "caller")
			}
			if err := control.Flush(); err != nil {
				return errors.Wrap(err, "caller")
			}
		}
		switch {
		case split.Buffered() > maxEventBytes || len(t.output) > maxBufferedBytes:
			return errors.Mark(errors.New("the stream has no end, or an event in it"), pool.ErrMayHaveRun)
		case errors.Is(err, io.EOF) && split.Buffered() > 0:
			return errors.Mark(errors.Wrap(io.ErrUnexpectedEOF, "the stream ended within an event"), pool.ErrMayHaveRun)
		case errors.Is(err, io.EOF):
			g.recordCall(p, firstEvent, lastEvent.Sub(sent))
			return nil
		case err != nil:
			return err
		}
	}
}

// finishTurn records a complete turn at the vaults. Returning ends the caller's
// answer, so the answer ends only once the turn is kept.
func (g *Gate) finishTurn(ctx context.Context, t *turn, e fleet.Entry) {
	if !t.begun {
		t.writer.WriteHeader(http.StatusOK)
	}
	if t.route.KeepsTurns {
		record := &chains.Turn{
			ID: t.ID, Previous: t.Previous, Program: t.Program, Endpoint: e.ID, Input: t.body, Output: t.output,
			Used: t.eventsSent * t.service.TokensPerEvent, Retention: t.route.Retention,
		}
		if err := g.vaults.recordTurn(ctx, record); err != nil {
			g.settleTurn(t)
			g.cutStream(t, errors.Wrap(err, "the turn could not be kept"))
		}
	}
	g.meters.countAnswer("done")
	g.meters.observeSince(g.meters.stream, t.started)
	g.routine.Info().Str("request", t.ID).Str("program", t.Program).Str("previous", t.Previous).Str("endpoint", e.ID).
		Int("events", t.eventsSent).Dur("after", time.Since(t.started)).Msg("streamed")
}

// abandonTurn ends a turn that failed at an endpoint.
func (g *Gate) abandonTurn(ctx context.Context, t *turn, e fleet.Entry, err error) {
	g.settleTurn(t)
	switch {
	case errors.Is(err, errPassed):
		g.meters.countAnswer("passed")
		g.log.Warn().Err(err).Str("request", t.ID).Str("endpoint", e.ID).Msg("endpoint's failure sent to the caller")
	case t.begun:
		g.cutStream(t, err)
	default:
		g.failMayHaveRun(ctx, t.request, err)
	}
}

// cutStream aborts the connection of a stream that has begun, so that the
// stream does not look complete.
func (g *Gate) cutStream(t *turn, err error) {
	g.meters.streamsCut.Inc()
	g.log.Warn().Err(err).Str("request", t.ID).Str("program", t.Program).Int("events", t.eventsSent).
		Dur("after", time.Since(t.started)).Msg("stream cut")
	panic(http.ErrAbortHandler)
}

// settleTurn records in the background what an incomplete turn has spent.
func (g *Gate) settleTurn(t *turn) {
	if !t.hasHold {
		return
	}
	s := &chains.Spent{Program: t.Program, Turn: t.ID, Used: t.eventsSent * t.service.TokensPerEvent, Retention: keepFactor * t.route.Retention}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		if err := g.vaults.settle(ctx, s); err != nil {
			g.log.Warn().Err(err).Str("request", s.Turn).Str("program", s.Program).Int("used", s.Used).
				Msg("turn not settled; its maximum counts as spent")
		}
	}()
}
