package whole

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection whose reads end with io.EOF only if the peer has closed it in order.
//
// The kernel reports a reset, or a peer that was given up, to one call only. If that call is a write, reads
// find the same end afterwards as behind a connection that was closed. A write that is told EPIPE first is
// no such call: the peer had closed the connection in order before it was reset.
type Conn struct {
	net.Conn
	// writing is held during each write.
	writing sync.Mutex

	mu sync.Mutex
	// failure is the first error that the kernel reported of the connection, nil if there was none.
	failure error
}

// NewConn returns a connection that tells its end from a reset.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dialer returns a function that connects with a net.Dialer, for an http.Transport.
func Dialer(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Read reads from the connection.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		c.awaitWrite()
		if failure := c.failed(); failure != nil {
			return n, failure
		}
	default:
		c.note(err)
	}
	return n, err
}

// past is a deadline that ends a pending write.
var past = time.Unix(1, 0)

// awaitWrite ends the pending write, so that its error is known. Writes after it fail: the peer has said all
// that it will say.
func (c *Conn) awaitWrite() {
	_ = c.SetWriteDeadline(past) // a closed connection needs none
	c.writing.Lock()
	defer c.writing.Unlock()
}

// Write writes to the connection.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	c.note(err)
	return n, err
}

// WriteBuffers writes the contents of buffers, in one call where the connection can.
func (c *Conn) WriteBuffers(b *net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := b.WriteTo(c.Conn)
	c.note(err)
	return n, err
}

// note keeps an error that the kernel may not report again.
func (c *Conn) note(err error) {
	var number syscall.Errno
	if err == nil || !errors.As(err, &number) || number == syscall.EPIPE {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}

func (c *Conn) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// errNoSocket means that the connection is not one of the kernel's.
var errNoSocket = errors.New("whole: no socket")

// SyscallConn returns the connection's socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errNoSocket
}
