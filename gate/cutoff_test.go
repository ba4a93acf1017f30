package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/transport/pool"
)

// partition cuts a gate off from endpoints while it is set.
type partition struct {
	cut atomic.Bool
	// silent makes connects time out; otherwise they are refused.
	silent bool
	addrs  []string
}

func (p *partition) connect(ctx context.Context, addr string) (net.Conn, error) {
	if !p.cut.Load() || !slices.Contains(p.addrs, addr) {
		return pool.Dial(ctx, addr)
	}
	if !p.silent {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	ctx, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
}

// cutOffFixture is a gate that can be cut off from its endpoints, another one that
// reaches them, and vaults.
type cutOffFixture struct {
	*gateFixture
	partition *partition
	other     *gateFixture
	// ran counts the requests that endpoints got.
	ran atomic.Int64
}

func newCutOffFixture(t *testing.T, kind table.Kind, silent bool) *cutOffFixture {
	r := newVaultCluster(t, 1)
	f := &cutOffFixture{partition: &partition{silent: silent}}
	var entries []fleet.Entry
	for i := range 5 {
		e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			f.ran.Add(1)
			_, _ = io.WriteString(w, "data: fine\n\n")
		}))
		t.Cleanup(e.Close)
		addr := strings.TrimPrefix(e.URL, "http://")
		f.partition.addrs = append(f.partition.addrs, addr)
		entries = append(entries, fleet.Entry{ID: fmt.Sprint("e", i), Service: "s", Addr: addr, Centre: "c", Slots: 8})
	}
	start := func(name string, prepare ...func(*Gate)) *gateFixture {
		s := &site.Site{
			Node: name, Centre: "centre-0", IP: "127.0.0.1", FirstPort: freePort(r.g), MaxLostHosts: 1, Memory: 64 << 20, Grace: time.Second,
		}
		return startGate(t, s, r.registry, plainRoute(kind, 1), entries, prepare...)
	}
	f.other = start("other")
	f.gateFixture = start("cut-off", func(g *Gate) { g.connect = f.partition.connect })
	for _, h := range []*gateFixture{f.other, f.gateFixture} {
		r.g.Eventually(h.gate.acceptsCallers).WithTimeout(5 * time.Second).Should(gomega.BeTrue())
		r.g.Eventually(func() int { return len(h.gate.vaults.currentRoster().Seats) }).WithTimeout(5 * time.Second).Should(gomega.Equal(3))
	}
	return f
}

// A gate reaches no endpoint, while callers, vaults and other gates reach it. Within three
// seconds its callers must be served as others are, whether connects are refused or get
// no answer. After the cut it connects by itself again.
func TestCallersOfACutOffGateAreServed(t *testing.T) {
	for _, kind := range []table.Kind{table.Idempotent, table.Unsafe, table.Stream} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprint("kind ", kind, ", silent ", silent), func(t *testing.T) {
				t.Parallel()
				f := newCutOffFixture(t, kind, silent)
				f.partition.cut.Store(true)
				f.gate.pool.CloseAllIdle()
				for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
					_, _, err := f.get("early" + strconv.FormatInt(time.Since(begun).Milliseconds(), 10))
					f.g.Expect(err).NotTo(gomega.HaveOccurred())
				}
				for i := range 30 {
					status, body, err := f.get(fmt.Sprint(i))
					f.g.Expect(err).NotTo(gomega.HaveOccurred())
					f.g.Expect(status).To(gomega.Equal(http.StatusOK), body)
					f.g.Expect(body).To(gomega.Equal("data: fine\n\n"))
				}
				f.partition.cut.Store(false)
				f.g.Eventually(f.gate.isCutOff).WithTimeout(3 * time.Second).Should(gomega.BeFalse())
				relayed := f.other.gate.meters.relayed.Get()
				_, _, err := f.get("after")
				f.g.Expect(err).NotTo(gomega.HaveOccurred())
				f.g.Expect(f.other.gate.meters.relayed.Get()).To(gomega.Equal(relayed))
			})
		}
	}
}

// A gate that is cut off and knows no gate with a way to the endpoints refuses its callers at once,
// says that nothing has run, and takes no new ones.
func TestACutOffGateWithoutRelaysRefusesAtOnce(t *testing.T) {
	f := newCutOffFixture(t, table.Unsafe, true)
	f.other.stop()
	f.other.done.Wait()
	f.partition.cut.Store(true)
	f.g.Eventually(func() bool {
		_, _, err := f.get("early")
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		return f.gate.isCutOff()
	}).WithTimeout(3 * time.Second).Should(gomega.BeTrue())
	f.g.Eventually(f.gate.acceptsCallers).WithTimeout(5 * time.Second).Should(gomega.BeFalse())
	begun := time.Now()
	status, body, err := f.get("x")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	f.g.Expect(body).To(gomega.ContainSubstring("it has not run"))
	f.g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 250*time.Millisecond), "no connect was awaited")
	f.g.Expect(f.ran.Load()).To(gomega.BeZero())
}

// A gate connects for another one only to endpoints that it knows.
func TestAGateRelaysToEndpointsOnly(t *testing.T) {
	f := newCutOffFixture(t, table.Unsafe, false)
	_, err := f.other.gate.dialForPeer(context.Background(), f.gate.site.Frontend)
	f.g.Expect(err).To(gomega.HaveOccurred())
	conn, err := f.other.gate.dialForPeer(context.Background(), f.partition.addrs[0])
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = conn.Close()
	f.partition.cut.Store(true)
	f.gate.mu.Lock()
	for _, addr := range f.partition.addrs {
		f.gate.cutoff.Fail(time.Now(), time.Now(), addr, false, len(f.partition.addrs))
	}
	f.gate.mu.Unlock()
	_, err = f.gate.dialForPeer(context.Background(), f.partition.addrs[0])
	f.g.Expect(err).To(gomega.HaveOccurred(), "a relay that is cut off itself")
}
