package gate

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/peers"
	"github.com/cowslipstage/cowslipstage/transport/wsrpc"
)

// vaultCut cuts one gate off from all vaults while it is set.
type vaultCut struct {
	atomic.Bool
	node string
}

func (c *vaultCut) prepare(g *Gate) {
	if g.site.Node != c.node {
		return
	}
	g.vaults.clients.SetDials(func(ctx context.Context, addr string) (net.Conn, error) {
		if c.Load() {
			return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
		}
		return wsrpc.Dial(ctx, addr)
	}, g.dialVault)
}

// cut breaks the gate's connections to the vaults and lets it make no new ones.
func (c *vaultCut) cut(g *Gate) {
	c.Store(true)
	for _, s := range g.vaults.currentRoster().Seats {
		g.vaults.connection(s.Addr).Close()
	}
}

func (g *Gate) detours() int {
	n := 0
	for _, s := range g.vaults.currentRoster().Seats {
		if g.vaults.connection(s.Addr).Detour() {
			n++
		}
	}
	return n
}

// A gate loses its way to every vault, and other gates keep theirs. Its callers were refused for
// as long as the cut lasted; they are served by connections through another gate. After the cut
// the gate connects directly again.
func TestAGateWithoutVaultsReachesThemThroughAnother(t *testing.T) {
	c := &vaultCut{node: "gate-0"}
	p := newTurnPair(t, c.prepare)
	cutOff := p.gates[0].gate
	p.g.Eventually(func() bool { _, ok := cutOff.pickRelay(time.Now()); return ok }).WithTimeout(15 * time.Second).Should(gomega.BeTrue())
	c.cut(cutOff)
	p.g.Eventually(func() int {
		status, _ := p.turn(0, fmt.Sprint("first-", p.turns), 1000)
		return status
	}).WithTimeout(3 * time.Second).Should(gomega.Equal(http.StatusOK))
	p.g.Eventually(cutOff.detours).WithTimeout(3 * time.Second).Should(gomega.Equal(3))
	for i := range 20 {
		status, _ := p.turn(0, fmt.Sprint("then-", i), 1000)
		p.g.Expect(status).To(gomega.Equal(http.StatusOK))
	}
	c.Store(false)
	p.g.Eventually(cutOff.detours).WithTimeout(10 * time.Second).Should(gomega.BeZero())
	status, _ := p.turn(0, "after", 1000)
	p.g.Expect(status).To(gomega.Equal(http.StatusOK))
	p.g.Eventually(func() int64 { return p.gates[1].gate.vaultRelays.Load() }).WithTimeout(5 * time.Second).Should(gomega.BeZero())
}

// All gates are cut off. None relays for another, so that a request for a connection goes
// through one gate at most, and callers are refused at once.
func TestGatesWithoutVaultsDoNotRelayInCircles(t *testing.T) {
	a, b := &vaultCut{node: "gate-0"}, &vaultCut{node: "gate-1"}
	p := newTurnPair(t, a.prepare, b.prepare)
	for _, h := range p.gates {
		p.g.Eventually(func() bool { _, ok := h.gate.pickRelay(time.Now()); return ok }).WithTimeout(15 * time.Second).Should(gomega.BeTrue())
	}
	a.cut(p.gates[0].gate)
	b.cut(p.gates[1].gate)
	p.g.Eventually(p.gates[0].gate.vaults.cutOff).WithTimeout(5 * time.Second).Should(gomega.BeTrue())
	p.g.Eventually(p.gates[1].gate.vaults.cutOff).WithTimeout(5 * time.Second).Should(gomega.BeTrue())
	relayed := p.gates[1].gate.meters.relayed.Get()
	started := time.Now()
	status, endpoint := p.turn(0, "p", 1000)
	p.g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	p.g.Expect(endpoint).To(gomega.BeEmpty())
	p.g.Expect(time.Since(started)).To(gomega.BeNumerically("<", time.Second))
	p.g.Expect(p.gates[1].gate.meters.relayed.Get()).To(gomega.Equal(relayed))
}

// A cut-off gate reached only some vaults for a second or more, since it tried each of them through
// gates that were cut off as well. Its requests were then missing in the quotas that the others
// keep. A relay that has reached one vault is tried first for the next.
func TestTheRelayThatReachedAVaultIsTriedFirst(t *testing.T) {
	p := newTurnPair(t)
	gate, now := p.gates[0].gate, time.Now()
	gate.mu.Lock()
	gate.relays.peers = []peers.Peer{{Addr: "10.0.0.1:1"}, {Addr: "10.0.0.2:1"}, {Addr: "10.0.0.3:1"}}
	gate.relays.vaultVia = peers.Peer{Addr: "10.0.0.2:1"}
	gate.mu.Unlock()
	for range 20 {
		via, ok := gate.pickVaultRelay(now)
		p.g.Expect(ok).To(gomega.BeTrue())
		p.g.Expect(via.Addr).To(gomega.Equal("10.0.0.2:1"))
	}
	gate.mu.Lock()
	gate.relays.failedAt["10.0.0.2:1"] = now
	gate.mu.Unlock()
	via, ok := gate.pickVaultRelay(now)
	p.g.Expect(ok).To(gomega.BeTrue())
	p.g.Expect(via.Addr).NotTo(gomega.Equal("10.0.0.2:1"))
}
