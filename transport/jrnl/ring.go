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

// slots is the length of the ring; the newest snapshot is never further back.
const slots = 512

// value is what the store holds in one slot.
type value struct {
	// Slot only rises; its place in the ring is the remainder by slots.
	Slot uint64 `cbor:"1,keyasint"`
	// Epoch is that of the owner that wrote the value.
	Epoch   uint64       `cbor:"2,keyasint"`
	Batches []hold.Batch `cbor:"3,keyasint"`
}

// ring is what the owner knows of the slots.
type ring struct {
	// next is the slot to be written next.
	next uint64
	// floor is the last slot in the newest snapshot.
	floor uint64
	// versions are the slots' versions in the store, by place, where known.
	versions map[uint64]uint64
}

func (r *ring) full() bool { return r.next-r.floor >= slots }

func prefix(shard int) string { return fmt.Sprintf("journal/%04d/", shard) }

func place(shard int, at uint64) string { return fmt.Sprintf("%s%04d", prefix(shard), at) }

// read returns the values of the slots from the ring's next on, and moves next
// behind them.
func (j *Journal) read(ctx context.Context) ([]value, error) {
	var found []value
	for {
		at := j.ring.next % slots
		after := prefix(j.options.Shard)
		if at > 0 {
			after = place(j.options.Shard, at-1)
		}
		pairs, err := j.options.Store.List(ctx, prefix(j.options.Shard), after, 0)
		if err != nil {
			return nil, err
		}
		before := j.ring.next
		for _, p := range pairs {
			v, err := j.follow(p)
			if err != nil {
				return nil, err
			}
			if v == nil {
				return found, nil
			}
			found = append(found, *v)
		}
		if j.ring.next == before {
			j.ring.versions[at] = 0
			return found, nil
		}
	}
}

// follow takes over one slot if it is the ring's next one, and returns nil at
// the journal's end.
func (j *Journal) follow(p store.Pair) (*value, error) {
	at := j.ring.next % slots
	if p.Key != place(j.options.Shard, at) {
		j.ring.versions[at] = 0
		return nil, nil
	}
	v, err := decode(p)
	if err != nil {
		return nil, err
	}
	j.ring.versions[at] = p.Version
	switch {
	case v.Epoch > j.options.Epoch || v.Slot > j.ring.next:
		return nil, errors.Mark(errors.Newf("jrnl: epoch %d is past", j.options.Epoch), ErrDeposed)
	case v.Slot < j.ring.next:
		return nil, nil
	}
	j.ring.next++
	return v, nil
}

func decode(p store.Pair) (*value, error) {
	var v value
	if err := cbor.Unmarshal(p.Value, &v); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "jrnl: %s", p.Key), ErrUnreadable)
	}
	return &v, nil
}

// write puts a slot, trying again until the store has it, the epoch turns out
// to be past, or ctx ends. The bytes are the same at every try.
func (j *Journal) write(ctx context.Context, slot uint64, v value) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "jrnl: encoding")
	}
	_, err = backoff.Retry(ctx, func() (struct{}, error) {
		err := j.swap(ctx, slot, data)
		if errors.Is(err, ErrDeposed) || errors.Is(err, ErrUnreadable) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(retries()), backoff.WithMaxElapsedTime(0))
	return err
}

func retries() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = time.Second
	return b
}

// swap tries once. An unknown version is read first; a conflict may be the
// echo of an own write whose answer was lost.
func (j *Journal) swap(ctx context.Context, slot uint64, data []byte) error {
	at := slot % slots
	key := place(j.options.Shard, at)
	if _, ok := j.ring.versions[at]; !ok {
		if err := j.learn(ctx, slot, data); err != nil {
			return err
		}
	}
	version, err := j.options.Store.Put(ctx, key, data, j.ring.versions[at], "")
	if err == nil {
		j.ring.versions[at] = version
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
		j.ring.versions[at] = p.Version
		return nil
	}
	return errors.Mark(errors.Newf("jrnl: slot %d is taken", slot), ErrDeposed)
}

// learnAhead is how many slots' versions are read at once.
const learnAhead = 16

// learn reads the versions of a slot that still holds the lap before, and of
// some that follow.
func (j *Journal) learn(ctx context.Context, slot uint64, data []byte) error {
	at, after := slot%slots, prefix(j.options.Shard)
	if at > 0 {
		after = place(j.options.Shard, at-1)
	}
	pairs, err := j.options.Store.List(ctx, prefix(j.options.Shard), after, learnAhead)
	if err != nil {
		return err
	}
	next := at
	for _, p := range pairs {
		for ; next < slots && p.Key != place(j.options.Shard, next); next++ {
			j.ring.versions[next] = 0
		}
		v, err := decode(p)
		if err != nil {
			return err
		}
		expected := slot + next - at
		if next == at && v.Slot >= slot && !bytes.Equal(p.Value, data) {
			return errors.Mark(errors.Newf("jrnl: slot %d is taken", slot), ErrDeposed)
		}
		if v.Slot <= expected {
			j.ring.versions[next] = p.Version
		}
		next++
	}
	for ; len(pairs) == 0 && next < slots; next++ {
		j.ring.versions[next] = 0
	}
	return nil
}
