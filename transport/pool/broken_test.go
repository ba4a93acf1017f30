package pool_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/cowslipstage/cowslipstage/standin/broken"
	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/transport/pool"
	"github.com/cowslipstage/cowslipstage/transport/relay"
	"github.com/cowslipstage/cowslipstage/transport/whole"
)

// brokenEndpoint starts an endpoint in trouble and returns its address.
func brokenEndpoint(t *testing.T, answer string, end broken.End, pause time.Duration) string {
	e, err := broken.Listen(answer, end, pause)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = e.Close() })
	return e.Addr()
}

// An endpoint answers before it has read the body. The kernel reports a reset to whichever call comes first: the
// goroutine that wrote the body took it, and the reader saw an end like that of a connection that is closed
// in order. A whole answer counts, whatever becomes of the body.
func TestAnEarlyAnswerIsWholeByItsOwnEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	text := strings.Repeat("part", 2<<10) // fits what the kernel holds of it
	open, length := head+"\r\n"+text, head+"Content-Length: 8192\r\n\r\n"+text
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n2000\r\n" + text + "\r\n"
	for _, c := range []struct {
		name, answer string
		end          broken.End
		whole        bool
	}{
		{"reset", open, broken.Reset, false},
		{"closed with unread bytes", open, broken.CloseUnread, false},
		{"closed, then reset", open, broken.CloseThenReset, true},
		{"closed and read", open, broken.CloseAndRead, true},
		{"length, reset", length, broken.Reset, true},
		{"length, closed with unread bytes", length, broken.CloseUnread, true},
		{"length, closed and read", length, broken.CloseAndRead, true},
		{"chunks, reset", chunked + "0\r\n\r\n", broken.Reset, true},
		{"short of its length", length[:len(length)-1], broken.CloseThenReset, false},
		{"without the last chunk", chunked, broken.CloseThenReset, false},
	} {
		for _, atOnce := range []bool{true, false} {
			pause := time.Duration(0)
			if !atOnce {
				pause = 2 * time.Millisecond // so that the answer has been read, probably
			}
			t.Run(fmt.Sprint(c.name, ", at once ", atOnce), func(t *testing.T) {
				t.Parallel()
				testEarlyAnswer(t, brokenEndpoint(t, c.answer, c.end, pause), text, c.whole)
			})
		}
	}
}

// testEarlyAnswer sends requests with bodies of several sizes to an endpoint that answers early, also through
// a relay.
func testEarlyAnswer(t *testing.T, addr, text string, whole bool) {
	for way, dial := range map[string]pool.DialFunc{"direct": pool.Direct, "relayed": throughRelay(t)} {
		for _, size := range []int{64 << 10, 8 << 20} {
			t.Run(fmt.Sprint(way, ", body of ", size), func(t *testing.T) {
				g := gomega.NewWithT(t)
				for range 50 {
					r := request(addr, "1")
					r.Body = make([]byte, size)
					body, err := get(pool.New(metrics.NewSet(), dial), r)
					if whole {
						g.Expect(err).NotTo(gomega.HaveOccurred())
						g.Expect(body == text).To(gomega.BeTrue(), "%d bytes", len(body))
					} else {
						g.Expect(errors.Is(err, pool.ErrMayHaveRun)).To(gomega.BeTrue(), "%.40q, %v", body, err)
					}
				}
			})
		}
	}
}

// throughRelay starts a relay and returns a function that connects through it.
func throughRelay(t *testing.T) pool.DialFunc {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = relay.New(pool.Dial, memory.New(0).Group(0), zerolog.Nop()).Serve(l) }()
	return func(ctx context.Context, addr string) (net.Conn, bool, error) {
		c, err := relay.Dial(ctx, pool.Dial, l.Addr().String(), addr, true)
		return c, true, err
	}
}

// narrow is a socket that holds few unsent or unread bytes.
func narrow(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, 1)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1)
	})
}

// A short body is written before the answer is read. An endpoint may answer and end the connection while that
// write waits for room.
func TestAnAnswerDuringTheWriteOfAShortBodyIsWhole(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, c := range map[string]struct {
		answer string
		closed bool
		want   string
	}{
		"reset": {ok + "Content-Length: 5\r\n\r\nearly", false, "early"}, "closed": {ok + "\r\nearly", true, "early"},
		"cut": {ok + "\r\nearly", false, ""}, "of another request": {"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nearly", false, ""},
		"none": {"", false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listen := net.ListenConfig{Control: narrow}
			l, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = l.Close() }()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = io.ReadFull(conn, make([]byte, 16))
					_, _ = io.WriteString(conn, c.answer)
					socket := conn.(*net.TCPConn)
					if c.closed {
						_ = socket.CloseWrite()
					}
					_ = socket.SetLinger(0)
					_ = socket.Close()
				}
			}()
			p := pool.New(metrics.NewSet(), func(ctx context.Context, addr string) (net.Conn, bool, error) {
				d := net.Dialer{Control: narrow}
				conn, err := d.DialContext(ctx, "tcp", addr)
				return whole.NewConn(conn), false, err
			})
			r := request(l.Addr().String(), "1")
			r.Body = make([]byte, 8<<10)
			for range 50 {
				body, err := get(p, r)
				g.Expect(errors.Is(err, pool.ErrMayHaveRun)).To(gomega.Equal(c.want == ""), "%.40q, %v", body, err)
				if err == nil {
					g.Expect(body).To(gomega.Equal(c.want))
				}
			}
		})
	}
}
