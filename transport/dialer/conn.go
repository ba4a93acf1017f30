package dialer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/transport/whole"
)

// errWritesBlocked is returned by writes to a connection that accepts no more.
var errWritesBlocked = errors.New("dialer: writes to the connection are blocked")

// trackedConn is a connection that counts its writes and can block further ones.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// writes counts the writes started; it only grows. begun is its value when the current request began.
	writes, begun int
	// blocked connections refuse all further writes.
	blocked bool
	// sendDeadline is the latest time for the next write; zero means no limit.
	sendDeadline time.Time
}

// Write writes unless writes are blocked or the send deadline has passed. net/http gives an answer up if the
// write of its request fails, but the endpoint may have answered before; so a write to an endpoint that takes no
// more succeeds once a part of the request has been written, and the reads tell how the connection ended.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if !c.sendDeadline.IsZero() && time.Now().After(c.sendDeadline) {
		c.blocked = true
	}
	if c.blocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.sendDeadline = time.Time{}
	c.writes++
	partWritten := c.writes > c.begun+1
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	var number syscall.Errno
	if partWritten && errors.As(err, &number) {
		return len(b), nil
	}
	return n, err
}

// startRequest assigns the connection to a request and returns the number of earlier
// writes.
func (c *trackedConn) startRequest(sendDeadline time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendDeadline, c.begun = sendDeadline, c.writes
	return c.writes
}

// blockWrites stops all further writes and returns the number of writes started.
func (c *trackedConn) blockWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return c.writes
}

// requestConns tracks the connections that net/http uses for one request.
type requestConns struct {
	sendDeadline time.Time

	mu sync.Mutex
	// conns maps each connection to its number of writes before this request.
	conns map[*trackedConn]int
}

// withTrace returns a context that records the connections used for the request.
func (r *requestConns) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*trackedConn)
		if !ok {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.conns[c] = c.startRequest(r.sendDeadline)
	}})
}

// stopWrites blocks further writes of the request and reports whether none was
// started. It is called only after the request has failed.
func (r *requestConns) stopWrites() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	notRun := true
	for c, writesBefore := range r.conns {
		if c.blockWrites() != writesBefore {
			notRun = false
		}
	}
	return notRun
}

// deadlinePassed reports whether the send deadline has passed.
func (r *requestConns) deadlinePassed() bool {
	return !r.sendDeadline.IsZero() && time.Now().After(r.sendDeadline)
}

const (
	// maxIdleConns bounds the idle connections kept for one endpoint.
	maxIdleConns = 64
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
)

// newClient returns an HTTP client that tracks its connections. With single, it uses
// each connection for one request.
func newClient(o Options, single bool) *http.Client {
	dial := whole.Dialer(&net.Dialer{Timeout: o.ConnectTimeout})
	return &http.Client{
		Transport: whole.Transport(&http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &trackedConn{Conn: c}, nil
			},
			DisableKeepAlives:   single,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
		}),
		// Following a redirect would run the call a second time elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
