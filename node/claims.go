package node

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/coordination/member"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// memberRecord is what a shard owner publishes in the store about itself. It is
// bound to the node's lease and disappears when the lease expires.
type memberRecord struct {
	Node   string `cbor:"1,keyasint"`
	Centre string `cbor:"2,keyasint"`
	Link   string `cbor:"3,keyasint"`
	Boot   string `cbor:"4,keyasint,omitempty"`
	// Start increases with each start of the node's process.
	Start uint64 `cbor:"5,keyasint,omitempty"`
}

const (
	memberPrefix = "node/"
	claimPrefix  = "claim/"
)

func claimKey(shard int) string { return fmt.Sprintf("%s%04d", claimPrefix, shard) }

// hostState is what this node knows about a host.
type hostState struct {
	claim.Host
	// hasLease reports whether the last read of the store showed the host's
	// lease.
	hasLease bool
	// leaseMissingSince is when reads of the store began to show no lease. It
	// is zero while the host has a lease and after a failed read.
	leaseMissingSince time.Time
	// bootHeardSince is when this boot of the host was first heard of.
	bootHeardSince time.Time
}

// liveHosts returns the hosts with a recent message or a recently read lease,
// and this one.
func (n *Node) liveHosts(now time.Time) map[string]claim.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.settings.Node
	all := map[string]claim.Host{
		s.Name: {Name: s.Name, Centre: s.Centre, Boot: n.holder.Boot(), Leaving: n.draining},
	}
	for name, h := range n.knownHosts {
		leased := h.hasLease && now.Sub(n.leasesReadAt) < n.settings.Store.Lease
		if name != s.Name && (leased || !n.liveness.Silent(now, name)) {
			all[name] = h.Host
		}
	}
	return all
}

// mayOwnShards reports whether this node may own shards.
func (n *Node) mayOwnShards(now time.Time) bool {
	_, ok := claim.Owners(n.liveHosts(now), n.settings.Shards.MaxOwners)[n.settings.Node.Name]
	return ok
}

// updateHost stores what a peer's gossip says about the peer itself.
func (n *Node) updateHost(now time.Time, name string, g frame.Gossip) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.knownHosts[name]
	if g.Boot == "" {
		g.Boot, g.Centre = h.Boot, h.Centre
	}
	if h.bootHeardSince.IsZero() || h.Boot != g.Boot {
		h.bootHeardSince = now
	}
	h.Host = claim.Host{Name: name, Centre: g.Centre, Boot: g.Boot, Leaving: g.Leaving}
	n.knownHosts[name] = h
	n.liveness.Heard(now, name)
}

// recordHeard records that a message from a node, gossip or not, arrived on a
// link.
func (n *Node) recordHeard(at time.Time, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.liveness.Heard(at, name)
}

// setMaxPause sets how long a live node may send nothing on its links.
func (n *Node) setMaxPause(pause time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.liveness.SetMaxSilence(pause)
}

// keepLease renews the node's lease in the store while it owns or may own
// shards.
func (n *Node) keepLease(ctx context.Context) {
	var lease string
	every(ctx, n.settings.Store.Lease/3, func() {
		if !n.mayOwnShards(time.Now()) && n.ownedCount() == 0 {
			return
		}
		sent := time.Now()
		var err error
		if lease, err = n.renewLease(ctx, lease); err != nil {
			n.log.Warn().Err(err).Msg("lease not renewed; trying again")
			return
		}
		n.mu.Lock()
		n.lease.Renewed(sent)
		until := n.lease.Expiry()
		n.mu.Unlock()
		n.emit(core.LeaseRenewed{Until: until})
	})
}

// renewLease renews the lease, or takes a new one and publishes the member
// record under it. It returns the lease's ID.
func (n *Node) renewLease(ctx context.Context, lease string) (string, error) {
	if lease != "" {
		err := n.store.Renew(ctx, lease)
		if err == nil || !errors.Is(err, store.ErrMissing) {
			return lease, err
		}
	}
	lease, err := n.store.Grant(ctx, n.settings.Store.Lease)
	if err != nil {
		return "", err
	}
	s := n.settings.Node
	data, err := cbor.Marshal(memberRecord{Node: s.Name, Centre: s.Centre, Link: s.AdvertisedAddr(), Boot: n.holder.Boot(), Start: n.start})
	if err != nil {
		return "", errors.Wrap(err, "node: encoding the member record")
	}
	key := memberPrefix + s.Name
	var version uint64
	if p, err := n.store.Get(ctx, key); err == nil {
		version = p.Version
	}
	if _, err = n.store.Put(ctx, key, data, version, lease); err != nil {
		return "", err
	}
	return lease, nil
}

// claimCheckInterval is how often a node checks, without a call to the store,
// whether it should read the claims.
const claimCheckInterval = 100 * time.Millisecond

// startupDelay is how long a starting node waits for its peers' gossip. Without
// it the node would take shards that the peers are taking as well.
const startupDelay = 2 * gossipInterval

// runClaims takes the shards that this node should own. It reads the store once
// in a third of a lease, and sooner when an owner falls silent or hands a shard
// over. Nodes that own no shard and may not own one do not read the store after
// the first time.
func (n *Node) runClaims(ctx context.Context) {
	n.wait.Go(func() { n.keepLease(ctx) })
	random := rand.New(rand.NewPCG(n.settings.Policy.Seed, n.settings.Policy.Seed))
	ticker := time.NewTicker(claimCheckInterval)
	defer ticker.Stop()
	if err := n.readMembers(ctx); err != nil {
		n.log.Warn().Err(err).Msg("members not read; trying again")
	}
	start := time.Now().Add(startupDelay)
	var nextRead, nextStandbys time.Time
	// claimsRead is true once the claims have been read since the start. Until
	// then they may name this node's previous incarnation as an owner.
	claimsRead := false
	for {
		now := time.Now()
		relevant := !claimsRead || n.mayOwnShards(now) || n.ownedCount() > 0
		if relevant && !now.Before(start) && (!now.Before(nextRead) || n.hasOrphanedShard(now)) {
			err := n.reconcileClaims(ctx)
			if err != nil {
				n.log.Warn().Err(err).Msg("claims not read; trying again")
			}
			claimsRead = claimsRead || err == nil
			nextRead = time.Now().Add(n.settings.Store.Lease/3 + randomDuration(random, n.settings.Store.Lease/12))
		}
		n.updateReady()
		if !now.Before(nextStandbys) {
			n.chooseStandbys(now)
			n.reannounceMoved()
			nextStandbys = now.Add(n.settings.Store.Lease / 3)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.wake:
			nextRead = time.Time{}
		}
	}
}

// randomDuration returns a random duration in [0, bound).
func randomDuration(r *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(max(bound, 1))))
}

// hasOrphanedShard reports whether this node should take over a shard whose
// owner is silent.
func (n *Node) hasOrphanedShard(now time.Time) bool {
	owners := claim.Owners(n.liveHosts(now), n.settings.Shards.MaxOwners)
	n.mu.Lock()
	defer n.mu.Unlock()
	for shard, o := range n.owners {
		if o.node != "" && o.node != n.settings.Node.Name && n.liveness.Silent(now, o.node) &&
			claim.PreferredOwner(shard, owners) == n.settings.Node.Name {
			return true
		}
	}
	return false
}

// wakeClaims makes the claims loop read the store now.
func (n *Node) wakeClaims() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// reconcileClaims reads leases and claims, takes the shards that this node
// should own and hands over one shard that another node should own.
func (n *Node) reconcileClaims(ctx context.Context) error {
	if err := n.readMembers(ctx); err != nil {
		return err
	}
	pairs, err := n.store.List(ctx, claimPrefix, "", 0)
	if err != nil {
		return err
	}
	found := make(map[int]store.Pair, len(pairs))
	for _, p := range pairs {
		var shard int
		if _, err := fmt.Sscanf(strings.TrimPrefix(p.Key, claimPrefix), "%d", &shard); err == nil {
			found[shard] = p
		}
	}
	owners := claim.Owners(n.liveHosts(time.Now()), n.settings.Shards.MaxOwners)
	for shard := range n.settings.Shards.Count {
		n.considerClaim(ctx, shard, found[shard], owners)
	}
	n.rebalance(time.Now(), owners)
	return nil
}

// reannounceMoved repeats the announcement after shards have moved, because a
// link that came up in that moment may have missed the first one.
func (n *Node) reannounceMoved() {
	n.mu.Lock()
	moved := n.shardsMoved
	n.shardsMoved = false
	n.mu.Unlock()
	if moved {
		n.announce()
	}
}

// rebalance hands one shard over to the node that should own it. That node must
// have been known for at least one lease and have its own lease in the store.
// The next shard is handed over only after this one has moved.
func (n *Node) rebalance(now time.Time, owners map[string]claim.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.journals[n.handOver.shard]; o != nil && o.epoch == n.handOver.epoch || n.draining {
		return
	}
	for _, shard := range slices.Sorted(maps.Keys(n.journals)) {
		to := claim.PreferredOwner(shard, owners)
		h := n.knownHosts[to]
		if to == n.settings.Node.Name || !h.hasLease || now.Sub(h.bootHeardSince) < n.settings.Store.Lease {
			continue
		}
		n.handOver = handOver{shard: shard, epoch: n.journals[shard].epoch}
		n.log.Info().Int("shard", shard).Str("to", to).Msg("handing a shard over to balance the load")
		n.wait.Go(func() { n.emit(core.HandOverRequested{Shard: shard}) })
		return
	}
}

// handOver identifies a shard that is being handed over to balance the load.
type handOver struct {
	shard int
	epoch uint64
}

// updateReady marks the node as ready once it has a configuration and knows
// shard owners.
func (n *Node) updateReady() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = n.config.Revision > 0 && len(n.owners) > 0
}

// readMembers reads from the store which owners have a lease.
func (n *Node) readMembers(ctx context.Context) error {
	pairs, err := n.store.List(ctx, memberPrefix, "", 0)
	if err != nil {
		n.clearMissingLeases()
		return err
	}
	n.mu.Lock()
	n.leasesReadAt = time.Now()
	for name, h := range n.knownHosts {
		h.hasLease = false
		n.knownHosts[name] = h
	}
	n.mu.Unlock()
	var records []member.Record
	for _, p := range pairs {
		var m memberRecord
		if err := cbor.Unmarshal(p.Value, &m); err != nil {
			n.log.Error().Err(err).Str("key", p.Key).Msg("unreadable member record ignored")
			continue
		}
		n.mu.Lock()
		h := n.knownHosts[m.Node]
		sameBoot := h.Boot == m.Boot
		if !sameBoot {
			h.bootHeardSince = n.leasesReadAt
		}
		h.Host = claim.Host{Name: m.Node, Centre: m.Centre, Boot: m.Boot, Leaving: sameBoot && h.Leaving}
		h.hasLease = true
		n.knownHosts[m.Node] = h
		n.mu.Unlock()
		records = append(records, member.Record{Node: m.Node, Centre: m.Centre, LinkAddr: m.Link, Incarnation: m.Start})
	}
	n.recordMissingLeases(n.leasesReadAt)
	n.view.UpdateLeases(n.leasesReadAt, records)
	n.updateLinks(time.Now())
	return nil
}

// clearMissingLeases forgets since when leases are missing, because a failed
// read of the store says nothing about them.
func (n *Node) clearMissingLeases() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, h := range n.knownHosts {
		h.leaseMissingSince = time.Time{}
		n.knownHosts[name] = h
	}
}

// recordMissingLeases records, after a successful read of the store, which
// hosts have no lease.
func (n *Node) recordMissingLeases(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, h := range n.knownHosts {
		switch {
		case h.hasLease:
			h.leaseMissingSince = time.Time{}
		case h.leaseMissingSince.IsZero():
			h.leaseMissingSince = now
		}
		n.knownHosts[name] = h
	}
}

// considerClaim checks one shard's claim and starts to take the shard if this
// node should own it.
func (n *Node) considerClaim(ctx context.Context, shard int, p store.Pair, owners map[string]claim.Host) {
	var c claim.Claim
	if p.Version != 0 {
		if err := cbor.Unmarshal(p.Value, &c); err != nil {
			n.log.Error().Err(err).Int("shard", shard).Msg("unreadable claim")
			return
		}
		n.updateOwner(shard, ownership{node: c.Node, epoch: c.Epoch})
	}
	now := time.Now()
	n.mu.Lock()
	view := claim.View{
		Self: n.settings.Node.Name, Draining: n.draining,
		JournalOpen: n.journals[shard] != nil || n.taking[shard],
		OwnerLeased: n.knownHosts[c.Node].hasLease, OwnerSilent: n.liveness.Silent(now, c.Node),
		LeaseDuration: n.settings.Store.Lease, Preferred: claim.PreferredOwner(shard, owners),
	}
	if since := n.knownHosts[c.Node].leaseMissingSince; !since.IsZero() {
		view.LeaseMissing = now.Sub(since)
	}
	if view.OwnerPartitioned() {
		view.Preferred = claim.PreferredOwner(shard, withoutHost(owners, c.Node))
	}
	shouldTake := view.ShouldTake(c)
	if shouldTake {
		n.taking[shard] = true
	}
	n.mu.Unlock()
	if !shouldTake {
		return
	}
	n.wait.Go(func() { n.takeShard(ctx, shard, c, p.Version) })
}

// withoutHost returns a copy of hosts that lacks name.
func withoutHost(hosts map[string]claim.Host, name string) map[string]claim.Host {
	rest := maps.Clone(hosts)
	delete(rest, name)
	return rest
}
