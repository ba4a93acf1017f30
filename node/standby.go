package node

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/transport/holder"
	"github.com/cowslipstage/cowslipstage/transport/jrnl"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// standbyPeers sends a journal's messages to the standbys of this node's
// shards. This node is among them if it was a standby of the previous owner.
type standbyPeers struct{ n *Node }

var _ jrnl.Peers = standbyPeers{}

// SendHold sends a batch of the journal to a standby.
func (p standbyPeers) SendHold(to claim.Standby, h frame.Hold) { p.n.send(to.Node, frame.TopicHold, h) }

// SendSeal asks a standby to accept no more batches from older epochs.
func (p standbyPeers) SendSeal(to claim.Standby, s frame.Seal) {
	if to.Node == p.n.settings.Node.Name {
		p.n.wait.Go(func() { p.n.sealShard(to.Node, s) })
		return
	}
	p.n.send(to.Node, frame.TopicSeal, s)
}

// Alive reports whether a standby counts as live.
func (p standbyPeers) Alive(s claim.Standby) bool {
	_, ok := p.n.liveHosts(time.Now())[s.Node]
	return ok
}

// SetStandbys writes the standbys to the claim and retries until it knows what the
// claim holds.
func (p standbyPeers) SetStandbys(ctx context.Context, shard int, epoch uint64, standbys []claim.Standby) error {
	for {
		err := p.n.writeStandbys(ctx, shard, epoch, standbys)
		if err == nil || errors.Is(err, jrnl.ErrDeposed) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.n.settings.Store.Lease / 3):
		}
	}
}

// writeStandbys writes the standbys to the claim if this node still holds it.
func (n *Node) writeStandbys(ctx context.Context, shard int, epoch uint64, standbys []claim.Standby) error {
	pair, err := n.store.Get(ctx, claimKey(shard))
	if err != nil {
		return err
	}
	var c claim.Claim
	if err := cbor.Unmarshal(pair.Value, &c); err != nil {
		return errors.Wrap(err, "node: unreadable claim")
	}
	if c.Epoch != epoch || c.Node != n.settings.Node.Name {
		return errors.Mark(errors.Newf("node: epoch %d no longer owns the shard", epoch), jrnl.ErrDeposed)
	}
	if slices.Equal(c.Standbys, standbys) {
		return nil
	}
	c.Standbys = standbys
	_, err = n.putClaim(ctx, shard, c, pair.Version)
	if errors.Is(err, store.ErrConflict) {
		return errors.Wrap(err, "node: the claim was changed concurrently")
	}
	return err
}

// holdBatch stores a batch for another owner.
func (n *Node) holdBatch(from string, h frame.Hold) {
	reply, err := n.holder.Hold(h)
	switch {
	case errors.Is(err, holder.ErrFull):
		n.metrics.GetOrCreateCounter("standby_full_total").Inc()
	case err != nil:
		n.log.Warn().Err(err).Str("peer", from).Int("shard", h.Shard).Msg("batch not held")
	case reply != nil:
		n.send(from, frame.TopicHeld, *reply)
	}
}

// dropSuperseded drops the batches held for owners before epoch, which has
// sealed the journal.
func (n *Node) dropSuperseded(shard int, epoch uint64) {
	if err := n.holder.Supersede(shard, epoch); err != nil {
		n.log.Warn().Err(err).Int("shard", shard).Msg("superseded batches not dropped")
	}
}

// sealShard seals a shard for a new owner and sends it the batches held.
func (n *Node) sealShard(from string, s frame.Seal) {
	reply, err := n.holder.Seal(s)
	if err != nil {
		n.log.Warn().Err(err).Str("peer", from).Int("shard", s.Shard).Msg("shard not sealed")
		return
	}
	if from == n.settings.Node.Name {
		n.handleSealed(from, reply)
		return
	}
	n.send(from, frame.TopicSealed, reply)
}

// handleHeld passes a standby's acknowledgement to the shard's journal.
func (n *Node) handleHeld(from string, h frame.Held) {
	n.mu.Lock()
	o := n.journals[h.Shard]
	n.mu.Unlock()
	if o != nil {
		o.journal.HandleHeld(claim.Standby{Node: from, Boot: h.Boot}, h)
	}
}

// handleSealed passes a standby's answer to the journal that is being opened.
func (n *Node) handleSealed(from string, s frame.Sealed) {
	n.mu.Lock()
	j := n.opening[s.Shard]
	n.mu.Unlock()
	if j != nil {
		j.HandleSealed(claim.Standby{Node: from, Boot: s.Boot}, s)
	}
}

// chooseStandbys replaces standbys that are gone or leaving.
func (n *Node) chooseStandbys(now time.Time) {
	hosts := n.liveHosts(now)
	n.mu.Lock()
	changes := map[*openJournal][]claim.Standby{}
	for shard, o := range n.journals {
		chosen := claim.ChooseStandbys(shard, n.settings.Node.Name, o.standbys, hosts)
		if len(chosen) > 0 && !slices.Equal(chosen, o.standbys) {
			o.standbys = chosen
			changes[o] = chosen
		}
	}
	n.mu.Unlock()
	for o, chosen := range changes {
		o.journal.ReplaceStandbys(chosen)
	}
}
