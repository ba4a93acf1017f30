// Package broken (stand-in) is an endpoint in trouble: it answers before it has read a request's body, with
// any bytes, and ends the connection.
package broken

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// End is how an endpoint ends a connection.
type End uint8

// The ways to end a connection.
const (
	// Reset resets it.
	Reset End = iota
	// CloseUnread closes it once a part of the body has arrived and is not read, which resets it.
	CloseUnread
	// CloseThenReset says that nothing more follows, and resets it.
	CloseThenReset
	// CloseAndRead says that nothing more follows, and reads what comes.
	CloseAndRead
)

// idMark stands for a request's ID in an answer.
const idMark = "{id}"

// windowBytes is what the kernel holds of a body that is not read, apart from its own overhead. A body that
// is read would take seconds by it, and the kernel's memory meanwhile.
const windowBytes = 4 << 10

// Endpoint answers each connection's first request.
type Endpoint struct {
	listener net.Listener
	answer   string
	end      End
	// pause comes between the answer and the end.
	pause time.Duration
}

// Listen starts an endpoint that sends an answer and ends the connection after a pause. In the answer, {id}
// stands for the request's Id field.
func Listen(answer string, end End, pause time.Duration) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "broken: listening")
	}
	e := &Endpoint{listener: l, answer: answer, end: end, pause: pause}
	go e.accept()
	return e, nil
}

// Addr returns the endpoint's address.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// Close ends the endpoint. Connections end by themselves.
func (e *Endpoint) Close() error { return e.listener.Close() }

func (e *Endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c.(*net.TCPConn))
	}
}

// serve reads the head of a request, answers and ends the connection. Nobody waits for errors: a client that
// has left is what some tests are about.
func (e *Endpoint) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	if e.end != CloseAndRead {
		_ = c.SetReadBuffer(windowBytes)
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(e.answer, idMark, r.Header.Get("Id")))
	time.Sleep(e.pause)
	switch e.end {
	case Reset:
		_ = c.SetLinger(0)
	case CloseUnread:
		awaitUnread(c)
	case CloseThenReset:
		_ = c.CloseWrite()
		_ = c.SetLinger(0)
	case CloseAndRead:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
}

// awaitUnread waits until bytes have arrived that are not read.
func awaitUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
}
