package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/snap"
	"github.com/cowslipstage/cowslipstage/transport/jrnl"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// takeShard writes a claim with this node's next epoch and opens the shard.
func (n *Node) takeShard(ctx context.Context, shard int, old claim.Claim, version uint64) {
	defer func() {
		n.mu.Lock()
		delete(n.taking, shard)
		n.mu.Unlock()
	}()
	c := claim.Claim{Node: n.settings.Node.Name, Epoch: old.Epoch + 1, Standbys: old.Standbys}
	if len(c.Standbys) == 0 {
		c.Standbys = claim.ChooseStandbys(shard, c.Node, nil, n.liveHosts(time.Now()))
	}
	err := n.openShard(ctx, shard, c, version)
	switch {
	case err == nil || ctx.Err() != nil:
	case errors.Is(err, store.ErrConflict):
		n.log.Debug().Int("shard", shard).Msg("another node took the shard first")
	default:
		n.log.Warn().Err(err).Int("shard", shard).Uint64("epoch", c.Epoch).Msg("shard not taken")
	}
}

func (n *Node) putClaim(ctx context.Context, shard int, c claim.Claim, version uint64) (uint64, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return 0, errors.Wrap(err, "node: encoding the claim")
	}
	return n.store.Put(ctx, claimKey(shard), data, version, "")
}

// updateWriteLimit gives the node's journals together a share of the store's
// write rate that is proportional to the node's shards. The burst is one
// second's worth. The caller holds mu.
func (n *Node) updateWriteLimit(now time.Time) {
	limit := n.settings.Store.WriteLimit * len(n.journals) / n.settings.Shards.Count
	n.writeLimiter.SetLimitAt(now, rate.Limit(max(1, limit)))
	n.writeLimiter.SetBurstAt(now, max(1, limit))
}

// openShard writes the claim, opens the shard's journal and loads its records
// into the core.
func (n *Node) openShard(ctx context.Context, shard int, c claim.Claim, version uint64) error {
	if _, err := n.putClaim(ctx, shard, c, version); err != nil {
		return err
	}
	s := n.settings
	j := jrnl.New(jrnl.Options{
		Store: n.store, Peers: standbyPeers{n}, Shard: shard, Epoch: c.Epoch, Standbys: c.Standbys,
		StandbyDelay: s.Store.StandbyDelay, MaxPendingBytes: s.Store.MaxPendingBytes, WriteLimit: n.writeLimiter, StandbyTimeout: s.Store.StandbyTimeout,
		Retention: snap.Retention{Answers: s.Shards.AnswerRetention, Keys: s.Shards.KeyRetention},
		Metrics:   n.metrics, Log: n.log,
	})
	n.mu.Lock()
	n.opening[shard] = j
	n.mu.Unlock()
	records, err := j.Open(ctx)
	n.mu.Lock()
	delete(n.opening, shard)
	n.mu.Unlock()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(ctx)
	n.mu.Lock()
	n.journals[shard] = &openJournal{journal: j, epoch: c.Epoch, standbys: c.Standbys, cancel: cancel}
	n.updateWriteLimit(time.Now())
	n.shardsMoved = true
	n.mu.Unlock()
	n.wait.Go(func() {
		j.Run(runCtx)
		cancel()
		n.journalClosed(shard, c.Epoch)
	})
	n.emit(core.ShardAcquired{Shard: shard, Epoch: c.Epoch, Records: records})
	n.updateOwner(shard, ownership{node: c.Node, epoch: c.Epoch})
	n.announce()
	n.log.Info().Int("shard", shard).Uint64("epoch", c.Epoch).Int("records", len(records)).Msg("shard taken")
	return nil
}

// journalClosed forgets a journal that ended by a hand-over, or because a later
// epoch sealed it.
func (n *Node) journalClosed(shard int, epoch uint64) {
	n.mu.Lock()
	if o := n.journals[shard]; o != nil && o.epoch == epoch {
		delete(n.journals, shard)
		n.updateWriteLimit(time.Now())
	}
	n.mu.Unlock()
	n.emit(core.ShardLost{Shard: shard, Epoch: epoch})
}

// updateOwner records a shard's owner unless a newer one is known. It closes
// this node's own journal if its epoch is older. A journal with nothing to
// write would not notice the later epoch by itself.
func (n *Node) updateOwner(shard int, o ownership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.owners[shard]; o.epoch > old.epoch || o.epoch == old.epoch && o.node == "" {
		n.owners[shard] = o
	}
	if own := n.journals[shard]; own != nil && o.epoch > own.epoch {
		own.cancel()
	}
}

// handOverShard hands a shard over so that another node can take it.
func (n *Node) handOverShard(ctx context.Context, h core.HandOver) {
	n.mu.Lock()
	o := n.journals[h.Shard]
	n.mu.Unlock()
	if o == nil || o.epoch != h.Epoch {
		return
	}
	o.journal.Flush(ctx)
	for ctx.Err() == nil {
		err := n.clearClaim(ctx, h)
		if err == nil {
			break
		}
		if !errors.Is(err, store.ErrConflict) {
			// A conflict means that the standbys in the claim were changed
			// meanwhile. Retry at once.
			time.Sleep(100 * time.Millisecond)
		}
	}
	o.cancel()
	n.mu.Lock()
	delete(n.journals, h.Shard)
	n.updateWriteLimit(time.Now())
	n.shardsMoved = true
	n.mu.Unlock()
	n.updateOwner(h.Shard, ownership{epoch: h.Epoch})
	n.sendGossip(n.links.Connected(), n.fullGossip(map[int]uint64{h.Shard: h.Epoch}))
}

// clearClaim removes this node from the claim, unless another owner has
// replaced it.
func (n *Node) clearClaim(ctx context.Context, h core.HandOver) error {
	p, err := n.store.Get(ctx, claimKey(h.Shard))
	if err != nil {
		return err
	}
	var c claim.Claim
	if err := cbor.Unmarshal(p.Value, &c); err != nil || c.Epoch != h.Epoch || c.Node != n.settings.Node.Name {
		return nil
	}
	_, err = n.putClaim(ctx, h.Shard, claim.Claim{Epoch: h.Epoch}, p.Version)
	return err
}
