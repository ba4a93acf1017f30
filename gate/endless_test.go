package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
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

// drip serves each request with the same bytes again and again, with a pause, until the gate
// closes.
func drip(t *testing.T, begin, repeat string, pause time.Duration) fleet.Entry {
	return rawEndpoint(t, "e", func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, err = io.WriteString(c, strings.ReplaceAll(begin, "ID", r.Header.Get(headerID)))
		for ; err == nil; time.Sleep(pause) {
			_, err = io.WriteString(c, repeat)
		}
	})
}

// Many answers at once came without end, each within its bound, and took more memory together
// than the process may have. Another caller's request on the same gate is served.
func TestManyAnswersWithoutEndStayWithinTheMemory(t *testing.T) {
	const (
		memory  = 64 << 20
		callers = 200
		head    = "HTTP/1.1 200 OK\r\nId: ID\r\n\r\n"
	)
	filler := strings.Repeat("x", 8<<10)
	for _, c := range []struct {
		name   string
		kind   table.Kind
		keeps  bool
		repeat string
	}{
		{"body", table.Unsafe, false, filler},
		{"events", table.Stream, true, "data: " + filler + "\n\n"},
		{"events that are not kept", table.Stream, false, "data: " + filler + "\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var entries []fleet.Entry
			for i := range 20 {
				e := drip(t, head, c.repeat, 20*time.Millisecond)
				e.ID, e.Slots = fmt.Sprint("e", i), 64
				entries = append(entries, e)
			}
			route := plainRoute(c.kind, 1)
			route.Timeout, route.KeepsTurns = 4*time.Second, c.keeps
			h := startGate(t, &site.Site{Node: "gate", Centre: "c", Memory: memory, Grace: time.Second}, coord.New(), route, entries)
			runtime.GC()
			var before, now runtime.MemStats
			runtime.ReadMemStats(&before)
			var peak uint64
			done := make(chan struct{})
			var measured, served sync.WaitGroup
			measured.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(20 * time.Millisecond):
						runtime.GC() // what is still held, not what has not been collected
						runtime.ReadMemStats(&now)
						peak = max(peak, now.HeapAlloc)
						h.g.Expect(h.gate.bulk.Total()).To(gomega.BeNumerically("<=", memory))
					}
				}
			})
			for i := range callers {
				served.Go(func() { _, _, _ = h.discard(fmt.Sprint(i)) })
			}
			served.Wait()
			close(done)
			measured.Wait()
			t.Logf("%d bytes held at the peak, %d before", peak, before.HeapAlloc)
			h.g.Expect(peak-min(peak, before.HeapAlloc)).To(gomega.BeNumerically("<", memory), "callers and endpoints included")
			h.g.Expect(h.gate.bulk.Total()).To(gomega.BeZero())
		})
	}
}

// A stream of comments without end was passed on until its time limit.
func TestCommentsWithoutEndAreNoStream(t *testing.T) {
	e := drip(t, "HTTP/1.1 200 OK\r\nId: ID\r\n\r\ndata: a\n\n", strings.Repeat(": comment\n\n", 800), 0)
	route := plainRoute(table.Stream, 1)
	route.Timeout = 4 * time.Second
	h := startGate(t, &site.Site{Node: "gate", Centre: "c", Memory: 64 << 20, Grace: time.Second}, coord.New(), route, []fleet.Entry{e})
	_, taken, err := h.discard("x")
	h.g.Expect(err).To(gomega.HaveOccurred())
	h.g.Expect(taken).To(gomega.BeNumerically("<", 1<<20))
}

// discard sends a request, and returns the status and how long the answer was.
func (h *gateFixture) discard(id string) (int, int64, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
	r, err := http.NewRequest(http.MethodGet, "http://"+h.gate.site.Frontend+"/a", nil)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "h"
	r.Header.Set(headerID, id)
	response, err := client.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	return response.StatusCode, n, err
}
