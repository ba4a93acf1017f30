package crowd

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// connectTime bounds connecting, and sendTime what one client sends: a process may leave it
	// unread.
	connectTime = 5 * time.Second
	sendTime    = 5 * time.Second
	// width is how many clients of a crowd begin at the same time.
	width = 64
)

// crowd is many connections that stay open until the other side closes them.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// gather opens n connections to an address and has each send what send writes. It returns once
// all have been sent, refused or left unread.
func gather(t *testing.T, addr string, n int, send func(c net.Conn, i int) error) *crowd {
	return gatherBy(t, net.Dialer{}, addr, n, send)
}

// narrow opens connections with segments and a window so small that few bytes are on their way to a client
// that reads nothing.
var narrow = net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
	const segment, window = 536, 4 << 10
	var maxErr, windowErr error
	err := raw.Control(func(fd uintptr) {
		maxErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segment)
		windowErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window)
	})
	return errors.Join(err, maxErr, windowErr)
}}

// gatherBy is gather with a dialer.
func gatherBy(t *testing.T, d net.Dialer, addr string, n int, send func(c net.Conn, i int) error) *crowd {
	d.Timeout = connectTime
	cr := &crowd{}
	t.Cleanup(cr.leave)
	var sending sync.WaitGroup
	slots := make(chan struct{}, width)
	refused := 0
	for i := range n {
		c, err := d.Dial("tcp", addr)
		if err != nil {
			refused++
			continue
		}
		cr.add(c)
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			_ = c.SetWriteDeadline(time.Now().Add(sendTime))
			_ = send(c, i) // the other side may close
		})
	}
	sending.Wait()
	t.Logf("%d clients, %d not connected", n, refused)
	return cr
}

func (cr *crowd) add(c net.Conn) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.conns = append(cr.conns, c)
}

// leave closes all connections.
func (cr *crowd) leave() {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for _, c := range cr.conns {
		_ = c.Close()
	}
	cr.conns = nil
}

// head returns the head of a request without the empty line that ends it.
func (s *system) head(method, path string, r fake.Request, more ...string) string {
	h := http.Header{}
	r.Timeout = routeTimeout
	if r.ID == "" {
		r.ID = s.nextID()
	}
	r.SetHeaders(h)
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, fake.RouteHost)
	_ = h.Write(&b) // it cannot fail
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	return b.String()
}

// lines returns header lines of the shortest different names, so many bytes of them.
func lines(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		_, _ = fmt.Fprintf(&b, "%s:\r\n", name(i))
	}
	return b.String()
}

// name returns the i-th short name of a header.
func name(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	text := ""
	for i++; i > 0; i /= len(letters) {
		text += string(letters[i%len(letters)])
	}
	return text
}

// bodyOf returns the header line for a body of so many bytes.
func bodyOf(bytes int) string { return fmt.Sprintf("Content-Length: %d", bytes) }

// chunked is the header line for a body in chunks.
const chunked = "Transfer-Encoding: chunked"

// chunk is one chunk of a body.
var chunk = fmt.Sprintf("%x\r\n%s\r\n", 32<<10, strings.Repeat("x", 32<<10))

// write writes texts one after the other.
func write(c net.Conn, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
	}
	return nil
}

// writeTimes writes a text so many times.
func writeTimes(c net.Conn, text string, times int) error {
	for range times {
		if err := write(c, text); err != nil {
			return err
		}
	}
	return nil
}
