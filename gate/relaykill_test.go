package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/standin/coord"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/state/peers"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/transport/pool"
	"github.com/cowslipstage/cowslipstage/transport/relay"
)

// mortalListener closes the connections that it has accepted in order, as the kernel does
// when a process is killed, once text has been written to one of them.
type mortalListener struct {
	net.Listener
	text  string
	mu    sync.Mutex
	conns []net.Conn
}

// Accept accepts the next connection.
func (l *mortalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return &mortalConn{Conn: c, listener: l}, nil
}

func (l *mortalListener) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.Close()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

type mortalConn struct {
	net.Conn
	listener *mortalListener
	written  strings.Builder
}

// Write writes to the connection.
func (c *mortalConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if c.written.Write(data[:n]); strings.Contains(c.written.String(), c.listener.text) {
		c.listener.kill()
	}
	return n, err
}

// A neighbour that connects a gate to an endpoint is killed in the middle of an answer that ends
// with its connection. The caller took the part that had arrived for the whole answer.
func TestAnAnswerIsBrokenOffWithTheGateThatRelaysIt(t *testing.T) {
	for _, kind := range []table.Kind{table.Stream, table.Unsafe} {
		t.Run(fmt.Sprint("kind ", kind), func(t *testing.T) {
			t.Parallel()
			e := rawEndpoint(t, "e", func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				id := r.Header.Get(headerID)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\ndata: "+id+"\n\n")
				if id == "broken" {
					_, _ = io.Copy(io.Discard, conn) // until the relay is gone
				}
			})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
			neighbour := &mortalListener{Listener: listener, text: "data: broken\n\n"}
			go func() { _ = relay.New(pool.Dial, memory.New(0).Group(0), zerolog.Nop()).Serve(neighbour) }()
			t.Cleanup(neighbour.kill)
			cut := &partition{addrs: []string{e.Addr}}
			cut.cut.Store(true)
			route := plainRoute(kind, 1)
			route.Timeout = 5 * time.Second
			h := startGate(t, &site.Site{Node: "gate", Centre: "c", Memory: 64 << 20, Grace: time.Second}, coord.New(), route, []fleet.Entry{e}, func(g *Gate) {
				g.connect = cut.connect
				g.relays.peers = []peers.Peer{{Addr: listener.Addr().String(), Centre: "c", Framed: true}}
			})
			h.g.Eventually(func() int {
				status, _, err := h.get("whole")
				h.g.Expect(err).NotTo(gomega.HaveOccurred())
				return status
			}).WithTimeout(5*time.Second).Should(gomega.Equal(http.StatusOK), "relayed answers that the endpoint ends are whole")
			status, body, err := h.get("broken")
			h.g.Expect(err != nil || status == http.StatusBadGateway).To(gomega.BeTrue(), "status %d, %q", status, body)
		})
	}
}
