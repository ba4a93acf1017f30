// Package queue (coordination layer) orders the calls that are ready to be dispatched.
package queue

import (
	"sort"
	"time"
)

// Policy names an order.
type Policy string

// The orders; Attained is the product's, Fifo the baseline.
const (
	// Attained serves the program with the least attained service first,
	// raised by waiting time and by class.
	Attained Policy = "attained"
	// Fifo serves calls by arrival.
	Fifo Policy = "fifo"
)

// Item is a call that waits for dispatch.
type Item struct {
	// ID is the call's identity.
	ID string
	// Class is the service's class, 0 the most urgent.
	Class int
	// Attained is the service that the whole program has had, in tokens.
	Attained int64
	// Arrived is when the call became ready.
	Arrived time.Time
}

// Queue holds waiting calls. An id stands in it at most once.
type Queue struct {
	policy Policy
	items  map[string]Item
}

// New returns an empty queue with the given order.
func New(policy Policy) *Queue { return &Queue{policy: policy, items: map[string]Item{}} }

// Push adds or replaces an item.
func (q *Queue) Push(i Item) { q.items[i.ID] = i }

// Remove takes an item out.
func (q *Queue) Remove(id string) { delete(q.items, id) }

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.items) }

// Sorted returns the waiting items, first to be served first.
func (q *Queue) Sorted(now time.Time) []Item {
	all := make([]Item, 0, len(q.items))
	for _, i := range q.items {
		all = append(all, i)
	}
	sort.Slice(all, func(a, b int) bool { return q.less(now, all[a], all[b]) })
	return all
}

func (q *Queue) less(now time.Time, a, b Item) bool {
	if q.policy == Attained {
		x, y := score(now, a), score(now, b)
		if x != y {
			return x < y
		}
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.ID < b.ID
}

// tokensPerSecond converts waiting time into attained service.
const tokensPerSecond = 500

// tokensPerClass is the head start of a class over the next one, in tokens.
const tokensPerClass = 4000

func score(now time.Time, i Item) int64 {
	age := now.Sub(i.Arrived).Seconds()
	return i.Attained + int64(i.Class)*tokensPerClass - int64(age*tokensPerSecond)
}
