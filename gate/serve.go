package gate

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/protocol/meta"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/transport/pool"
)

const (
	// backFirst and backSpread are when a refused caller may come again: soon
	// enough for its deadline, spread so that those refused together do not
	// return together.
	backFirst  = 100 * time.Millisecond
	backSpread = 200 * time.Millisecond
	// awayFirst and awaySpread are the same where only this gate cannot serve:
	// callers come back through another one.
	awayFirst  = 10 * time.Millisecond
	awaySpread = 40 * time.Millisecond
	// defaultBody bounds a body where the operators name no limit.
	defaultBody = 4 << 20
	// wayTime is kept from the time that an endpoint gets, for the answer's way.
	wayTime = 5 * time.Millisecond
)

// request is one caller's request on its way.
type request struct {
	meta.Request
	caller *http.Request
	writer http.ResponseWriter
	route  *table.Route
	// service is the route's for this request.
	service table.Service
	body    []byte
	begun   time.Time
	// deadline is the caller's or the route's, whichever is first.
	deadline time.Time
	// version is the table's, for the log.
	version uint64
	// tried are the endpoints that were asked, or could not be.
	tried map[string]bool
}

// serve takes one request from a caller.
func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if !g.takes() {
		w.Header().Set("Connection", "close")
	}
	q := &request{caller: r, writer: w, begun: time.Now(), tried: map[string]bool{}}
	t := g.table.Load()
	if t == nil {
		g.refuse(q, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	var err error
	if q.Request, err = g.dialect.ParseRequest(r.Header); err != nil {
		g.refuse(q, http.StatusBadRequest, err.Error())
		return
	}
	q.version = t.Version()
	if q.route = t.Find(r.Host, r.URL.EscapedPath()); q.route == nil {
		g.refuse(q, http.StatusNotFound, "no route")
		return
	}
	if !g.read(q, t.Limits()) {
		return
	}
	left := q.route.Timeout
	if q.TimeLeft > 0 && (left <= 0 || q.TimeLeft < left) {
		left = q.TimeLeft
	}
	if left <= 0 {
		left = time.Minute
	}
	q.deadline = q.begun.Add(left)
	q.service, _ = t.Service(q.route.PickService(g.draw()))
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	switch q.route.Kind {
	case table.Stream:
		g.stream(ctx, q)
	case table.Idempotent, table.Unsafe:
		g.plain(ctx, q)
	}
}

func (g *Gate) draw() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}

// read reads the whole body: it is sent to more than one endpoint, or kept.
func (g *Gate) read(q *request, limits table.Limits) bool {
	bound := limits.Body
	if bound <= 0 {
		bound = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.writer, q.caller.Body, bound))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		g.refuse(q, http.StatusRequestEntityTooLarge, "body over the limit")
		return false
	case err != nil:
		g.refuse(q, http.StatusBadRequest, "body not read: "+err.Error())
		return false
	}
	q.body = body
	return true
}

// sending returns the request as it goes to an endpoint.
func (g *Gate) sending(q *request, addr, endpoint string, body []byte) pool.Request {
	header := q.caller.Header.Clone()
	g.dialect.Forward(header, meta.Forwarded{Endpoint: endpoint, TimeLeft: time.Until(q.deadline) - wayTime})
	target := q.caller.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = q.caller.URL.RequestURI()
	}
	return pool.Request{
		Addr: addr, Method: q.caller.Method, Target: target, Host: q.caller.Host, Header: header, Body: body,
		Once: q.route.Kind != table.Idempotent,
		Belongs: func(h http.Header) bool {
			id := g.dialect.ParseAnswer(http.StatusOK, h).ID
			return id == "" || id == q.ID
		},
	}
}

// refuse ends a request with a status of this gate's own.
func (g *Gate) refuse(q *request, status int, reason string) {
	g.meters.answered(strconv.Itoa(status))
	e := g.log.Warn().Str("request", q.ID).Str("program", q.Program).Int("status", status).Str("reason", reason).
		Uint64("version", q.version).Dur("after", time.Since(q.begun))
	if q.route != nil {
		e = e.Str("route", q.route.Name)
	}
	e.Msg("refused")
	h := q.writer.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		wait := backFirst + time.Duration(g.draw()*float64(backSpread))
		if !g.takes() {
			wait = awayFirst + time.Duration(g.draw()*float64(awaySpread))
		}
		h.Set(g.dialect.RetryHeader(), strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain")
	q.writer.WriteHeader(status)
	if _, err := io.WriteString(q.writer, reason+"\n"); err != nil {
		g.log.Debug().Err(err).Str("request", q.ID).Msg("caller left before its refusal")
	}
}

// hop are the headers of an answer that concern one connection only.
var hop = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade"}

// copyHeader gives the caller the endpoint's headers.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hop, name) {
			to[name] = values
		}
	}
}

// failed ends a request whose outcome at an endpoint is not known.
func (g *Gate) failed(ctx context.Context, q *request, err error) {
	switch {
	case q.caller.Context().Err() != nil:
		g.meters.answered("left")
		g.log.Info().Str("request", q.ID).Dur("after", time.Since(q.begun)).Msg("caller left")
		panic(http.ErrAbortHandler)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		g.refuse(q, http.StatusGatewayTimeout, "not answered in time; it may have run: "+err.Error())
	default:
		g.refuse(q, http.StatusBadGateway, "it may have run: "+err.Error())
	}
}
