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

// leased is a shard owner's own record in the store; it stands while its lease does.
type leased struct {
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

// seen is a host as this node knows it.
type seen struct {
	claim.Host
	// leased tells whether the host's lease stood in the store when last read.
	leased bool
	// missing is since when every read of the store has shown no lease; zero
	// while one stands and after a read that failed.
	missing time.Time
	// since is when this boot of the host was first heard of.
	since time.Time
}

// hosts returns the hosts that show a sign of life, this one included.
func (n *Node) hosts(now time.Time) map[string]claim.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.settings.Node
	all := map[string]claim.Host{
		s.Name: {Name: s.Name, Centre: s.Centre, Boot: n.shelf.Boot(), Leaving: n.draining},
	}
	for name, h := range n.known {
		leased := h.leased && now.Sub(n.polled) < n.settings.Store.Lease
		if name != s.Name && (leased || !n.signs.Silent(now, name)) {
			all[name] = h.Host
		}
	}
	return all
}

// candidate tells whether this node may own shards.
func (n *Node) candidate(now time.Time) bool {
	_, ok := claim.Owners(n.hosts(now), n.settings.Shards.MaxOwners)[n.settings.Node.Name]
	return ok
}

// meet takes over a peer's news of itself.
func (n *Node) meet(now time.Time, name string, g frame.Gossip) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.known[name]
	if g.Boot == "" {
		g.Boot, g.Centre = h.Boot, h.Centre
	}
	if h.since.IsZero() || h.Boot != g.Boot {
		h.since = now
	}
	h.Host = claim.Host{Name: name, Centre: g.Centre, Boot: g.Boot, Leaving: g.Leaving}
	n.known[name] = h
	n.signs.Heard(now, name)
}

// alive notes that a node was heard on a link, with gossip or without.
func (n *Node) alive(at time.Time, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.signs.Heard(at, name)
}

// expect says how long living nodes may be silent on their links.
func (n *Node) expect(pause time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.signs.SetMaxSilence(pause)
}

// keepLease renews the node's lease in the store while it may own shards.
func (n *Node) keepLease(ctx context.Context) {
	var lease string
	every(ctx, n.settings.Store.Lease/3, func() {
		if !n.candidate(time.Now()) && n.owned() == 0 {
			return
		}
		sent := time.Now()
		var err error
		if lease, err = n.renew(ctx, lease); err != nil {
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

func (n *Node) renew(ctx context.Context, lease string) (string, error) {
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
	data, err := cbor.Marshal(leased{Node: s.Name, Centre: s.Centre, Link: s.AdvertisedAddr(), Boot: n.shelf.Boot(), Start: n.start})
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

// claimTick is how often a node looks, without asking the store, whether it should.
const claimTick = 100 * time.Millisecond

// firstLook is how long a node that starts lets its peers show themselves
// before it takes shards that they would take too.
const firstLook = 2 * gossipInterval

// claims takes the shards that fall to the node. The store is asked once in a
// third of a lease, sooner when an owner fell silent or gave a shard back, and
// not at all by nodes that own nothing and may not own anything.
func (n *Node) claims(ctx context.Context) {
	n.wait.Go(func() { n.keepLease(ctx) })
	random := rand.New(rand.NewPCG(n.settings.Policy.Seed, n.settings.Policy.Seed))
	ticker := time.NewTicker(claimTick)
	defer ticker.Stop()
	if err := n.members(ctx); err != nil {
		n.log.Warn().Err(err).Msg("members not read; trying again")
	}
	start := time.Now().Add(firstLook)
	var next, choose time.Time
	// looked tells whether the claims were read since the node began: they may
	// name its former life.
	looked := false
	for {
		now := time.Now()
		concerned := !looked || n.candidate(now) || n.owned() > 0
		if concerned && !now.Before(start) && (!now.Before(next) || n.orphaned(now)) {
			err := n.balance(ctx)
			if err != nil {
				n.log.Warn().Err(err).Msg("claims not read; trying again")
			}
			looked = looked || err == nil
			next = time.Now().Add(n.settings.Store.Lease/3 + below(random, n.settings.Store.Lease/12))
		}
		n.setReady()
		if !now.Before(choose) {
			n.chooseStandbys(now)
			n.retell()
			choose = now.Add(n.settings.Store.Lease / 3)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.wake:
			next = time.Time{}
		}
	}
}

// below draws a duration below bound.
func below(r *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(max(bound, 1))))
}

// orphaned tells whether a shard falls to this node whose owner is silent.
func (n *Node) orphaned(now time.Time) bool {
	owners := claim.Owners(n.hosts(now), n.settings.Shards.MaxOwners)
	n.mu.Lock()
	defer n.mu.Unlock()
	for shard, o := range n.owners {
		if o.node != "" && o.node != n.settings.Node.Name && n.signs.Silent(now, o.node) &&
			claim.PreferredOwner(shard, owners) == n.settings.Node.Name {
			return true
		}
	}
	return false
}

// stir makes the claims loop look at the store now.
func (n *Node) stir() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) balance(ctx context.Context) error {
	if err := n.members(ctx); err != nil {
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
	owners := claim.Owners(n.hosts(time.Now()), n.settings.Shards.MaxOwners)
	for shard := range n.settings.Shards.Count {
		n.consider(ctx, shard, found[shard], owners)
	}
	n.level(time.Now(), owners)
	return nil
}

// retell announces shards that moved lately once more: a link that came up in
// that moment may have missed it.
func (n *Node) retell() {
	n.mu.Lock()
	moved := n.moved
	n.moved = false
	n.mu.Unlock()
	if moved {
		n.announce()
	}
}

// level gives up one shard that falls to another node, which has been there
// for a lease and has its own lease in the store. The next follows only once
// this one has moved.
func (n *Node) level(now time.Time, owners map[string]claim.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.journals[n.moving.shard]; o != nil && o.epoch == n.moving.epoch || n.draining {
		return
	}
	for _, shard := range slices.Sorted(maps.Keys(n.journals)) {
		to := claim.PreferredOwner(shard, owners)
		h := n.known[to]
		if to == n.settings.Node.Name || !h.leased || now.Sub(h.since) < n.settings.Store.Lease {
			continue
		}
		n.moving = moving{shard: shard, epoch: n.journals[shard].epoch}
		n.log.Info().Int("shard", shard).Str("to", to).Msg("handing a shard over for balance")
		n.wait.Go(func() { n.emit(core.HandOverRequested{Shard: shard}) })
		return
	}
}

// moving is the shard that is being handed over for balance.
type moving struct {
	shard int
	epoch uint64
}

// setReady lets callers in once the node knows what to do with them.
func (n *Node) setReady() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = n.config.Revision > 0 && len(n.owners) > 0
}

// members reads which owners' leases stand.
func (n *Node) members(ctx context.Context) error {
	pairs, err := n.store.List(ctx, memberPrefix, "", 0)
	if err != nil {
		n.blind()
		return err
	}
	n.mu.Lock()
	n.polled = time.Now()
	for name, h := range n.known {
		h.leased = false
		n.known[name] = h
	}
	n.mu.Unlock()
	var records []member.Record
	for _, p := range pairs {
		var m leased
		if err := cbor.Unmarshal(p.Value, &m); err != nil {
			n.log.Error().Err(err).Str("key", p.Key).Msg("unreadable member record ignored")
			continue
		}
		n.mu.Lock()
		h := n.known[m.Node]
		same := h.Boot == m.Boot
		if !same {
			h.since = n.polled
		}
		h.Host = claim.Host{Name: m.Node, Centre: m.Centre, Boot: m.Boot, Leaving: same && h.Leaving}
		h.leased = true
		n.known[m.Node] = h
		n.mu.Unlock()
		records = append(records, member.Record{Node: m.Node, Centre: m.Centre, LinkAddr: m.Link, Incarnation: m.Start})
	}
	n.miss(n.polled)
	n.view.UpdateLeases(n.polled, records)
	n.mesh(time.Now())
	return nil
}

// blind forgets how long leases have been missing: the store did not answer.
func (n *Node) blind() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, h := range n.known {
		h.missing = time.Time{}
		n.known[name] = h
	}
}

// miss notes which hosts have no lease in a store that answers.
func (n *Node) miss(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, h := range n.known {
		switch {
		case h.leased:
			h.missing = time.Time{}
		case h.missing.IsZero():
			h.missing = now
		}
		n.known[name] = h
	}
}

// consider looks at one shard's claim, and takes the shard if it falls to this node.
func (n *Node) consider(ctx context.Context, shard int, p store.Pair, owners map[string]claim.Host) {
	var c claim.Claim
	if p.Version != 0 {
		if err := cbor.Unmarshal(p.Value, &c); err != nil {
			n.log.Error().Err(err).Int("shard", shard).Msg("unreadable claim")
			return
		}
		n.see(shard, ownership{node: c.Node, epoch: c.Epoch})
	}
	now := time.Now()
	n.mu.Lock()
	view := claim.View{
		Self: n.settings.Node.Name, Draining: n.draining,
		JournalOpen: n.journals[shard] != nil || n.taking[shard],
		OwnerLeased: n.known[c.Node].leased, OwnerSilent: n.signs.Silent(now, c.Node),
		LeaseDuration: n.settings.Store.Lease, Preferred: claim.PreferredOwner(shard, owners),
	}
	if since := n.known[c.Node].missing; !since.IsZero() {
		view.LeaseMissing = now.Sub(since)
	}
	if view.OwnerPartitioned() {
		view.Preferred = claim.PreferredOwner(shard, without(owners, c.Node))
	}
	free := view.ShouldTake(c)
	if free {
		n.taking[shard] = true
	}
	n.mu.Unlock()
	if !free {
		return
	}
	n.wait.Go(func() { n.take(ctx, shard, c, p.Version) })
}

// without returns the hosts but one.
func without(hosts map[string]claim.Host, name string) map[string]claim.Host {
	rest := maps.Clone(hosts)
	delete(rest, name)
	return rest
}
