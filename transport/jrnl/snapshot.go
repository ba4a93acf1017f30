package jrnl

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/hold"
	"github.com/cowslipstage/cowslipstage/state/record"
	"github.com/cowslipstage/cowslipstage/state/snap"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

const (
	// snapshotSlots and snapshotBytes are the amounts of journal since the newest
	// snapshot at which the next one is made.
	snapshotSlots = 128
	snapshotBytes = 2 << 20
	// maxMergedBytes bounds the size of a segment that results from a merge with its
	// predecessors.
	maxMergedBytes = 400 << 10
	// maxPartBytes bounds one value of a segment.
	maxPartBytes = 640 << 10
)

// head is the stored value that lists a shard's segments.
type head struct {
	// Writer is the epoch that wrote the head. A new owner rewrites the head
	// first, so that its predecessor can no longer change the snapshot.
	Writer uint64 `cbor:"1,keyasint"`
	// Slot, Number and Epoch identify the last batch in the segments.
	Slot     uint64    `cbor:"2,keyasint"`
	Number   uint64    `cbor:"3,keyasint"`
	Epoch    uint64    `cbor:"4,keyasint"`
	Segments []segment `cbor:"5,keyasint"`
}

// segment is an immutable sequence of records. Its ID is never reused.
type segment struct {
	ID    string `cbor:"1,keyasint"`
	Size  int    `cbor:"2,keyasint"`
	Parts int    `cbor:"3,keyasint"`
}

// snapshotState is the state of the newest snapshot. Open uses it, and then only
// the goroutine that makes a snapshot.
type snapshotState struct {
	head    head
	version uint64
	snap    *snap.Snap
	// segmentSerial counts the segments begun under this epoch.
	segmentSerial int
	// retryAt is the earliest time of the next snapshot.
	retryAt time.Time
	// pendingSizes holds the bytes of each program, by segment, in segments that
	// no head lists yet.
	pendingSizes map[string]map[string]int
}

// tail holds the journal's records since the newest snapshot.
type tail struct {
	// lastNumber and lastEpoch identify the last batch.
	lastNumber, lastEpoch uint64
	// partial is the beginning of data whose later batches have not arrived yet.
	partial []byte
	// complete holds whole records. Its first boundary.size bytes end at boundary.
	complete []byte
	boundary position
}

// position is the end of a slot whose data does not continue in the next slot.
type position struct {
	slot, number, epoch uint64
	size                int
}

// add appends a slot's batches. It moves the boundary to the slot's end if no
// data continues in the next slot.
func (t *tail) add(slot uint64, batches []hold.Batch) {
	for _, b := range batches {
		if b.Epoch != t.lastEpoch {
			// The previous owner stopped within data that it never acknowledged.
			t.partial = nil
		}
		t.lastNumber, t.lastEpoch = b.Number, b.Epoch
		t.partial = append(t.partial, b.Data...)
		if !b.More {
			t.complete = append(t.complete, t.partial...)
			t.partial = nil
		}
	}
	if len(t.partial) == 0 {
		t.boundary = position{slot: slot, number: t.lastNumber, epoch: t.lastEpoch, size: len(t.complete)}
	}
}

func (t *tail) records() []byte { return t.complete }

// snapshotJob is a snapshot in progress and its result.
type snapshotJob struct {
	end  position
	data []byte
	err  error
}

func snapPrefix(shard int) string { return fmt.Sprintf("snap/%04d/", shard) }

func (j *Journal) headKey() string { return snapPrefix(j.options.Shard) + "head" }

func (j *Journal) partKey(id string, part int) string {
	return fmt.Sprintf("%s%s-%04d", snapPrefix(j.options.Shard), id, part)
}

// startSnapshot starts a snapshot of the stored journal once snapshotSlots or
// snapshotBytes of it are not covered by the newest one.
func (j *Journal) startSnapshot(ctx context.Context, now time.Time) {
	t := &j.tail
	if j.snapshotting || now.Before(j.latest.retryAt) || t.boundary.size < snapshotBytes && t.boundary.slot < j.ring.snapshotSlot+snapshotSlots {
		return
	}
	j.snapshotting = true
	s := snapshotJob{end: t.boundary, data: slices.Clone(t.complete[:t.boundary.size])}
	go func() {
		s.err = j.makeSnapshot(ctx, now, s)
		j.snapshotResults <- s
	}()
}

// snapshotRetryDelay is the pause after a failed snapshot.
const snapshotRetryDelay = time.Second

func (j *Journal) snapshotDone(s snapshotJob) error {
	if s.err != nil {
		j.options.Log.Warn().Err(s.err).Int("shard", j.options.Shard).Msg("snapshot failed; retrying")
		j.latest.retryAt = time.Now().Add(snapshotRetryDelay)
		time.AfterFunc(snapshotRetryDelay, func() {
			j.mu.Lock()
			defer j.mu.Unlock()
			j.signal()
		})
	}
	j.snapshotting = false
	if errors.Is(s.err, ErrDeposed) {
		return s.err
	}
	if s.err == nil {
		j.countEvent("journal_snapshots_total")
		j.ring.snapshotSlot = s.end.slot
		j.tail.complete = slices.Clone(j.tail.complete[s.end.size:])
		j.tail.boundary.size -= s.end.size
	}
	return nil
}

// makeSnapshot writes the new segments, then the head, and then deletes the
// segments that the head no longer lists.
func (j *Journal) makeSnapshot(ctx context.Context, now time.Time, s snapshotJob) error {
	records, err := record.Decode(s.data)
	if err != nil {
		return errors.Mark(err, ErrUnreadable)
	}
	latest := &j.latest
	latest.snap.Observe(records)
	latest.pendingSizes = map[string]map[string]int{}
	next := latest.head
	next.Slot, next.Number, next.Epoch = s.end.slot, s.end.number, s.end.epoch
	next.Segments = slices.Clone(latest.head.Segments)
	if err := j.compactSegment(ctx, now, &next); err != nil {
		return err
	}
	size := len(s.data)
	for n := len(next.Segments); n > 0 && next.Segments[n-1].Size+size <= maxMergedBytes; n-- {
		earlier, err := j.readSegment(ctx, next.Segments[n-1])
		if err != nil {
			return err
		}
		size += next.Segments[n-1].Size
		records = append(earlier, records...)
		next.Segments = next.Segments[:n-1]
	}
	if err := j.addSegment(ctx, now, &next, len(next.Segments), records); err != nil {
		return err
	}
	old := latest.head.Segments
	if err := j.putHead(ctx, next); err != nil {
		return err
	}
	for id, sizes := range latest.pendingSizes {
		latest.snap.AddSegment(id, sizes)
	}
	j.dropSegments(ctx, old)
	return nil
}

// compactSegment rewrites the first segment of which at least half the bytes can
// be dropped.
func (j *Journal) compactSegment(ctx context.Context, now time.Time, next *head) error {
	for i, g := range next.Segments {
		deadBytes, totalBytes := j.latest.snap.DeadBytes(now, g.ID)
		if deadBytes*2 < totalBytes || totalBytes == 0 {
			continue
		}
		records, err := j.readSegment(ctx, g)
		if err != nil {
			return err
		}
		next.Segments = slices.Delete(next.Segments, i, i+1)
		return j.addSegment(ctx, now, next, i, records)
	}
	return nil
}

// addSegment writes a segment and inserts it in next.Segments at index at.
func (j *Journal) addSegment(ctx context.Context, now time.Time, next *head, at int, records []record.Record) error {
	compacted := j.latest.snap.Compact(now, records)
	if len(compacted) == 0 {
		return nil
	}
	data, sizes, err := encodeRecords(compacted)
	if err != nil {
		return err
	}
	j.latest.segmentSerial++
	g := segment{ID: fmt.Sprintf("%016d-%08d", j.options.Epoch, j.latest.segmentSerial), Size: len(data)}
	for len(data) > 0 {
		n := min(len(data), maxPartBytes)
		if err := j.createKey(ctx, j.partKey(g.ID, g.Parts), data[:n]); err != nil {
			return err
		}
		data = data[n:]
		g.Parts++
	}
	j.latest.pendingSizes[g.ID] = sizes
	next.Segments = slices.Insert(next.Segments, at, g)
	return nil
}

// encodeRecords returns the encoded records and the bytes of each program.
func encodeRecords(records []record.Record) ([]byte, map[string]int, error) {
	var data []byte
	sizes := map[string]int{}
	for i := range records {
		one, err := record.Encode(records[i : i+1])
		if err != nil {
			return nil, nil, err
		}
		sizes[records[i].QualifiedProgram()] += len(one)
		data = append(data, one...)
	}
	return data, sizes, nil
}

// createKey writes a key that is written only once. After a conflict it reads the
// key back, because an earlier own write may have succeeded and its answer been
// lost.
func (j *Journal) createKey(ctx context.Context, key string, data []byte) error {
	_, err := j.options.Store.Put(ctx, key, data, 0, "")
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	p, err := j.options.Store.Get(ctx, key)
	if err == nil && !bytes.Equal(p.Value, data) {
		err = errors.Mark(errors.Newf("jrnl: %s is written by another owner", key), ErrDeposed)
	}
	return err
}

// putHead replaces the head by compare-and-swap.
func (j *Journal) putHead(ctx context.Context, next head) error {
	next.Writer = j.options.Epoch
	data, err := cbor.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "jrnl: encoding")
	}
	version, err := j.options.Store.Put(ctx, j.headKey(), data, j.latest.version, "")
	if errors.Is(err, store.ErrConflict) {
		var p store.Pair
		if p, err = j.options.Store.Get(ctx, j.headKey()); err != nil {
			return err
		}
		if !bytes.Equal(p.Value, data) {
			return errors.Mark(errors.New("jrnl: the snapshot head is written by another owner"), ErrDeposed)
		}
		version = p.Version
	}
	if err != nil {
		return err
	}
	j.latest.head, j.latest.version = next, version
	return nil
}

// dropSegments deletes the old segments that the head does not list.
func (j *Journal) dropSegments(ctx context.Context, old []segment) {
	for _, g := range old {
		if slices.Contains(j.latest.head.Segments, g) {
			continue
		}
		j.latest.snap.DropSegment(g.ID)
		for part := range g.Parts {
			j.deleteKey(ctx, j.partKey(g.ID, part))
		}
	}
}

// deleteKey deletes a key. It only logs a failure, since the next owner deletes the
// segments that no head lists.
func (j *Journal) deleteKey(ctx context.Context, key string) {
	p, err := j.options.Store.Get(ctx, key)
	if err == nil {
		err = j.options.Store.Delete(ctx, key, p.Version)
	}
	if err != nil && !errors.Is(err, store.ErrMissing) {
		j.options.Log.Warn().Err(err).Str("key", key).Msg("superseded segment not deleted")
	}
}

// readSegment reads a segment's records.
func (j *Journal) readSegment(ctx context.Context, g segment) ([]record.Record, error) {
	return j.decodeSegment(g, func(key string) ([]byte, error) {
		p, err := j.options.Store.Get(ctx, key)
		return p.Value, err
	})
}

// decodeSegment decodes a segment from its parts, which read returns by key.
func (j *Journal) decodeSegment(g segment, read func(key string) ([]byte, error)) ([]record.Record, error) {
	var data []byte
	for part := range g.Parts {
		partData, err := read(j.partKey(g.ID, part))
		if err != nil {
			return nil, errors.Wrapf(err, "jrnl: segment %s", g.ID)
		}
		data = append(data, partData...)
	}
	if len(data) != g.Size {
		return nil, errors.Mark(errors.Newf("jrnl: segment %s has %d bytes of %d", g.ID, len(data), g.Size), ErrUnreadable)
	}
	records, err := record.Decode(data)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "jrnl: segment %s", g.ID), ErrUnreadable)
	}
	return records, nil
}

// loadSnapshot takes over the predecessor's snapshot and returns its records.
func (j *Journal) loadSnapshot(ctx context.Context) ([]record.Record, error) {
	j.latest = snapshotState{snap: snap.New(j.options.Retention)}
	for {
		if err := j.readHead(ctx); err != nil {
			return nil, err
		}
		err := j.putHead(ctx, j.latest.head)
		if err == nil {
			break
		}
		if !errors.Is(err, ErrDeposed) {
			return nil, err
		}
	}
	parts, err := j.readParts(ctx)
	if err != nil {
		return nil, err
	}
	var records []record.Record
	for _, g := range j.latest.head.Segments {
		segmentRecords, err := j.decodeSegment(g, func(key string) ([]byte, error) { return parts[key], nil })
		if err != nil {
			return nil, err
		}
		_, sizes, err := encodeRecords(segmentRecords)
		if err != nil {
			return nil, err
		}
		j.latest.snap.Observe(segmentRecords)
		j.latest.snap.AddSegment(g.ID, sizes)
		records = append(records, segmentRecords...)
	}
	return records, nil
}

func (j *Journal) readHead(ctx context.Context) error {
	p, err := j.options.Store.Get(ctx, j.headKey())
	if errors.Is(err, store.ErrMissing) {
		return nil
	}
	if err != nil {
		return err
	}
	j.latest.version = p.Version
	j.latest.head = head{}
	if err := cbor.Unmarshal(p.Value, &j.latest.head); err != nil {
		return errors.Mark(errors.Wrapf(err, "jrnl: %s", p.Key), ErrUnreadable)
	}
	if j.latest.head.Writer > j.options.Epoch {
		return errors.Mark(errors.Newf("jrnl: epoch %d is superseded", j.options.Epoch), ErrDeposed)
	}
	return nil
}

// readParts reads the parts of the listed segments by key, and deletes parts of
// earlier epochs that the head does not list.
func (j *Journal) readParts(ctx context.Context) (map[string][]byte, error) {
	listed := map[string]bool{}
	for _, g := range j.latest.head.Segments {
		listed[g.ID] = true
	}
	parts, after := map[string][]byte{}, ""
	for {
		pairs, err := j.options.Store.List(ctx, snapPrefix(j.options.Shard), after, 0)
		if err != nil || len(pairs) == 0 {
			return parts, err
		}
		for _, p := range pairs {
			after = p.Key
			id := strings.TrimPrefix(p.Key, snapPrefix(j.options.Shard))
			id = id[:max(0, strings.LastIndexByte(id, '-'))]
			switch {
			case listed[id]:
				parts[p.Key] = p.Value
			case id != "" && id < fmt.Sprintf("%016d", j.options.Epoch):
				j.deleteKey(ctx, p.Key)
			}
		}
	}
}
