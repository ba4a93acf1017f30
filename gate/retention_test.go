package gate

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

// longExpiry is longer than the pause between two removals of expired records.
const longExpiry = 15 * time.Second

// briefTurn returns a turn whose own retention is over at once.
func briefTurn(id, previous, root string) *chains.Turn {
	t := newTurn(id, previous)
	t.Retention, t.Root = time.Millisecond, root
	return t
}

// addr returns the address of a host.
func (r *vaultCluster) addr(host int) string {
	s := r.hosts[host].site
	return net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort))
}

// holds reports whether a host holds a turn.
func (r *vaultCluster) holds(host int, id string) bool {
	m, err := r.call(r.addr(host), &vaults.Get{Turns: []string{id}})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	return len(m.(*vaults.GetReply).Turns) > 0
}

// awaitExpiry waits until some hosts have dropped what they need not keep.
func (r *vaultCluster) awaitExpiry(name string, hosts ...int) {
	id := func(host int) string { return fmt.Sprint(name, "-", host) }
	for _, i := range hosts {
		r.recordAt(briefTurn(id(i), "", ""), i)
	}
	for _, i := range hosts {
		r.g.Eventually(func() bool { return r.holds(i, id(i)) }).WithTimeout(longExpiry).Should(gomega.BeFalse())
	}
}

// reopenChain opens a turn through a gate that has nothing cached.
func (r *vaultCluster) reopenChain(previous string) ([]string, error) {
	r.client = r.newClient(1)
	r.g.Eventually(func() int { return len(r.client.currentRoster().Seats) }).WithTimeout(5 * time.Second).Should(gomega.Equal(3))
	chain, err := r.openTurn(previous)
	return ids(chain), err
}

// A vault dropped a turn because the turns that continue it were recorded at other vaults.
// The copy on one disk was then the only one, and its loss ended the chain.
func TestAChainIsKeptWhereItsLaterTurnsAreNotHeard(t *testing.T) {
	t.Parallel()
	for name, root := range map[string]string{"with its root": "a", "of an earlier build": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newVaultCluster(t, 1)
			r.recordAt(briefTurn("a", "", ""), 0, 2)
			next := newTurn("b", "a")
			next.Root = root
			r.recordAt(next, 1, 2)
			r.awaitExpiry("old", 0, 2)
			r.wipeDisk(2)
			r.waitCaughtUp()
			chain, err := r.reopenChain("b")
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			r.g.Expect(chain).To(gomega.Equal([]string{"a", "b"}))
		})
	}
}

// Each vault lacked another turn of a chain, so that no vault heard that its first turn was
// still needed, and all dropped it.
func TestAChainIsKeptWhereEachVaultLacksATurn(t *testing.T) {
	t.Parallel()
	r := newVaultCluster(t, 1)
	r.recordAt(briefTurn("a", "", ""), 0, 2)
	r.recordAt(briefTurn("b", "a", "a"), 0, 1)
	last := newTurn("c", "b")
	last.Root = "a"
	r.recordAt(last, 1, 2)
	r.awaitExpiry("old", 0, 1, 2)
	chain, err := r.reopenChain("c")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(chain).To(gomega.Equal([]string{"a", "b", "c"}))
}

// A vault that copies turns after their successors, as one with an empty disk does, dropped
// them early.
func TestACopiedTurnIsKeptAsLongAsItsSuccessors(t *testing.T) {
	t.Parallel()
	r := newVaultCluster(t, 1)
	r.recordAt(newTurn("b", "a"), 0, 1)
	r.recordAt(briefTurn("a", "", ""), 0, 1)
	r.awaitExpiry("old", 0, 1)
	chain, err := r.reopenChain("b")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(chain).To(gomega.Equal([]string{"a", "b"}))
}

// While too few vaults answer, a vault cannot know which chains go on.
func TestNothingExpiresWhileOtherVaultsAreAway(t *testing.T) {
	t.Parallel()
	r := newVaultCluster(t, 1)
	r.recordAt(briefTurn("a", "", ""), 0, 2)
	r.recordAt(newTurn("b", "a"), 1, 2)
	for _, i := range []int{1, 2} {
		r.hosts[i].stop()
		r.hosts[i].site.FirstStart = false
	}
	r.g.Consistently(func() bool { return r.holds(0, "a") }).WithTimeout(6 * time.Second).Should(gomega.BeTrue())
	r.start(r.hosts[1])
	r.awaitExpiry("old", 0)
	r.g.Expect(r.holds(0, "a")).To(gomega.BeTrue())
}

// spendAt records at some of the hosts only what a turn of program p has spent.
func (r *vaultCluster) spendAt(turn string, used int, retention time.Duration, hosts ...int) {
	roster, _, err := r.registry.Roster(context.Background())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, i := range hosts {
		spent := &chains.Spent{Program: "p", Turn: turn, Used: used, Retention: retention}
		m, err := r.call(r.addr(i), &vaults.End{Version: roster.Version, Spent: spent})
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		r.g.Expect(m).To(gomega.Equal(&vaults.EndReply{}))
	}
}

// A vault forgot what a program had spent because its later turns were recorded at other vaults.
// While one of these was away, the program could spend that again.
func TestSpendingIsKeptWhereLaterTurnsAreNotHeard(t *testing.T) {
	t.Parallel()
	r := newVaultCluster(t, 1)
	r.spendAt("early", 60, time.Millisecond, 0, 2)
	r.spendAt("late", 20, time.Minute, 1, 2)
	r.awaitExpiry("old", 0)
	r.hosts[2].stop()
	r.g.Expect(errors.Is(r.spendTokens("y", 30, 0, 100), errSpent)).To(gomega.BeTrue())
	r.g.Expect(r.spendTokens("z", 20, 0, 100)).To(gomega.Succeed())
}

// A program's first records were removed from the disks by their own time, and the vaults were
// restarted in turn. The program could spend those tokens again.
func TestSpendingIsKeptOverRestartsInTurn(t *testing.T) {
	t.Parallel()
	r := newVaultCluster(t, 1)
	r.spendAt("early", 60, time.Millisecond, 0, 1, 2)
	for i := range 6 {
		other := briefTurn(fmt.Sprint("other-", i), "", "")
		other.Program, other.Input = "q", make([]byte, 1<<20) // so that another file of the log begins
		r.recordAt(other, 0, 1, 2)
	}
	r.spendAt("late", 20, time.Minute, 0, 1, 2)
	for _, name := range []string{"old", "older"} { // files are removed after their records
		r.awaitExpiry(name, 0, 1, 2)
	}
	for _, h := range r.hosts {
		h.stop()
		h.site.FirstStart = false
		r.start(h)
		r.waitCaughtUp()
	}
	r.g.Expect(errors.Is(r.spendTokens("y", 30, 0, 100), errSpent)).To(gomega.BeTrue())
	r.g.Expect(r.spendTokens("z", 20, 0, 100)).To(gomega.Succeed())
}

// A gate went on from a turn in its cache that all vaults had dropped, since its retention was over.
// The new turn could not be continued through any other gate.
func TestATurnThatTheVaultsHaveDroppedIsNotContinued(t *testing.T) {
	t.Parallel()
	r := newVaultCluster(t, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r.g.Expect(r.client.recordTurn(ctx, briefTurn("a", "", ""))).To(gomega.Succeed())
	r.g.Expect(r.client.recordTurn(ctx, newTurn("fresh", ""))).To(gomega.Succeed())
	r.awaitExpiry("old", 0, 1, 2)
	_, err := r.openTurn("a")
	r.g.Expect(err).To(gomega.MatchError(errUnknown))
	fetched := r.client.cacheMisses.Get()
	_, err = r.openTurn("fresh")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(r.client.cacheMisses.Get()).To(gomega.Equal(fetched), "a turn within its retention is taken from the cache")
}
