// Package bulk (state layer) bounds what a process holds of all answers together. Load
// pattern: endpoints in trouble send bytes without end, many at once.
package bulk

import "sync"

// Bulk counts the bytes of answers in progress. Each answer that arrives whole is small against
// the bound, so beyond it the largest is ended: the one that is most probably without end. It is
// safe for concurrent use.
type Bulk struct {
	max int64

	mu sync.Mutex
	// total is the size of all answers that are held.
	total int64
	held  map[*Answer]struct{}
}

// Answer is what is held for one request. It is safe for concurrent use.
type Answer struct {
	bulk *Bulk
	end  func()
	// size and ended are guarded by the mutex of bulk. An answer that has ended counts no more.
	size  int64
	ended bool
}

// New returns a Bulk that holds at most so many bytes, 0 for any number.
func New(maxBytes int64) *Bulk { return &Bulk{max: maxBytes, held: map[*Answer]struct{}{}} }

// Open returns the empty answer of a request. end is called, once at most, if the answer is to
// be given up; it must not wait.
func (b *Bulk) Open(end func()) *Answer { return &Answer{bulk: b, end: end} }

// Grow notes that the answer takes some more bytes, or fewer if n is negative. It reports whether
// the answer has not ended.
func (a *Answer) Grow(n int) bool {
	b := a.bulk
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended {
		return false
	}
	a.size += int64(n)
	b.total += int64(n)
	b.held[a] = struct{}{}
	for b.max > 0 && b.total > b.max {
		b.endLargest()
	}
	return !a.ended
}

// Ended reports whether the answer has ended.
func (a *Answer) Ended() bool {
	a.bulk.mu.Lock()
	defer a.bulk.mu.Unlock()
	return a.ended
}

// endLargest ends the largest answer. The caller holds the mutex, and some answer is held.
func (b *Bulk) endLargest() {
	var largest *Answer
	for a := range b.held {
		if largest == nil || a.size > largest.size {
			largest = a
		}
	}
	b.drop(largest)
	largest.end()
}

// Close gives back what the answer takes.
func (a *Answer) Close() {
	a.bulk.mu.Lock()
	defer a.bulk.mu.Unlock()
	a.bulk.drop(a)
}

// drop stops counting an answer. The caller holds the mutex.
func (b *Bulk) drop(a *Answer) {
	b.total -= a.size
	a.size, a.ended = 0, true
	delete(b.held, a)
}

// Total returns the size of all answers that are held.
func (b *Bulk) Total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}
