package jrnl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/commit"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
	"github.com/cowslipstage/cowslipstage/coordination/seal"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// Open seals the shard for the journal's epoch, at the standbys and in the
// store, and returns all its records. The caller then calls Run.
func (j *Journal) Open(ctx context.Context) ([]record.Record, error) {
	round, err := j.sealStandbys(ctx)
	if err != nil {
		return nil, err
	}
	records, err := j.loadSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	j.ring.versions = map[uint64]uint64{}
	j.ring.next, j.ring.snapshotSlot = j.latest.head.Slot+1, j.latest.head.Slot
	t := &j.tail
	t.lastNumber, t.lastEpoch = j.latest.head.Number, j.latest.head.Epoch
	for {
		values, err := j.readSlots(ctx)
		if err != nil {
			return nil, err
		}
		for _, v := range values {
			t.add(v.Slot, v.Batches)
		}
		err = j.writeSeal(ctx, round)
		if err == nil {
			break
		}
		if !errors.Is(err, ErrDeposed) {
			return nil, err
		}
		// Either the predecessor wrote one more slot or a successor took over.
		// The next read finds out which.
		delete(j.ring.versions, j.ring.next%ringSlots)
	}
	data := t.records()
	recent, err := record.Decode(data)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreadable)
	}
	options := commit.Options{StandbyDelay: j.options.StandbyDelay, ResendAfter: resendInterval, MaxPendingBytes: j.options.MaxPendingBytes}
	j.writer = commit.New(options, j.options.Epoch, t.lastNumber+1, j.standbys)
	return append(records, recent...), nil
}

// writeSeal appends the batches that only the standbys hold, and an empty batch
// under the new epoch that seals the journal.
func (j *Journal) writeSeal(ctx context.Context, round *seal.Round) error {
	batches := round.BatchesAfter(j.tail.lastNumber, j.tail.lastEpoch)
	number := j.tail.lastNumber + uint64(len(batches)) + 1
	batches = append(batches, hold.Batch{Number: number, Epoch: j.options.Epoch})
	for len(batches) > 0 {
		n, size := 1, len(batches[0].Data)
		for n < len(batches) && size+len(batches[n].Data) <= maxSlotBytes {
			size += len(batches[n].Data)
			n++
		}
		slot := j.ring.next
		v := slotValue{Slot: slot, Epoch: j.options.Epoch, Batches: batches[:n]}
		if err := j.writeSlot(ctx, slot, v); err != nil {
			return err
		}
		j.tail.add(slot, v.Batches)
		j.ring.next++
		batches = batches[n:]
	}
	return nil
}

// sealStandbys asks the standbys until a quorum has answered, and collects the
// batches they hold.
func (j *Journal) sealStandbys(ctx context.Context) (*seal.Round, error) {
	round := seal.New(j.standbys)
	lastAlive := map[claim.Standby]time.Time{}
	after := map[claim.Standby]uint64{}
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	start := time.Now()
	for _, s := range j.standbys {
		lastAlive[s] = start
	}
	j.requestSeals(round.Unanswered(), after)
	for {
		switch round.State() {
		case seal.QuorumReached:
			return round, nil
		case seal.QuorumLost:
			j.countEvent("journal_unsealed_total")
			j.options.Log.Error().Int("shard", j.options.Shard).Uint64("epoch", j.options.Epoch).
				Msg("too many standbys lost their batches; batches that only they held, if any, are lost")
			return round, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case a := <-j.sealReplies:
			if err := j.addSealReply(round, after, a); err != nil {
				return nil, err
			}
		case now := <-ticker.C:
			j.dropUnresponsive(now, round, lastAlive)
			j.requestSeals(round.Unanswered(), after)
		}
	}
}

func (j *Journal) requestSeals(missing []claim.Standby, after map[claim.Standby]uint64) {
	for _, s := range missing {
		j.options.Peers.SendSeal(s, frame.Seal{
			Shard: j.options.Shard, Epoch: j.options.Epoch, Boot: s.Boot, After: after[s],
		})
	}
}

func (j *Journal) addSealReply(round *seal.Round, after map[claim.Standby]uint64, a sealReply) error {
	b := a.body
	switch {
	case b.NewerEpoch > j.options.Epoch:
		return errors.Mark(errors.Newf("jrnl: epoch %d is superseded", j.options.Epoch), ErrDeposed)
	case b.Epoch != j.options.Epoch:
		return nil
	case b.MemoryLost:
		round.MarkLost(a.from)
		return nil
	}
	var batches []hold.Batch
	for _, data := range b.Batches {
		var batch hold.Batch
		if err := cbor.Unmarshal(data, &batch); err != nil {
			return errors.Mark(errors.Wrapf(err, "jrnl: decoding a batch held by %s", a.from.Node), ErrUnreadable)
		}
		batches = append(batches, batch)
		after[a.from] = max(after[a.from], batch.Number)
	}
	round.AddBatches(a.from, batches, b.More)
	if b.More {
		j.requestSeals([]claim.Standby{a.from}, after)
	}
	return nil
}

// dropUnresponsive stops waiting for standbys that have not been alive for the
// standby timeout.
func (j *Journal) dropUnresponsive(now time.Time, round *seal.Round, lastAlive map[claim.Standby]time.Time) {
	for _, s := range round.Unanswered() {
		if j.options.Peers.Alive(s) {
			lastAlive[s] = now
		} else if now.Sub(lastAlive[s]) >= j.options.StandbyTimeout {
			j.options.Log.Warn().Int("shard", j.options.Shard).Str("standby", s.Node).
				Msg("standby is unresponsive; continuing without it")
			round.MarkLost(s)
		}
	}
}
