// Package pool (transport layer) sends requests to endpoints over reused HTTP/1.1
// connections and distinguishes requests that were not sent from those that may
// have run. The client of net/http can't: it retries requests by itself and takes
// a late answer for the answer to the next request.
package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/cowslipstage/cowslipstage/transport/whole"
	"github.com/cowslipstage/cowslipstage/transport/window"
)

// The errors of a failed request.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("pool: not sent")
	// ErrMayHaveRun means that the endpoint may have run the request.
	ErrMayHaveRun = errors.New("pool: no usable answer")
)

const (
	// dialTimeout bounds connecting. TCP resends a lost SYN only after a second;
	// trying another endpoint is faster.
	dialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint
	// sends no Keep-Alive timeout. idleTimeoutShare is the part used of a sent one.
	defaultIdleTimeout = 3 * time.Second
	idleTimeoutShare   = 0.7
	// maxFreshAge is the maximum idle time of a connection for a request that must
	// not run twice: an endpoint may have dropped an older one unnoticed.
	maxFreshAge = time.Second
	// ackTimeout is how long sent bytes may stay unacknowledged, or unread with full
	// windows. A sound host may be silent for a second or so.
	ackTimeout = 2 * time.Second
	// keepaliveIdle, keepaliveInterval and keepaliveCount set the TCP keepalive
	// probes, which detect a host without power within about two seconds. ackTimeout
	// decides when they give up, too, whatever their count.
	keepaliveIdle     = time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 2
	// maxInlineBytes is the largest body that is written before the answer is
	// read. It fits the smallest TCP windows.
	maxInlineBytes = 8 << 10
	// maxForeignAnswers bounds the skipped answers to earlier requests.
	maxForeignAnswers = 3
	// maxForeignBytes bounds the body of one. An endpoint in trouble may send bytes without end.
	maxForeignBytes = 1 << 20
)

var keepalive = net.KeepAliveConfig{Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveCount}

// Request is one request to one endpoint.
type Request struct {
	Addr   string
	Method string
	// Target is the path and query, unchanged from the caller's request.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce is set for requests that must not run twice.
	AtMostOnce bool
	// ID identifies the request, and AnswerID returns the request that an answer's
	// headers name, or "". Without AnswerID, answers are not checked.
	ID       string
	AnswerID func(h http.Header) string
}

// Answer is an endpoint's answer. Close it when done.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is complete.
	Body io.Reader

	pool *Pool
	addr string
	conn *conn
	// complete is set once the body was read to its end.
	complete bool
	// framed is set if the body's end is marked by a length or by chunks.
	framed     bool
	closeConn  bool
	stopCancel func() bool
}

type conn struct {
	net.Conn
	reader      *whole.Reader
	lastUsed    time.Time
	idleTimeout time.Duration
	// relayed connections carry one request only.
	relayed bool
	// reused is set once the connection has carried an earlier request.
	reused bool
	// writeDone receives the result of a background write of the body; nil if there
	// is none.
	writeDone chan error
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialled *metrics.Counter
	reused  *metrics.Counter
	stale   *metrics.Counter
	dial    DialFunc

	mu   sync.Mutex
	idle map[string][]*conn
}

// DialFunc connects to an endpoint. relayed says that the connection leads through another
// host; it then carries one request only.
type DialFunc func(ctx context.Context, addr string) (conn net.Conn, relayed bool, err error)

// Direct is the DialFunc without relays.
func Direct(ctx context.Context, addr string) (net.Conn, bool, error) {
	conn, err := Dial(ctx, addr)
	return conn, false, err
}

// New returns an empty pool that opens connections with dial.
func New(set *metrics.Set, dial DialFunc) *Pool {
	return &Pool{
		dial:    dial,
		idle:    map[string][]*conn{},
		dialled: set.NewCounter("cowslipstage_endpoint_connections_total"),
		reused:  set.NewCounter("cowslipstage_endpoint_connections_reused_total"),
		stale:   set.NewCounter("cowslipstage_endpoint_connections_stale_total"),
	}
}

// Send sends a request and returns the head of its answer. When ctx ends, the
// connection is closed, also while the body is read.
func (p *Pool) Send(ctx context.Context, r Request) (*Answer, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "pool: %s", r.Addr), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // a pending read then fails
	writeErr := c.write(r)
	a, err := c.read(r) // the endpoint may have answered before the write failed
	switch {
	case err == nil:
		a.pool, a.addr, a.stopCancel = p, r.Addr, stop
		a.closeConn = a.closeConn || writeErr != nil
		return a, nil
	case writeErr != nil:
		err = errors.Wrapf(writeErr, "pool: writing to %s", r.Addr)
	default:
		err = errors.Wrapf(err, "pool: reading from %s", r.Addr)
	}
	stop()
	_ = c.Close() // the error is reported
	return nil, errors.Mark(err, ErrMayHaveRun)
}

// HasFreshConn reports whether an idle connection to an address is fresh enough for
// any request. It does not probe the connection.
func (p *Pool) HasFreshConn(now time.Time, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	if len(idle) == 0 {
		return false
	}
	c := idle[len(idle)-1]
	return now.Sub(c.lastUsed) < min(c.idleTimeout, maxFreshAge)
}

// acquire returns an idle connection that is still open, or a new one.
func (p *Pool) acquire(ctx context.Context, r Request) (*conn, error) {
	now := time.Now()
	for {
		p.mu.Lock()
		idle := p.idle[r.Addr]
		if len(idle) == 0 {
			p.mu.Unlock()
			break
		}
		c := idle[len(idle)-1]
		p.idle[r.Addr] = idle[:len(idle)-1]
		p.mu.Unlock()
		age := now.Sub(c.lastUsed)
		if age < c.idleTimeout && (!r.AtMostOnce || age < maxFreshAge) && c.alive() {
			p.reused.Inc()
			c.reused = true
			return c, nil
		}
		p.stale.Inc()
		_ = c.Close() // it can't be reused
	}
	p.dialled.Inc()
	n, relayed, err := p.dial(ctx, r.Addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, reader: whole.NewReader(n), idleTimeout: defaultIdleTimeout, relayed: relayed}, nil
}

// Dial connects to a host, with the time-outs that notice one that is lost. Reads of the connection end with
// io.EOF only if the host has closed it in order.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepalive, Control: setOptions}
	return whole.Dialer(&d)(ctx, "tcp", addr)
}

// Listen accepts connections with the same time-outs.
func Listen(addr string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepalive, Control: setOptions}
	return l.Listen(context.Background(), "tcp", addr)
}

// setOptions limits the time that sent bytes may stay unacknowledged, and the bytes that arrive and are
// not read.
func setOptions(network, addr string, raw syscall.RawConn) error {
	if err := window.Control(window.Bytes)(network, addr, raw); err != nil {
		return err
	}
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockErr)
}

// alive reports whether an idle connection is open and has no unread bytes.
func (c *conn) alive() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

func (c *conn) write(r Request) error {
	head := make([]byte, 0, 1024)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.Target...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, v...)
			head = append(head, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	if len(r.Body) <= maxInlineBytes {
		_, err := c.Write(append(head, r.Body...))
		return err
	}
	c.writeDone = make(chan error, 1)
	go func() { c.writeDone <- c.writeParts(net.Buffers{head, r.Body}) }()
	return nil
}

// writeParts writes several buffers, in one call where the connection can.
func (c *conn) writeParts(parts net.Buffers) error {
	if direct, ok := c.Conn.(*whole.Conn); ok {
		_, err := direct.WriteBuffers(&parts)
		return err
	}
	_, err := parts.WriteTo(c.Conn)
	return err
}

// read returns the head of the answer that matches the request.
func (c *conn) read(r Request) (*Answer, error) {
	for range maxForeignAnswers {
		response, err := c.reader.Next(r.Method) //nolint:bodyclose // Answer.Close ends the connection below it
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		switch r.owner(response.Header, c.reused) {
		case nobody:
			return nil, errors.New("answer without an id on a connection that was used before")
		case other:
			n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes))
			if err != nil || response.Close || n == maxForeignBytes {
				return nil, errors.Newf("answered another request: %d bytes, %v", n, err)
			}
			continue
		}
		framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
		a := &Answer{Status: response.StatusCode, Header: response.Header, conn: c, framed: framed, closeConn: response.Close || !framed || c.relayed}
		a.Body = &body{answer: a, reader: response.Body}
		c.idleTimeout = idleTimeoutFrom(response.Header)
		return a, nil
	}
	return nil, errors.New("answers to other requests only")
}

// owner says to whom an answer belongs.
type owner int

const (
	self owner = iota
	other
	nobody
)

// owner returns to whom an answer belongs. One without an id may be a late copy of
// the answer to an earlier request, unless the connection has carried none.
func (r Request) owner(h http.Header, reused bool) owner {
	if r.AnswerID == nil {
		return self
	}
	switch id := r.AnswerID(h); {
	case id == r.ID || id == "" && !reused:
		return self
	case id == "":
		return nobody
	}
	return other
}

// idleTimeoutFrom returns how long to keep an idle connection, by the endpoint's
// Keep-Alive header.
func idleTimeoutFrom(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if name, value, ok := strings.Cut(strings.TrimSpace(part), "="); ok && strings.EqualFold(name, "timeout") {
			if n, err := strconv.ParseFloat(value, 64); err == nil && n >= 0 {
				return time.Duration(n * idleTimeoutShare * float64(time.Second))
			}
		}
	}
	return defaultIdleTimeout
}

// body marks its answer as complete when it was read to its end.
type body struct {
	answer *Answer
	reader io.Reader
}

// Read reads the body.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.reader.Read(data)
	if errors.Is(err, io.EOF) {
		b.answer.complete = true
		return n, io.EOF
	}
	if err != nil {
		err = errors.Mark(errors.Wrap(err, "pool: body"), ErrMayHaveRun)
	}
	return n, err
}

// Close returns the connection to the pool if it is reusable, or else closes it.
func (a *Answer) Close() {
	c := a.conn
	written := c.writeDone == nil
	if !written {
		select {
		case err := <-c.writeDone:
			written, c.writeDone = err == nil, nil
		default: // the endpoint answered early: no request may follow the unsent rest
		}
	}
	cancelled := !a.stopCancel()
	if cancelled || !a.complete || a.closeConn || !written || c.reader.Buffered() > 0 || c.idleTimeout <= 0 {
		_ = c.Close() // it can't be reused
		return
	}
	c.lastUsed = time.Now()
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.idle[a.addr] = append(a.pool.idle[a.addr], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		_ = c.Close() // it will not be used again
	}
	delete(p.idle, addr)
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, idle := range p.idle {
		for _, c := range idle {
			_ = c.Close() // it will not be used again
		}
	}
	clear(p.idle)
}

// CloseExpired closes idle connections whose idle timeout has passed.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, idle := range p.idle {
		var kept []*conn
		for _, c := range idle {
			if now.Sub(c.lastUsed) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				_ = c.Close() // it can't be reused
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}
