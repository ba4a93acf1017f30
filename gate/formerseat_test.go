package gate

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/standin/coord"
)

// onClaim is the registry of a spare. It calls claimed once the spare's first roster is written, before
// the spare learns of that.
type onClaim struct {
	*coord.Registry
	once    sync.Once
	claimed func()
}

func (o *onClaim) PutRoster(ctx context.Context, roster *seats.Roster, revision int64) error {
	err := o.Registry.PutRoster(ctx, roster, revision)
	if err == nil {
		o.once.Do(o.claimed)
	}
	return err
}

// addSpare adds a vault that calls claimed once it has taken a seat, and waits until it is registered.
func (r *vaultCluster) addSpare(name string, losses int, claimed func()) {
	known := len(spares(r))
	h := r.addVault(name, losses, false)
	h.stop()
	h.registry = &onClaim{Registry: r.registry, claimed: claimed}
	r.start(h)
	r.g.Eventually(func() int { return len(spares(r)) }).WithTimeout(5 * time.Second).Should(gomega.BeNumerically(">", known))
}

// leave stops a vault, which keeps its disk.
func (r *vaultCluster) leave(i int) {
	r.hosts[i].stop()
	r.hosts[i].site.FirstStart = false
}

// recordEverywhere records a turn at each quorum of neighbours, and returns the turns' IDs.
func (r *vaultCluster) recordEverywhere(losses int) []string {
	n := seats.TargetCount(losses)
	var recorded []string
	for i := range n {
		var at []int
		for j := range losses + 1 {
			at = append(at, (i+j)%n)
		}
		id := fmt.Sprint("turn-", i)
		r.recordAt(newTurn(id, ""), at...)
		recorded = append(recorded, id)
	}
	return recorded
}

// A spare takes the seat of a host that is away for seconds, and other disks are lost before it has caught
// up. The host that is back holds all records of that seat; nobody asked it, no quorum ever counted again,
// and all turns were refused for good.
func TestASeatIsReadFromItsFormerHolderAfterALostDisk(t *testing.T) {
	for losses := 1; losses <= 3; losses++ {
		t.Run(fmt.Sprint(seats.TargetCount(losses), " seats"), func(t *testing.T) {
			t.Parallel()
			r := newVaultCluster(t, losses)
			recorded := r.recordEverywhere(losses)
			lost := make(chan struct{})
			r.addSpare("spare", losses, func() {
				for i := 1; i <= losses; i++ {
					r.wipeDisk(i)
				}
				close(lost)
			})
			r.leave(0)
			r.g.Eventually(lost).WithTimeout(10 * time.Second).Should(gomega.BeClosed())
			r.start(r.hosts[0])
			r.checkRecovered(losses, recorded)
		})
	}
}

// As before, and the spare is away, too, before it has caught up, so that a second spare takes the seat.
// The first one is back and says that it never counted, so the seat is read from the host before it.
func TestASeatThatChangesHandsTwiceIsReadFromTheHostThatCounted(t *testing.T) {
	for losses := 1; losses <= 3; losses++ {
		t.Run(fmt.Sprint(seats.TargetCount(losses), " seats"), func(t *testing.T) {
			t.Parallel()
			r := newVaultCluster(t, losses)
			recorded := r.recordEverywhere(losses)
			first, second := len(r.hosts), make(chan struct{})
			leaving := make(chan struct{})
			r.addSpare("first", losses, func() {
				r.hosts[first].cancel()
				close(leaving)
			})
			r.leave(0)
			r.g.Eventually(leaving).WithTimeout(10 * time.Second).Should(gomega.BeClosed())
			r.leave(first)
			r.addVault("second", losses, false)
			r.hosts[first+1].stop()
			r.hosts[first+1].registry = &onClaim{Registry: r.registry, claimed: func() {
				for i := 1; i <= losses; i++ {
					r.wipeDisk(i)
				}
				close(second)
			}}
			r.start(r.hosts[first+1])
			r.g.Eventually(second).WithTimeout(10 * time.Second).Should(gomega.BeClosed())
			r.start(r.hosts[first])
			r.start(r.hosts[0])
			r.checkRecovered(losses, recorded)
		})
	}
}

// checkRecovered waits until all seats count, and checks that all turns can be continued.
func (r *vaultCluster) checkRecovered(losses int, recorded []string) {
	r.g.Eventually(r.caughtUpSeats).WithTimeout(12 * time.Second).Should(gomega.Equal(seats.TargetCount(losses)))
	for _, id := range recorded {
		_, err := r.openTurn(id)
		r.g.Expect(err).NotTo(gomega.HaveOccurred(), id)
	}
}
