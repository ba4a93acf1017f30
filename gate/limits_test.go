package gate

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/caps"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/table"
)

// An endpoint names a limit in its answers while callers want far more than that of it.
// From three seconds on it gets at most one and a half times the limit and five
// requests more in any four seconds. The others are refused at once, as not run.
func TestALimitedEndpointIsNotOverrun(t *testing.T) {
	const limit, length = 4, 9 * time.Second
	for _, kind := range []table.Kind{table.Idempotent, table.Unsafe, table.Stream} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var arrivals []time.Time
			h := newGateFixture(t, time.Second, plainRoute(kind, 2), func(w http.ResponseWriter, _ *http.Request) {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
				w.Header().Set(headerLimit, fmt.Sprint(limit))
			})
			started := time.Now()
			var next, served atomic.Int64
			var callers sync.WaitGroup
			for range 8 {
				callers.Go(func() {
					for time.Since(started) < length {
						status, body, err := h.get(fmt.Sprint(next.Add(1)))
						h.g.Expect(err).NotTo(gomega.HaveOccurred())
						if status == http.StatusOK {
							served.Add(1)
							continue
						}
						h.g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
						h.g.Expect(body).To(gomega.ContainSubstring("it has not run"))
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			callers.Wait()
			h.g.Expect(int(served.Load())).To(gomega.Equal(len(arrivals)), "every request that arrived was answered")
			for _, first := range arrivals {
				if first.Sub(started) < 3*time.Second {
					continue
				}
				within := 0
				for _, at := range arrivals {
					if d := at.Sub(first); d >= 0 && d < 4*time.Second {
						within++
					}
				}
				h.g.Expect(within).To(gomega.BeNumerically("<=", 1.5*limit*4+5))
			}
		})
	}
}

// An endpoint's limit ends with the first answer that names none, and its requests are
// no longer spaced.
func TestALimitEndsWithTheAnswerThatNamesNone(t *testing.T) {
	var answers atomic.Int64
	h := newGateFixture(t, time.Second, plainRoute(table.Idempotent, 1), func(w http.ResponseWriter, _ *http.Request) {
		if answers.Add(1) == 1 {
			w.Header().Set(headerLimit, "50")
		}
	})
	for i := range 100 {
		status, _, err := h.get(fmt.Sprint(i))
		h.g.Expect(err).NotTo(gomega.HaveOccurred())
		h.g.Expect(status).To(gomega.Equal(http.StatusOK))
	}
}

// Gates tell each other through the vaults what they send to a limited endpoint, and
// whether it is still limited, also a gate that has never heard of the limit itself.
func TestGatesShareTheLimitOfAnEndpoint(t *testing.T) {
	r := newVaultCluster(t, 1)
	start := func(name string) *Gate {
		s := &site.Site{Node: name, Centre: "centre-0", MaxLostHosts: 1, Memory: 64 << 20, Grace: time.Second}
		return startGate(t, s, r.registry, plainRoute(table.Idempotent, 1), nil).gate
	}
	hear := func(g *Gate, said caps.Cap) {
		said.HeardAt, said.Own = time.Now(), true
		g.mu.Lock()
		defer g.mu.Unlock()
		g.hearLimit(said.HeardAt, "e", said)
		g.vaults.exchange.markLimited()
	}
	rate := func(g *Gate) func() float64 {
		return func() float64 {
			g.vaults.exchange.markChanged()
			g.mu.Lock()
			defer g.mu.Unlock()
			limit, _ := g.caps.Rate("e", 0)
			return limit
		}
	}
	wait := func(g *Gate) func() time.Duration {
		return func() time.Duration {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.quota.Wait(time.Now(), "e", 2)
		}
	}
	first, second := start("first"), start("second")
	hear(first, caps.Cap{Rate: 2})
	r.g.Eventually(rate(second)).WithTimeout(5 * time.Second).Should(gomega.Equal(2.0))
	r.g.Eventually(wait(second)).WithTimeout(5 * time.Second).Should(gomega.BeZero())
	first.mu.Lock()
	for range 12 {
		first.quota.Take(time.Now(), "e", 0)
	}
	first.mu.Unlock()
	r.g.Eventually(wait(second)).WithTimeout(time.Second).Should(gomega.BeNumerically(">", 0), "the other has used it up")
	hear(second, caps.Cap{Lifted: true})
	r.g.Eventually(rate(first)).WithTimeout(5 * time.Second).Should(gomega.BeZero())
}
