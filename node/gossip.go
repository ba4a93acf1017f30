package node

import (
	"context"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/coordination/member"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/config"
)

const (
	// gossipInterval is the least time between two rounds of gossip.
	gossipInterval = 200 * time.Millisecond
	// fullInterval is how often the full state is sent again in case a message
	// was lost.
	fullInterval = 30 * time.Second
	// largeFullInterval is fullInterval in a large fleet.
	largeFullInterval = 2 * time.Minute
	// largeLinkInterval is the least time between two updates of the links in a
	// large fleet.
	largeLinkInterval = time.Second
)

// runGossip sends changes to the other owners in rounds, as often as the byte
// budget allows, and the full state to all linked nodes at a fixed interval.
// Urgent changes are sent immediately by announce.
func (n *Node) runGossip(ctx context.Context) {
	n.links.OnConnect(n.sendFullGossip)
	var nextChanges, lastFull, lastLinks time.Time
	every(ctx, gossipInterval, func() {
		now := time.Now()
		for name, at := range n.links.LastHeard() {
			n.view.Heard(at, name)
			n.recordHeard(at, name)
		}
		pause := n.settings.Links.SilenceTimeout + n.links.MaxPingInterval() - n.settings.Links.PingInterval
		n.view.SetLinkTimeout(pause)
		n.setMaxPause(pause)
		if !n.isLargeFleet() || now.Sub(lastLinks) >= largeLinkInterval {
			n.updateLinks(now)
			lastLinks = now
		}
		n.updateDeparting(now)
		switch {
		case now.Sub(lastFull) >= largeFullInterval, !n.isLargeFleet() && now.Sub(lastFull) >= fullInterval:
			n.announce()
			lastFull = now
		case now.After(nextChanges):
			cost := n.sendChanges(now)
			nextChanges = now.Add(time.Duration(cost) * time.Second / time.Duration(n.gossipBudget()))
		}
	})
}

// largeBudget bounds a node's gossip in a large fleet, in bytes per second.
const largeBudget = 2048

// gossipBudget returns the bytes per second that gossip rounds may use.
func (n *Node) gossipBudget() int {
	if n.isLargeFleet() {
		return min(largeBudget, n.settings.Links.GossipBudget)
	}
	return n.settings.Links.GossipBudget
}

// sendChanges sends what has changed to the linked owners and returns the bytes
// sent. Only owners send changes.
func (n *Node) sendChanges(now time.Time) int {
	owners := n.linkedOwners(now)
	to := slices.DeleteFunc(slices.Clone(owners), func(name string) bool { return name == n.settings.Node.Name })
	if len(to) == 0 || len(to) == len(owners) {
		return 0
	}
	g := frame.Gossip{LimitUsage: n.limits.used(now)}
	g.InFlight, g.Loads = n.loads.takeChanges(now)
	n.mu.Lock()
	g.Revision, g.Leaving = n.config.Revision, n.draining
	n.mu.Unlock()
	return n.sendGossip(to, g)
}

// sendGossip sends gossip to nodes and returns the bytes sent to all of them.
func (n *Node) sendGossip(to []string, g frame.Gossip) int {
	data, err := frame.Encode(g)
	if err != nil {
		n.log.Error().Err(err).Msg("gossip not encoded")
		return 0
	}
	for _, name := range to {
		n.publish(name, frame.TopicGossip, data)
	}
	return len(to) * (len(data) + frameOverhead)
}

// frameOverhead is the size that framing and transport add to a body, in bytes.
const frameOverhead = 80

// fullGossip returns the node's state as its peers need to know it. The shards
// in released have just been handed over.
func (n *Node) fullGossip(released map[int]uint64) frame.Gossip {
	now := time.Now()
	used := n.limits.used(now)
	refusing := n.view.OwnRefusals(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.settings.Node
	g := frame.Gossip{
		Centre: s.Centre, Addr: s.AdvertisedAddr(), Boot: n.holder.Boot(), Start: n.start, Released: released, LimitUsage: used,
		Owned: map[int]uint64{}, Revision: n.config.Revision, Leaving: n.draining,
		RefusingEndpoints: refusing, Unavailable: n.unavailable, LinkCount: n.links.LinkCount(),
	}
	for shard, o := range n.journals {
		if _, ok := released[shard]; !ok {
			g.Owned[shard] = o.epoch
		}
	}
	return g
}

// announce sends the node's full state to every linked peer.
func (n *Node) announce() { n.sendGossip(n.links.Connected(), n.fullGossip(nil)) }

// sendFullGossip sends a node the full state, with the known owners, when the
// link to it comes up.
func (n *Node) sendFullGossip(to string) {
	now := time.Now()
	g := n.fullGossip(nil)
	g.InFlight, g.InFlightComplete = n.loads.allInFlight(), true
	owners := n.ownerSet(now)
	for _, name := range n.view.Nodes(now, member.Live, member.Suspect) {
		r, ok := n.view.Record(name)
		if ok && owners[name] {
			g.Peers = append(g.Peers, frame.Peer{Node: name, Centre: r.Centre, Addr: r.LinkAddr, Start: r.Incarnation})
		}
	}
	n.sendGossip([]string{to}, g)
}

// handleGossip applies a peer's gossip.
func (n *Node) handleGossip(from string, g frame.Gossip) {
	now := time.Now()
	if g.Exiting {
		n.view.MarkExited(now, from, g.Start)
		return
	}
	if g.Addr != "" {
		n.links.SetPeerLinks(from, g.LinkCount)
		n.view.Gossip(now, member.Record{
			Node: from, Centre: g.Centre, LinkAddr: g.Addr, Incarnation: g.Start, Leaving: g.Leaving,
		})
	}
	for _, p := range g.Peers {
		n.view.GossipRelayed(now, member.Record{Node: p.Node, Centre: p.Centre, LinkAddr: p.Addr, Incarnation: p.Start})
	}
	n.view.Heard(now, from)
	n.updateHost(now, from, g)
	n.limits.recordUse(now, from, g.LimitUsage, n.fleetSize(now))
	n.handleOwnership(from, g)
	n.handleEndpointReports(now, from, g)
	n.recordRevision(from, g.Revision)
}

// handleOwnership records the shards that a peer took or handed over.
func (n *Node) handleOwnership(from string, g frame.Gossip) {
	for shard, epoch := range g.Owned {
		n.updateOwner(shard, ownership{node: from, epoch: epoch})
		n.dropSuperseded(shard, epoch)
	}
	for shard, epoch := range g.Released {
		n.updateOwner(shard, ownership{epoch: epoch})
	}
	if len(g.Released) > 0 {
		n.wakeClaims()
	}
}

// handleEndpointReports applies a peer's reports about endpoints.
func (n *Node) handleEndpointReports(now time.Time, from string, g frame.Gossip) {
	for name, l := range g.Loads {
		n.emit(core.LoadReported{Endpoint: name, Report: l.Report()})
		if !l.Leaving {
			n.view.ClearRefusal(name)
		}
	}
	if sent := n.loads.mergePeer(from, g.InFlight, g.InFlightComplete); len(sent) > 0 {
		n.emit(core.PeerLoadReported{Node: from, InFlight: sent, MeasuredAt: now})
	}
	changed := g.Unavailable != nil && n.view.UpdateHostList(from, g.Unavailable)
	for _, endpoint := range g.RefusingEndpoints {
		changed = n.view.NoteRefusal(now, endpoint, false) || changed
	}
	if changed {
		n.updateDeparting(now)
	}
}

// updateDeparting tells the core which endpoints get no new calls, if the set
// has changed.
func (n *Node) updateDeparting(now time.Time) {
	departing := n.view.Departing(now)
	n.mu.Lock()
	changed := !slices.Equal(departing, n.departing)
	n.departing = departing
	n.mu.Unlock()
	if changed {
		n.log.Info().Strs("names", departing).Msg("nothing new goes to these hosts")
		n.emit(core.EndpointsLeaving{Leaving: departing})
	}
}

func (n *Node) currentConfig() *config.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config
}
