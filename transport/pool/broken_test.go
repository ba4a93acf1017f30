package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/transport/pool"
	"github.com/cowslipstage/cowslipstage/transport/relay"
)

// earlyEndpoint starts an endpoint that answers before it has read a request's body, and then ends the
// connection.
func earlyEndpoint(t *testing.T, answer string, end func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				c := conn.(*net.TCPConn)
				_ = c.SetReadBuffer(4 << 10)
				_, _ = bufio.NewReaderSize(c, 16).ReadString('\n')
				_, _ = c.Write([]byte(answer))
				end(c)
			}()
		}
	}()
	return l.Addr().String()
}

// arrival is how long the bytes that an endpoint wrote take to arrive at most. A reset may overtake them.
const arrival = 2 * time.Millisecond

// reset ends a connection with a reset, after what was written has arrived.
func reset(c *net.TCPConn) {
	time.Sleep(arrival)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// closeUnread closes a connection with unread bytes, which resets it.
func closeUnread(c *net.TCPConn) {
	time.Sleep(arrival)
	_ = c.Close()
}

// closeThenReset says that nothing more follows and resets the connection while the body is still being
// written.
func closeThenReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	reset(c)
}

// closeAndRead says that nothing more follows and reads the body to its end.
func closeAndRead(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// An endpoint answers before it has read the body. The kernel reports a reset to whichever call comes first: the
// goroutine that wrote the body took it, and the reader saw an end like that of a connection that is closed
// in order. A whole answer counts, whatever becomes of the body.
func TestAnEarlyAnswerIsWholeByItsOwnEnd(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nId: 1\r\n"
		open    = head + "\r\npart"
		length  = head + "Content-Length: 4\r\n\r\npart"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"
	)
	for _, c := range []struct {
		name, answer string
		end          func(c *net.TCPConn)
		whole        bool
	}{
		{"reset", open, reset, false}, {"closed with unread bytes", open, closeUnread, false}, {"closed, then reset", open, closeThenReset, true},
		{"closed and read", open, closeAndRead, true}, {"length, reset", length, reset, true}, {"length, closed with unread bytes", length, closeUnread, true},
		{"chunks, reset", chunked, reset, true}, {"short of its length", head + "Content-Length: 5\r\n\r\npart", closeThenReset, false},
		{"without the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", closeThenReset, false},
	} {
		for _, size := range []int{64 << 10, 8 << 20} {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprint(c.name, ", body of ", size, ", relayed ", relayed), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					addr, dial := earlyEndpoint(t, c.answer, c.end), pool.Direct
					if relayed {
						dial = throughRelay(t)
					}
					for range 50 {
						r := request(addr, "1")
						r.Body = make([]byte, size)
						body, err := get(pool.New(metrics.NewSet(), dial), r)
						if c.whole {
							g.Expect(err).NotTo(gomega.HaveOccurred())
							g.Expect(body).To(gomega.Equal("part"))
						} else {
							g.Expect(errors.Is(err, pool.ErrMayHaveRun)).To(gomega.BeTrue(), "%q, %v", body, err)
						}
					}
				})
			}
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
