// Package drain (transport layer) closes a server's idle connections without
// aborting a request that has just been read. Shutdown of net/http closes a
// connection that it assumes idle although first bytes may have been read.
package drain

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener accepts connections and can close those that are idle. It is safe for
// concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// conn is a connection that tracks whether a request is being served.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// busy is set while a request is read or served.
	busy bool
	// closing is set once the pending read has a deadline in the past, so that it
	// fails unless it returns bytes.
	closing bool
}

// New wraps a listener.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: map[*conn]struct{}{}}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: n, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// ConnState must be set as the ConnState hook of the server that uses the listener.
func (l *Listener) ConnState(n net.Conn, s http.ConnState) {
	c, ok := n.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		c.mu.Lock()
		c.busy = false
		c.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}
}

// CloseIdle closes the connections on which no request has started and returns the
// number of busy ones.
func (l *Listener) CloseIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	busy := 0
	for c := range l.conns {
		if !c.closeIfIdle() {
			busy++
		}
	}
	return busy
}

// closeIfIdle makes a pending read fail unless a request has started, and reports
// whether none had.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return false
	}
	c.closing = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // a closed connection needs none
	return true
}

// Read reads from the caller. Bytes that arrive while the connection is being closed
// as idle keep it open.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.busy = true
		if c.closing {
			c.closing = false
			_ = c.SetReadDeadline(time.Time{}) // a closed connection needs none
		}
	}
	return n, err
}
