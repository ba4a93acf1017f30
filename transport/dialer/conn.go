package dialer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errWritesBlocked says that nothing more may be written to a connection.
var errWritesBlocked = errors.New("dialer: the connection takes no more writes")

// trackedConn is a connection that knows what was written to it.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// writes counts the writes that were begun; it only rises.
	writes int
	// blocked connections refuse writes; sealing is for good.
	blocked bool
	// sendDeadline is when the next write is too late; the zero time means never.
	sendDeadline time.Time
}

// Write writes unless the connection is sealed or the write would come too late.
func (w *trackedConn) Write(b []byte) (int, error) {
	w.mu.Lock()
	if !w.sendDeadline.IsZero() && time.Now().After(w.sendDeadline) {
		w.blocked = true
	}
	if w.blocked {
		w.mu.Unlock()
		return 0, errWritesBlocked
	}
	w.sendDeadline = time.Time{}
	w.writes++
	w.mu.Unlock()
	return w.Conn.Write(b)
}

// startRequest gives the connection to an attempt, and returns the writes before it.
func (w *trackedConn) startRequest(until time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sendDeadline = until
	return w.writes
}

// blockWrites stops all writing and returns the writes that were begun.
func (w *trackedConn) blockWrites() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocked = true
	return w.writes
}

// requestConns follows the connections that one request gets.
type requestConns struct {
	sendDeadline time.Time

	mu sync.Mutex
	// conns holds each connection with the writes before this attempt.
	conns map[*trackedConn]int
}

// withTrace returns a context by which the attempt hears of its connections.
func (a *requestConns) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		w, ok := i.Conn.(*trackedConn)
		if !ok {
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.conns[w] = w.startRequest(a.sendDeadline)
	}})
}

// stopWrites stops all writing of the attempt and tells whether surely nothing
// of it was written. It is called only after the request has failed.
func (a *requestConns) stopWrites() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	notRun := true
	for w, writesBefore := range a.conns {
		if w.blockWrites() != writesBefore {
			notRun = false
		}
	}
	return notRun
}

// deadlinePassed tells whether nothing was written because it was too deadlinePassed.
func (a *requestConns) deadlinePassed() bool {
	return !a.sendDeadline.IsZero() && time.Now().After(a.sendDeadline)
}

const (
	// maxIdleConns bounds the idle connections kept for one endpoint.
	maxIdleConns = 64
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
)

// newClient returns an HTTP newClient on wires; a single one uses each connection once.
func newClient(o Options, single bool) *http.Client {
	d := net.Dialer{Timeout: o.ConnectTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := d.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &trackedConn{Conn: c}, nil
			},
			DisableKeepAlives:   single,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
		},
		// A redirect would run the call a second time elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
