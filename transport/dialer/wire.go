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

// errSealed says that nothing more may be written to a connection.
var errSealed = errors.New("dialer: the connection takes no more writes")

// wire is a connection that knows what was written to it.
type wire struct {
	net.Conn

	mu sync.Mutex
	// writes counts the writes that were begun; it only rises.
	writes int
	// sealed connections refuse writes; sealing is for good.
	sealed bool
	// until is when the next write is too late; the zero time means never.
	until time.Time
}

// Write writes unless the connection is sealed or the write would come too late.
func (w *wire) Write(b []byte) (int, error) {
	w.mu.Lock()
	if !w.until.IsZero() && time.Now().After(w.until) {
		w.sealed = true
	}
	if w.sealed {
		w.mu.Unlock()
		return 0, errSealed
	}
	w.until = time.Time{}
	w.writes++
	w.mu.Unlock()
	return w.Conn.Write(b)
}

// begin gives the connection to an attempt, and returns the writes before it.
func (w *wire) begin(until time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.until = until
	return w.writes
}

// seal stops all writing and returns the writes that were begun.
func (w *wire) seal() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sealed = true
	return w.writes
}

// attempt follows the connections that one request gets.
type attempt struct {
	until time.Time

	mu sync.Mutex
	// wires holds each connection with the writes before this attempt.
	wires map[*wire]int
}

// trace returns a context by which the attempt hears of its connections.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		w, ok := i.Conn.(*wire)
		if !ok {
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.wires[w] = w.begin(a.until)
	}})
}

// untouched stops all writing of the attempt and tells whether surely nothing
// of it was written. It is called only after the request has failed.
func (a *attempt) untouched() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	clean := true
	for w, before := range a.wires {
		if w.seal() != before {
			clean = false
		}
	}
	return clean
}

// late tells whether nothing was written because it was too late.
func (a *attempt) late() bool { return !a.until.IsZero() && time.Now().After(a.until) }

const (
	// maxIdle bounds the idle connections kept for one endpoint.
	maxIdle = 64
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
)

// client returns an HTTP client on wires; a single one uses each connection once.
func client(o Options, single bool) *http.Client {
	d := net.Dialer{Timeout: o.ConnectTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := d.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return &wire{Conn: c}, nil
			},
			DisableKeepAlives:   single,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
		},
		// A redirect would run the call a second time elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
