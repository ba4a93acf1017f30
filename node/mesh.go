package node

import (
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/member"
)

// ownerSet returns the nodes that own shards or may own them.
func (n *Node) ownerSet(now time.Time) map[string]bool {
	set := map[string]bool{}
	for name := range claim.Owners(n.liveHosts(now), n.settings.Shards.MaxOwners) {
		set[name] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range n.owners {
		if o.node != "" {
			set[o.node] = true
		}
	}
	return set
}

// linkedOwners returns the names of the owners with a live link, and this
// node's own if it is an owner.
func (n *Node) linkedOwners(now time.Time) []string {
	owners := n.ownerSet(now)
	var names []string
	for _, name := range append(n.links.Connected(), n.settings.Node.Name) {
		if owners[name] {
			names = append(names, name)
		}
	}
	return names
}

// updateLinks keeps the links that the node needs: owners link to all nodes,
// other nodes to owners only. Where all nodes may own shards, that is a full
// mesh.
func (n *Node) updateLinks(now time.Time) {
	owners := n.ownerSet(now)
	self := owners[n.settings.Node.Name]
	linked := false
	for _, name := range n.view.Nodes(now, member.Live, member.Leaving, member.Suspect) {
		r, ok := n.view.Record(name)
		if ok && (self || owners[name]) {
			n.links.Connect(name, r.LinkAddr)
			linked = true
		} else {
			n.links.Disconnect(name)
		}
	}
	for _, name := range n.view.Nodes(now, member.Gone) {
		n.links.Disconnect(name)
	}
	if linked && len(n.links.Connected()) > 0 {
		return
	}
	for _, seed := range n.settings.Links.Peers {
		if name, addr, ok := strings.Cut(seed, "="); ok {
			n.links.Connect(name, addr)
		}
	}
}
