package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/meta"
	"github.com/cowslipstage/cowslipstage/standin/agreed"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/table"
)

// The headers of the stand-in dialect.
const (
	headerID       = "Id"
	headerDeclined = "Declined"
)

// dialect stands in for a platform's headers.
type dialect struct{}

func (dialect) ParseRequest(h http.Header) (meta.Request, error) {
	return meta.Request{ID: h.Get(headerID), Budget: -1}, nil
}

func (dialect) Forward(http.Header, meta.Forwarded) {}

func (dialect) ParseAnswer(_ int, h http.Header) meta.Answer {
	return meta.Answer{ID: h.Get(headerID), NotRun: h.Get(headerDeclined) != ""}
}

func (dialect) RetryHeader() string { return "Retry-After" }
func (dialect) ReadyPath() string   { return "/ready" }

// house is a gate on loopback before stand-in endpoints.
type house struct {
	g    *gomega.WithT
	gate *Gate
	stop context.CancelFunc
	done sync.WaitGroup
}

func newHouse(t *testing.T, grace time.Duration, route table.Route, handlers ...http.HandlerFunc) *house {
	g := gomega.NewWithT(t)
	front, ready := freePort(g), freePort(g)
	s := &site.Site{
		Node: "gate", Centre: "c", Memory: 64 << 20,
		Frontend: fmt.Sprintf("127.0.0.1:%d", front), Ready: fmt.Sprintf("127.0.0.1:%d", ready),
		Grace: grace,
	}
	h := &house{g: g, gate: New(s, dialect{}, agreed.New(), metrics.NewSet(), zerolog.Nop())}
	route.Host, route.Prefix, route.Shares = "h", "/", []table.Share{{Service: "s", Weight: 1}}
	h.gate.SetRoutes(table.New(1, []*table.Route{&route}, []table.Service{{Name: "s"}}, table.Limits{}))
	var entries []fleet.Entry
	for i, handler := range handlers {
		e := httptest.NewServer(handler)
		t.Cleanup(e.Close)
		entries = append(entries, fleet.Entry{ID: fmt.Sprint("e", i), Service: "s", Addr: strings.TrimPrefix(e.URL, "http://"), Centre: "c", Slots: 8})
	}
	h.gate.SetEndpoints(entries, false)
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

// get asks the gate on a new connection.
func (h *house) get(id string) (int, string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	r, err := http.NewRequest(http.MethodGet, "http://"+h.gate.site.Frontend+"/a", nil)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "h"
	r.Header.Set(headerID, id)
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

// Callers keep opening connections while a gate stops. What has reached an
// endpoint is answered.
func TestAStoppingGateAnswersWhatItHasPassedOn(t *testing.T) {
	var ran sync.Map
	h := newHouse(t, time.Second, plainRoute(table.Unsafe, 1), func(_ http.ResponseWriter, r *http.Request) {
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
	// As the process's end would, this cuts what is still open.
	h.gate.pool.Forget(time.Now().Add(time.Hour))
	running := h.gate.active.Load()
	close(ended)
	callers.Wait()
	h.g.Expect(running).To(gomega.BeZero(), "requests under way when the process ends")
	ran.Range(func(id, _ any) bool {
		_, ok := answered.Load(id)
		h.g.Expect(ok).To(gomega.BeTrue(), "request %v ran and was not answered", id)
		return true
	})
}

func TestAnIdempotentCallGoesOnElsewhereAndAnUnsafeOneDoesNot(t *testing.T) {
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
		h := newHouse(t, time.Second, plainRoute(c.kind, 2), first, first)
		status, _, err := h.get("x")
		h.g.Expect(err).NotTo(gomega.HaveOccurred())
		h.g.Expect(status).To(gomega.Equal(c.status))
		h.g.Expect(reached.Load()).To(gomega.Equal(c.reached))
	}
}

func TestADeclinedCallGoesOnElsewhereWhateverItsKind(t *testing.T) {
	h := newHouse(t, time.Second, plainRoute(table.Unsafe, 1), func(w http.ResponseWriter, _ *http.Request) {
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

func TestWithoutAnEndpointTheCallerIsToldWhenToComeBack(t *testing.T) {
	h := newHouse(t, time.Second, plainRoute(table.Unsafe, 1))
	begun := time.Now()
	status, body, err := h.get("x")
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	h.g.Expect(body).To(gomega.ContainSubstring("it has not run"))
	h.g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 500*time.Millisecond), "sure failure is not held back")
}

// An endpoint does the work and its answer is lost: the call neither fails nor
// ends. An idempotent request goes on elsewhere once it is past its aim.
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
	h := newHouse(t, time.Second, route, handler, handler, handler)
	begun := time.Now()
	status, body, err := h.get("x")
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.g.Expect(status).To(gomega.Equal(http.StatusOK))
	h.g.Expect(body).To(gomega.Equal("fine"))
	h.g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Second))
	h.g.Expect(reached.Load()).To(gomega.Equal(int64(2)), "no more endpoints than the route allows")
}

// A caller goes away. Its endpoint sees that at once and can stop working on it.
func TestACallersCloseReachesTheEndpoint(t *testing.T) {
	for _, kind := range []table.Kind{table.Idempotent, table.Unsafe, table.Stream} {
		t.Run(fmt.Sprint("kind ", kind), func(t *testing.T) {
			begun, left := make(chan struct{}, 1), make(chan struct{}, 1)
			h := newHouse(t, time.Second, plainRoute(kind, 1), func(_ http.ResponseWriter, r *http.Request) {
				begun <- struct{}{}
				<-r.Context().Done()
				left <- struct{}{}
			})
			ctx, leave := context.WithCancel(context.Background())
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.gate.site.Frontend+"/a", nil)
			h.g.Expect(err).NotTo(gomega.HaveOccurred())
			r.Host = "h"
			go func() {
				response, err := http.DefaultClient.Do(r)
				if err == nil {
					_ = response.Body.Close() // it was cancelled
				}
			}()
			h.g.Eventually(begun).WithTimeout(2 * time.Second).Should(gomega.Receive())
			leave()
			h.g.Eventually(left).WithTimeout(500 * time.Millisecond).Should(gomega.Receive())
		})
	}
}
