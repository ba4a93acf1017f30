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

// take raises a claim to this node's next epoch and opens the shard.
func (n *Node) take(ctx context.Context, shard int, old claim.Claim, version uint64) {
	defer func() {
		n.mu.Lock()
		delete(n.taking, shard)
		n.mu.Unlock()
	}()
	c := claim.Claim{Node: n.settings.Node.Name, Epoch: old.Epoch + 1, Standbys: old.Standbys}
	if len(c.Standbys) == 0 {
		c.Standbys = claim.ChooseStandbys(shard, c.Node, nil, n.hosts(time.Now()))
	}
	err := n.open(ctx, shard, c, version)
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
		return 0, errors.Wrap(err, "node: encoding")
	}
	return n.store.Put(ctx, claimKey(shard), data, version, "")
}

// setPace gives the node's journals together the part of all writes that its
// shards have of all shards; a second's worth may come at once. The caller
// holds the lock.
func (n *Node) setPace(now time.Time) {
	limit := n.settings.Store.WriteLimit * len(n.journals) / n.settings.Shards.Count
	n.pace.SetLimitAt(now, rate.Limit(max(1, limit)))
	n.pace.SetBurstAt(now, max(1, limit))
}

func (n *Node) open(ctx context.Context, shard int, c claim.Claim, version uint64) error {
	if _, err := n.putClaim(ctx, shard, c, version); err != nil {
		return err
	}
	s := n.settings
	j := jrnl.New(jrnl.Options{
		Store: n.store, Peers: peers{n}, Shard: shard, Epoch: c.Epoch, Standbys: c.Standbys,
		Delay: s.Store.StandbyDelay, Bound: s.Store.MaxPendingBytes, Pace: n.pace, Abandon: s.Store.StandbyTimeout,
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
	running, cancel := context.WithCancel(ctx)
	n.mu.Lock()
	n.journals[shard] = &opened{journal: j, epoch: c.Epoch, standbys: c.Standbys, cancel: cancel}
	n.setPace(time.Now())
	n.moved = true
	n.mu.Unlock()
	n.wait.Go(func() {
		j.Run(running)
		cancel()
		n.closed(shard, c.Epoch)
	})
	n.emit(core.ShardAcquired{Shard: shard, Epoch: c.Epoch, Records: records})
	n.see(shard, ownership{node: c.Node, epoch: c.Epoch})
	n.announce()
	n.log.Info().Int("shard", shard).Uint64("epoch", c.Epoch).Int("records", len(records)).Msg("shard taken")
	return nil
}

// closed forgets a journal that ended, by a hand-over or because a later
// epoch sealed it.
func (n *Node) closed(shard int, epoch uint64) {
	n.mu.Lock()
	if o := n.journals[shard]; o != nil && o.epoch == epoch {
		delete(n.journals, shard)
		n.setPace(time.Now())
	}
	n.mu.Unlock()
	n.emit(core.ShardLost{Shard: shard, Epoch: epoch})
}

// see takes over news of a shard's owner unless it is old. A later epoch than
// that of this node's own journal ends the journal, also one with nothing to
// write, which would not notice by itself.
func (n *Node) see(shard int, o ownership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.owners[shard]; o.epoch > old.epoch || o.epoch == old.epoch && o.node == "" {
		n.owners[shard] = o
	}
	if own := n.journals[shard]; own != nil && o.epoch > own.epoch {
		own.cancel()
	}
}

// yield gives a shard back so that another node can take it.
func (n *Node) yield(ctx context.Context, y core.HandOver) {
	n.mu.Lock()
	o := n.journals[y.Shard]
	n.mu.Unlock()
	if o == nil || o.epoch != y.Epoch {
		return
	}
	o.journal.Flush(ctx)
	for ctx.Err() == nil {
		err := n.unclaim(ctx, y)
		if err == nil {
			break
		}
		if !errors.Is(err, store.ErrConflict) {
			// A conflict is a change of the standbys that came between: try at once.
			time.Sleep(100 * time.Millisecond)
		}
	}
	o.cancel()
	n.mu.Lock()
	delete(n.journals, y.Shard)
	n.setPace(time.Now())
	n.moved = true
	n.mu.Unlock()
	n.see(y.Shard, ownership{epoch: y.Epoch})
	n.gossipTo(n.links.Live(), n.news(map[int]uint64{y.Shard: y.Epoch}))
}

func (n *Node) unclaim(ctx context.Context, y core.HandOver) error {
	p, err := n.store.Get(ctx, claimKey(y.Shard))
	if err != nil {
		return err
	}
	var c claim.Claim
	if err := cbor.Unmarshal(p.Value, &c); err != nil || c.Epoch != y.Epoch || c.Node != n.settings.Node.Name {
		return nil
	}
	_, err = n.putClaim(ctx, y.Shard, claim.Claim{Epoch: y.Epoch}, p.Version)
	return err
}
