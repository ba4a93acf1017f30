package node

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/transport/jrnl"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// peers reaches the standbys of this node's shards, itself included when it
// was one of its predecessor's.
type peers struct{ n *Node }

var _ jrnl.Peers = peers{}

func (p peers) Hold(to claim.Standby, h frame.Hold) { p.n.send(to.Node, frame.TopicHold, h) }

func (p peers) Seal(to claim.Standby, s frame.Seal) {
	if to.Node == p.n.settings.Node.Name {
		p.n.wait.Go(func() { p.n.sealed(to.Node, p.n.answerSeal(s)) })
		return
	}
	p.n.send(to.Node, frame.TopicSeal, s)
}

func (p peers) Alive(s claim.Standby) bool {
	_, ok := p.n.hosts(time.Now())[s.Node]
	return ok
}

// Rename writes the standbys to the claim, and tries again until it is known
// what the claim says.
func (p peers) Rename(ctx context.Context, shard int, epoch uint64, standbys []claim.Standby) error {
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
	if h.Boot != n.boot {
		return
	}
	reply := frame.Held{Shard: h.Shard, Epoch: h.Epoch, Number: h.Number, Boot: n.boot}
	n.holding.Lock()
	l := n.logOf(h.Shard)
	b := hold.Batch{Number: h.Number, Epoch: h.Epoch}
	if len(h.Data) > 0 {
		if err := cbor.Unmarshal(h.Data, &b); err != nil || b.Epoch != h.Epoch || b.Number != h.Number {
			n.holding.Unlock()
			n.log.Warn().Err(err).Str("peer", from).Msg("bad batch to hold dropped")
			return
		}
	}
	if n.heldBytes()+len(b.Data) > n.settings.Shards.Standby {
		n.holding.Unlock()
		n.metrics.GetOrCreateCounter("standby_full_total").Inc()
		return
	}
	kept := l.Hold(b, h.Below)
	reply.Sealed = l.Sealed()
	n.holding.Unlock()
	if kept {
		reply.Sealed = 0
	}
	if !kept || h.Number > 0 {
		n.send(from, frame.TopicHeld, reply)
	}
}

// logOf returns what is kept of a shard. The caller holds the lock.
func (n *Node) logOf(shard int) *hold.Log {
	l := n.logs[shard]
	if l == nil {
		l = hold.New()
		n.logs[shard] = l
	}
	return l
}

// heldBytes returns the bytes kept for other owners. The caller holds the lock.
func (n *Node) heldBytes() int {
	size := 0
	for _, l := range n.logs {
		size += l.Size()
	}
	return size
}

// supersede drops what is kept for owners before epoch, which has sealed the journal.
func (n *Node) supersede(shard int, epoch uint64) {
	n.holding.Lock()
	defer n.holding.Unlock()
	if l := n.logs[shard]; l != nil {
		l.Supersede(epoch)
	}
}

// sealBytes bounds the batches of one answer to a seal.
const sealBytes = 1 << 20

// seal answers a new owner.
func (n *Node) seal(from string, s frame.Seal) {
	n.send(from, frame.TopicSealed, n.answerSeal(s))
}

func (n *Node) answerSeal(s frame.Seal) frame.Sealed {
	reply := frame.Sealed{Shard: s.Shard, Epoch: s.Epoch, Boot: s.Boot}
	if s.Boot != n.boot {
		reply.Gone = true
		return reply
	}
	n.holding.Lock()
	defer n.holding.Unlock()
	l := n.logOf(s.Shard)
	if !l.Seal(s.Epoch) {
		reply.Newer = l.Sealed()
		return reply
	}
	batches, more := l.After(s.After, sealBytes)
	for _, b := range batches {
		data, err := cbor.Marshal(b)
		if err != nil {
			n.log.Error().Err(err).Msg("encoding a held batch")
			reply.More = true
			return reply
		}
		reply.Batches = append(reply.Batches, data)
	}
	reply.More = more
	return reply
}

// held passes an acknowledgement to the shard's journal.
func (n *Node) held(from string, h frame.Held) {
	n.mu.Lock()
	o := n.journals[h.Shard]
	n.mu.Unlock()
	if o != nil {
		o.journal.Held(claim.Standby{Node: from, Boot: h.Boot}, h)
	}
}

// sealed passes a standby's answer to the journal that is being opened.
func (n *Node) sealed(from string, s frame.Sealed) {
	n.mu.Lock()
	j := n.opening[s.Shard]
	n.mu.Unlock()
	if j != nil {
		j.Sealed(claim.Standby{Node: from, Boot: s.Boot}, s)
	}
}

// chooseStandbys replaces standbys that are gone or leaving.
func (n *Node) chooseStandbys(now time.Time) {
	hosts := n.hosts(now)
	n.mu.Lock()
	changes := map[*opened][]claim.Standby{}
	for shard, o := range n.journals {
		chosen := claim.Choose(shard, n.settings.Node.Name, o.standbys, hosts)
		if len(chosen) > 0 && !slices.Equal(chosen, o.standbys) {
			o.standbys = chosen
			changes[o] = chosen
		}
	}
	n.mu.Unlock()
	for o, chosen := range changes {
		o.journal.Replace(chosen)
	}
}
