package gate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/protocol/events"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/bulk"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/homes"
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
	// defaultRetention is how long a turn's program may pause if the route does not say.
	defaultRetention = time.Minute
	// longTurn is the size from which the vaults are told of a turn's input before it runs.
	longTurn = 64 << 10
	// clockMargin is how much longer a turn is kept than its route says: a vault's time of day may
	// differ from that of the vault that wrote the turn, or be set meanwhile, and the turn counts
	// from the end of its answer, after it was written.
	clockMargin = 5 * time.Second
)

// turn is a request that is answered with a stream of events.
type turn struct {
	*request
	// promptText is the endpoint's input: the chain and the new input.
	promptText []byte
	// root is the first turn of the chain that the turn continues, or "".
	root string
	// previousEndpoint is the endpoint that ran the chain's previous turn, or
	// "".
	previousEndpoint string
	// ahead is how many calls of its service waited at this gate when the turn began to wait.
	ahead int
	// hasHold says that the vaults hold tokens of the budget for this turn.
	hasHold bool
	// begun says that part of an answer was sent to the caller. eventsSent counts the
	// events with data in it.
	begun      bool
	eventsSent int
	// output is the data of those events, if the vaults keep the turn. outputBytes is its size
	// in any case.
	output      []byte
	outputBytes int
	// idleBytes counts what was passed on since the last event with data.
	idleBytes int
}

// serveStream serves a request that is answered with events.
func (g *Gate) serveStream(ctx context.Context, q *request) {
	t := &turn{request: q, promptText: q.body}
	t.underWay = t.Previous != ""
	if t.Previous != "" && !g.takeAllowance(ctx, time.Now(), q, false) {
		return
	}
	if (q.route.KeepsTurns || t.hasBudget()) && !g.prepareTurn(ctx, t) {
		g.returnAllowance(time.Now(), q)
		return
	}
	if t.Previous == "" && !g.takeAllowance(ctx, time.Now(), q, !t.underWay) {
		g.settleTurn(t, nil)
		return
	}
	g.recallHome(time.Now(), t)
	if !g.admit(ctx, t) {
		return
	}
	for len(q.tried) < maxDeclines+q.route.Attempts && g.blockLeft(time.Now(), q) == 0 && g.mayBegin(q) {
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
			if g.mayResend(time.Now(), q) {
				continue
			}
			g.settleTurn(t, nil)
			g.refuseUnplaced(q)
			return
		}
		g.abandonTurn(ctx, t, p.Entry, err)
		return
	}
	g.settleTurn(t, nil)
	g.refuseUnplaced(q)
}

// hasBudget reports whether the turn's tokens count against a program's budget.
func (q *request) hasBudget() bool { return q.Budget >= 0 && q.Program != "" && q.MaxOutputTokens > 0 }

// turnRetention returns how long a turn is kept from when it is written.
func (q *request) turnRetention() time.Duration { return q.route.Retention + q.retentionMargin() }

// retentionMargin returns how much longer a turn is kept than its route says: until a turn that
// was sent in time and continues it has been recorded.
func (q *request) retentionMargin() time.Duration { return clockMargin + timeLimit(q.route) }

// accountRetention returns how long the account of a turn's program is kept.
func (q *request) accountRetention() time.Duration {
	if q.route.Retention <= 0 {
		return keepFactor * defaultRetention
	}
	return keepFactor * q.route.Retention
}

// prepareTurn reads the chain and has the vaults hold the tokens that the turn
// may spend. It reports whether the turn may run; if not, the caller has been
// refused.
func (g *Gate) prepareTurn(ctx context.Context, t *turn) bool {
	if t.route.KeepsTurns && !take(t.holder, int64(len(t.body))) { // for the message to the vaults
		g.refuseUnread(t.request, http.StatusServiceUnavailable, errNoRoom.Error()+"; it has not run")
		return false
	}
	if t.hasBudget() && t.MaxOutputTokens > t.Budget {
		g.refuse(t.request, http.StatusPaymentRequired, errSpent.Error())
		return false
	}
	t.hasHold = t.hasBudget()
	wanted, fetched := t.wantedOpening(), 0
	wanted.room = func(bytes int) bool {
		if !take(t.holder, int64(bytes)) {
			return false
		}
		fetched += bytes
		return true
	}
	defer func() { give(t.holder, int64(fetched)) }() // the prompt is a copy
	result, err := g.vaults.openTurn(ctx, wanted)
	if err != nil {
		// A vault that is full has kept nothing, so only what others hold is settled.
		t.hasHold = t.hasHold && (result.held || !errors.Is(err, errFull))
		g.settleTurn(t, nil)
		g.refuseOpening(t.request, err)
		return false
	}
	if chain := result.chain; len(chain) > 0 {
		if !take(t.holder, int64(chains.InputBytes(chain, t.body))) {
			g.settleTurn(t, nil)
			g.refuseUnread(t.request, http.StatusServiceUnavailable, errNoRoom.Error()+"; it has not run")
			return false
		}
		t.previousEndpoint, t.root = chain[len(chain)-1].Endpoint, chain[0].ID
		t.promptText = chains.BuildInput(chain, t.body)
	}
	if h := result.home; h != nil {
		t.home = homes.Home{Endpoint: h.Endpoint, StartedAt: h.StartedAt, Tokens: h.Tokens}
	}
	t.underWay, t.age = t.underWay || result.underWay, result.age
	return true
}

// wantedOpening returns what the vaults are asked before the turn runs.
func (q *request) wantedOpening() opening {
	wanted := opening{
		hold:   &chains.Hold{Program: q.account(), Turn: q.ID, MaxTokens: q.MaxOutputTokens, Retention: q.accountRetention()},
		budget: -1, owner: q.customerName(), margin: q.retentionMargin(),
	}
	if q.hasBudget() {
		wanted.budget = q.Budget
	}
	if !q.route.KeepsTurns {
		wanted.session = q.Session
		return wanted
	}
	wanted.previous = q.Previous
	if len(q.body) >= longTurn {
		wanted.size = len(q.body)
	}
	return wanted
}

// refuseOpening refuses a turn whose chain or budget is missing, spent or not certain.
func (g *Gate) refuseOpening(q *request, err error) {
	switch {
	case errors.Is(err, errSpent):
		g.refuse(q, http.StatusPaymentRequired, err.Error())
	case errors.Is(err, errUnknown):
		g.refuse(q, http.StatusNotFound, err.Error())
	case errors.Is(err, errNoRoom):
		g.refuseUnread(q, http.StatusServiceUnavailable, err.Error()+"; it has not run")
	case errors.Is(err, errFull):
		g.refuse(q, http.StatusServiceUnavailable, err.Error()+"; it has not run")
	default:
		g.refuse(q, http.StatusServiceUnavailable, "its chain or budget is not certain; it has not run: "+err.Error())
	}
}

// recallHome takes the home of the turn's session from this gate's own turns, if no vault
// named one. The vaults are asked only for turns that have a budget.
func (g *Gate) recallHome(now time.Time, t *turn) {
	if t.route.KeepsTurns || t.home.Endpoint != "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t.home, _ = g.homes.Get(now, t.account(), t.Session)
}

// rememberHome notes that an endpoint has run the turn to its end and returns what the
// vaults are told of it, nil if the system keeps the turn's chain or it has no session.
func (g *Gate) rememberHome(now time.Time, t *turn, e fleet.Entry) *vaults.Home {
	if t.route.KeepsTurns || t.Session == "" {
		return nil
	}
	tokens := t.PromptTokens + t.usedTokens()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.homes.Put(now, t.account(), t.Session, homes.Home{Endpoint: e.ID, StartedAt: e.StartedAt, Tokens: tokens})
	return &vaults.Home{Program: t.account(), Session: t.Session, Endpoint: e.ID, StartedAt: e.StartedAt, Tokens: tokens}
}

// usedTokens returns the tokens that the caller got.
func (t *turn) usedTokens() int { return t.eventsSent * t.service.TokensPerEvent }

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
	g.recordServed(now, t.request)
	g.recordTurnEnd(now, t)
	return nil
}

// errPassed means that the endpoint answered with a failure, which was sent to
// the caller.
var errPassed = errors.New("gate: the endpoint answered with a failure")

// passFailure sends an endpoint's answer that is not a stream to the caller.
func (g *Gate) passFailure(t *turn, a *pool.Answer) error {
	body, err := readAnswer(t.request, a)
	if err != nil {
		return err
	}
	defer body.Release()
	if !t.beginAnswer() {
		return errors.Mark(bulk.ErrEnded, pool.ErrMayHaveRun)
	}
	copyHeader(t.writer.Header(), a.Header)
	t.writer.WriteHeader(a.Status)
	if _, err := body.WriteTo(t.writer); err != nil {
		g.log.Info().Err(err).Str("request", t.ID).Msg("caller left during its answer")
	}
	return errors.Wrapf(errPassed, "status %d", a.Status)
}

// begin sends the status and headers of an endpoint's answer to the caller, once.
func (t *turn) begin(a *pool.Answer) {
	if t.begun {
		return
	}
	t.beginAnswer() // an answer that has been given up ends with the next read
	copyHeader(t.writer.Header(), a.Header)
	t.writer.WriteHeader(a.Status)
	t.begun = true
}

// addOutput adds the data of complete events to the turn's output.
func (t *turn) addOutput(complete []byte) {
	if !t.route.KeepsTurns {
		t.outputBytes += len(complete)
		return
	}
	t.output = events.AppendData(t.output, complete)
	t.outputBytes = len(t.output)
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
		held := len(t.output) + split.Buffered()
		if complete, count := split.Add(buffer[:n]); len(complete) > 0 {
			t.begin(a)
			t.idleBytes += len(complete)
			if count > 0 {
				t.idleBytes = 0
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
			t.addOutput(complete)
			if _, err := t.writer.Write(complete); err != nil {
				return errors.Wrap(err, "caller")
			}
			if err := control.Flush(); err != nil {
				return errors.Wrap(err, "caller")
			}
		}
		t.answer.Grow(max(0, len(t.output)+split.Buffered()-held))
		switch {
		case split.Buffered() > maxEventBytes || t.idleBytes > maxEventBytes || t.outputBytes > maxBufferedBytes:
			return errors.Mark(errors.New("the stream has no end, or an event in it"), pool.ErrMayHaveRun)
		case errors.Is(err, io.EOF) && split.Buffered() > 0:
			return errors.Mark(errors.Wrap(io.ErrUnexpectedEOF, "the stream ended within an event"), pool.ErrMayHaveRun)
		case errors.Is(err, io.EOF):
			t.begin(a) // a stream that is resumed after its last event has none
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
	if t.route.KeepsTurns {
		record := &chains.Turn{
			ID: t.ID, Previous: t.Previous, Program: t.account(), Endpoint: e.ID, Input: t.body, Output: t.output,
			Used: t.usedTokens(), Retention: t.turnRetention(),
			Owner: t.customerName(), Root: t.root,
		}
		if err := g.vaults.recordTurn(ctx, record); err != nil {
			g.settleTurn(t, nil)
			g.cutStream(t, errors.Wrap(err, "the turn could not be kept"))
		}
	} else {
		g.settleTurn(t, g.rememberHome(time.Now(), t, e))
	}
	g.meters.countAnswer("done")
	g.meters.observeSince(g.meters.stream, t.started)
	t.addCustomer(g.routine.Info()).Str("request", t.ID).Str("program", t.Program).Str("previous", t.Previous).Str("endpoint", e.ID).
		Int("events", t.eventsSent).Dur("after", time.Since(t.started)).Msg("streamed")
}

// abandonTurn ends a turn that failed at an endpoint.
func (g *Gate) abandonTurn(ctx context.Context, t *turn, e fleet.Entry, err error) {
	g.settleTurn(t, nil)
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

// settleTurn records in the background what a turn that is not kept has spent, and where
// it ran unless home is nil.
func (g *Gate) settleTurn(t *turn, home *vaults.Home) {
	if !t.hasHold {
		return
	}
	s := &chains.Spent{Program: t.account(), Turn: t.ID, Used: t.usedTokens(), Retention: t.accountRetention()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		if err := g.vaults.settle(ctx, s, home); err != nil {
			g.log.Warn().Err(err).Str("request", s.Turn).Str("program", t.Program).Int("used", s.Used).
				Msg("turn not settled; its maximum counts as spent")
		}
	}()
}
