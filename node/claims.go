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

// memberRecord is a shard owner's own record in the store; it stands while its lease does.
type memberRecord struct {
	Node   string `cbor:"1,keyasint"`
	Centre string `cbor:"2,keyasint"`
	Link   string `cbor:"3,keyasint"`
	Boot   string `cbor:"4,keyasint,omitempty"`
	// Start rises with each start of the node's process.
	Start uint64 `cbor:"5,keyasint,omitempty"`
}

const (
	memberPrefix = "node/"
	claimPrefix  = "claim/"
)

func claimKey(shard int) string { return fmt.Sprintf("%s%04d", claimPrefix, shard) }

// hostState is a host as this node knows it.
type hostState struct {
	claim.Host
	// hasLease tells whether the host's lease stood in the store when last read.
	hasLease bool
	// leaseMissingSince is since when every read of the store has shown no lease; zero
	// while one stands and after a read that failed.
	leaseMissingSince time.Time
	// bootHeardSince is when this boot of the host was first heard of.
	bootHeardSince time.Time
}

// liveHosts returns the liveHosts that show a sign of life, this one included.
func (n *Node) liveHosts(now time.Time) map[string]claim.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.settings.Node
	all := map[string]claim.Host{
		s.Name: {Name: s.Name, Centre: s.Centre, Boot: n.shelf.Boot(), Leaving: n.draining},
	}
	for name, h := range n.knownHosts {
		leased := h.hasLease && now.Sub(n.leasesRead) < n.settings.Store.Lease
		if name != s.Name && (leased || !n.liveness.Silent(now, name)) {
			all[name] = h.Host
		}
	}
	return all
}

// mayOwnShards tells whether this node may own shards.
func (n *Node) mayOwnShards(now time.Time) bool {
	_, ok := claim.Owners(n.liveHosts(now), n.settings.Shards.Owners)[n.settings.Node.Name]
	return ok
}

// updateHost takes over a peer's news of itself.
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

// recordHeard notes that a node was heard on a link, with gossip or without.
func (n *Node) recordHeard(at time.Time, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.liveness.Heard(at, name)
}

// setMaxPause says how long living nodes may be silent on their links.
func (n *Node) setMaxPause(pause time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.liveness.Expect(pause)
}

// keepLease renews the node's lease in the store while it may own shards.
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
		until := n.lease.Until()
		n.mu.Unlock()
		n.emit(core.Renewed{Until: until})
	})
}

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
	data, err := cbor.Marshal(memberRecord{Node: s.Name, Centre: s.Centre, Link: s.Reached(), Boot: n.shelf.Boot(), Start: n.start})
	if err != nil {
		return "", errors.Wrap(err, "node: encoding")
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

// claimCheckInterval is how often a node looks, without asking the store, whether it should.
const claimCheckInterval = 100 * time.Millisecond

// startupDelay is how long a node that starts lets its peers show themselves
// before it takes shards that they would take too.
const startupDelay = 2 * gossipInterval

// runClaims takes the shards that fall to the node. The store is asked once in a
// third of a lease, sooner when an owner fell silent or gave a shard back, and
// not at all by nodes that own nothing and may not own anything.
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
	// claimsRead tells whether the claims were read since the node began: they may
	// name its former life.
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

// randomDuration draws a duration randomDuration bound.
func randomDuration(r *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(max(bound, 1))))
}

// hasOrphanedShard tells whether a shard falls to this node whose owner is silent.
func (n *Node) hasOrphanedShard(now time.Time) bool {
	owners := claim.Owners(n.liveHosts(now), n.settings.Shards.Owners)
	n.mu.Lock()
	defer n.mu.Unlock()
	for shard, o := range n.owners {
		if o.node != "" && o.node != n.settings.Node.Name && n.liveness.Silent(now, o.node) &&
			claim.Preferred(shard, owners) == n.settings.Node.Name {
			return true
		}
	}
	return false
}

// wakeClaims makes the claims loop look at the store now.
func (n *Node) wakeClaims() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

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
	owners := claim.Owners(n.liveHosts(time.Now()), n.settings.Shards.Owners)
	for shard := range n.settings.Shards.Count {
		n.considerClaim(ctx, shard, found[shard], owners)
	}
	n.rebalance(time.Now(), owners)
	return nil
}

// reannounceMoved announces shards that moved lately once more: a link that came up in
// that moment may have missed it.
func (n *Node) reannounceMoved() {
	n.mu.Lock()
	moved := n.shardsMoved
	n.shardsMoved = false
	n.mu.Unlock()
	if moved {
		n.announce()
	}
}

// rebalance gives up one shard that falls to another node, which has been there
// for a lease and has its own lease in the store. The next follows only once
// this one has moved.
func (n *Node) rebalance(now time.Time, owners map[string]claim.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.journals[n.handOver.shard]; o != nil && o.epoch == n.handOver.epoch || n.draining {
		return
	}
	for _, shard := range slices.Sorted(maps.Keys(n.journals)) {
		to := claim.Preferred(shard, owners)
		h := n.knownHosts[to]
		if to == n.settings.Node.Name || !h.hasLease || now.Sub(h.bootHeardSince) < n.settings.Store.Lease {
			continue
		}
		n.handOver = handOver{shard: shard, epoch: n.journals[shard].epoch}
		n.log.Info().Int("shard", shard).Str("to", to).Msg("handing a shard over for balance")
		n.wait.Go(func() { n.emit(core.Surrendered{Shard: shard}) })
		return
	}
}

// handOver is the shard that is being handed over for balance.
type handOver struct {
	shard int
	epoch uint64
}

// updateReady lets callers in once the node knows what to do with them.
func (n *Node) updateReady() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = n.config.Revision > 0 && len(n.owners) > 0
}

// readMembers reads which owners' leases stand.
func (n *Node) readMembers(ctx context.Context) error {
	pairs, err := n.store.List(ctx, memberPrefix, "", 0)
	if err != nil {
		n.clearMissingLeases()
		return err
	}
	n.mu.Lock()
	n.leasesRead = time.Now()
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
			h.bootHeardSince = n.leasesRead
		}
		h.Host = claim.Host{Name: m.Node, Centre: m.Centre, Boot: m.Boot, Leaving: sameBoot && h.Leaving}
		h.hasLease = true
		n.knownHosts[m.Node] = h
		n.mu.Unlock()
		records = append(records, member.Record{Node: m.Node, Centre: m.Centre, Link: m.Link, Incarnation: m.Start})
	}
	n.recordMissingLeases(n.leasesRead)
	n.view.Leases(n.leasesRead, records)
	n.updateLinks(time.Now())
	return nil
}

// clearMissingLeases forgets how long leases have been missing: the store did not answer.
func (n *Node) clearMissingLeases() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, h := range n.knownHosts {
		h.leaseMissingSince = time.Time{}
		n.knownHosts[name] = h
	}
}

// recordMissingLeases notes which hosts have no lease in a store that answers.
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

// considerClaim looks at one shard's claim, and takes the shard if it falls to this node.
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
		Open:   n.journals[shard] != nil || n.taking[shard],
		Leased: n.knownHosts[c.Node].hasLease, Silent: n.liveness.Silent(now, c.Node),
		Lease: n.settings.Store.Lease, Preferred: claim.Preferred(shard, owners),
	}
	if since := n.knownHosts[c.Node].leaseMissingSince; !since.IsZero() {
		view.Missing = now.Sub(since)
	}
	if view.Cut() {
		view.Preferred = claim.Preferred(shard, withoutHost(owners, c.Node))
	}
	free := view.Free(c)
	if free {
		n.taking[shard] = true
	}
	n.mu.Unlock()
	if !free {
		return
	}
	n.wait.Go(func() { n.takeShard(ctx, shard, c, p.Version) })
}

// withoutHost returns the hosts but one.
func withoutHost(hosts map[string]claim.Host, name string) map[string]claim.Host {
	rest := maps.Clone(hosts)
	delete(rest, name)
	return rest
}
