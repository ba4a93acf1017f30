// Package commit (coordination layer) decides when an owner's journal batches
// are safe, and which of them to send to the store and to the standbys.
package commit

import (
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
)

// Options are the settings of a writer.
type Options struct {
	// StandbyDelay is how long the store may take before batches go to the
	// standbys.
	StandbyDelay time.Duration
	// ResendAfter is the time after which an unacknowledged batch is sent again.
	ResendAfter time.Duration
	// MaxPendingBytes bounds the bytes that wait for the store: no batch is
	// formed once they reach it.
	MaxPendingBytes int
}

// Writer holds the batches of one owner that the store has not confirmed.
type Writer struct {
	options Options
	epoch   uint64
	// next is the number of the next batch.
	next uint64
	// pending holds the unconfirmed batches in order and without a gap. The last
	// one is next-1.
	pending []*batch
	size    int
	// safe is the highest number such that this batch and all before it are known
	// to be safe. It never decreases.
	safe uint64
	// standbySets holds the standby lists in force. While a change is not
	// confirmed there are two, and a batch needs a quorum of each.
	standbySets [][]claim.Standby
}

type batch struct {
	hold.Batch
	// added is when the batch was formed, lastSent when it was last sent to
	// standbys.
	added, lastSent time.Time
	acks            map[claim.Standby]bool
}

// New returns a writer whose first batch has the number next.
func New(o Options, epoch, next uint64, standbys []claim.Standby) *Writer {
	return &Writer{options: o, epoch: epoch, next: next, safe: next - 1, standbySets: [][]claim.Standby{standbys}}
}

// Ready reports whether the next batch may be formed: those before it are safe
// and the pending bytes are below the bound.
func (w *Writer) Ready() bool {
	return w.size < w.options.MaxPendingBytes && w.Safe() == w.next-1
}

// Add forms the next batch and returns its number.
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

// Group returns the pending batches for the next value in the store: as many
// as fit in limit bytes, but at least one if any is pending.
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

// Stored records that the store has every batch up to a number.
func (w *Writer) Stored(through uint64) {
	for len(w.pending) > 0 && w.pending[0].Number <= through {
		w.size -= len(w.pending[0].Data)
		w.pending = w.pending[1:]
	}
	w.safe = max(w.safe, through)
}

// Acked records that a standby holds a batch.
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

// Safe returns the highest number such that this batch and all before it
// survive the loss of the owner.
func (w *Writer) Safe() uint64 {
	for _, b := range w.unsafe() {
		if !w.hasQuorum(b) {
			break
		}
		w.safe = b.Number
	}
	return w.safe
}

// unsafe returns the pending batches after the last one known to be safe.
func (w *Writer) unsafe() []*batch {
	if i := w.index(w.safe + 1); i >= 0 {
		return w.pending[i:]
	}
	return nil
}

// hasQuorum reports whether a quorum of every standby list holds the batch.
func (w *Writer) hasQuorum(b *batch) bool {
	for _, set := range w.standbySets {
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

// Due returns the batches to send to the standbys now. Once the oldest batch
// has waited StandbyDelay for the store, those behind it are sent without
// waiting again. If writes to the store are throttled, batches are sent at
// once.
func (w *Writer) Due(now time.Time, throttled bool) []hold.Batch {
	if len(w.pending) == 0 || !throttled && now.Sub(w.pending[0].added) < w.options.StandbyDelay {
		return nil
	}
	var due []hold.Batch
	for _, b := range w.unsafe() {
		if !w.hasQuorum(b) && (b.lastSent.IsZero() || now.Sub(b.lastSent) >= w.options.ResendAfter) {
			b.lastSent = now
			due = append(due, b.Batch)
		}
	}
	return due
}

// SentToStandbys reports whether the oldest pending batch was sent to
// standbys.
func (w *Writer) SentToStandbys() bool { return len(w.pending) > 0 && !w.pending[0].lastSent.IsZero() }

// FirstUnstored returns the lowest number that the store may lack.
func (w *Writer) FirstUnstored() uint64 {
	if len(w.pending) == 0 {
		return w.next
	}
	return w.pending[0].Number
}

// Pending returns how many batches and bytes the store has not confirmed.
func (w *Writer) Pending() (batches, bytes int) { return len(w.pending), w.size }

// Standbys returns every standby that batches are sent to.
func (w *Writer) Standbys() []claim.Standby {
	var all []claim.Standby
	for _, set := range w.standbySets {
		for _, s := range set {
			if !slices.Contains(all, s) {
				all = append(all, s)
			}
		}
	}
	return all
}

// BeginStandbyChange begins to replace the standbys. It returns false while a
// batch may be held by the old standbys alone, or while another change is in
// progress.
func (w *Writer) BeginStandbyChange(standbys []claim.Standby) bool {
	if len(w.pending) > 0 || len(w.standbySets) > 1 {
		return false
	}
	w.standbySets = append(w.standbySets, standbys)
	return true
}

// EndStandbyChange ends a change. standbys are those that the stored claim is
// known to name.
func (w *Writer) EndStandbyChange(standbys []claim.Standby) {
	w.standbySets = [][]claim.Standby{standbys}
}
