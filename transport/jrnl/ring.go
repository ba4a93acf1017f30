package jrnl

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/hold"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// ringSlots is the length of the ring. The newest snapshot is always less than
// one round back, so no slot is overwritten before a snapshot covers it.
const ringSlots = 512

// slotValue is the content of one slot in the store.
type slotValue struct {
	// Slot is the slot number, which only rises. Slot modulo ringSlots is its
	// index in the ring.
	Slot uint64 `cbor:"1,keyasint"`
	// Epoch is the epoch of the owner that wrote the slot.
	Epoch   uint64       `cbor:"2,keyasint"`
	Batches []hold.Batch `cbor:"3,keyasint"`
}

// ring is the owner's known state of the slots.
type ring struct {
	// next is the number of the slot to write next.
	next uint64
	// snapshotSlot is the last slot covered by the newest snapshot.
	snapshotSlot uint64
	// versions holds the known versions of the slots in the store, by index.
	versions map[uint64]uint64
}

func (r *ring) full() bool { return r.next-r.snapshotSlot >= ringSlots }

func journalPrefix(shard int) string { return fmt.Sprintf("journal/%04d/", shard) }

func slotKey(shard int, index uint64) string {
	return fmt.Sprintf("%s%04d", journalPrefix(shard), index)
}

// readSlots reads the slots from ring.next to the journal's end, and advances
// ring.next past them.
func (j *Journal) readSlots(ctx context.Context) ([]slotValue, error) {
	var values []slotValue
	for {
		index := j.ring.next % ringSlots
		after := journalPrefix(j.options.Shard)
		if index > 0 {
			after = slotKey(j.options.Shard, index-1)
		}
		pairs, err := j.options.Store.List(ctx, journalPrefix(j.options.Shard), after, 0)
		if err != nil {
			return nil, err
		}
		before := j.ring.next
		for _, p := range pairs {
			v, err := j.acceptSlot(p)
			if err != nil {
				return nil, err
			}
			if v == nil {
				return values, nil
			}
			values = append(values, *v)
		}
		if j.ring.next == before {
			j.ring.versions[index] = 0
			return values, nil
		}
	}
}

// acceptSlot decodes p and advances ring.next if p is the next slot of the
// journal. It returns nil at the journal's end.
func (j *Journal) acceptSlot(p store.Pair) (*slotValue, error) {
	index := j.ring.next % ringSlots
	if p.Key != slotKey(j.options.Shard, index) {
		j.ring.versions[index] = 0
		return nil, nil
	}
	v, err := decodeSlot(p)
	if err != nil {
		return nil, err
	}
	j.ring.versions[index] = p.Version
	switch {
	case v.Epoch > j.options.Epoch || v.Slot > j.ring.next:
		return nil, errors.Mark(errors.Newf("jrnl: epoch %d is superseded", j.options.Epoch), ErrDeposed)
	case v.Slot < j.ring.next:
		return nil, nil
	}
	j.ring.next++
	return v, nil
}

func decodeSlot(p store.Pair) (*slotValue, error) {
	var v slotValue
	if err := cbor.Unmarshal(p.Value, &v); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "jrnl: %s", p.Key), ErrUnreadable)
	}
	return &v, nil
}

// writeSlot writes a slot, and retries until the store has it, a later epoch is
// found to own the journal, or ctx ends. Every try writes the same bytes, so
// that trySwap can recognise an own write whose answer was lost.
func (j *Journal) writeSlot(ctx context.Context, slot uint64, v slotValue) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "jrnl: encoding")
	}
	_, err = backoff.Retry(ctx, func() (struct{}, error) {
		err := j.trySwap(ctx, slot, data)
		if errors.Is(err, ErrDeposed) || errors.Is(err, ErrUnreadable) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(newRetryBackoff()), backoff.WithMaxElapsedTime(0))
	return err
}

func newRetryBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = time.Second
	return b
}

// trySwap makes one attempt at a compare-and-swap of a slot. It first reads the
// slot's version if unknown. After a conflict it compares the stored bytes,
// because an earlier own write may have succeeded and its answer been lost.
func (j *Journal) trySwap(ctx context.Context, slot uint64, data []byte) error {
	index := slot % ringSlots
	key := slotKey(j.options.Shard, index)
	if _, ok := j.ring.versions[index]; !ok {
		if err := j.readVersions(ctx, slot, data); err != nil {
			return err
		}
	}
	version, err := j.options.Store.Put(ctx, key, data, j.ring.versions[index], "")
	if err == nil {
		j.ring.versions[index] = version
		return nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	p, err := j.options.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	if bytes.Equal(p.Value, data) {
		j.ring.versions[index] = p.Version
		return nil
	}
	return errors.Mark(errors.Newf("jrnl: slot %d is written by another owner", slot), ErrDeposed)
}

// versionsPerRead bounds the slots whose versions are read in one call.
const versionsPerRead = 16

// readVersions reads the versions of a slot and of some that follow it. They
// still hold the previous round of the ring, or data from an own earlier try.
func (j *Journal) readVersions(ctx context.Context, slot uint64, data []byte) error {
	index, after := slot%ringSlots, journalPrefix(j.options.Shard)
	if index > 0 {
		after = slotKey(j.options.Shard, index-1)
	}
	pairs, err := j.options.Store.List(ctx, journalPrefix(j.options.Shard), after, versionsPerRead)
	if err != nil {
		return err
	}
	next := index
	for _, p := range pairs {
		for ; next < ringSlots && p.Key != slotKey(j.options.Shard, next); next++ {
			j.ring.versions[next] = 0
		}
		v, err := decodeSlot(p)
		if err != nil {
			return err
		}
		expected := slot + next - index
		if next == index && v.Slot >= slot && !bytes.Equal(p.Value, data) {
			return errors.Mark(errors.Newf("jrnl: slot %d is written by another owner", slot), ErrDeposed)
		}
		if v.Slot <= expected {
			j.ring.versions[next] = p.Version
		}
		next++
	}
	for ; len(pairs) == 0 && next < ringSlots; next++ {
		j.ring.versions[next] = 0
	}
	return nil
}
