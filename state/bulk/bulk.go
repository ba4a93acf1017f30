// Package bulk (state layer) bounds what a process holds of all answers together. Load
// pattern: endpoints in trouble send bytes without end, many at once.
package bulk

import (
	"sync"
	"time"
)

// waitTime is how long an answer that grows may wait for the memory of others that have ended.
const waitTime = time.Second

// Bulk counts the bytes of answers in progress. Each answer that arrives whole is small against
// the bound, so beyond it the largest is ended: the one that is most probably without end. It is
// safe for concurrent use.
type Bulk struct {
	max int64

	mu sync.Mutex
	// total is the size of all answers that are held, and going that of those among them that have
	// ended and are still being given up.
	total, going int64
	held         map[*Answer]struct{}
	// released is closed and replaced when an answer that has ended is given up.
	released chan struct{}
}

// Answer is what is held for one request. It is safe for concurrent use.
type Answer struct {
	bulk *Bulk
	end  func()
	// size and ended are guarded by the mutex of bulk. An answer that has ended does not grow.
	size  int64
	ended bool
}

// New returns a Bulk that holds at most so many bytes, 0 for any number.
func New(maxBytes int64) *Bulk {
	return &Bulk{max: maxBytes, held: map[*Answer]struct{}{}, released: make(chan struct{})}
}

// Open returns the empty answer of a request. end is called, once at most, if the answer is to
// be given up; it must not wait. The answer counts until it is closed.
func (b *Bulk) Open(end func()) *Answer { return &Answer{bulk: b, end: end} }

// Grow notes that the answer takes some more bytes. If others have to end for it, it waits until their
// memory is given back. It reports whether the answer has not ended.
func (a *Answer) Grow(n int) bool {
	b := a.bulk
	if !b.grow(a, n) {
		return false
	}
	released, wait := b.mustWait(a)
	for until := time.Now().Add(waitTime); wait; released, wait = b.mustWait(a) {
		select {
		case <-released:
		case <-time.After(time.Until(until)):
			return !a.Ended()
		}
	}
	return !a.Ended()
}

// grow counts bytes of an answer and ends the largest answers if there are too many.
func (b *Bulk) grow(a *Answer, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended {
		return false
	}
	a.size += int64(n)
	b.total += int64(n)
	b.held[a] = struct{}{}
	for b.max > 0 && b.total-b.going > b.max {
		b.endLargest()
	}
	return !a.ended
}

// mustWait reports whether an answer has to wait until others that have ended are given up, and
// returns what is closed when one is.
func (b *Bulk) mustWait(a *Answer) (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released, b.max > 0 && b.total > b.max && !a.ended
}

// Ended reports whether the answer has ended.
func (a *Answer) Ended() bool {
	a.bulk.mu.Lock()
	defer a.bulk.mu.Unlock()
	return a.ended
}

// endLargest ends the largest answer. The caller holds the mutex, and some answer is held that has
// not ended.
func (b *Bulk) endLargest() {
	var largest *Answer
	for a := range b.held {
		if !a.ended && (largest == nil || a.size > largest.size) {
			largest = a
		}
	}
	largest.ended = true
	b.going += largest.size
	largest.end()
}

// Close gives back what the answer takes.
func (a *Answer) Close() {
	b := a.bulk
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total -= a.size
	if a.ended {
		b.going -= a.size
		close(b.released)
		b.released = make(chan struct{})
	}
	a.size, a.ended = 0, true
	delete(b.held, a)
}

// Total returns the size of all answers that are held.
func (b *Bulk) Total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}
