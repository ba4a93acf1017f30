package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/protocol/meta"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/transport/pool"
)

const (
	// declines bounds the endpoints that may decline one request, or not be
	// reached, beside those that run it.
	declines = 4
	// holdBytes is the largest answer that is read whole before the caller gets
	// its head; a broken one can then still be replaced or owned up to.
	holdBytes = 1 << 20
)

// errDeclined means that the endpoint did not run the request.
var errDeclined = errors.New("gate: the endpoint declined")

// result is how a call of one endpoint ended.
type result struct {
	endpoint fleet.Entry
	answer   *whole
	err      error
}

// attempts are the calls for one request of a plain service.
type attempts struct {
	gate    *Gate
	request *request
	results chan result
	// under is the calls that have not ended, ran those that may have run.
	under int
	ran   int
}

// plain serves a request of a plain service.
func (g *Gate) plain(ctx context.Context, q *request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempts{gate: g, request: q, results: make(chan result, declines+q.route.Attempts)}
	a.launch(ctx)
	hedge := time.NewTicker(g.patience(time.Now(), q))
	defer hedge.Stop()
	var last error
	for a.under > 0 {
		select {
		case r := <-a.results:
			a.under--
			switch {
			case r.err == nil:
				g.deliver(q, r.endpoint, r.answer)
				return
			case ctx.Err() == nil && (errors.Is(r.err, pool.ErrUnsent) || errors.Is(r.err, errDeclined)):
				a.launch(ctx)
			default:
				last = r.err
				a.ran++
				a.again(ctx)
			}
		case <-hedge.C:
			a.again(ctx)
		}
	}
	if last != nil {
		g.failed(ctx, q, last)
		return
	}
	g.refuse(q, http.StatusServiceUnavailable, "no endpoint of "+q.service.Name+" took it; it has not run")
}

// again begins one more call if the request may run once more.
func (a *attempts) again(ctx context.Context) {
	if a.request.route.Kind == table.Idempotent && a.ran+a.under < a.request.route.Attempts && ctx.Err() == nil {
		a.launch(ctx)
	}
}

// launch calls an endpoint that has not been asked yet, if there is one.
func (a *attempts) launch(ctx context.Context) {
	q := a.request
	if len(q.tried) >= declines+q.route.Attempts {
		return
	}
	e, ok := a.gate.choose(time.Now(), q, "")
	if !ok {
		return
	}
	q.tried[e.ID] = true
	a.under++
	go func() {
		answer, err := a.gate.callOnce(ctx, q, e)
		a.results <- result{e, answer, err}
	}()
}

const (
	// patienceSteps is how many times the usual time of a call a second endpoint
	// waits before it is asked for the same idempotent request.
	patienceSteps = 6
	// patienceLeast bounds that time where nothing is known.
	patienceLeast = 50 * time.Millisecond
)

// patience returns how long an idempotent request waits for one endpoint before
// another is asked as well: past its aim, and longer than calls usually take now,
// so that load alone does not double itself.
func (g *Gate) patience(now time.Time, q *request) time.Duration {
	usable := g.fleet.Usable(now, q.service.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	usual := time.Duration(patienceSteps * g.usualPace(now, usable) * float64(time.Second))
	return max(usual, q.route.FirstByteTarget, patienceLeast)
}

// whole is an answer that has been read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// callOnce sends a request to one endpoint and reads the whole answer.
func (g *Gate) callOnce(ctx context.Context, q *request, e fleet.Entry) (*whole, error) {
	defer g.release(e.ID)
	begun := time.Now()
	a, err := g.pool.Send(ctx, g.sending(q, e.Addr, e.ID, q.body))
	if err != nil {
		g.blame(ctx, q, e, err)
		return nil, err
	}
	defer a.Close()
	said := g.dialect.ParseAnswer(a.Status, a.Header)
	body, err := io.ReadAll(io.LimitReader(a.Body, holdBytes))
	if said.NotRun {
		g.heard(time.Now(), e.ID)
		return nil, g.declined(q, e, a.Status, said)
	}
	if err != nil {
		g.blame(ctx, q, e, err)
		return nil, err
	}
	now := time.Now()
	g.judged(now, e.Service, e.ID, true)
	g.heard(now, e.ID)
	g.paced(now, e.ID, now.Sub(begun))
	g.meters.since(g.meters.plain, begun)
	return &whole{a.Status, a.Header, body}, nil
}

// declined notes that an endpoint did not run a request.
func (g *Gate) declined(q *request, e fleet.Entry, status int, said meta.Answer) error {
	if said.Moved {
		g.fleet.MarkWrongAddress(e.ID)
	}
	g.log.Info().Str("request", q.ID).Str("endpoint", e.ID).Int("status", status).Bool("moved", said.Moved).Msg("endpoint declined")
	return errors.Wrapf(errDeclined, "%s: %d", e.ID, status)
}

// blame notes that an endpoint failed, unless the caller or the deadline ended it.
func (g *Gate) blame(ctx context.Context, q *request, e fleet.Entry, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, pool.ErrUnsent) {
		g.unreached(time.Now(), e.Service, e.ID)
	} else {
		g.judged(time.Now(), e.Service, e.ID, false)
	}
	g.log.Warn().Err(err).Str("request", q.ID).Str("endpoint", e.ID).Str("addr", e.Addr).Msg("endpoint failed")
}

// deliver gives the caller a whole answer.
func (g *Gate) deliver(q *request, e fleet.Entry, a *whole) {
	g.meters.answered("done")
	g.routine.Info().Str("request", q.ID).Str("program", q.Program).Str("endpoint", e.ID).Int("status", a.status).
		Dur("after", time.Since(q.begun)).Msg("answered")
	h := q.writer.Header()
	copyHeader(h, a.header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	q.writer.WriteHeader(a.status)
	if _, err := io.Copy(q.writer, bytes.NewReader(a.body)); err != nil {
		g.log.Info().Err(err).Str("request", q.ID).Msg("caller left during its answer")
	}
}
