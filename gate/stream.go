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
	// readBytes is the most read from an endpoint at once; an event has some
	// hundred bytes.
	readBytes = 4 << 10
	// settleTime bounds the note of what a broken turn has spent. Until it is
	// kept, the turn's most counts.
	settleTime = 3 * time.Second
)

// turn is a streamed request on its way.
type turn struct {
	*request
	// text is what the endpoint is to read: the chain and the new input.
	text []byte
	// home is the endpoint that ran the turn before; "" if there is none.
	home string
	// held says that the vaults hold tokens for this turn.
	held bool
	// given counts the events that went to the caller.
	given int
	// output is the data of those events.
	output []byte
}

// stream serves a request that is answered with events.
func (g *Gate) stream(ctx context.Context, q *request) {
	t := &turn{request: q, text: q.body}
	if q.route.KeepsTurns && !g.prepare(ctx, t) {
		return
	}
	for len(q.tried) < declines+q.route.Attempts {
		e, ok := g.choose(time.Now(), q, t.home)
		if !ok {
			break
		}
		q.tried[e.ID] = true
		err := g.run(ctx, t, e)
		switch {
		case err == nil:
			g.finish(ctx, t, e)
			return
		case ctx.Err() == nil && (errors.Is(err, pool.ErrUnsent) || errors.Is(err, errDeclined)):
			continue
		}
		g.abandon(ctx, t, e, err)
		return
	}
	g.settle(t)
	g.refuse(q, http.StatusServiceUnavailable, "no endpoint of "+q.service.Name+" took it; it has not run")
}

// prepare gets the chain and notes what the turn may spend.
func (g *Gate) prepare(ctx context.Context, t *turn) bool {
	hold := &chains.Hold{Program: t.Program, Turn: t.ID, MaxTokens: t.MaxOutputTokens, Retention: keepFactor * t.route.Retention}
	budget := t.Budget
	if t.Program == "" || t.MaxOutputTokens == 0 {
		budget = -1
	}
	t.held = budget >= 0
	chain, err := g.bank.open(ctx, hold, budget, t.Previous)
	switch {
	case errors.Is(err, errSpent):
		g.settle(t)
		g.refuse(t.request, http.StatusPaymentRequired, err.Error())
		return false
	case errors.Is(err, errUnknown):
		g.settle(t)
		g.refuse(t.request, http.StatusNotFound, err.Error())
		return false
	case err != nil:
		g.settle(t)
		g.refuse(t.request, http.StatusServiceUnavailable, "its chain or budget is not certain; it has not run: "+err.Error())
		return false
	}
	if len(chain) > 0 {
		t.home = chain[len(chain)-1].Endpoint
		t.text = chains.BuildInput(chain, t.body)
	}
	return true
}

// run sends a turn to one endpoint and passes its events on. Without an error
// the answer was whole, and its end has not been passed on yet.
func (g *Gate) run(ctx context.Context, t *turn, e fleet.Entry) error {
	defer g.release(e.ID)
	a, err := g.pool.Send(ctx, g.sending(t.request, e.Addr, e.ID, t.text))
	if err != nil {
		g.blame(ctx, t.request, e, err)
		return err
	}
	defer a.Close()
	said := g.dialect.ParseAnswer(a.Status, a.Header)
	if said.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, readBytes)) // so that the connection can be kept
		return g.declined(t.request, e, a.Status, said)
	}
	if a.Status != http.StatusOK {
		return g.pass(t, a)
	}
	if err := g.relay(t, a, e); err != nil {
		g.blame(ctx, t.request, e, err)
		return err
	}
	g.judged(time.Now(), e.Service, e.ID, true)
	return nil
}

// errPassed means that the endpoint's own failure went to the caller.
var errPassed = errors.New("gate: the endpoint answered with a failure")

// pass gives the caller an endpoint's answer that is no stream.
func (g *Gate) pass(t *turn, a *pool.Answer) error {
	body, err := io.ReadAll(io.LimitReader(a.Body, holdBytes))
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

// relay passes events on as they come, whole ones only.
func (g *Gate) relay(t *turn, a *pool.Answer, e fleet.Entry) error {
	var split events.Splitter
	control := http.NewResponseController(t.writer)
	buffer := make([]byte, readBytes)
	last := time.Now()
	for {
		n, err := a.Body.Read(buffer)
		if whole, count := split.Add(buffer[:n]); count > 0 {
			now := time.Now()
			g.heard(now, e.ID)
			if t.given == 0 {
				copyHeader(t.writer.Header(), a.Header)
				t.writer.WriteHeader(a.Status)
				g.meters.since(g.meters.first, t.begun)
			} else {
				g.paced(now, e.ID, now.Sub(last)/time.Duration(count))
			}
			last = now
			t.given += count
			t.output = events.AppendData(t.output, whole)
			if _, err := t.writer.Write(whole); err != nil {
				return errors.Wrap(err, "caller")
			}
			if err := control.Flush(); err != nil {
				return errors.Wrap(err, "caller")
			}
		}
		switch {
		case errors.Is(err, io.EOF) && split.Buffered() > 0:
			return errors.Mark(errors.New("the stream ended within an event"), pool.ErrBroken)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// finish makes a turn last and then ends its answer.
func (g *Gate) finish(ctx context.Context, t *turn, e fleet.Entry) {
	if t.given == 0 {
		t.writer.WriteHeader(http.StatusOK)
	}
	if t.route.KeepsTurns {
		kept := &chains.Turn{
			ID: t.ID, Previous: t.Previous, Program: t.Program, Endpoint: e.ID, Input: t.body, Output: t.output,
			Used: t.given * t.service.TokensPerEvent, Retention: t.route.Retention,
		}
		if err := g.bank.record(ctx, kept); err != nil {
			g.settle(t)
			g.cut(t, errors.Wrap(err, "the turn could not be kept"))
		}
	}
	g.meters.answered("done")
	g.meters.since(g.meters.whole, t.begun)
	g.routine.Info().Str("request", t.ID).Str("program", t.Program).Str("previous", t.Previous).Str("endpoint", e.ID).
		Int("events", t.given).Dur("after", time.Since(t.begun)).Msg("streamed")
}

// abandon ends a turn that broke off at an endpoint.
func (g *Gate) abandon(ctx context.Context, t *turn, e fleet.Entry, err error) {
	g.settle(t)
	switch {
	case errors.Is(err, errPassed):
		g.meters.answered("passed")
		g.log.Warn().Err(err).Str("request", t.ID).Str("endpoint", e.ID).Msg("endpoint's failure passed on")
	case t.given > 0:
		g.cut(t, err)
	default:
		g.failed(ctx, t.request, err)
	}
}

// cut breaks off a stream that has begun, so that it does not look complete.
func (g *Gate) cut(t *turn, err error) {
	g.meters.cutOff.Inc()
	g.log.Warn().Err(err).Str("request", t.ID).Str("program", t.Program).Int("events", t.given).
		Dur("after", time.Since(t.begun)).Msg("stream cut")
	panic(http.ErrAbortHandler)
}

// settle notes in the background what a turn has spent that did not end whole.
func (g *Gate) settle(t *turn) {
	if !t.held {
		return
	}
	s := &chains.Spent{Program: t.Program, Turn: t.ID, Used: t.given * t.service.TokensPerEvent, Retention: keepFactor * t.route.Retention}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		if err := g.bank.settle(ctx, s); err != nil {
			g.log.Warn().Err(err).Str("request", s.Turn).Str("program", s.Program).Int("used", s.Used).
				Msg("spending not settled; its most counts")
		}
	}()
}
