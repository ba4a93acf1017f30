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
	// wholeInterval is how often everything is said again, in case it was lost.
	wholeInterval = 30 * time.Second
	// largeWhole is the same in a large fleet.
	largeWhole = 2 * time.Minute
	// largeInterval is the least time between two looks at the links in a large fleet.
	largeInterval = time.Second
)

// gossip tells the other owners in rounds what has changed, as often as the
// budget allows, and everybody the whole state now and then. News that cannot
// wait is sent by announce.
func (n *Node) gossip(ctx context.Context) {
	n.links.OnJoin(n.greet)
	var quiet, whole, meshed time.Time
	every(ctx, gossipInterval, func() {
		now := time.Now()
		for name, at := range n.links.Heard() {
			n.view.Heard(at, name)
			n.alive(at, name)
		}
		pause := n.settings.Links.SilenceTimeout + n.links.Slowest() - n.settings.Links.PingInterval
		n.view.SetLinkTimeout(pause)
		n.expect(pause)
		if !n.large() || now.Sub(meshed) >= largeInterval {
			n.mesh(now)
			meshed = now
		}
		n.depart(now)
		switch {
		case now.Sub(whole) >= largeWhole, !n.large() && now.Sub(whole) >= wholeInterval:
			n.announce()
			whole = now
		case now.After(quiet):
			cost := n.round(now)
			quiet = now.Add(time.Duration(cost) * time.Second / time.Duration(n.budget()))
		}
	})
}

// largeBudget bounds a node's gossip in a large fleet, in bytes a second.
const largeBudget = 2048

// budget returns the bytes a second that gossip rounds may take.
func (n *Node) budget() int {
	if n.large() {
		return min(largeBudget, n.settings.Links.GossipBudget)
	}
	return n.settings.Links.GossipBudget
}

// round sends what has changed to the owners that are linked and returns what
// it cost, in bytes.
func (n *Node) round(now time.Time) int {
	owners := n.linkedOwners(now)
	to := slices.DeleteFunc(slices.Clone(owners), func(name string) bool { return name == n.settings.Node.Name })
	if len(to) == 0 || len(to) == len(owners) {
		return 0
	}
	g := frame.Gossip{LimitUsage: n.limits.used(now)}
	g.InFlight, g.Loads = n.shares.take(now)
	n.mu.Lock()
	g.Revision, g.Leaving = n.config.Revision, n.draining
	n.mu.Unlock()
	return n.gossipTo(to, g)
}

// gossipTo sends gossip to nodes and returns its size times their number, in bytes.
func (n *Node) gossipTo(to []string, g frame.Gossip) int {
	data, err := frame.Encode(g)
	if err != nil {
		n.log.Error().Err(err).Msg("encoding gossip")
		return 0
	}
	for _, name := range to {
		n.post(name, frame.TopicGossip, data)
	}
	return len(to) * (len(data) + frameOverhead)
}

// frameOverhead is what a frame and its transport add to a body, in bytes.
const frameOverhead = 80

// news is everything the node tells its peers about itself; freed are shards
// it gave back.
func (n *Node) news(freed map[int]uint64) frame.Gossip {
	now := time.Now()
	used := n.limits.used(now)
	refusing := n.view.OwnRefusals(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.settings.Node
	g := frame.Gossip{
		Centre: s.Centre, Addr: s.AdvertisedAddr(), Boot: n.shelf.Boot(), Start: n.start, Released: freed, LimitUsage: used,
		Owned: map[int]uint64{}, Revision: n.config.Revision, Leaving: n.draining,
		RefusingEndpoints: refusing, Unavailable: n.away, LinkCount: n.links.Count(),
	}
	for shard, o := range n.journals {
		if _, ok := freed[shard]; !ok {
			g.Owned[shard] = o.epoch
		}
	}
	return g
}

// announce tells every peer the node's whole state.
func (n *Node) announce() { n.gossipTo(n.links.Live(), n.news(nil)) }

// greet tells a node everything when the link to it comes up, the other
// owners included.
func (n *Node) greet(to string) {
	now := time.Now()
	g := n.news(nil)
	g.InFlight, g.InFlightComplete = n.shares.all(), true
	owners := n.ownerSet(now)
	for _, name := range n.view.Nodes(now, member.Live, member.Suspect) {
		r, ok := n.view.Record(name)
		if ok && owners[name] {
			g.Peers = append(g.Peers, frame.Peer{Node: name, Centre: r.Centre, Addr: r.LinkAddr, Start: r.Incarnation})
		}
	}
	n.gossipTo([]string{to}, g)
}

// hear takes over a peer's gossip.
func (n *Node) hear(from string, g frame.Gossip) {
	now := time.Now()
	if g.Exiting {
		n.view.MarkExited(now, from, g.Start)
		return
	}
	if g.Addr != "" {
		n.links.Crowd(from, g.LinkCount)
		n.view.Gossip(now, member.Record{
			Node: from, Centre: g.Centre, LinkAddr: g.Addr, Incarnation: g.Start, Leaving: g.Leaving,
		})
	}
	for _, p := range g.Peers {
		n.view.GossipRelayed(now, member.Record{Node: p.Node, Centre: p.Centre, LinkAddr: p.Addr, Incarnation: p.Start})
	}
	n.view.Heard(now, from)
	n.meet(now, from, g)
	n.limits.hear(now, from, g.LimitUsage, n.fleet(now))
	n.hearShards(from, g)
	n.hearEndpoints(now, from, g)
	n.hearRevision(from, g.Revision)
}

// hearShards takes over who owns what.
func (n *Node) hearShards(from string, g frame.Gossip) {
	for shard, epoch := range g.Owned {
		n.see(shard, ownership{node: from, epoch: epoch})
		n.supersede(shard, epoch)
	}
	for shard, epoch := range g.Released {
		n.see(shard, ownership{epoch: epoch})
	}
	if len(g.Released) > 0 {
		n.stir()
	}
}

// hearEndpoints takes over a peer's view of the endpoints.
func (n *Node) hearEndpoints(now time.Time, from string, g frame.Gossip) {
	for name, l := range g.Loads {
		n.emit(core.LoadReported{Endpoint: name, Report: l.Report()})
		if !l.Leaving {
			n.view.ClearRefusal(name)
		}
	}
	if sent := n.shares.hear(from, g.InFlight, g.InFlightComplete); len(sent) > 0 {
		n.emit(core.PeerLoadReported{Node: from, InFlight: sent, MeasuredAt: now})
	}
	news := g.Unavailable != nil && n.view.UpdateHostList(from, g.Unavailable)
	for _, endpoint := range g.RefusingEndpoints {
		news = n.view.NoteRefusal(now, endpoint, false) || news
	}
	if news {
		n.depart(now)
	}
}

// depart tells the core which endpoints get nothing new, if that has changed.
func (n *Node) depart(now time.Time) {
	departing := n.view.Departing(now)
	n.mu.Lock()
	news := !slices.Equal(departing, n.departing)
	n.departing = departing
	n.mu.Unlock()
	if news {
		n.log.Info().Strs("names", departing).Msg("nothing new goes to these hosts")
		n.emit(core.EndpointsLeaving{Leaving: departing})
	}
}

func (n *Node) current() *config.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config
}
