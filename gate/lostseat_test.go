package gate

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
)

// newestRoster returns the roster in the registry.
func (r *vaultCluster) newestRoster() *seats.Roster {
	roster, _, err := r.registry.Roster(context.Background())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	return roster
}

// emptyHost has a host emptied and stops it.
func (r *vaultCluster) emptyHost(i int) {
	node := r.hosts[i].site.Node
	r.registry.Retire(node)
	r.g.Eventually(func() bool { return r.registry.Retired(node) }).WithTimeout(10 * time.Second).Should(gomega.BeTrue())
	r.hosts[i].stop()
}

// replaceHost stops a host for good and starts a new one, and waits until that one has a seat and as many
// seats count as there are hosts.
func (r *vaultCluster) replaceHost(i int, name string, losses, seated int) {
	r.hosts[i].stop()
	r.addVault(name, losses, false)
	r.g.Eventually(func() bool { return r.newestRoster().Find(name) != nil }).WithTimeout(10 * time.Second).Should(gomega.BeTrue())
	r.g.Eventually(r.caughtUpSeats).WithTimeout(10 * time.Second).Should(gomega.Equal(seated))
}

// After a host is emptied there is a free seat. A host that is gone for good was replaced by one that took the
// free seat, so its own stayed in the roster, and the loss of one disk ended all turns for good.
func TestANewcomerTakesTheSeatOfAHostThatIsGoneBeforeAFreeOne(t *testing.T) {
	for _, replaced := range []int{1, 2} {
		t.Run([]string{"", "one replaced", "two replaced"}[replaced], func(t *testing.T) {
			t.Parallel()
			r := newVaultCluster(t, 1)
			recorded := r.recordEverywhere(1)
			r.emptyHost(0)
			for i := 1; i <= replaced; i++ {
				r.replaceHost(i, []string{"", "first", "second"}[i], 1, 2)
			}
			r.wipeDisk(3)
			r.g.Eventually(r.caughtUpSeats).WithTimeout(12 * time.Second).Should(gomega.Equal(2))
			for _, id := range recorded {
				_, err := r.openTurn(id)
				r.g.Expect(err).NotTo(gomega.HaveOccurred(), id)
			}
		})
	}
}

// A host with a seat restarts while another one that is new finds a free seat. The newcomer leaves the seat of
// the first to it, and takes the free one.
func TestANewcomerLeavesTheSeatOfAHostThatRestarts(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.emptyHost(0)
	r.leave(1)
	r.addVault("new", 1, false)
	time.Sleep(500 * time.Millisecond) // a restart takes less than a holder may be silent
	r.start(r.hosts[1])
	r.g.Eventually(r.caughtUpSeats).WithTimeout(10 * time.Second).Should(gomega.Equal(3))
	r.g.Expect(r.newestRoster().Find("vault-1")).NotTo(gomega.BeNil())
}
