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

// peers reaches the standbys of this node's shards, itself included when it
// was one of its predecessor's.
type peers struct{ n *Node }

var _ jrnl.Peers = peers{}

// SendHold sends a batch of the journal to a standby.
func (p peers) SendHold(to claim.Standby, h frame.Hold) { p.n.send(to.Node, frame.TopicHold, h) }

// SendSeal asks a standby to take no more from older epochs.
func (p peers) SendSeal(to claim.Standby, s frame.Seal) {
	if to.Node == p.n.settings.Node.Name {
		p.n.wait.Go(func() { p.n.seal(to.Node, s) })
		return
	}
	p.n.send(to.Node, frame.TopicSeal, s)
}

// Alive tells whether a standby shows a sign of life.
func (p peers) Alive(s claim.Standby) bool {
	_, ok := p.n.hosts(time.Now())[s.Node]
	return ok
}

// SetStandbys writes the standbys to the claim, and tries again until it is known
// what the claim says.
func (p peers) SetStandbys(ctx context.Context, shard int, epoch uint64, standbys []claim.Standby) error {
	for {
		err := p.n.rename(ctx, shard, epoch, standbys)
		if err == nil || errors.Is(err, jrnl.ErrDeposed) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.n.settings.Store.Lease / 3):
		}
	}
}

func (n *Node) rename(ctx context.Context, shard int, epoch uint64, standbys []claim.Standby) error {
	pair, err := n.store.Get(ctx, claimKey(shard))
	if err != nil {
		return err
	}
	var c claim.Claim
	if err := cbor.Unmarshal(pair.Value, &c); err != nil {
		return errors.Wrap(err, "node: unreadable claim")
	}
	if c.Epoch != epoch || c.Node != n.settings.Node.Name {
		return errors.Mark(errors.Newf("node: epoch %d is past", epoch), jrnl.ErrDeposed)
	}
	if slices.Equal(c.Standbys, standbys) {
		return nil
	}
	c.Standbys = standbys
	_, err = n.putClaim(ctx, shard, c, pair.Version)
	if errors.Is(err, store.ErrConflict) {
		return errors.Wrap(err, "node: the claim changed meanwhile")
	}
	return err
}

// keep holds a batch for another owner.
func (n *Node) keep(from string, h frame.Hold) {
	reply, err := n.shelf.Hold(h)
	switch {
	case errors.Is(err, holder.ErrFull):
		n.metrics.GetOrCreateCounter("standby_full_total").Inc()
	case err != nil:
		n.log.Warn().Err(err).Str("peer", from).Int("shard", h.Shard).Msg("batch not held")
	case reply != nil:
		n.send(from, frame.TopicHeld, *reply)
	}
}

// supersede drops what is kept for owners before epoch, which has sealed the journal.
func (n *Node) supersede(shard int, epoch uint64) {
	if err := n.shelf.Supersede(shard, epoch); err != nil {
		n.log.Warn().Err(err).Int("shard", shard).Msg("superseded batches not dropped")
	}
}

// seal answers a new owner.
func (n *Node) seal(from string, s frame.Seal) {
	reply, err := n.shelf.Seal(s)
	if err != nil {
		n.log.Warn().Err(err).Str("peer", from).Int("shard", s.Shard).Msg("shard not sealed")
		return
	}
	if from == n.settings.Node.Name {
		n.sealed(from, reply)
		return
	}
	n.send(from, frame.TopicSealed, reply)
}

// held passes an acknowledgement to the shard's journal.
func (n *Node) held(from string, h frame.Held) {
	n.mu.Lock()
	o := n.journals[h.Shard]
	n.mu.Unlock()
	if o != nil {
		o.journal.HandleHeld(claim.Standby{Node: from, Boot: h.Boot}, h)
	}
}

// sealed passes a standby's answer to the journal that is being opened.
func (n *Node) sealed(from string, s frame.Sealed) {
	n.mu.Lock()
	j := n.opening[s.Shard]
	n.mu.Unlock()
	if j != nil {
		j.HandleSealed(claim.Standby{Node: from, Boot: s.Boot}, s)
	}
}

// chooseStandbys replaces standbys that are gone or leaving.
func (n *Node) chooseStandbys(now time.Time) {
	hosts := n.hosts(now)
	n.mu.Lock()
	changes := map[*opened][]claim.Standby{}
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
