package node

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/transport/jrnl"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// member is a node's own record in the store; it stands while its lease does.
type member struct {
	Node   string `cbor:"1,keyasint"`
	Centre string `cbor:"2,keyasint"`
	Link   string `cbor:"3,keyasint"`
	// Leaving nodes get no shards.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// claim is who owns a shard; it outlives its owner's lease.
type claim struct {
	Node  string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

const (
	memberPrefix = "node/"
	claimPrefix  = "claim/"
)

func claimKey(shard int) string { return fmt.Sprintf("%s%04d", claimPrefix, shard) }

// claims keeps the node's lease and takes the shards that fall to it.
func (n *Node) claims(ctx context.Context) {
	var lease string
	every(ctx, n.settings.Store.Lease/3, func() {
		var err error
		if lease, err = n.renew(ctx, lease); err != nil {
			n.log.Warn().Err(err).Msg("lease not renewed; trying again")
			return
		}
		if err := n.balance(ctx); err != nil {
			n.log.Warn().Err(err).Msg("claims not read; trying again")
		}
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
	data, err := cbor.Marshal(member{Node: s.Name, Centre: s.Centre, Link: s.Link})
	if err != nil {
		return "", errors.Wrap(err, "node: encoding")
	}
	key := memberPrefix + s.Name
	var version uint64
	if p, err := n.store.Get(ctx, key); err == nil {
		version = p.Version
	}
	_, err = n.store.Put(ctx, key, data, version, lease)
	return lease, err
}

func (n *Node) balance(ctx context.Context) error {
	live, err := n.members(ctx)
	if err != nil {
		return err
	}
	pairs, err := n.store.List(ctx, claimPrefix, "", 0)
	if err != nil {
		return err
	}
	claims := make(map[int]store.Pair, len(pairs))
	for _, p := range pairs {
		var shard int
		if _, err := fmt.Sscanf(strings.TrimPrefix(p.Key, claimPrefix), "%d", &shard); err == nil {
			claims[shard] = p
		}
	}
	for shard := range n.settings.Shards.Count {
		n.consider(ctx, shard, claims[shard], live)
	}
	n.setReady()
	return nil
}

func (n *Node) setReady() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = n.config.Revision > 0
}

func (n *Node) members(ctx context.Context) (map[string]member, error) {
	pairs, err := n.store.List(ctx, memberPrefix, "", 0)
	if err != nil {
		return nil, err
	}
	live := make(map[string]member, len(pairs))
	for _, p := range pairs {
		var m member
		if err := cbor.Unmarshal(p.Value, &m); err == nil {
			live[m.Node] = m
			n.links.Connect(m.Node, m.Link)
		}
	}
	n.mu.Lock()
	n.live = live
	n.mu.Unlock()
	return live, nil
}

// preferred returns the live node that a shard falls to, by rendezvous hashing.
func preferred(shard int, live map[string]member) string {
	best, top := "", uint64(0)
	for name, m := range live {
		if m.Leaving {
			continue
		}
		score := xxhash.Sum64String(fmt.Sprintf("%d/%s", shard, name))
		if best == "" || score > top {
			best, top = name, score
		}
	}
	return best
}

func (n *Node) consider(ctx context.Context, shard int, p store.Pair, live map[string]member) {
	var c claim
	if p.Version != 0 {
		if err := cbor.Unmarshal(p.Value, &c); err != nil {
			n.log.Error().Err(err).Int("shard", shard).Msg("unreadable claim")
			return
		}
		n.see(shard, ownership{node: c.Node, epoch: c.Epoch})
	}
	n.mu.Lock()
	draining, open := n.draining, n.journals[shard] != nil
	n.mu.Unlock()
	self := n.settings.Node.Name
	_, alive := live[c.Node]
	free := c.Node == "" || !alive || c.Node == self && !open
	if draining || !free || preferred(shard, live) != self {
		return
	}
	if err := n.take(ctx, shard, claim{Node: self, Epoch: c.Epoch + 1}, p.Version); err != nil {
		n.log.Warn().Err(err).Int("shard", shard).Msg("shard not taken")
	}
}

func (n *Node) take(ctx context.Context, shard int, c claim, version uint64) error {
	data, err := cbor.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "node: encoding")
	}
	if _, err := n.store.Put(ctx, claimKey(shard), data, version, ""); err != nil {
		return err
	}
	j, records, err := jrnl.Open(ctx, n.store, shard, c.Epoch)
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(ctx)
	n.mu.Lock()
	n.journals[shard] = &opened{journal: j, epoch: c.Epoch, cancel: cancel}
	n.mu.Unlock()
	n.wait.Go(func() { j.Run(running) })
	n.emit(core.Acquired{Shard: shard, Epoch: c.Epoch, Records: records})
	n.see(shard, ownership{node: c.Node, epoch: c.Epoch})
	n.log.Info().Int("shard", shard).Uint64("epoch", c.Epoch).Int("records", len(records)).Msg("shard taken")
	return nil
}

// see takes over news of a shard's owner unless it is old.
func (n *Node) see(shard int, o ownership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.owners[shard]; o.epoch > old.epoch || o.epoch == old.epoch && o.node == "" {
		n.owners[shard] = o
	}
}

// yield gives a shard back so that another node can take it.
func (n *Node) yield(ctx context.Context, y core.Yield) {
	n.mu.Lock()
	o := n.journals[y.Shard]
	n.mu.Unlock()
	if o == nil || o.epoch != y.Epoch {
		return
	}
	for ctx.Err() == nil {
		err := n.unclaim(ctx, y)
		if err == nil || errors.Is(err, store.ErrConflict) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.cancel()
	n.mu.Lock()
	delete(n.journals, y.Shard)
	n.mu.Unlock()
	n.see(y.Shard, ownership{epoch: y.Epoch})
}

func (n *Node) unclaim(ctx context.Context, y core.Yield) error {
	p, err := n.store.Get(ctx, claimKey(y.Shard))
	if err != nil {
		return err
	}
	var c claim
	if err := cbor.Unmarshal(p.Value, &c); err != nil || c.Epoch != y.Epoch || c.Node != n.settings.Node.Name {
		return nil
	}
	data, err := cbor.Marshal(claim{Epoch: y.Epoch})
	if err != nil {
		return errors.Wrap(err, "node: encoding")
	}
	_, err = n.store.Put(ctx, p.Key, data, p.Version, "")
	return err
}
