// Package queue (coordination layer) orders the calls that are ready to be dispatched.
package queue

import (
	"container/heap"
	"time"
)

// Policy names an order.
type Policy string

// The orders; Program is the product's, Fifo the baseline.
const (
	// Program serves the person who has waited longest for the complete answer,
	// whichever call of the program it is, raised by class.
	Program Policy = "program"
	// Attained is like Program, but favours those that have had little service.
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
	// Attained is the time that endpoints have worked for the program since
	// its person's message.
	Attained time.Duration
	// MessageTime is when the person's message came.
	MessageTime time.Time
	// ReadyTime is when the call became ready.
	ReadyTime time.Time
}

// Queue holds waiting calls. An id stands in it at most once.
type Queue struct {
	policy Policy
	heap   line
	items  map[string]*slot
}

// slot is an item with its place in the heap.
type slot struct {
	Item
	// rank orders the slots, the lowest first. Waiting raises all items alike,
	// so a rank never changes.
	rank  int64
	index int
}

// line implements heap.Interface.
type line []*slot

// New returns an empty queue with the given order.
func New(policy Policy) *Queue { return &Queue{policy: policy, items: map[string]*slot{}} }

// Push adds or replaces an item.
func (q *Queue) Push(i Item) {
	q.Remove(i.ID)
	s := &slot{Item: i, rank: q.rank(i)}
	q.items[i.ID] = s
	heap.Push(&q.heap, s)
}

// Remove takes an item out.
func (q *Queue) Remove(id string) {
	s, ok := q.items[id]
	if !ok {
		return
	}
	heap.Remove(&q.heap, s.index)
	delete(q.items, id)
}

// Pop takes the first item out; it returns false when the queue is empty.
func (q *Queue) Pop() (Item, bool) {
	if len(q.heap) == 0 {
		return Item{}, false
	}
	s := heap.Pop(&q.heap).(*slot)
	delete(q.items, s.ID)
	return s.Item, true
}

// Peek returns the item to be served next without taking it out.
func (q *Queue) Peek() (Item, bool) {
	if len(q.heap) == 0 {
		return Item{}, false
	}
	return q.heap[0].Item, true
}

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.heap) }

const (
	// attainedWeight is what a second of service counts against a second of
	// waiting since the person's message.
	attainedWeight = 3
	// classTime is the head start of a class over the next one.
	classTime = 30 * time.Second
)

func (q *Queue) rank(i Item) int64 {
	began := i.MessageTime.Add(time.Duration(i.Class) * classTime)
	switch q.policy {
	case Fifo:
		return i.ReadyTime.UnixMicro()
	case Attained:
		return began.Add(attainedWeight * i.Attained).UnixMicro()
	default:
		return began.UnixMicro()
	}
}

// Len is for the heap.
func (l line) Len() int { return len(l) }

// Less puts first what the policy serves first.
func (l line) Less(a, b int) bool {
	if l[a].rank != l[b].rank {
		return l[a].rank < l[b].rank
	}
	if !l[a].ReadyTime.Equal(l[b].ReadyTime) {
		return l[a].ReadyTime.Before(l[b].ReadyTime)
	}
	return l[a].ID < l[b].ID
}

// Swap is for the heap.
func (l line) Swap(a, b int) {
	l[a], l[b] = l[b], l[a]
	l[a].index, l[b].index = a, b
}

// Push implements heap.Interface.
func (l *line) Push(x any) {
	s := x.(*slot)
	s.index = len(*l)
	*l = append(*l, s)
}

// Pop implements heap.Interface.
func (l *line) Pop() any {
	old := *l
	s := old[len(old)-1]
	*l = old[:len(old)-1]
	return s
}
