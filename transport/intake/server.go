// Package intake (transport layer) serves HTTP/1.1 to clients that need not behave. It reads a
// request's head itself and hands it to net/http only when it is whole and what it takes is booked:
// a head of many short lines takes many times its length once it is parsed. Connections, the time
// that clients take and the memory of what they send have bounds; beyond them, the client that
// holds most for longest without progress is ended.
//
// It also closes idle connections without aborting a request that has just been read. Shutdown of
// net/http closes a connection that it assumes idle although first bytes may have been read.
package intake

import (
	"context"
	"crypto/tls"
	"fmt"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/transport/window"
)

const (
	// ConnBytes is what an open connection takes without a request: its goroutine and buffers.
	ConnBytes = 20 << 10
	// servingBytes is what a request takes in addition while it is served. Meanwhile its client may send
	// more, and an endpoint's answer may arrive faster than it is passed on.
	servingBytes = 16<<10 + 2*window.Bytes
	// lineBytes is what each header line takes, parsed and copied once.
	lineBytes = 256
	// MaxHeadBytes is the highest bound on heads.
	MaxHeadBytes = 1 << 20
	// sweepEvery is the pause between two looks for clients that take too long.
	sweepEvery = time.Second
	// loggedEvery and loggedMost bound the log lines on refused clients.
	loggedEvery = time.Second
	loggedMost  = 5
)

// Limits bounds what a client may send.
type Limits struct {
	// HeadBytes bounds a request's header lines, and its first line as well.
	HeadBytes int
	// HeadTime is how long a head may take from its first byte, IdleTime how long a client may do
	// nothing, between requests, in a body or while it is answered.
	HeadTime, IdleTime time.Duration
}

// DefaultLimits are in force where no others are. No client within the users' limits meets them.
var DefaultLimits = Limits{HeadBytes: 64 << 10, HeadTime: 5 * time.Second, IdleTime: time.Minute}

const (
	// briefBytes and briefConns bound a listener for brief requests.
	briefBytes = 4 << 20
	briefConns = 32
)

// briefLimits are the limits of a listener for brief requests.
var briefLimits = Limits{HeadBytes: 8 << 10, HeadTime: DefaultLimits.HeadTime, IdleTime: DefaultLimits.IdleTime}

// NewBrief returns a server of a listener for brief requests, such as those of a load balancer, that
// are answered whatever comes at other listeners.
func NewBrief(next http.Handler, name string, set *metrics.Set, log zerolog.Logger) *Server {
	return New(next, Options{
		Name: name, Budget: memory.New(briefBytes), Conns: briefConns, Limits: func() Limits { return briefLimits }, Set: set, Log: log,
	})
}

// Options configures a Server.
type Options struct {
	// Name names the listener in the log and in metrics.
	Name string
	// Budget is what the clients' connections and heads are booked in, and Conns how many
	// connections there are at most; 0 for any number.
	Budget *memory.Budget
	Conns  int
	// Limits returns the limits in force; nil for DefaultLimits.
	Limits func() Limits
	// RetryAfter returns the header that tells a client refused for want of memory when to come
	// back; nil for none.
	RetryAfter func() (name, value string)
	Set        *metrics.Set
	Log        zerolog.Logger
}

// reason is why a client was refused or ended.
type reason string

const (
	connectionsFull reason = "connections"
	memoryFull      reason = "memory"
	longHead        reason = "head"
	malformed       reason = "malformed"
	slowHead        reason = "slow head"
	slowBody        reason = "slow body"
	slowReader      reason = "slow reader"
	// ended: another client needed the room.
	ended reason = "ended"
)

// Server serves one listener. It is safe for concurrent use.
type Server struct {
	options Options
	group   *memory.Group
	http    *http.Server
	log     zerolog.Logger

	// refused counts the clients that were refused or ended.
	refused map[reason]*metrics.Counter

	mu    sync.Mutex
	conns map[*conn]struct{}
	// sweeping is set while a sweep is due.
	sweeping bool
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// New returns a server that passes requests to a handler.
func New(next http.Handler, o Options) *Server {
	if o.Limits == nil {
		o.Limits = func() Limits { return DefaultLimits }
	}
	s := &Server{options: o, group: o.Budget.Group(o.Conns), conns: map[*conn]struct{}{}, refused: map[reason]*metrics.Counter{}}
	for _, r := range []reason{connectionsFull, memoryFull, longHead, malformed, slowHead, slowBody, slowReader, ended} {
		s.refused[r] = o.Set.GetOrCreateCounter(fmt.Sprintf("cowslipstage_clients_refused_total{listener=%q,reason=%q}", o.Name, r))
	}
	s.log = o.Log.With().Str("listener", o.Name).Logger().Sample(&zerolog.BurstSampler{Burst: loggedMost, Period: loggedEvery})
	s.http = &http.Server{
		Handler: handler{next}, MaxHeaderBytes: 3 * MaxHeadBytes, ConnState: s.connState, ErrorLog: log.New(s.log, "", 0),
		ConnContext: func(ctx context.Context, n net.Conn) context.Context { return context.WithValue(ctx, connKey{}, n) },
	}
	return s
}

// Holder returns where further memory for the request of a context is booked. It is nil if the
// request did not come through a Server.
func Holder(ctx context.Context) *memory.Holder {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.holder
	}
	return nil
}

// CutAnswer ends the answer to the request of a context, also while it is being written.
func CutAnswer(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.cutWrite()
	}
}

// handler prepares requests for the next handler.
type handler struct{ next http.Handler }

// ServeHTTP serves one request.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		if c.isLast() {
			w.Header().Set("Connection", "close")
		}
		if t, ok := c.Conn.(*tls.Conn); ok {
			state := t.ConnectionState()
			r.TLS = &state
		}
	}
	h.next.ServeHTTP(w, r)
}

// Listen listens for clients, each of which may have so many bytes arrive that are not read.
func Listen(addr string, unread int) (net.Listener, error) {
	config := net.ListenConfig{Control: window.Control(unread)}
	return config.Listen(context.Background(), "tcp", addr)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(listener{l, s}) }

// Shutdown closes idle connections and waits for the others until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listeners and all connections.
func (s *Server) Close() error { return s.http.Close() }

// listener accepts connections for a server.
type listener struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection for which there is room.
func (l listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.open(time.Now(), n); c != nil {
			return c, nil
		}
		_ = n.Close() // nothing of it was read
	}
}

// open returns the connection to a client, nil if there is no room for it.
func (s *Server) open(now time.Time, n net.Conn) *conn {
	c := &conn{Conn: n, server: s, wake: make(chan struct{}, 1)}
	addr, _, err := net.SplitHostPort(n.RemoteAddr().String())
	if err != nil {
		addr = n.RemoteAddr().String()
	}
	var ok bool
	if c.holder, ok = s.group.Open(now, addr, ConnBytes, c.end); !ok {
		s.note(connectionsFull, addr)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if !s.sweeping {
		s.sweeping = true
		time.AfterFunc(sweepEvery, s.sweep)
	}
	return c
}

// note counts and logs that a client was refused or ended.
func (s *Server) note(r reason, client string) {
	s.refused[r].Inc()
	s.log.Warn().Str("reason", string(r)).Str("client", client).Msg("client refused or ended")
}

// sweep ends the clients that take too long.
func (s *Server) sweep() {
	now := time.Now()
	limits := s.options.Limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if r := c.overdue(now, limits); r != "" {
			s.note(r, c.RemoteAddr().String())
		}
	}
	if s.sweeping = len(s.conns) > 0; s.sweeping {
		time.AfterFunc(sweepEvery, s.sweep)
	}
}

// CloseIdle closes the connections on which no request has started and returns the number of
// busy ones.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.conns {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

// connState follows net/http's view of a connection.
func (s *Server) connState(n net.Conn, state http.ConnState) {
	c, ok := n.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.endRequest(time.Now())
	case http.StateHijacked:
		c.hijack()
	}
}

// forget stops counting a connection that is closed.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// ErrEnded means that a request was not read to its end, because its client took too long or too
// much.
var ErrEnded = errors.New("intake: the request did not arrive in time, or there is no room for it")
