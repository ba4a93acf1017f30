package gate

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

// spend opens a turn with a budget and ends it with what it used.
func (r *rig) spend(turn string, most, used, budget int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	hold := &chains.Hold{Program: "p", Turn: turn, MaxTokens: most, Retention: time.Minute}
	_, err := r.bank.open(ctx, hold, budget, "")
	switch {
	case err != nil:
		used = 0 // it does not run
	case used < 0:
		return nil
	}
	settled := r.bank.settle(ctx, &chains.Spent{Program: "p", Turn: turn, Used: used, Retention: time.Minute})
	return errors.CombineErrors(err, settled)
}

// wipe stops a host and gives it an empty disk.
func (r *rig) wipe(i int) {
	h := r.hosts[i]
	h.stop()
	r.g.Expect(os.RemoveAll(h.site.Data)).To(gomega.Succeed())
	r.g.Expect(os.MkdirAll(h.site.Data, 0o700)).To(gomega.Succeed())
	h.site.FirstStart = false
	r.start(h)
}

func (r *rig) settled() {
	r.g.Eventually(r.counting).WithTimeout(10 * time.Second).Should(gomega.Equal(3))
}

// The disks of all vaults are lost one after the other, each once the one before
// counts again. No turn and no token is forgotten.
func TestDisksLostOneAfterTheOtherLoseNothing(t *testing.T) {
	r := newRig(t, 1)
	for i := range 30 {
		r.put(turnOf(fmt.Sprint("t", i), ""), i%3, (i+1)%3)
	}
	r.g.Expect(r.spend("x", 60, -1, 100)).To(gomega.Succeed(), "its outcome is never known")
	for i := range r.hosts {
		r.wipe(i)
		r.settled()
	}
	fresh := r.newBank(1)
	r.bank = fresh
	r.g.Eventually(func() int { return len(fresh.current().Seats) }).Should(gomega.Equal(3))
	for i := range 30 {
		_, err := r.open(fmt.Sprint("t", i))
		r.g.Expect(err).NotTo(gomega.HaveOccurred(), "turn %d", i)
	}
	r.g.Expect(errors.Is(r.spend("y", 60, 0, 100), errSpent)).To(gomega.BeTrue())
	r.g.Expect(r.spend("z", 20, 0, 100)).To(gomega.Succeed())
}

// One disk is lost while all the others lose power.
func TestAllRestartWhileOneDiskIsLost(t *testing.T) {
	r := newRig(t, 1)
	r.put(turnOf("a", ""), 0, 1)
	r.put(turnOf("b", "a"), 0, 2)
	r.g.Expect(r.spend("x", 60, 50, 100)).To(gomega.Succeed())
	for _, i := range []int{1, 2} {
		r.hosts[i].stop()
		r.hosts[i].site.FirstStart = false
	}
	r.wipe(0)
	r.start(r.hosts[1])
	r.start(r.hosts[2])
	r.settled()
	chain, err := r.open("b")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(ids(chain)).To(gomega.Equal([]string{"a", "b"}))
	r.g.Expect(errors.Is(r.spend("y", 60, 0, 100), errSpent)).To(gomega.BeTrue())
}

// A host is gone for good; an empty one takes its seat and then counts, so that
// another loss is borne.
func TestASpareTakesTheSeatOfALostHost(t *testing.T) {
	r := newRig(t, 1)
	r.put(turnOf("a", ""), 0, 1)
	r.hosts[0].stop()
	r.add("late", 1, false)
	r.settled()
	r.hosts[1].stop()
	chain, err := r.open("a")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(ids(chain)).To(gomega.Equal([]string{"a"}))
}

// A host is to be emptied: with a spare, which takes its seat, and without.
func TestAnEmptiedHostMayGoWithItsDisk(t *testing.T) {
	for _, spares := range []int{0, 1} {
		t.Run(fmt.Sprint(spares, " spares"), func(t *testing.T) {
			r := newRig(t, 1)
			r.put(turnOf("a", ""), 0, 1)
			r.put(turnOf("b", ""), 2, 0)
			for range spares {
				r.add("spare", 1, false)
				r.g.Eventually(func() int {
					known, err := r.agreed.Spares(context.Background())
					r.g.Expect(err).NotTo(gomega.HaveOccurred())
					return len(known)
				}).WithTimeout(5 * time.Second).Should(gomega.Equal(1))
			}
			r.agreed.Retire("vault-0")
			r.g.Eventually(func() bool { return r.agreed.Retired("vault-0") }).WithTimeout(10 * time.Second).Should(gomega.BeTrue())
			r.hosts[0].stop()
			r.g.Expect(r.counting()).To(gomega.Equal(2 + spares))
			for _, id := range []string{"a", "b"} {
				_, err := r.open(id)
				r.g.Expect(err).NotTo(gomega.HaveOccurred(), id)
			}
		})
	}
}

// Sub-agents spend at the same time through several gates.
func TestConcurrentTurnsNeverHoldMoreThanTheBudget(t *testing.T) {
	r := newRig(t, 1)
	banks := []*bank{r.bank, r.newBank(1), r.newBank(1)}
	for _, b := range banks {
		r.g.Eventually(func() int { return len(b.current().Seats) }).Should(gomega.Equal(3))
	}
	granted := make(chan bool, 30)
	for i := range 30 {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			hold := &chains.Hold{Program: "p", Turn: fmt.Sprint(i), MaxTokens: 10, Retention: time.Minute}
			_, err := banks[i%3].open(ctx, hold, 75, "")
			granted <- err == nil
		}()
	}
	total := 0
	for range 30 {
		if <-granted {
			total += 10
		}
	}
	r.g.Expect(total).To(gomega.BeNumerically("<=", 75))
}

// While one vault after the other was away, a program's turns were noted by
// different quorums: no single copy knows all that was spent.
func TestABudgetIsAddedUpOverAQuorum(t *testing.T) {
	r := newRig(t, 1)
	for i := range r.hosts {
		for _, at := range []int{i, (i + 1) % 3} {
			h := r.hosts[at]
			spent := &chains.Spent{Program: "p", Turn: fmt.Sprint("turn-", i), Used: 30, Retention: time.Minute}
			m, err := r.ask(net.JoinHostPort(h.site.IP, strconv.Itoa(h.site.FirstPort)), &vaults.End{Version: r.bank.current().Version, Spent: spent})
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			r.g.Expect(m).To(gomega.Equal(&vaults.EndReply{}))
		}
	}
	r.g.Expect(errors.Is(r.spend("over", 10, 0, 80), errSpent)).To(gomega.BeTrue(), "90 are spent")
	r.g.Expect(r.spend("last", 10, 10, 100)).To(gomega.Succeed(), "and no more than 90")
	r.g.Expect(errors.Is(r.spend("over", 10, 0, 100), errSpent)).To(gomega.BeTrue())
}
