package gate

import (
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

// openAs opens a turn of an owner's program p that continues previous.
func (r *vaultCluster) openAs(owner, previous string) (*opened, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	hold := &chains.Hold{Program: chains.AccountKey(owner, "p"), Turn: "new", MaxTokens: 10, Retention: time.Minute}
	return r.client.openTurn(ctx, opening{hold: hold, budget: 1000, previous: previous, owner: owner})
}

func ownedTurn(id, previous, owner string) *chains.Turn {
	t := newTurn(id, previous)
	t.Owner, t.Program = owner, chains.AccountKey(owner, "p")
	t.Input = []byte("in " + id + " of " + owner)
	return t
}

// A customer names a turn of another one. It must get the answer for a turn that does not
// exist, by the same messages, whether or not the gate has the turn in its cache.
func TestAForeignTurnIsAnsweredLikeAnUnknownOne(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.recordAt(newTurn("old", ""), 0, 1, 2)
	r.recordAt(ownedTurn("x1", "old", "x"), 0, 1, 2)
	for _, cached := range []bool{false, true} {
		for _, owner := range []string{"y", ""} {
			misses, answers := r.client.cacheMisses.Get(), r.client.chainAnswers.Get()
			_, err := r.openAs(owner, "x1")
			r.g.Expect(err).To(gomega.MatchError(errUnknown), "%q, cached: %v", owner, cached)
			_, never := r.openAs(owner, "never")
			r.g.Expect(strings.Replace(err.Error(), "x1", "never", 1)).To(gomega.Equal(never.Error()))
			r.g.Expect(r.client.cacheMisses.Get()-misses).To(gomega.Equal(uint64(2)), "both asked the vaults")
			r.g.Expect(r.client.chainAnswers.Get()).To(gomega.Equal(answers))
		}
		o, err := r.openAs("x", "x1")
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		r.g.Expect(ids(o.chain)).To(gomega.Equal([]string{"old", "x1"}))
	}
	for _, owner := range []string{"x", "y", ""} {
		_, err := r.openAs(owner, "old")
		r.g.Expect(err).NotTo(gomega.HaveOccurred(), "a turn without an owner, named by %q", owner)
	}
}

// Two customers choose the same IDs. Each must get its own turn, also after a vault has lost
// its disk and copied the turns from others, and after all vaults restart.
func TestOwnersAreKeptOverCopiesAndRestarts(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.recordAt(ownedTurn("same", "", "x"), 0, 1)
	r.recordAt(ownedTurn("same", "", "y"), 0, 1)
	r.wipeDisk(0)
	r.waitCaughtUp()
	for i := range r.hosts {
		r.hosts[i].stop()
		r.hosts[i].site.FirstStart = false
	}
	for _, h := range r.hosts {
		r.start(h)
	}
	r.waitCaughtUp()
	addr := net.JoinHostPort(r.hosts[0].site.IP, strconv.Itoa(r.hosts[0].site.FirstPort))
	for owner, want := range map[string]string{"x": "in same of x", "y": "in same of y", "z": "", "": ""} {
		m, err := r.call(addr, &vaults.Fetch{Chain: "same", Owner: owner})
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		got := ""
		for _, turn := range m.(*vaults.FetchReply).Turns {
			got += string(turn.Input)
		}
		r.g.Expect(got).To(gomega.Equal(want), "owner %q", owner)
	}
}

// A customer's program must not spend the budget of another one's with the same ID, and
// must not get a new budget since it began before there were customers.
func TestBudgetsOfTwoOwnersAreApart(t *testing.T) {
	r := newVaultCluster(t, 1)
	spend := func(owner, turn string, used int) error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		program := chains.AccountKey(owner, "p")
		hold := &chains.Hold{Program: program, Turn: turn, MaxTokens: used, Retention: time.Minute}
		if _, err := r.client.openTurn(ctx, opening{hold: hold, budget: 100, owner: owner}); err != nil {
			return err
		}
		return r.client.settle(ctx, &chains.Spent{Program: program, Turn: turn, Used: used, Retention: time.Minute}, nil)
	}
	r.g.Expect(spend("", "before", 30)).To(gomega.Succeed())
	r.g.Expect(spend("x", "t", 70)).To(gomega.Succeed())
	r.g.Expect(spend("y", "t", 60)).To(gomega.Succeed())
	r.g.Expect(errors.Is(spend("x", "over", 1), errSpent)).To(gomega.BeTrue())
	r.g.Expect(spend("y", "last", 10)).To(gomega.Succeed())
	r.g.Expect(errors.Is(spend("y", "over", 1), errSpent)).To(gomega.BeTrue())
}

// A vault that has lost the key-value service, or that passes on what it heard before, must
// not make a gate's configuration look newer than the service's last word.
func TestVaultsConfirmAViewOnlyWhileTheyReachTheService(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.registry.SetView(routesView(7))
	for _, h := range r.hosts {
		h.stop()
		r.start(h)
	}
	r.client.site.Revocation = 5 * time.Second
	started := time.Now()
	_, k := r.startListener(r.client)
	r.g.Eventually(k.confirmedAt).WithTimeout(5 * time.Second).Should(gomega.BeTemporally(">=", started))
	r.g.Expect(k.AppliedRevision("")).To(gomega.Equal(int64(7)))
	r.registry.SetDown(true)
	down := time.Now()
	r.g.Consistently(k.confirmedAt).WithTimeout(2 * time.Second).Should(gomega.BeTemporally("<=", down))
	r.registry.SetDown(false)
	r.g.Eventually(k.confirmedAt).WithTimeout(5 * time.Second).Should(gomega.BeTemporally(">=", down))
}
