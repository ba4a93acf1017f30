package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/meta"
	"github.com/cowslipstage/cowslipstage/standin/coord"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/table"
)

// Headers of the stand-in dialect.
const (
	headerID       = "Id"
	headerDeclined = "Declined"
	headerLeaving  = "Leaving"
	headerLimit    = "Limit"
	headerKey      = "Key"
	// testKey is the key that callers send.
	testKey        = "key"
	headerCustomer = "Customer"
	// headerUnexpected makes ParseAnswer panic.
	headerUnexpected = "Unexpected"
)

// dialect is a stand-in for a platform's headers.
type dialect struct{}

func (dialect) ParseRequest(h http.Header) (meta.Request, error) {
	return meta.Request{ID: h.Get(headerID), Key: h.Get(headerKey), Budget: -1}, nil
}

func (dialect) Forward(h http.Header, f meta.Forwarded) {
	h.Del(headerKey)
	h.Del(headerCustomer)
	if f.Customer != "" {
		h.Set(headerCustomer, f.Customer)
	}
}

func (dialect) ParseAnswer(_ int, h http.Header) meta.Answer {
	if h.Get(headerUnexpected) != "" {
		panic("unexpected")
	}
	limit, err := strconv.ParseFloat(h.Get(headerLimit), 64)
	return meta.Answer{
		ID: h.Get(headerID), NotRun: h.Get(headerDeclined) != "", Leaving: h.Get(headerLeaving) != "",
		Limit: limit, HasLimit: err == nil,
	}
}

func (dialect) RetryHeader() string { return "Retry-After" }
func (dialect) ReadyPath() string   { return "/ready" }

// gateFixture is a gate on loopback with stand-in endpoints.
type gateFixture struct {
	g    *gomega.WithT
	gate *Gate
	stop context.CancelFunc
	done sync.WaitGroup
}

// newGateFixture starts a gate with one route and one endpoint per handler.
func newGateFixture(t *testing.T, grace time.Duration, route table.Route, handlers ...http.HandlerFunc) *gateFixture {
	var entries []fleet.Entry
	for i, handler := range handlers {
		e := httptest.NewServer(handler)
		t.Cleanup(e.Close)
		entries = append(entries, fleet.Entry{ID: fmt.Sprint("e", i), Service: "s", Addr: strings.TrimPrefix(e.URL, "http://"), Centre: "c", Slots: 8})
	}
	return startGate(t, &site.Site{Node: "gate", Centre: "c", Memory: 64 << 20, Grace: grace}, coord.New(), route, entries)
}

// startGate starts a gate with one route. prepare may change it before it runs.
func startGate(
	t *testing.T, s *site.Site, rosters RosterSource, route table.Route, entries []fleet.Entry, prepare ...func(*Gate),
) *gateFixture {
	g := gomega.NewWithT(t)
	s.Frontend, s.Ready = fmt.Sprintf("127.0.0.1:%d", freePort(g)), fmt.Sprintf("127.0.0.1:%d", freePort(g))
	h := &gateFixture{g: g, gate: New(s, dialect{}, rosters, metrics.NewSet(), zerolog.Nop())}
	route.Host, route.Prefix, route.Shares = "h", "/", []table.Share{{Service: "s", Weight: 1}}
	h.gate.SetRoutes(table.New(1, []*table.Route{&route}, []table.Service{{Name: "s"}}, nil, table.Limits{}))
	h.gate.SetEndpoints(entries, false)
	for _, p := range prepare {
		p(h.gate)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.done.Go(func() { _ = h.gate.Run(ctx) })
	t.Cleanup(func() { cancel(); h.done.Wait() })
	g.Eventually(func() error {
		c, err := net.Dial("tcp", s.Frontend)
		if err == nil {
			_ = c.Close()
		}
		return err
	}).Should(gomega.Succeed())
	return h
}

// get sends a request to the gate on a new connection.
func (h *gateFixture) get(id string) (int, string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	r, err := http.NewRequest(http.MethodGet, "http://"+h.gate.site.Frontend+"/a", nil)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "h"
	r.Header.Set(headerID, id)
	r.Header.Set(headerKey, testKey)
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func plainRoute(kind table.Kind, attempts int) table.Route {
	return table.Route{Name: "r", Kind: kind, Attempts: attempts, Timeout: 2 * time.Second}
}

// Callers keep opening connections while a gate stops. Every request that
// reached an endpoint must be answered.
func TestAStoppingGateAnswersForwardedRequests(t *testing.T) {
	var ran sync.Map
	h := newGateFixture(t, time.Second, plainRoute(table.Unsafe, 1), func(_ http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get(headerID), true)
		time.Sleep(3 * time.Millisecond)
	})
	var next atomic.Int64
	var answered sync.Map
	var callers sync.WaitGroup
	ended := make(chan struct{})
	for range 6 {
		callers.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(time.Millisecond):
				}
				id := fmt.Sprint(next.Add(1))
				if status, _, err := h.get(id); err == nil && status == http.StatusOK {
					answered.Store(id, true)
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	h.stop()
	h.done.Wait()
	// Closes what is still open, as the end of the process would.
	h.gate.pool.CloseExpired(time.Now().Add(time.Hour))
	running := h.gate.active.Load()
	close(ended)
	callers.Wait()
	h.g.Expect(running).To(gomega.BeZero(), "requests in progress when the process ends")
	ran.Range(func(id, _ any) bool {
		_, ok := answered.Load(id)
		h.g.Expect(ok).To(gomega.BeTrue(), "request %v ran and was not answered", id)
		return true
	})
}

func TestOnlyAnIdempotentCallIsRetriedElsewhere(t *testing.T) {
	for _, c := range []struct {
		kind    table.Kind
		status  int
		reached int64
	}{{table.Idempotent, http.StatusOK, 2}, {table.Unsafe, http.StatusBadGateway, 1}} {
		var reached atomic.Int64
		first := func(w http.ResponseWriter, _ *http.Request) {
			if reached.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "fine")
		}
		h := newGateFixture(t, time.Second, plainRoute(c.kind, 2), first, first)
		status, _, err := h.get("x")
		h.g.Expect(err).NotTo(gomega.HaveOccurred())
		h.g.Expect(status).To(gomega.Equal(c.status))
		h.g.Expect(reached.Load()).To(gomega.Equal(c.reached))
	}
}

func TestADeclinedCallOfAnyKindIsRetriedElsewhere(t *testing.T) {
	h := newGateFixture(t, time.Second, plainRoute(table.Unsafe, 1), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerDeclined, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	for i := range 20 {
		status, body, err := h.get(fmt.Sprint(i))
		h.g.Expect(err).NotTo(gomega.HaveOccurred())
		h.g.Expect(status).To(gomega.Equal(http.StatusOK))
		h.g.Expect(body).To(gomega.Equal("fine"))
	}
}

func TestWithoutAnEndpointTheCallerGetsARetryTime(t *testing.T) {
	h := newGateFixture(t, time.Second, plainRoute(table.Unsafe, 1))
	started := time.Now()
	status, body, err := h.get("x")
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	h.g.Expect(body).To(gomega.ContainSubstring("it has not run"))
	h.g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 500*time.Millisecond), "a certain failure is reported at once")
}

// An endpoint runs a call and its answer is lost, so the call neither fails nor
// ends. An idempotent request must be sent to another endpoint once it has
// taken longer than its aim.
func TestAnIdempotentCallWithoutAnAnswerIsTriedElsewhere(t *testing.T) {
	var reached atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		if reached.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "fine")
	}
	route := plainRoute(table.Idempotent, 2)
	route.FirstByteTarget = 80 * time.Millisecond
	h := newGateFixture(t, time.Second, route, handler, handler, handler)
	started := time.Now()
	status, body, err := h.get("x")
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(status).To(gomega.Equal(http.StatusOK))
	h.g.Expect(body).To(gomega.Equal("fine"))
	h.g.Expect(time.Since(started)).To(gomega.BeNumerically("<", time.Second))
	h.g.Expect(reached.Load()).To(gomega.Equal(int64(2)), "no more endpoints than the route allows")
}

// A caller disconnects. The endpoint must see that at once, so that it can stop
// working on the call.
func TestACallersCloseReachesTheEndpoint(t *testing.T) {
	for _, kind := range []table.Kind{table.Idempotent, table.Unsafe, table.Stream} {
		t.Run(fmt.Sprint("kind ", kind), func(t *testing.T) {
			begun, closed := make(chan struct{}, 1), make(chan struct{}, 1)
			h := newGateFixture(t, time.Second, plainRoute(kind, 1), func(_ http.ResponseWriter, r *http.Request) {
				begun <- struct{}{}
				<-r.Context().Done()
				closed <- struct{}{}
			})
			ctx, leave := context.WithCancel(context.Background())
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.gate.site.Frontend+"/a", nil)
			h.g.Expect(err).NotTo(gomega.HaveOccurred())
			r.Host = "h"
			go func() {
				response, err := http.DefaultClient.Do(r)
				if err == nil {
					_ = response.Body.Close() // the request is cancelled anyway
				}
			}()
			h.g.Eventually(begun).WithTimeout(2 * time.Second).Should(gomega.Receive())
			leave()
			h.g.Eventually(closed).WithTimeout(500 * time.Millisecond).Should(gomega.Receive())
		})
	}
}

// A caller resumes a stream after its last event, so that nothing is left to send. The answer
// has the endpoint's headers nevertheless.
func TestAnEmptyStreamHasTheEndpointsHeaders(t *testing.T) {
	h := newGateFixture(t, time.Second, plainRoute(table.Stream, 1), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "endpoint")
	})
	r, err := http.NewRequest(http.MethodGet, "http://"+h.gate.site.Frontend+"/a", nil)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "h"
	response, err := http.DefaultClient.Do(r)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(response.Body.Close()).To(gomega.Succeed())
	h.g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	h.g.Expect(response.Header.Get("Seal")).To(gomega.Equal("endpoint"))
}
