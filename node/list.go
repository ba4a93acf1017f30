package node

import (
	"context"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/member"
	"github.com/cowslipstage/cowslipstage/transport/hosts"
)

// readerCount is how many nodes read each source that all nodes need: the
// configuration and the host list. The others get it through gossip.
const readerCount = 3

// isReader reports whether this node is one of the readers of a source.
func (n *Node) isReader(now time.Time, source string) bool {
	owners := n.linkedOwners(now)
	return len(owners) == 0 || slices.Contains(member.Elect(source, owners, readerCount), n.settings.Node.Name)
}

// readHostList polls the platform's host list while this node is one of its
// readers.
func (n *Node) readHostList(ctx context.Context) {
	if n.settings.Hosts.Addr == "" {
		return
	}
	client := hosts.New(n.settings.Hosts.Addr, time.Second)
	defer client.Close()
	every(ctx, n.settings.Hosts.Poll, func() {
		now := time.Now()
		if !n.isReader(now, "hosts") {
			n.applyHostList(now, nil)
			return
		}
		unavailable, err := client.Unavailable(ctx)
		if err != nil {
			n.log.Warn().Err(err).Msg("host list not read; trying again")
			return
		}
		n.applyHostList(time.Now(), unavailable)
	})
}

// applyHostList applies the host list that this node read, and announces
// changes. unavailable is nil when the node does not read the list any more.
func (n *Node) applyHostList(now time.Time, unavailable map[string]string) {
	n.mu.Lock()
	reading := unavailable != nil || n.unavailable != nil
	if unavailable == nil && n.unavailable != nil {
		unavailable = map[string]string{}
	}
	n.unavailable = unavailable
	n.mu.Unlock()
	if reading && n.view.UpdateHostList(n.settings.Node.Name, unavailable) {
		n.updateDeparting(now)
		n.announce()
	}
}
