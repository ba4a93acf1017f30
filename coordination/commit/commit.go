// Package commit (coordination layer) decides when an owner's journal batches
// are safe, and which of them go to the store and to the standbys.
package commit

import (
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
)

// Options are the settings of a writer.
type Options struct {
	// StandbyDelay is how long the store may take before the standbys are asked.
	StandbyDelay time.Duration
	// ResendAfter is the time after which an unacknowledged batch is sent again.
	ResendAfter time.Duration
	// MaxPendingBytes is how many bytes may wait for the store.
	MaxPendingBytes int
}

// Writer is one owner's batches that the store has not confirmed.
type Writer struct {
	options Options
	epoch   uint64
	// next is the number of the next batch.
	next uint64
	// pending are in order and without a gap; the last one is next-1.
	pending []*batch
	size    int
	// safe is the highest number such that it and all before it are known to
	// be safe; it never goes back.
	safe uint64
	// sets are the standby lists in force; while a change is not confirmed
	// there are two, and a batch needs a quorum of each.
	sets [][]claim.Standby
}

type batch struct {
	hold.Batch
	// added is when the batch was formed, sent when it last went to standbys.
	added, sent time.Time
	acks        map[claim.Standby]bool
}

// New returns a writer whose first batch has the number next.
func New(o Options, epoch, next uint64, standbys []claim.Standby) *Writer {
	return &Writer{options: o, epoch: epoch, next: next, safe: next - 1, sets: [][]claim.Standby{standbys}}
}

// Ready tells whether the next batch may be formed: those before it are safe
// and there is room.
func (w *Writer) Ready() bool {
	return w.size < w.options.MaxPendingBytes && w.Safe() == w.next-1
}

// Add forms the next batch.
func (w *Writer) Add(now time.Time, data []byte, more bool) uint64 {
	b := &batch{
		Batch: hold.Batch{Number: w.next, Epoch: w.epoch, Data: data, More: more},
		added: now, acks: map[claim.Standby]bool{},
	}
	w.pending = append(w.pending, b)
	w.size += len(data)
	w.next++
	return b.Number
}

// Group returns the batches for the next value in the store, at most limit
// bytes but at least one, if any waits.
func (w *Writer) Group(limit int) []hold.Batch {
	var group []hold.Batch
	size := 0
	for _, b := range w.pending {
		if size += len(b.Data); len(group) > 0 && size > limit {
			break
		}
		group = append(group, b.Batch)
	}
	return group
}

// Stored notes that the store has every batch up to a number.
func (w *Writer) Stored(through uint64) {
	for len(w.pending) > 0 && w.pending[0].Number <= through {
		w.size -= len(w.pending[0].Data)
		w.pending = w.pending[1:]
	}
	w.safe = max(w.safe, through)
}

// Acked notes that a standby holds a batch.
func (w *Writer) Acked(s claim.Standby, number uint64) {
	if i := w.index(number); i >= 0 {
		w.pending[i].acks[s] = true
	}
}

func (w *Writer) index(number uint64) int {
	if len(w.pending) == 0 || number < w.pending[0].Number || number >= w.next {
		return -1
	}
	return int(number - w.pending[0].Number)
}

// Safe returns the highest number such that it and all before it survive the owner.
func (w *Writer) Safe() uint64 {
	for _, b := range w.unsafe() {
		if !w.held(b) {
			break
		}
		w.safe = b.Number
	}
	return w.safe
}

// unsafe returns the pending batches behind the last one known to be safe.
func (w *Writer) unsafe() []*batch {
	if i := w.index(w.safe + 1); i >= 0 {
		return w.pending[i:]
	}
	return nil
}

// held tells whether enough standbys of every list have the batch.
func (w *Writer) held(b *batch) bool {
	for _, set := range w.sets {
		n := 0
		for _, s := range set {
			if b.acks[s] {
				n++
			}
		}
		if len(set) == 0 || n < claim.Quorum(len(set)) {
			return false
		}
	}
	return true
}

// Due returns the batches to send to the standbys now: once one batch has
// waited for the store too long, those behind it do not wait again. When the
// store may not be written yet, paced, nothing waits.
func (w *Writer) Due(now time.Time, paced bool) []hold.Batch {
	if len(w.pending) == 0 || !paced && now.Sub(w.pending[0].added) < w.options.StandbyDelay {
		return nil
	}
	var due []hold.Batch
	for _, b := range w.unsafe() {
		if !w.held(b) && (b.sent.IsZero() || now.Sub(b.sent) >= w.options.ResendAfter) {
			b.sent = now
			due = append(due, b.Batch)
		}
	}
	return due
}

// SentToStandbys tells whether standbys were asked to hold a batch that still waits.
func (w *Writer) SentToStandbys() bool { return len(w.pending) > 0 && !w.pending[0].sent.IsZero() }

// FirstUnstored returns the lowest number that the store may lack.
func (w *Writer) FirstUnstored() uint64 {
	if len(w.pending) == 0 {
		return w.next
	}
	return w.pending[0].Number
}

// Pending returns how many batches, and bytes, the store has not confirmed.
func (w *Writer) Pending() (batches, bytes int) { return len(w.pending), w.size }

// Standbys returns every standby that a batch goes to.
func (w *Writer) Standbys() []claim.Standby {
	var all []claim.Standby
	for _, set := range w.sets {
		for _, s := range set {
			if !slices.Contains(all, s) {
				all = append(all, s)
			}
		}
	}
	return all
}

// BeginStandbyChange begins to replace the standbys. It is refused while a batch may be
// held by the old ones alone, or another change is under way.
func (w *Writer) BeginStandbyChange(standbys []claim.Standby) bool {
	if len(w.pending) > 0 || len(w.sets) > 1 {
		return false
	}
	w.sets = append(w.sets, standbys)
	return true
}

// EndStandbyChange ends a change: standbys are those that the claim now names for sure.
func (w *Writer) EndStandbyChange(standbys []claim.Standby) { w.sets = [][]claim.Standby{standbys} }
