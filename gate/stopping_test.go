package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/table"
)

const (
	stopGrace = 2 * time.Second
	// longLimit is the time limit of requests that have no time to end in a grace period,
	// shortLimit of those that have.
	longLimit, shortLimit = 5 * time.Second, 300 * time.Millisecond
)

// slowEndpoint runs each request for a time and notes which ones it has begun and ended.
type slowEndpoint struct {
	takes        time.Duration
	mu           sync.Mutex
	begun, ended map[string]bool
}

func (e *slowEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	e.note(e.begun, id)
	_, _ = io.Copy(io.Discard, r.Body) // so that the server notices when the gate leaves
	w.Header().Set(headerID, id)
	select {
	case <-time.After(e.takes):
	case <-r.Context().Done():
		return
	}
	e.note(e.ended, id)
	_, _ = io.WriteString(w, "data: fine\n\n") // the gate may have left
}

func (e *slowEndpoint) note(in map[string]bool, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	in[id] = true
}

func (e *slowEndpoint) has(in map[string]bool, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return in[id]
}

// newStoppingFixture starts a gate with one endpoint that takes a time for each request.
func newStoppingFixture(t *testing.T, kind table.Kind, takes, limit time.Duration) (*gateFixture, *slowEndpoint) {
	e := &slowEndpoint{takes: takes, begun: map[string]bool{}, ended: map[string]bool{}}
	route := plainRoute(kind, 1)
	route.Timeout = limit
	return newGateFixture(t, stopGrace, route, e.ServeHTTP), e
}

// slowCaller sends a request on a connection of its own and holds back the end of its body.
type slowCaller struct {
	g    *gomega.WithT
	conn net.Conn
}

const lateBody = "body"

func (h *gateFixture) newSlowCaller(id string) *slowCaller {
	conn, err := net.Dial("tcp", h.gate.site.Frontend)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	c := &slowCaller{h.g, conn}
	c.write(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", headerID, id, len(lateBody)))
	return c
}

func (c *slowCaller) write(text string) {
	_, err := io.WriteString(c.conn, text)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
}

// finish sends the body and returns the answer's status, and whether it says that the connection
// ends.
func (c *slowCaller) finish() (int, bool) {
	defer func() { _ = c.conn.Close() }()
	c.write(lateBody)
	a, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	c.g.Expect(err).NotTo(gomega.HaveOccurred(), "an answer, not the end of the connection")
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	return a.StatusCode, a.Close
}

// Requests that were read whole late in the grace period were sent to endpoints and cut with the
// process, also those that must not run twice. They are refused now, truly as not run.
func TestAStoppingGateBeginsNothingThatItMayCut(t *testing.T) {
	for _, kind := range []table.Kind{table.Unsafe, table.Idempotent, table.Stream} {
		t.Run(fmt.Sprint("kind ", kind), func(t *testing.T) {
			t.Parallel()
			h, e := newStoppingFixture(t, kind, time.Second, longLimit)
			late := h.newSlowCaller("late")
			h.g.Eventually(h.gate.active.Load).Should(gomega.Equal(int64(1)))
			h.stop()
			h.g.Eventually(h.gate.stopping).Should(gomega.BeTrue())
			status, closes := late.finish()
			h.g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
			h.g.Expect(closes).To(gomega.BeTrue())
			h.g.Expect(e.has(e.begun, "late")).To(gomega.BeFalse())
			h.done.Wait()
			h.g.Expect(h.gate.active.Load()).To(gomega.BeZero())
		})
	}
}

// What has the time to end is served while a gate is drained.
func TestAStoppingGateServesWhatCanEnd(t *testing.T) {
	t.Parallel()
	h, e := newStoppingFixture(t, table.Unsafe, 10*time.Millisecond, shortLimit)
	late := h.newSlowCaller("late")
	h.g.Eventually(h.gate.active.Load).Should(gomega.Equal(int64(1)))
	h.stop()
	h.g.Eventually(h.gate.stopping).Should(gomega.BeTrue())
	status, _ := late.finish()
	h.g.Expect(status).To(gomega.Equal(http.StatusOK))
	h.g.Expect(e.has(e.ended, "late")).To(gomega.BeTrue())
}

// A request that takes longer than the grace period was cut without an answer. Its caller is told
// now that it may have run.
func TestAStoppingGateAnswersWhatItEnds(t *testing.T) {
	for _, kind := range []table.Kind{table.Unsafe, table.Idempotent, table.Stream} {
		t.Run(fmt.Sprint("kind ", kind), func(t *testing.T) {
			t.Parallel()
			h, e := newStoppingFixture(t, kind, time.Minute, longLimit)
			answered := make(chan int, 1)
			early := h.newSlowCaller("early")
			go func() {
				status, _ := early.finish()
				answered <- status
			}()
			h.g.Eventually(func() bool { return e.has(e.begun, "early") }).Should(gomega.BeTrue())
			h.stop()
			h.done.Wait()
			h.g.Expect(h.gate.active.Load()).To(gomega.BeZero(), "requests without an answer when the process ends")
			h.g.Expect(answered).To(gomega.Receive(gomega.Equal(http.StatusBadGateway)))
		})
	}
}

// A stopping gate connects for no other gate to endpoints, as it would cut that request, too.
func TestAStoppingGateRelaysToNoEndpoint(t *testing.T) {
	h, _ := newStoppingFixture(t, table.Unsafe, 0, shortLimit)
	addr := h.gate.fleet.Addrs()[0]
	conn, err := h.gate.dialForPeer(t.Context(), addr)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(conn.Close()).To(gomega.Succeed())
	h.stop()
	h.g.Eventually(h.gate.stopping).Should(gomega.BeTrue())
	_, err = h.gate.dialForPeer(t.Context(), addr)
	h.g.Expect(err).To(gomega.HaveOccurred())
}
