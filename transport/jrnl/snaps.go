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
	// cutSlots and cutBytes are how much journal calls for a snapshot.
	cutSlots = 128
	cutBytes = 2 << 20
	// mergeBytes bounds the segments that a snapshot merges with their neighbours.
	mergeBytes = 400 << 10
	// partBytes bounds one value of a segment.
	partBytes = 640 << 10
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

// past is the newest snapshot. It belongs to Open, and then to the one
// goroutine that makes a snapshot.
type past struct {
	head    head
	version uint64
	snap    *snap.Snap
	serial  int
	// after is when the next try may begin.
	after time.Time
	// sizes are the bytes of each program in segments that no head names yet.
	sizes map[string]map[string]int
}

// tail is the journal since the newest snapshot.
type tail struct {
	// last and epoch are those of the last batch.
	last, epoch uint64
	// partial is the beginning of data whose later batches are not here yet.
	partial []byte
	// whole are complete records, up to cut.size at the cut.
	whole []byte
	cut   point
}

// point is a place in the journal where no data is cut.
type point struct {
	slot, number, epoch uint64
	size                int
}

func (t *tail) add(slot uint64, batches []hold.Batch) {
	for _, b := range batches {
		if b.Epoch != t.epoch {
			// The predecessor ended within data that was never acknowledged.
			t.partial = nil
		}
		t.last, t.epoch = b.Number, b.Epoch
		t.partial = append(t.partial, b.Data...)
		if !b.More {
			t.whole = append(t.whole, t.partial...)
			t.partial = nil
		}
	}
	if len(t.partial) == 0 {
		t.cut = point{slot: slot, number: t.last, epoch: t.epoch, size: len(t.whole)}
	}
}

func (t *tail) records() []byte { return t.whole }

// snapshot is a snapshot being made, and its outcome.
type snapshot struct {
	point point
	data  []byte
	err   error
}

func snapPrefix(shard int) string { return fmt.Sprintf("snap/%04d/", shard) }

func (j *Journal) headKey() string { return snapPrefix(j.options.Shard) + "head" }

func (j *Journal) partKey(id string, part int) string {
	return fmt.Sprintf("%s%s-%04d", snapPrefix(j.options.Shard), id, part)
}

// snapshot makes a snapshot of the stored journal once there is enough of it.
func (j *Journal) snapshot(ctx context.Context, now time.Time) {
	t := &j.tail
	if j.cutting || now.Before(j.past.after) || t.cut.size < cutBytes && t.cut.slot < j.ring.floor+cutSlots {
		return
	}
	j.cutting = true
	s := snapshot{point: t.cut, data: slices.Clone(t.whole[:t.cut.size])}
	go func() {
		s.err = j.make(ctx, now, s)
		j.cut <- s
	}()
}

// retryCut is the pause after a snapshot that failed.
const retryCut = time.Second

func (j *Journal) cutDone(s snapshot) error {
	if s.err != nil {
		j.options.Log.Warn().Err(s.err).Int("shard", j.options.Shard).Msg("snapshot not made; trying again")
		j.past.after = time.Now().Add(retryCut)
		time.AfterFunc(retryCut, func() {
			j.mu.Lock()
			defer j.mu.Unlock()
			j.poke()
		})
	}
	j.cutting = false
	if errors.Is(s.err, ErrDeposed) {
		return s.err
	}
	if s.err == nil {
		j.count("journal_snapshots_total")
		j.ring.floor = s.point.slot
		j.tail.whole = slices.Clone(j.tail.whole[s.point.size:])
		j.tail.cut.size -= s.point.size
	}
	return nil
}

// make writes the segments of a snapshot, then its head, then drops what the
// head no longer names.
func (j *Journal) make(ctx context.Context, now time.Time, s snapshot) error {
	fresh, err := record.Decode(s.data)
	if err != nil {
		return errors.Mark(err, ErrUnreadable)
	}
	p := &j.past
	p.snap.Observe(fresh)
	p.sizes = map[string]map[string]int{}
	next := p.head
	next.Slot, next.Number, next.Epoch = s.point.slot, s.point.number, s.point.epoch
	next.Segments = slices.Clone(p.head.Segments)
	if err := j.rewrite(ctx, now, &next); err != nil {
		return err
	}
	size := len(s.data)
	for n := len(next.Segments); n > 0 && next.Segments[n-1].Size+size <= mergeBytes; n-- {
		old, err := j.segment(ctx, next.Segments[n-1])
		if err != nil {
			return err
		}
		size += next.Segments[n-1].Size
		fresh = append(old, fresh...)
		next.Segments = next.Segments[:n-1]
	}
	if err := j.addSegment(ctx, now, &next, len(next.Segments), fresh); err != nil {
		return err
	}
	old := p.head.Segments
	if err := j.putHead(ctx, next); err != nil {
		return err
	}
	for id, sizes := range p.sizes {
		p.snap.AddSegment(id, sizes)
	}
	j.dropSegments(ctx, old)
	return nil
}

// rewrite packs the segment with the most to drop, if that is at least half.
func (j *Journal) rewrite(ctx context.Context, now time.Time, next *head) error {
	for i, g := range next.Segments {
		dead, all := j.past.snap.DeadBytes(now, g.ID)
		if dead*2 < all || all == 0 {
			continue
		}
		records, err := j.segment(ctx, g)
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
	packed := j.past.snap.Compact(now, records)
	if len(packed) == 0 {
		return nil
	}
	data, sizes, err := encode(packed)
	if err != nil {
		return err
	}
	j.past.serial++
	g := segment{ID: fmt.Sprintf("%016d-%08d", j.options.Epoch, j.past.serial), Size: len(data)}
	for len(data) > 0 {
		n := min(len(data), partBytes)
		if err := j.create(ctx, j.partKey(g.ID, g.Parts), data[:n]); err != nil {
			return err
		}
		data = data[n:]
		g.Parts++
	}
	j.past.sizes[g.ID] = sizes
	next.Segments = slices.Insert(next.Segments, at, g)
	return nil
}

// encode returns records with the bytes of each program.
func encode(records []record.Record) ([]byte, map[string]int, error) {
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

// create writes a key that is used once. A lost answer is resolved by reading back.
func (j *Journal) create(ctx context.Context, key string, data []byte) error {
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
	version, err := j.options.Store.Put(ctx, j.headKey(), data, j.past.version, "")
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
	j.past.head, j.past.version = next, version
	return nil
}

// dropSegments deletes those of the old segments that the head does not name.
func (j *Journal) dropSegments(ctx context.Context, old []segment) {
	for _, g := range old {
		if slices.Contains(j.past.head.Segments, g) {
			continue
		}
		j.past.snap.DropSegment(g.ID)
		for part := range g.Parts {
			j.remove(ctx, j.partKey(g.ID, part))
		}
	}
}

// remove deletes a key; what cannot be deleted now, the next owner finds.
func (j *Journal) remove(ctx context.Context, key string) {
	p, err := j.options.Store.Get(ctx, key)
	if err == nil {
		err = j.options.Store.Delete(ctx, key, p.Version)
	}
	if err != nil && !errors.Is(err, store.ErrMissing) {
		j.options.Log.Warn().Err(err).Str("key", key).Msg("superseded segment not deleted")
	}
}

// segment reads a segment's records.
func (j *Journal) segment(ctx context.Context, g segment) ([]record.Record, error) {
	return j.join(g, func(key string) ([]byte, error) {
		p, err := j.options.Store.Get(ctx, key)
		return p.Value, err
	})
}

// join decodes a segment from its values; read returns one by key.
func (j *Journal) join(g segment, read func(key string) ([]byte, error)) ([]record.Record, error) {
	var data []byte
	for part := range g.Parts {
		some, err := read(j.partKey(g.ID, part))
		if err != nil {
			return nil, errors.Wrapf(err, "jrnl: segment %s", g.ID)
		}
		data = append(data, some...)
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

// load takes the snapshot over from the predecessor and returns its records.
func (j *Journal) load(ctx context.Context) ([]record.Record, error) {
	j.past = past{snap: snap.New(j.options.Retention)}
	for {
		if err := j.readHead(ctx); err != nil {
			return nil, err
		}
		err := j.putHead(ctx, j.past.head)
		if err == nil {
			break
		}
		if !errors.Is(err, ErrDeposed) {
			return nil, err
		}
	}
	parts, err := j.parts(ctx)
	if err != nil {
		return nil, err
	}
	var records []record.Record
	for _, g := range j.past.head.Segments {
		some, err := j.join(g, func(key string) ([]byte, error) { return parts[key], nil })
		if err != nil {
			return nil, err
		}
		_, sizes, err := encode(some)
		if err != nil {
			return nil, err
		}
		j.past.snap.Observe(some)
		j.past.snap.AddSegment(g.ID, sizes)
		records = append(records, some...)
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
	j.past.version = p.Version
	j.past.head = head{}
	if err := cbor.Unmarshal(p.Value, &j.past.head); err != nil {
		return errors.Mark(errors.Wrapf(err, "jrnl: %s", p.Key), ErrUnreadable)
	}
	if j.past.head.Writer > j.options.Epoch {
		return errors.Mark(errors.Newf("jrnl: epoch %d is past", j.options.Epoch), ErrDeposed)
	}
	return nil
}

// parts reads the named segments' values by key, and deletes those of earlier
// epochs that no head names.
func (j *Journal) parts(ctx context.Context) (map[string][]byte, error) {
	named := map[string]bool{}
	for _, g := range j.past.head.Segments {
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
				j.remove(ctx, p.Key)
			}
		}
	}
}
