package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/protocol/talk"
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

// plain serves a request of a plain service.
func (g *Gate) plain(ctx context.Context, q *request) {
	runs := 0
	for len(q.tried) < declines+q.route.Attempts {
		e, ok := g.choose(time.Now(), q, "")
		if !ok {
			break
		}
		q.tried[e.ID] = true
		answer, err := g.callOnce(ctx, q, e)
		if err == nil {
			g.deliver(q, e, answer)
			return
		}
		if ctx.Err() == nil && (errors.Is(err, pool.ErrUnsent) || errors.Is(err, errDeclined)) {
			continue
		}
		runs++
		if q.route.Kind != table.Idempotent || runs >= q.route.Attempts || ctx.Err() != nil {
			g.failed(ctx, q, err)
			return
		}
	}
	if runs > 0 {
		g.failed(ctx, q, errors.New("no other endpoint"))
		return
	}
	g.refuse(q, http.StatusServiceUnavailable, "no endpoint of "+q.service.Name+" took it; it has not run")
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
	a, err := g.pool.Send(ctx, g.sending(q, e.Addr, e.ID, -1, q.body))
	if err != nil {
		g.blame(ctx, q, e, err)
		return nil, err
	}
	defer a.Close()
	said := g.dialect.Answer(a.Status, a.Header)
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
func (g *Gate) declined(q *request, e fleet.Entry, status int, said talk.Answer) error {
	if said.Moved {
		g.fleet.Refute(e.ID)
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
