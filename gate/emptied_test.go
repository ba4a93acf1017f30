package gate

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/standin/coord"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

// onRemoval is the registry of a host that is emptied. It calls before and after around the write of the
// first roster without it.
type onRemoval struct {
	*coord.Registry
	once          sync.Once
	before, after func()
}

func (o *onRemoval) PutRoster(ctx context.Context, roster *seats.Roster, revision int64) error {
	o.once.Do(o.before)
	err := o.Registry.PutRoster(ctx, roster, revision)
	o.after()
	return err
}

// recordInOrder records a turn at as many hosts as a quorum has, like a gate that asks the hosts in their
// order.
func (r *vaultCluster) recordInOrder(turn *chains.Turn, quorum int) {
	version := r.newestRoster().Version
	for _, h := range r.hosts {
		m, err := r.call(net.JoinHostPort(h.site.IP, strconv.Itoa(h.site.FirstPort)), &vaults.End{Version: version, Turn: turn})
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		if e, ok := m.(*vaults.EndReply); ok && e.Status == vaults.Done {
			if quorum--; quorum == 0 {
				return
			}
		}
	}
	r.t.Error("too few hosts recorded the turn")
}

// A turn ends while a host is being emptied, after the others have copied what it held and before it has given
// up its seat. The host is away then, and another one loses its disk. The turn was on the two of them
// only, and all seats counted without it, so gates answered that there is no such turn.
func TestATurnThatEndsWhileAHostIsEmptiedIsKept(t *testing.T) {
	r := newVaultCluster(t, 1)
	lost := make(chan struct{})
	emptied := r.hosts[0]
	emptied.stop()
	emptied.site.FirstStart = false
	emptied.registry = &onRemoval{
		Registry: r.registry,
		before:   func() { r.recordInOrder(newTurn("late", ""), 2) },
		after: sync.OnceFunc(func() {
			emptied.cancel()
			r.wipeDisk(1)
			close(lost)
		}),
	}
	r.start(emptied)
	r.waitCaughtUp()
	r.registry.Retire(emptied.site.Node)
	r.g.Eventually(lost).WithTimeout(10 * time.Second).Should(gomega.BeClosed())
	emptied.stop()
	r.addVault("new", 1, false)
	r.waitCaughtUp()
	_, err := r.openTurn("late")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
}
