package gate

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/quota"
	"github.com/cowslipstage/cowslipstage/protocol/meta"
	"github.com/cowslipstage/cowslipstage/state/bulk"
	"github.com/cowslipstage/cowslipstage/state/homes"
	"github.com/cowslipstage/cowslipstage/state/keys"
	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/transport/intake"
	"github.com/cowslipstage/cowslipstage/transport/pool"
)

const (
	// retryAfterMin and retryAfterSpread set when a refused caller may retry:
	// soon enough for its deadline, and spread so that callers refused together
	// do not return together.
	retryAfterMin    = 100 * time.Millisecond
	retryAfterSpread = 200 * time.Millisecond
	// retryElsewhereMin and retryElsewhereSpread replace them when only this
	// gate cannot serve. Callers then retry through another gate.
	retryElsewhereMin    = 10 * time.Millisecond
	retryElsewhereSpread = 40 * time.Millisecond
	// defaultTimeout bounds requests whose route and caller say nothing.
	defaultTimeout = time.Minute
	// replyMargin is subtracted from the time that an endpoint gets, so that
	// the answer can still reach the caller.
	replyMargin = 5 * time.Millisecond
)

// request is one caller's request while it is served.
type request struct {
	meta.Request
	httpRequest *http.Request
	writer      http.ResponseWriter
	// log is where a refusal is logged, nil for the gate's log.
	log *zerolog.Logger
	// holder is where what is held for the request is booked.
	holder *memory.Holder
	route  *table.Route
	// customer is nil if the configuration has no customers, or if the route is public and
	// the request has no known key.
	customer *keys.Customer
	// counted says that the request counts against its customer's quota.
	counted bool
	// service is the service that the route chose for this request.
	service table.Service
	body    []byte
	// answer counts what is held of the endpoints' answers. answering is set once the caller's has
	// begun.
	answer    *bulk.Answer
	answering atomic.Bool
	started   time.Time
	// deadline is the caller's or the route's, whichever is earlier.
	deadline time.Time
	// version is the version of the routes, for the log.
	version uint64
	// home is where the prompt of the request's session is probably cached. Its endpoint
	// is "" if that is not known.
	home homes.Home
	// underWay reports whether the request's program has run turns before.
	underWay bool
	// age is how long ago the program first asked for a turn, as far as that is known.
	age time.Duration
	// tried holds the endpoints that were sent the request, or could not be
	// reached.
	tried map[string]bool
	// admission says that the request is admitted by the room at its endpoints.
	admission bool
	// importance is the place of the request's customer and route among all, 1 for the
	// most important.
	importance float64
	// retryAfter is when a refused caller may come back, 0 for the usual time.
	retryAfter time.Duration
	// limitWait is how long the request would have to wait for an endpoint, if all
	// that were left had reached their limits.
	limitWait time.Duration
	// blockLeft is how much longer the request is blocked because it crashes endpoints.
	blockLeft time.Duration
}

// serve handles one request from a caller.
func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if !g.acceptsCallers() {
		w.Header().Set("Connection", "close")
	}
	q := &request{httpRequest: r, writer: w, holder: intake.Holder(r.Context()), started: time.Now(), tried: map[string]bool{}}
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
	if !g.authenticate(q, t) {
		return
	}
	timeout := timeLimit(q.route)
	if q.TimeLeft > 0 && (q.route.Timeout <= 0 || q.TimeLeft < timeout) {
		timeout = q.TimeLeft
	}
	q.deadline = q.started.Add(timeout)
	if !g.readBody(q, t.Limits()) || g.refuseBlocked(q.started, q) {
		return
	}
	q.admission, q.importance = g.controlsAdmission(q.route), t.Importance(q.customer, q.route)
	q.service, _ = t.Service(q.route.PickService(g.randomFloat()))
	if g.refuseStopping(q) {
		return
	}
	ctx, cancel := g.requestContext(q)
	defer cancel()
	switch q.route.Kind {
	case table.Stream:
		g.serveStream(ctx, q)
	case table.Idempotent, table.Unsafe:
		if g.takeAllowance(ctx, time.Now(), q, false) { // tools belong to programs in progress
			g.servePlain(ctx, q)
		}
	}
}

// errStopped and bulk.ErrEnded are the reasons for which this gate ends requests in progress.
var errStopped = errors.New("gate: its time to stop is over")

// requestContext returns the context in which a request is served. The request must not be
// served beyond its end.
func (g *Gate) requestContext(q *request) (context.Context, context.CancelFunc) {
	ended, end := context.WithCancelCause(q.httpRequest.Context())
	ctx, cancel := context.WithDeadline(ended, q.deadline)
	detach := context.AfterFunc(g.ended, func() { end(errStopped) })
	q.answer = g.bulk.Open(func() {
		end(bulk.ErrEnded)
		if q.answering.Load() {
			intake.CutAnswer(q.httpRequest.Context())
		}
	})
	return ctx, func() {
		q.answer.Close()
		detach()
		cancel()
		end(nil)
	}
}

// beginAnswer notes that the caller's answer begins, and reports whether it may: what is held of the
// endpoint's may have been given up.
func (q *request) beginAnswer() bool {
	q.answering.Store(true)
	return !q.answer.Ended()
}

// mayBegin reports whether a request may be sent to an endpoint: not if it could be cut there
// because this gate is being stopped.
func (g *Gate) mayBegin(q *request) bool { return g.halt.Load().MayBegin(q.deadline) }

// refuseStopping refuses a request that may not be sent to an endpoint any more. Nothing has run
// it, so its caller can send it to another gate.
func (g *Gate) refuseStopping(q *request) bool {
	if g.mayBegin(q) {
		return false
	}
	g.refuse(q, http.StatusServiceUnavailable, "this gate is being stopped; it has not run")
	return true
}

// timeLimit returns how long a request of a route may take.
func timeLimit(r *table.Route) time.Duration {
	if r.Timeout <= 0 {
		return defaultTimeout
	}
	return r.Timeout
}

// randomFloat returns a random number in [0, 1).
func (g *Gate) randomFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}

// endpointRequest builds the request that is sent to an endpoint.
func (g *Gate) endpointRequest(q *request, addr, endpoint string, body []byte) pool.Request {
	header := q.httpRequest.Header.Clone()
	f := meta.Forwarded{Endpoint: endpoint, TimeLeft: time.Until(q.deadline) - replyMargin, Customer: q.customerName()}
	g.dialect.Forward(header, f)
	target := q.httpRequest.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = q.httpRequest.URL.RequestURI()
	}
	return pool.Request{
		Addr: addr, Method: q.httpRequest.Method, Target: target, Host: q.httpRequest.Host, Header: header, Body: body,
		AtMostOnce: q.route.Kind != table.Idempotent,
		ID:         q.ID,
		AnswerID:   func(h http.Header) string { return g.dialect.ParseAnswer(http.StatusOK, h).ID },
	}
}

// refuse answers a request with a status of this gate's own.
func (g *Gate) refuse(q *request, status int, reason string) {
	g.meters.countAnswer(strconv.Itoa(status))
	log := &g.log
	if q.log != nil {
		log = q.log
	}
	e := q.addCustomer(log.Warn()).Str("request", q.ID).Str("program", q.Program).Int("status", status).Str("reason", reason).
		Uint64("version", q.version).Dur("after", time.Since(q.started))
	if q.route != nil {
		e = e.Str("route", q.route.Name)
	}
	e.Msg("refused")
	h := q.writer.Header()
	if g.stopping() {
		h.Set("Connection", "close")
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		wait := g.retryWait(!g.acceptsCallers() || q.limitWait >= quota.Never)
		if q.limitWait < quota.Never {
			wait = max(wait, q.limitWait)
		}
		if q.retryAfter > 0 {
			wait = q.retryAfter
		}
		if q.blockLeft > 0 {
			wait = q.blockLeft
		}
		h.Set(g.dialect.RetryHeader(), formatSeconds(wait))
	}
	h.Set("Content-Type", "text/plain")
	q.writer.WriteHeader(status)
	if _, err := io.WriteString(q.writer, reason+"\n"); err != nil {
		g.log.Debug().Err(err).Str("request", q.ID).Msg("caller left before it got its refusal")
	}
}

// retryWait returns after how long a refused caller may retry, soon if another gate can serve it.
func (g *Gate) retryWait(elsewhere bool) time.Duration {
	if elsewhere {
		return retryElsewhereMin + time.Duration(g.randomFloat()*float64(retryElsewhereSpread))
	}
	return retryAfterMin + time.Duration(g.randomFloat()*float64(retryAfterSpread))
}

// retryAfter returns the header for a caller that is refused since this gate has no room for it.
func (g *Gate) retryAfter() (name, value string) {
	return g.dialect.RetryHeader(), formatSeconds(g.retryWait(true))
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// callerLimits returns the operators' bounds on callers, or the default ones where they set none.
func (g *Gate) callerLimits() intake.Limits {
	l := intake.DefaultLimits
	t := g.table.Load()
	if t == nil {
		return l
	}
	set := t.Limits()
	if set.Header > 0 {
		l.HeadBytes = set.Header
	}
	if set.HeaderTime > 0 {
		l.HeadTime = set.HeaderTime
	}
	if set.IdleTime > 0 {
		l.IdleTime = set.IdleTime
	}
	return l
}

// hopHeaders are the headers of an answer that concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade"}

// copyHeader copies an endpoint's headers to the caller's answer, without
// hop-by-hop headers.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopHeaders, name) {
			to[name] = values
		}
	}
}

// failMayHaveRun answers a request that an endpoint may have run but did not
// answer. It panics with http.ErrAbortHandler if the caller has left.
func (g *Gate) failMayHaveRun(ctx context.Context, q *request, err error) {
	switch {
	case q.httpRequest.Context().Err() != nil:
		g.meters.countAnswer("left")
		g.log.Info().Str("request", q.ID).Dur("after", time.Since(q.started)).Msg("caller left")
		panic(http.ErrAbortHandler)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		g.refuse(q, http.StatusGatewayTimeout, "not answered in time; it may have run: "+err.Error())
	default:
		if cause := context.Cause(ctx); errors.IsAny(cause, errStopped, bulk.ErrEnded) {
			err = cause
		}
		g.refuse(q, http.StatusBadGateway, "it may have run: "+err.Error())
	}
}
