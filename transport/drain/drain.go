// Package front (transport layer) lets a server end idle connections without
// cutting a request that has just been read. The standard library's own shutdown
// closes a connection that it believes idle although its first bytes may have
// been read already.
package drain

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener hands out connections that can be ended while idle. It is safe for
// concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// conn is one connection.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// busy says that bytes of a request were read that is not answered yet.
	busy bool
	// closing says that the pending read is to end unless it has brought bytes.
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

// ConnState is to be the ConnState of the server that uses the listener.
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

// CloseIdle ends the connections on which no request has begun, and returns how
// many are busy.
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

// closeIfIdle ends a pending read unless a request has begun.
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

// Read reads from the caller. Bytes that came at the moment of a nudge win.
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
