// Package hold (coordination layer) decides what a standby accepts and hands
// over of one shard's journal.
package hold

import "sort"

// Batch is one numbered batch of a shard's journal. Its data for one epoch and
// number never changes.
type Batch struct {
	Number uint64 `cbor:"1,keyasint"`
	// Epoch is that of the owner that made the batch.
	Epoch uint64 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
	// More says that the next batch of the epoch continues the data.
	More bool `cbor:"4,keyasint,omitempty"`
}

// Log is a standby's memory of one shard.
type Log struct {
	// sealed is the oldest epoch that is accepted; it never goes back.
	sealed uint64
	// below is the lowest number that the store may lack; it never goes back.
	below   uint64
	batches map[uint64]Batch
	size    int
}

// New returns an empty log that accepts every epoch.
func New() *Log { return &Log{batches: map[uint64]Batch{}} }

// Hold keeps a batch, and drops those below the number below. It refuses
// epochs older than the sealed one.
func (l *Log) Hold(b Batch, below uint64) bool {
	if b.Epoch < l.sealed {
		return false
	}
	l.Supersede(b.Epoch)
	if below > l.below {
		l.below = below
		l.drop(func(old Batch) bool { return old.Number < below })
	}
	if _, ok := l.batches[b.Number]; !ok && b.Number >= l.below {
		l.batches[b.Number] = b
		l.size += len(b.Data)
	}
	return true
}

// Restore puts a batch back that was held before a restart, whatever is sealed.
func (l *Log) Restore(b Batch) {
	l.batches[b.Number] = b
	l.size += len(b.Data)
}

// Supersede drops what older epochs left: an owner that appends has sealed the
// journal in the store, so that nothing of its predecessors can be missing there.
func (l *Log) Supersede(epoch uint64) {
	l.sealed = max(l.sealed, epoch)
	l.drop(func(old Batch) bool { return old.Epoch < epoch })
}

func (l *Log) drop(old func(Batch) bool) {
	for n, b := range l.batches {
		if old(b) {
			delete(l.batches, n)
			l.size -= len(b.Data)
		}
	}
}

// Seal refuses epochs older than epoch from now on. It is false when a later
// epoch sealed the log already.
func (l *Log) Seal(epoch uint64) bool {
	if epoch < l.sealed {
		return false
	}
	l.sealed = epoch
	return true
}

// SealedEpoch returns the oldest epoch that is accepted.
func (l *Log) SealedEpoch() uint64 { return l.sealed }

// Size returns the bytes held.
func (l *Log) Size() int { return l.size }

// After returns the held batches with numbers above after, in order, at most
// limit bytes but at least one; more tells whether there are others.
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
