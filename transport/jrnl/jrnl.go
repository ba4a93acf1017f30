// Package jrnl (transport layer) writes the shards' journals to the platform's
// key-value service, one numbered batch after the other.
//
// Every batch is created under its own number, never overwritten. A successor
// seals the journal by creating a batch of its own epoch; the predecessor's
// next append then finds its number taken and learns that it lost the shard.
package jrnl

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/state/record"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// ErrDeposed means that a later epoch has sealed the journal.
var ErrDeposed = errors.New("jrnl: another epoch owns the shard")

// batch is one value in the store.
type batch struct {
	Epoch   uint64          `cbor:"1,keyasint"`
	Records []record.Record `cbor:"2,keyasint,omitempty"`
}

// Journal is one shard's journal under one epoch.
type Journal struct {
	store *store.Client
	shard int
	epoch uint64
	// number is the next free batch; only the writing goroutine uses it.
	number uint64
	queue  chan entry
}

type entry struct {
	records []record.Record
	done    func(error)
}

// queueLength bounds the appends that wait for one writer.
const queueLength = 4096

// Open seals a shard's journal for epoch and returns it with all its records.
// The caller runs Run.
func Open(ctx context.Context, s *store.Client, shard int, epoch uint64) (*Journal, []record.Record, error) {
	j := &Journal{store: s, shard: shard, epoch: epoch, number: 1, queue: make(chan entry, queueLength)}
	var records []record.Record
	for {
		found, err := j.load(ctx)
		if err != nil {
			return nil, nil, err
		}
		records = append(records, found...)
		err = j.create(ctx, &batch{Epoch: epoch})
		if err == nil {
			return j, records, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return nil, nil, err
		}
	}
}

func prefix(shard int) string { return fmt.Sprintf("journal/%04d/", shard) }

func key(shard int, number uint64) string { return fmt.Sprintf("%s%016d", prefix(shard), number) }

// load reads the batches from j.number on.
func (j *Journal) load(ctx context.Context) ([]record.Record, error) {
	var records []record.Record
	for {
		pairs, err := j.store.List(ctx, prefix(j.shard), key(j.shard, j.number-1), 0)
		if err != nil || len(pairs) == 0 {
			return records, err
		}
		for _, p := range pairs {
			var b batch
			if err := cbor.Unmarshal(p.Value, &b); err != nil {
				return nil, errors.Wrapf(err, "jrnl: batch %s", p.Key)
			}
			if b.Epoch > j.epoch {
				return nil, errors.Mark(errors.Newf("jrnl: epoch %d is past", j.epoch), ErrDeposed)
			}
			records = append(records, b.Records...)
			j.number++
		}
	}
}

// create writes the next batch. A lost answer is resolved by reading back.
func (j *Journal) create(ctx context.Context, b *batch) error {
	data, err := cbor.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "jrnl: encoding")
	}
	k := key(j.shard, j.number)
	_, err = j.store.Put(ctx, k, data, 0, "")
	if errors.Is(err, store.ErrConflict) {
		err = j.compare(ctx, k, data)
	}
	if err != nil {
		return err
	}
	j.number++
	return nil
}

// compare tells whether the taken key holds our own bytes.
func (j *Journal) compare(ctx context.Context, k string, data []byte) error {
	p, err := j.store.Get(ctx, k)
	if err != nil {
		return err
	}
	if bytes.Equal(p.Value, data) {
		return nil
	}
	return errors.Mark(errors.Newf("jrnl: %s is taken", k), store.ErrConflict)
}

// Append queues records; done is called once they are safe, or with ErrDeposed.
func (j *Journal) Append(records []record.Record, done func(error)) {
	j.queue <- entry{records: records, done: done}
}

// Run writes queued records, all that wait in one batch, until ctx ends or the
// shard is lost.
func (j *Journal) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-j.queue:
			if !j.flush(ctx, j.gather(e)) {
				return
			}
		}
	}
}

// maxBatch bounds the records of one batch.
const maxBatch = 256

func (j *Journal) gather(first entry) []entry {
	all := []entry{first}
	for len(all) < maxBatch {
		select {
		case e := <-j.queue:
			all = append(all, e)
		default:
			return all
		}
	}
	return all
}

func (j *Journal) flush(ctx context.Context, all []entry) bool {
	b := &batch{Epoch: j.epoch}
	for _, e := range all {
		b.Records = append(b.Records, e.records...)
	}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := j.create(ctx, b)
		if errors.Is(err, store.ErrConflict) {
			return struct{}{}, backoff.Permanent(errors.Mark(err, ErrDeposed))
		}
		return struct{}{}, err
	}, backoff.WithBackOff(retries()), backoff.WithMaxElapsedTime(0))
	for _, e := range all {
		e.done(err)
	}
	return err == nil
}

func retries() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = time.Second
	return b
}
