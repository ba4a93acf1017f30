package gate

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/standin/coord"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

// spendTokens opens a turn with a budget and settles it with what it used. A
// negative used leaves it unsettled.
func (r *vaultCluster) spendTokens(turn string, most, used, budget int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	hold := &chains.Hold{Program: "p", Turn: turn, MaxTokens: most, Retention: time.Minute}
	_, err := r.client.openTurn(ctx, opening{hold: hold, budget: budget})
	switch {
	case err != nil:
		used = 0 // the turn does not run
	case used < 0:
		return nil
	}
	settled := r.client.settle(ctx, &chains.Spent{Program: "p", Turn: turn, Used: used, Retention: time.Minute}, nil)
	return errors.CombineErrors(err, settled)
}

// wipeDisk stops a host and starts it again with an empty disk.
func (r *vaultCluster) wipeDisk(i int) {
	h := r.hosts[i]
	h.stop()
	r.g.Expect(os.RemoveAll(h.site.Data)).To(gomega.Succeed())
	r.g.Expect(os.MkdirAll(h.site.Data, 0o700)).To(gomega.Succeed())
	h.site.FirstStart = false
	r.start(h)
}

// waitCaughtUp waits until three seats count as copies.
func (r *vaultCluster) waitCaughtUp() {
	r.g.Eventually(r.caughtUpSeats).WithTimeout(10 * time.Second).Should(gomega.Equal(3))
}

// The disks of all vaults are lost one after the other, each once the one
// before counts as a copy again. No turn and no token may be forgotten.
func TestDisksLostOneAfterTheOtherLoseNothing(t *testing.T) {
	r := newVaultCluster(t, 1)
	for i := range 30 {
		r.recordAt(newTurn(fmt.Sprint("t", i), ""), i%3, (i+1)%3)
	}
	r.g.Expect(r.spendTokens("x", 60, -1, 100)).To(gomega.Succeed(), "its outcome is never known")
	for i := range r.hosts {
		r.wipeDisk(i)
		r.waitCaughtUp()
	}
	fresh := r.newClient(1)
	r.client = fresh
	r.g.Eventually(func() int { return len(fresh.currentRoster().Seats) }).Should(gomega.Equal(3))
	for i := range 30 {
		_, err := r.openTurn(fmt.Sprint("t", i))
		r.g.Expect(err).NotTo(gomega.HaveOccurred(), "turn %d", i)
	}
	r.g.Expect(errors.Is(r.spendTokens("y", 60, 0, 100), errSpent)).To(gomega.BeTrue())
	r.g.Expect(r.spendTokens("z", 20, 0, 100)).To(gomega.Succeed())
}

// One disk is lost while all the other hosts restart. Turns and spending must
// be kept.
func TestAllRestartWhileOneDiskIsLost(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.recordAt(newTurn("a", ""), 0, 1)
	r.recordAt(newTurn("b", "a"), 0, 2)
	r.g.Expect(r.spendTokens("x", 60, 50, 100)).To(gomega.Succeed())
	for _, i := range []int{1, 2} {
		r.hosts[i].stop()
		r.hosts[i].site.FirstStart = false
	}
	r.wipeDisk(0)
	r.start(r.hosts[1])
	r.start(r.hosts[2])
	r.waitCaughtUp()
	chain, err := r.openTurn("b")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(ids(chain)).To(gomega.Equal([]string{"a", "b"}))
	r.g.Expect(errors.Is(r.spendTokens("y", 60, 0, 100), errSpent)).To(gomega.BeTrue())
}

// A host is lost for good. An empty one must take its seat and catch up, so
// that another loss can be survived.
func TestASpareTakesTheSeatOfALostHost(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.recordAt(newTurn("a", ""), 0, 1)
	r.hosts[0].stop()
	r.addVault("late", 1, false)
	r.waitCaughtUp()
	r.hosts[1].stop()
	chain, err := r.openTurn("a")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(ids(chain)).To(gomega.Equal([]string{"a"}))
}

// A spare has run since the whole system started, and its disk is empty. It must
// catch up before it counts in the seat of a lost host.
func TestASpareOfTheFirstStartCatchesUp(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.addVault("spare", 1, true)
	r.g.Eventually(func() int {
		known, err := r.registry.Spares(context.Background())
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		return len(known)
	}).WithTimeout(5 * time.Second).Should(gomega.Equal(1))
	r.recordAt(newTurn("a", ""), 0, 1)
	r.hosts[0].stop()
	r.waitCaughtUp()
	r.hosts[1].stop()
	chain, err := r.openTurn("a")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(ids(chain)).To(gomega.Equal([]string{"a"}))
}

// caughtUpPause is how often a vault that counts looks at the roster.
const caughtUpPause = 2 * time.Second

// A host is retired, and right after that another one loses its disk. It must be
// able to catch up, so the retired host must not have a seat any more.
func TestADiskIsLostRightAfterAHostIsRetired(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.recordAt(newTurn("a", ""), 0, 1)
	r.registry.Retire("vault-0")
	r.g.Eventually(func() bool { return r.registry.Retired("vault-0") }).WithTimeout(10 * time.Second).Should(gomega.BeTrue())
	r.g.Consistently(func() string {
		roster, _, err := r.registry.Roster(context.Background())
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		return roster.String()
	}).WithTimeout(2 * caughtUpPause).ShouldNot(gomega.ContainSubstring("vault-0"))
	r.hosts[0].stop()
	r.wipeDisk(1)
	r.g.Eventually(r.caughtUpSeats).WithTimeout(10 * time.Second).Should(gomega.Equal(2))
	chain, err := r.openTurn("a")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(ids(chain)).To(gomega.Equal([]string{"a"}))
}

// All hosts lose power, and a spare is back seconds before the others. It must leave
// them their seats, because only they hold what was recorded.
func TestASpareThatIsBackFirstTakesNoSeat(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.addVault("spare", 1, false)
	r.recordAt(newTurn("a", ""), 0, 1)
	before := r.client.currentRoster().String()
	for _, h := range r.hosts[:3] {
		h.stop()
		h.site.FirstStart = false
	}
	time.Sleep(3 * time.Second) // twice as long as a seat's holder may be silent
	for _, h := range r.hosts[:3] {
		r.start(h)
	}
	r.waitCaughtUp()
	chain, err := r.openTurn("a")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(ids(chain)).To(gomega.Equal([]string{"a"}))
	r.g.Expect(r.client.currentRoster().String()).To(gomega.Equal(before))
}

// The operators retire a host. Its records must survive without it, with a
// spare that takes its seat and without one.
func TestARetiredHostCanBeRemovedWithItsDisk(t *testing.T) {
	for _, spares := range []int{0, 1} {
		t.Run(fmt.Sprint(spares, " spares"), func(t *testing.T) {
			r := newVaultCluster(t, 1)
			r.recordAt(newTurn("a", ""), 0, 1)
			r.recordAt(newTurn("b", ""), 2, 0)
			for range spares {
				r.addVault("spare", 1, false)
				r.g.Eventually(func() int {
					known, err := r.registry.Spares(context.Background())
					r.g.Expect(err).NotTo(gomega.HaveOccurred())
					return len(known)
				}).WithTimeout(5 * time.Second).Should(gomega.Equal(1))
			}
			r.registry.Retire("vault-0")
			r.g.Eventually(func() bool { return r.registry.Retired("vault-0") }).WithTimeout(10 * time.Second).Should(gomega.BeTrue())
			r.hosts[0].stop()
			r.g.Expect(r.caughtUpSeats()).To(gomega.Equal(2 + spares))
			for _, id := range []string{"a", "b"} {
				_, err := r.openTurn(id)
				r.g.Expect(err).NotTo(gomega.HaveOccurred(), id)
			}
		})
	}
}

// lateSpares is the registry of a host that retires. Its first listing of the spares fails.
// failed is closed then, and reported gets the number of seats that count when the host
// reports that it is empty.
type lateSpares struct {
	*coord.Registry
	fail     sync.Once
	failed   chan struct{}
	counting func() int
	reported chan int
}

func (l *lateSpares) Spares(ctx context.Context) (known []seats.Seat, err error) {
	l.fail.Do(func() { err = coord.ErrDown; close(l.failed) })
	if err != nil {
		return nil, err
	}
	return l.Registry.Spares(ctx)
}

func (l *lateSpares) PutRetired(ctx context.Context, node string, done bool) error {
	if done {
		l.reported <- l.counting()
	}
	return l.Registry.PutRetired(ctx, node, done)
}

// lateClaim is the registry of a spare that claims no seat before the host that retires
// has failed to list the spares.
type lateClaim struct {
	*coord.Registry
	failed chan struct{}
}

func (l *lateClaim) PutRoster(ctx context.Context, roster *seats.Roster, revision int64) error {
	<-l.failed
	return l.Registry.PutRoster(ctx, roster, revision)
}

// A host reported that it was empty while a spare, which it had not reached, claimed its
// seat. At the report all seats must count.
func TestARetiredHostWaitsForASpareThatItDidNotReach(t *testing.T) {
	r := newVaultCluster(t, 1)
	retiring := &lateSpares{Registry: r.registry, failed: make(chan struct{}), counting: r.caughtUpSeats, reported: make(chan int, 1)}
	r.hosts[0].stop()
	r.hosts[0].registry, r.hosts[0].site.FirstStart = retiring, false
	r.start(r.hosts[0])
	r.waitCaughtUp()
	spare := r.addVault("spare", 1, false)
	spare.stop()
	spare.registry = &lateClaim{r.registry, retiring.failed}
	r.start(spare)
	r.g.Eventually(func() int { return len(spares(r)) }).WithTimeout(5 * time.Second).Should(gomega.Equal(1))
	r.registry.Retire("vault-0")
	r.g.Eventually(retiring.reported).WithTimeout(10 * time.Second).Should(gomega.Receive(gomega.Equal(3)))
}

// spares returns the registered spares.
func spares(r *vaultCluster) []seats.Seat {
	known, err := r.registry.Spares(context.Background())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	return known
}

// Sub-agents open turns at the same time through several gates. The granted
// holds together must stay within the budget.
func TestConcurrentTurnsNeverHoldMoreThanTheBudget(t *testing.T) {
	r := newVaultCluster(t, 1)
	clients := []*vaultClient{r.client, r.newClient(1), r.newClient(1)}
	for _, b := range clients {
		r.g.Eventually(func() int { return len(b.currentRoster().Seats) }).Should(gomega.Equal(3))
	}
	granted := make(chan bool, 30)
	for i := range 30 {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			hold := &chains.Hold{Program: "p", Turn: fmt.Sprint(i), MaxTokens: 10, Retention: time.Minute}
			_, err := clients[i%3].openTurn(ctx, opening{hold: hold, budget: 75})
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

// Different quorums recorded a program's turns, as when one vault after the
// other is away. No single copy knows all spending, so the budget must be
// checked over a quorum.
func TestABudgetIsAddedUpOverAQuorum(t *testing.T) {
	r := newVaultCluster(t, 1)
	for i := range r.hosts {
		for _, at := range []int{i, (i + 1) % 3} {
			h := r.hosts[at]
			spent := &chains.Spent{Program: "p", Turn: fmt.Sprint("turn-", i), Used: 30, Retention: time.Minute}
			m, err := r.call(net.JoinHostPort(h.site.IP, strconv.Itoa(h.site.FirstPort)), &vaults.End{Version: r.client.currentRoster().Version, Spent: spent})
			r.g.Expect(err).NotTo(gomega.HaveOccurred())
			r.g.Expect(m).To(gomega.Equal(&vaults.EndReply{}))
		}
	}
	r.g.Expect(errors.Is(r.spendTokens("over", 10, 0, 80), errSpent)).To(gomega.BeTrue(), "90 are spent")
	r.g.Expect(r.spendTokens("last", 10, 10, 100)).To(gomega.Succeed(), "and no more than 90")
	r.g.Expect(errors.Is(r.spendTokens("over", 10, 0, 100), errSpent)).To(gomega.BeTrue())
}
