// Package hold (coordination layer) decides which batches of one shard's
// journal a standby accepts and returns.
package hold

import "sort"

// Batch is one numbered batch of a shard's journal. The data of an epoch and
// number never changes.
type Batch struct {
	Number uint64 `cbor:"1,keyasint"`
	// Epoch is the epoch of the owner that formed the batch.
	Epoch uint64 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
	// More reports whether the next batch of the epoch continues the data.
	More bool `cbor:"4,keyasint,omitempty"`
}

// Log holds a standby's batches of one shard in memory.
type Log struct {
	// sealedEpoch is the oldest epoch that is accepted. It never decreases.
	sealedEpoch uint64
	// firstUnstored is the lowest number that the store may lack. It never
	// decreases.
	firstUnstored uint64
	batches       map[uint64]Batch
	size          int
}

// New returns an empty log that accepts every epoch.
func New() *Log { return &Log{batches: map[uint64]Batch{}} }

// Hold keeps a batch and drops those with numbers below firstUnstored. It
// returns false for a batch of an epoch older than the sealed one.
func (l *Log) Hold(b Batch, firstUnstored uint64) bool {
	if b.Epoch < l.sealedEpoch {
		return false
	}
	l.Supersede(b.Epoch)
	if firstUnstored > l.firstUnstored {
		l.firstUnstored = firstUnstored
		l.drop(func(old Batch) bool { return old.Number < firstUnstored })
	}
	if _, ok := l.batches[b.Number]; !ok && b.Number >= l.firstUnstored {
		l.batches[b.Number] = b
		l.size += len(b.Data)
	}
	return true
}

// Restore adds a batch that was held before a restart, regardless of the
// sealed epoch.
func (l *Log) Restore(b Batch) {
	l.batches[b.Number] = b
	l.size += len(b.Data)
}

// Supersede drops the batches of epochs older than epoch. An owner that
// appends has sealed the journal in the store, so the store lacks nothing of
// its predecessors.
func (l *Log) Supersede(epoch uint64) {
	l.sealedEpoch = max(l.sealedEpoch, epoch)
	l.drop(func(old Batch) bool { return old.Epoch < epoch })
}

func (l *Log) drop(stale func(Batch) bool) {
	for n, b := range l.batches {
		if stale(b) {
			delete(l.batches, n)
			l.size -= len(b.Data)
		}
	}
}

// Seal makes the log refuse epochs older than epoch. It returns false if a
// later epoch has already sealed the log.
func (l *Log) Seal(epoch uint64) bool {
	if epoch < l.sealedEpoch {
		return false
	}
	l.sealedEpoch = epoch
	return true
}

// SealedEpoch returns the oldest epoch that is accepted.
func (l *Log) SealedEpoch() uint64 { return l.sealedEpoch }

// Size returns the bytes held.
func (l *Log) Size() int { return l.size }

// After returns the held batches with numbers above after, in order: as many
// as fit in limit bytes, but at least one. more reports whether others remain.
func (l *Log) After(after uint64, limit int) (batches []Batch, more bool) {
	var numbers []uint64
	for n := range l.batches {
		if n > after {
			numbers = append(numbers, n)
		}
	}
	sort.Slice(numbers, func(a, b int) bool { return numbers[a] < numbers[b] })
	size := 0
	for _, n := range numbers {
		b := l.batches[n]
		if size += len(b.Data); len(batches) > 0 && size > limit {
			return batches, true
		}
		batches = append(batches, b)
	}
	return batches, false
}
