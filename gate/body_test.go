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

// send opens a connection to the gate and sends the head of a request and part of its body.
func (h *gateFixture) send(id string, length int, body string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", h.gate.site.Frontend)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, length, body)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	return c, bufio.NewReader(c)
}

// expectStatus reads the head of an answer.
func (h *gateFixture) expectStatus(r *bufio.Reader, status int) http.Header {
	a, err := http.ReadResponse(r, nil)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	text, err := io.ReadAll(a.Body)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(a.Body.Close()).To(gomega.Succeed())
	h.g.Expect(a.StatusCode).To(gomega.Equal(status), string(text))
	return a.Header
}

// A request whose body stops is held no longer than its deadline, and has not run.
func TestABodyThatStopsIsRefusedAtItsDeadline(t *testing.T) {
	var runs atomic.Int64
	h := newGateFixture(t, time.Second, plainRoute(table.Unsafe, 1), func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set(headerID, r.Header.Get(headerID))
	})
	_, r := h.send("x", 10, "123456789")
	h.expectStatus(r, http.StatusRequestTimeout)
	h.g.Expect(runs.Load()).To(gomega.BeZero())
	c, r := h.send("y", 10, "12345")
	_, err := io.WriteString(c, "67890")
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.expectStatus(r, http.StatusOK)
}

// While large requests are served, a further one is refused at once, with a time to come back, and
// a small one is served. Afterwards a large one is served again.
func TestALargeBodyWithoutRoomIsRefused(t *testing.T) {
	const long = 600 << 10
	entered, release := make(chan bool, 10), make(chan bool)
	h := newGateFixtureWith(t, &site.Site{Node: "gate", Centre: "c", Memory: 8 << 20, Grace: time.Second}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the gate notices
		if r.ContentLength == long {
			entered <- true
			<-release
		}
		w.Header().Set(headerID, r.Header.Get(headerID))
	})
	body := strings.Repeat("x", long)
	_, first := h.send("a", long, body)
	<-entered
	_, second := h.send("b", long, body)
	header := h.expectStatus(second, http.StatusServiceUnavailable)
	h.g.Expect(header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	_, small := h.send("c", 5, "small")
	h.expectStatus(small, http.StatusOK)
	close(release)
	h.expectStatus(first, http.StatusOK)
	_, third := h.send("d", long, body)
	h.expectStatus(third, http.StatusOK)
	h.g.Eventually(func() int64 { return h.gate.memory.Taken() }).Should(gomega.BeNumerically("<", long))
}

// newGateFixtureWith starts a gate with one route and one endpoint.
func newGateFixtureWith(t *testing.T, s *site.Site, handler http.HandlerFunc) *gateFixture {
	route := plainRoute(table.Unsafe, 1)
	route.Timeout = 5 * time.Second
	return startGate(t, s, coord.New(), route, []fleet.Entry{{ID: "e", Service: "s", Addr: serveOn(t, handler), Centre: "c", Slots: 8}})
}

// serveOn serves a handler until the test ends and returns its address.
func serveOn(t *testing.T, handler http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}
