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
// store, and returns all its records. The caller then runs Run.
func (j *Journal) Open(ctx context.Context) ([]record.Record, error) {
	round, err := j.seal(ctx)
	if err != nil {
		return nil, err
	}
	records, err := j.load(ctx)
	if err != nil {
		return nil, err
	}
	j.ring.versions = map[uint64]uint64{}
	j.ring.next, j.ring.floor = j.past.head.Slot+1, j.past.head.Slot
	t := &j.tail
	t.last, t.epoch = j.past.head.Number, j.past.head.Epoch
	for {
		found, err := j.read(ctx)
		if err != nil {
			return nil, err
		}
		for _, v := range found {
			t.add(v.Slot, v.Batches)
		}
		err = j.finish(ctx, round)
		if err == nil {
			break
		}
		if !errors.Is(err, ErrDeposed) {
			return nil, err
		}
		// The predecessor wrote one more slot, or a successor took over: reading on tells.
		delete(j.ring.versions, j.ring.next%slots)
	}
	data := t.records()
	recent, err := record.Decode(data)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreadable)
	}
	options := commit.Options{StandbyDelay: j.options.StandbyDelay, ResendAfter: repeat, MaxPendingBytes: j.options.MaxPendingBytes}
	j.writer = commit.New(options, j.options.Epoch, t.last+1, j.standbys)
	return append(records, recent...), nil
}

// finish writes what the standbys hold beyond the journal's end, and the seal.
func (j *Journal) finish(ctx context.Context, round *seal.Round) error {
	batches := round.BatchesAfter(j.tail.last, j.tail.epoch)
	number := j.tail.last + uint64(len(batches)) + 1
	batches = append(batches, hold.Batch{Number: number, Epoch: j.options.Epoch})
	for len(batches) > 0 {
		n, size := 1, len(batches[0].Data)
		for n < len(batches) && size+len(batches[n].Data) <= slotBytes {
			size += len(batches[n].Data)
			n++
		}
		slot := j.ring.next
		v := value{Slot: slot, Epoch: j.options.Epoch, Batches: batches[:n]}
		if err := j.write(ctx, slot, v); err != nil {
			return err
		}
		j.tail.add(slot, v.Batches)
		j.ring.next++
		batches = batches[n:]
	}
	return nil
}

// seal asks the standbys until enough have answered, and collects what they hold.
func (j *Journal) seal(ctx context.Context) (*seal.Round, error) {
	round := seal.New(j.standbys)
	seen := map[claim.Standby]time.Time{}
	after := map[claim.Standby]uint64{}
	ticker := time.NewTicker(repeat)
	defer ticker.Stop()
	start := time.Now()
	for _, s := range j.standbys {
		seen[s] = start
	}
	j.ask(round.Unanswered(), after)
	for {
		switch round.State() {
		case seal.QuorumReached:
			return round, nil
		case seal.QuorumLost:
			j.count("journal_unsealed_total")
			j.options.Log.Error().Int("shard", j.options.Shard).Uint64("epoch", j.options.Epoch).
				Msg("too many standbys lost their memory; batches that only they held, if any, are lost")
			return round, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case a := <-j.sealed:
			if err := j.answer(round, after, a); err != nil {
				return nil, err
			}
		case now := <-ticker.C:
			j.abandon(now, round, seen)
			j.ask(round.Unanswered(), after)
		}
	}
}

func (j *Journal) ask(missing []claim.Standby, after map[claim.Standby]uint64) {
	for _, s := range missing {
		j.options.Peers.SendSeal(s, frame.Seal{
			Shard: j.options.Shard, Epoch: j.options.Epoch, Boot: s.Boot, After: after[s],
		})
	}
}

func (j *Journal) answer(round *seal.Round, after map[claim.Standby]uint64, a sealed) error {
	b := a.body
	switch {
	case b.NewerEpoch > j.options.Epoch:
		return errors.Mark(errors.Newf("jrnl: epoch %d is past", j.options.Epoch), ErrDeposed)
	case b.Epoch != j.options.Epoch:
		return nil
	case b.MemoryLost:
		round.MarkLost(a.from)
		return nil
	}
	var batches []hold.Batch
	for _, data := range b.Batches {
		var one hold.Batch
		if err := cbor.Unmarshal(data, &one); err != nil {
			return errors.Mark(errors.Wrapf(err, "jrnl: a batch held by %s", a.from.Node), ErrUnreadable)
		}
		batches = append(batches, one)
		after[a.from] = max(after[a.from], one.Number)
	}
	round.AddBatches(a.from, batches, b.More)
	if b.More {
		j.ask([]claim.Standby{a.from}, after)
	}
	return nil
}

// abandon gives up standbys without a sign of life.
func (j *Journal) abandon(now time.Time, round *seal.Round, seen map[claim.Standby]time.Time) {
	for _, s := range round.Unanswered() {
		if j.options.Peers.Alive(s) {
			seen[s] = now
		} else if now.Sub(seen[s]) >= j.options.StandbyTimeout {
			j.options.Log.Warn().Int("shard", j.options.Shard).Str("standby", s.Node).
				Msg("standby shows no sign of life; going on without it")
			round.MarkLost(s)
		}
	}
}
