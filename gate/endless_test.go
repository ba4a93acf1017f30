package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/standin/coord"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/table"
)

// endless serves each request with a beginning and then the same bytes until the gate
// closes. It counts the bytes that were taken, and the connections that it has ended.
type endless struct {
	begin, repeat string
	taken, ended  atomic.Int64
}

func (e *endless) serve(c net.Conn) {
	defer e.ended.Add(1)
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	head := strings.ReplaceAll(e.begin, "ID", r.Header.Get(headerID))
	for _, err = io.WriteString(c, head); err == nil; {
		var n int
		n, err = io.WriteString(c, e.repeat)
		e.taken.Add(int64(n))
	}
}

// An endpoint sends bytes that are no answer and never end, in a head or in a body. The
// request ends long before its deadline, nothing of it looks like a complete answer, the
// gate closes the connection and does not keep the bytes.
func TestBytesWithoutEndAreNoAnswer(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nId: ID\r\n"
		maxKept = 8 << 20 // beside what the sockets' buffers take
	)
	filler := strings.Repeat("x", 8<<10)
	for _, c := range []struct {
		name          string
		kinds         []table.Kind
		begin, repeat string
	}{
		{"status line", []table.Kind{table.Idempotent, table.Unsafe, table.Stream}, "HTTP/1.1 200 ", filler},
		{"header", []table.Kind{table.Idempotent, table.Unsafe, table.Stream}, ok, "A: " + filler + "\r\n"},
		{"interim answers", []table.Kind{table.Unsafe, table.Stream}, "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"foreign body", []table.Kind{table.Unsafe, table.Stream}, "HTTP/1.1 200 OK\r\nId: none\r\n\r\n", filler},
		{"body", []table.Kind{table.Idempotent, table.Unsafe, table.Stream}, ok + "\r\n", filler},
		{"chunks", []table.Kind{table.Idempotent, table.Unsafe, table.Stream}, ok + "Transfer-Encoding: chunked\r\n\r\n", "2000\r\n" + filler + "\r\n"},
		{"chunk extension", []table.Kind{table.Unsafe, table.Stream}, ok + "Transfer-Encoding: chunked\r\n\r\n5;", filler},
		{"trailer", []table.Kind{table.Unsafe, table.Stream}, ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + filler + "\r\n"},
		{"failure's body", []table.Kind{table.Unsafe, table.Stream}, "HTTP/1.1 500 No\r\nId: ID\r\n\r\n", filler},
		{"events", []table.Kind{table.Stream}, ok + "\r\n", "data: " + filler + "\n\n"},
		{"event", []table.Kind{table.Stream}, ok + "\r\ndata: a\n\ndata: ", filler},
	} {
		for _, kind := range c.kinds {
			t.Run(fmt.Sprint(c.name, ", kind ", kind), func(t *testing.T) {
				t.Parallel()
				e := &endless{begin: c.begin, repeat: c.repeat}
				l, err := net.Listen("tcp", "127.0.0.1:0")
				g := gomega.NewWithT(t)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				defer func() { _ = l.Close() }()
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						go e.serve(conn)
					}
				}()
				route := plainRoute(kind, 1)
				route.Timeout = 4 * time.Second
				entries := []fleet.Entry{{ID: "e", Service: "s", Addr: l.Addr().String(), Centre: "c", Slots: 8}}
				h := startGate(t, &site.Site{Node: "gate", Centre: "c", Memory: 64 << 20, Grace: time.Second}, coord.New(), route, entries)
				started := time.Now()
				status, _, err := h.get("x")
				if err == nil {
					h.g.Expect(status).To(gomega.Equal(http.StatusBadGateway))
				}
				h.g.Expect(time.Since(started)).To(gomega.BeNumerically("<", route.Timeout-time.Second), "given up by what came, not by the deadline")
				h.g.Eventually(e.ended.Load).WithTimeout(time.Second).Should(gomega.Equal(int64(1)), "the gate closes the connection")
				h.g.Expect(e.taken.Load()).To(gomega.BeNumerically("<", maxKept))
			})
		}
	}
}
