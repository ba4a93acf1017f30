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
	// snapshotSlots and cutBytes are how much journal calls for a snapshot.
	snapshotSlots = 128
	snapshotBytes = 2 << 20
	// maxMergedBytes bounds the segments that a snapshot merges with their neighbours.
	maxMergedBytes = 400 << 10
	// maxPartBytes bounds one value of a segment.
	maxPartBytes = 640 << 10
)

// head is the value that names a shard's segments.
type head struct {
	// Writer is the epoch that wrote the head; a new owner rewrites it first,
	// so that its predecessor can change the snapshot no more.
	Writer uint64 `cbor:"1,keyasint"`
	// Slot, Number and Epoch are those of the last batch in the segments.
	Slot     uint64    `cbor:"2,keyasint"`
	Number   uint64    `cbor:"3,keyasint"`
	Epoch    uint64    `cbor:"4,keyasint"`
	Segments []segment `cbor:"5,keyasint"`
}

// segment is a run of records that never changes; its key is used once.
type segment struct {
	ID    string `cbor:"1,keyasint"`
	Size  int    `cbor:"2,keyasint"`
	Parts int    `cbor:"3,keyasint"`
}

// snapshotState is the newest snapshot. It belongs to Open, and then to the one
// goroutine that makes a snapshot.
type snapshotState struct {
	head          head
	version       uint64
	snap          *snap.Snap
	segmentSerial int
	// retryAt is when the next try may begin.
	retryAt time.Time
	// pendingSizes are the bytes of each program in segments that no head names yet.
	pendingSizes map[string]map[string]int
}

// tail is the journal since the newest snapshot.
type tail struct {
	// lastNumber and lastEpoch are those of the lastNumber batch.
	lastNumber, lastEpoch uint64
	// partial is the beginning of data whose later batches are not here yet.
	partial []byte
	// complete are complete records, up to cut.size at the cut.
	complete []byte
	boundary position
}

// position is a place in the journal where no data is cut.
type position struct {
	slot, number, epoch uint64
	size                int
}

func (t *tail) add(slot uint64, batches []hold.Batch) {
	for _, b := range batches {
		if b.Epoch != t.lastEpoch {
			// The predecessor ended within data that was never acknowledged.
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

// snapshotJob is a snapshotJob being made, and its outcome.
type snapshotJob struct {
	point position
	data  []byte
	err   error
}

func snapPrefix(shard int) string { return fmt.Sprintf("snap/%04d/", shard) }

func (j *Journal) headKey() string { return snapPrefix(j.options.Shard) + "head" }

func (j *Journal) partKey(id string, part int) string {
	return fmt.Sprintf("%s%s-%04d", snapPrefix(j.options.Shard), id, part)
}

// startSnapshot makes a startSnapshot of the stored journal once there is enough of it.
func (j *Journal) startSnapshot(ctx context.Context, now time.Time) {
	t := &j.tail
	if j.snapshotting || now.Before(j.latest.retryAt) || t.boundary.size < snapshotBytes && t.boundary.slot < j.ring.snapshotSlot+snapshotSlots {
		return
	}
	j.snapshotting = true
	s := snapshotJob{point: t.boundary, data: slices.Clone(t.complete[:t.boundary.size])}
	go func() {
		s.err = j.makeSnapshot(ctx, now, s)
		j.snapshotResults <- s
	}()
}

// snapshotRetryDelay is the pause after a snapshot that failed.
const snapshotRetryDelay = time.Second

func (j *Journal) snapshotDone(s snapshotJob) error {
	if s.err != nil {
		j.options.Log.Warn().Err(s.err).Int("shard", j.options.Shard).Msg("snapshot not made; trying again")
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
		j.ring.snapshotSlot = s.point.slot
		j.tail.complete = slices.Clone(j.tail.complete[s.point.size:])
		j.tail.boundary.size -= s.point.size
	}
	return nil
}

// makeSnapshot writes the segments of a snapshot, then its head, then drops what the
// head no longer names.
func (j *Journal) makeSnapshot(ctx context.Context, now time.Time, s snapshotJob) error {
	records, err := record.Decode(s.data)
	if err != nil {
		return errors.Mark(err, ErrUnreadable)
	}
	p := &j.latest
	p.snap.Observe(records)
	p.pendingSizes = map[string]map[string]int{}
	next := p.head
	next.Slot, next.Number, next.Epoch = s.point.slot, s.point.number, s.point.epoch
	next.Segments = slices.Clone(p.head.Segments)
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
	old := p.head.Segments
	if err := j.putHead(ctx, next); err != nil {
		return err
	}
	for id, sizes := range p.pendingSizes {
		p.snap.AddSegment(id, sizes)
	}
	j.dropSegments(ctx, old)
	return nil
}

// compactSegment packs the segment with the most to drop, if that is at least half.
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

// addSegment writes a segment and names it at a place among the others.
func (j *Journal) addSegment(ctx context.Context, now time.Time, next *head, at int, records []record.Record) error {
	packed := j.latest.snap.Compact(now, records)
	if len(packed) == 0 {
		return nil
	}
	data, sizes, err := encodeRecords(packed)
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

// encodeRecords returns records with the bytes of each program.
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

// createKey writes a key that is used once. A lost answer is resolved by reading back.
func (j *Journal) createKey(ctx context.Context, key string, data []byte) error {
	_, err := j.options.Store.Put(ctx, key, data, 0, "")
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	p, err := j.options.Store.Get(ctx, key)
	if err == nil && !bytes.Equal(p.Value, data) {
		err = errors.Mark(errors.Newf("jrnl: %s is taken", key), ErrDeposed)
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
			return errors.Mark(errors.New("jrnl: the snapshot has another writer"), ErrDeposed)
		}
		version = p.Version
	}
	if err != nil {
		return err
	}
	j.latest.head, j.latest.version = next, version
	return nil
}

// dropSegments deletes those of the old segments that the head does not name.
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

// deleteKey deletes a key; what cannot be deleted now, the next owner finds.
func (j *Journal) deleteKey(ctx context.Context, key string) {
	p, err := j.options.Store.Get(ctx, key)
	if err == nil {
		err = j.options.Store.Delete(ctx, key, p.Version)
	}
	if err != nil && !errors.Is(err, store.ErrMissing) {
		j.options.Log.Warn().Err(err).Str("key", key).Msg("superseded segment not deleted")
	}
}

// readSegment reads a readSegment's records.
func (j *Journal) readSegment(ctx context.Context, g segment) ([]record.Record, error) {
	return j.decodeSegment(g, func(key string) ([]byte, error) {
		p, err := j.options.Store.Get(ctx, key)
		return p.Value, err
	})
}

// decodeSegment decodes a segment from its values; read returns one by key.
func (j *Journal) decodeSegment(g segment, read func(key string) ([]byte, error)) ([]record.Record, error) {
	var data []byte
	for part := range g.Parts {
		part, err := read(j.partKey(g.ID, part))
		if err != nil {
			return nil, errors.Wrapf(err, "jrnl: segment %s", g.ID)
		}
		data = append(data, part...)
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

// loadSnapshot takes the snapshot over from the predecessor and returns its records.
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
		return errors.Mark(errors.Newf("jrnl: epoch %d is past", j.options.Epoch), ErrDeposed)
	}
	return nil
}

// readParts reads the named segments' values by key, and deletes those of earlier
// epochs that no head names.
func (j *Journal) readParts(ctx context.Context) (map[string][]byte, error) {
	named := map[string]bool{}
	for _, g := range j.latest.head.Segments {
		named[g.ID] = true
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
			case named[id]:
				parts[p.Key] = p.Value
			case id != "" && id < fmt.Sprintf("%016d", j.options.Epoch):
				j.deleteKey(ctx, p.Key)
			}
		}
	}
}
