package gate

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/site"
)

// Gates must learn of each other's running calls through the vault of their own
// data centre, within moments and without starting turns. The list must not
// come from another data centre unless this one has no vault.
func TestGatesLearnEachOthersCallCounts(t *testing.T) {
	r := newVaultCluster(t, 1)
	roster := r.client.currentRoster()
	start := time.Now()
	order := roster.Order(r.client.site.Centre, "")
	near, far := order[0], order[1]
	for _, s := range roster.Seats {
		l := r.client.exchange.loadFor(start, roster, s)
		r.g.Expect(l.WantOthers).To(gomega.Equal(s.Node == near.Node), s.Node)
		again := r.client.exchange.loadFor(start.Add(remoteLoadEvery/2), roster, s)
		r.g.Expect(again != nil).To(gomega.Equal(s.Node == near.Node), "load was sent just before")
	}
	remote := newLoadExchange(&site.Site{Node: "away", Centre: "without vaults"})
	r.g.Expect(remote.loadFor(start, roster, near).WantOthers).To(gomega.BeTrue())
	r.g.Expect(remote.loadFor(start, roster, far).WantOthers).To(gomega.BeFalse(), "load was requested just before")

	large := map[string]int{}
	for i := range 3000 {
		large[fmt.Sprint("e", i)] = 1
	}
	remote.receive("near", &vaults.LoadReply{OtherCalls: large})
	r.g.Expect(remote.fullLoad(start.Add(100*time.Millisecond), "near").WantOthers).To(gomega.BeFalse(), "a long list is requested less often")
	r.g.Expect(remote.fullLoad(start.Add(200*time.Millisecond), "near").WantOthers).To(gomega.BeTrue())

	other := r.newClient(1)
	other.site.Node = "other"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var calls atomic.Int64
	for _, b := range []*vaultClient{r.client, other} {
		go b.connectLoop(ctx)
		go b.loadLoop(ctx)
	}
	r.client.exchange.runningCalls = func() map[string]int { return map[string]int{"e": int(calls.Load())} }
	r.g.Eventually(func() bool {
		return r.client.connection(near.Addr).Connected() && other.connection(near.Addr).Connected()
	}).Should(gomega.BeTrue())
	for n := range 3 {
		calls.Store(int64(n + 1))
		r.client.exchange.markChanged()
		r.g.Eventually(func() int {
			other.exchange.markChanged()
			counts, _ := other.exchange.others(time.Now())
			return counts["e"]
		}).WithTimeout(300 * time.Millisecond).WithPolling(10 * time.Millisecond).Should(gomega.Equal(n + 1))
	}
}

// An endpoint that fails more often than not at one gate must be reported to
// the other gates.
func TestGatesLearnOfFailingEndpoints(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.client.exchange.recentOutcomes = func() (good, bad map[string]int) {
		return map[string]int{"some": 9}, map[string]int{"some": 5, "most": 5, "once": 1}
	}
	_, err := r.openTurn("")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	other := r.newClient(1)
	other.site.Node = "other"
	r.client = other
	r.g.Eventually(func() []string {
		_, err := r.openTurn("")
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		return other.exchange.failingEndpoints(time.Now())
	}).WithTimeout(2 * time.Second).Should(gomega.Equal([]string{"most"}))
	r.g.Expect(other.exchange.failingEndpoints(time.Now().Add(failingAge+time.Second))).To(gomega.BeEmpty(), "the report is too old")
}
