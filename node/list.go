package node

import (
	"context"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/member"
	"github.com/cowslipstage/cowslipstage/transport/hosts"
)

// readers is how many nodes read what all need to know: the configuration and
// the host list. The others hear of it on links.
const readers = 3

// reads tells whether it falls to this node to read a source.
func (n *Node) reads(now time.Time, source string) bool {
	owners := n.linkedOwners(now)
	return len(owners) == 0 || slices.Contains(member.Elect(source, owners, readers), n.settings.Node.Name)
}

// list reads the platform's host list when that falls to this node.
func (n *Node) list(ctx context.Context) {
	if n.settings.Hosts.Addr == "" {
		return
	}
	client := hosts.New(n.settings.Hosts.Addr, time.Second)
	defer client.Close()
	every(ctx, n.settings.Hosts.Poll, func() {
		now := time.Now()
		if !n.reads(now, "hosts") {
			n.listed(now, nil)
			return
		}
		away, err := client.Unavailable(ctx)
		if err != nil {
			n.log.Warn().Err(err).Msg("host list not read; trying again")
			return
		}
		n.listed(time.Now(), away)
	})
}

// listed takes over what this node read, nil when it reads no more, and tells
// the others if that is news.
func (n *Node) listed(now time.Time, away map[string]string) {
	n.mu.Lock()
	reading := away != nil || n.away != nil
	if away == nil && n.away != nil {
		away = map[string]string{}
	}
	n.away = away
	n.mu.Unlock()
	if reading && n.view.UpdateHostList(n.settings.Node.Name, away) {
		n.depart(now)
		n.announce()
	}
}
