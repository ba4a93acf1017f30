// Package queue (coordination layer) orders the calls that are ready to be
// dispatched.
package queue

import (
	"container/heap"
	"time"
)

// Policy names an order of calls.
type Policy string

// The policies. Program is the default, Fifo the baseline.
const (
	// Program serves the program whose user message is oldest, whichever of its
	// calls is next. The class shifts this time.
	Program Policy = "program"
	// Attained is like Program, but favours programs that have had little
	// service.
	Attained Policy = "attained"
	// Fifo serves calls in the order in which they became ready.
	Fifo Policy = "fifo"
)

// Item is a call that waits for dispatch.
type Item struct {
	// ID is the call's identity.
	ID string
	// Class is the service's class. 0 is the most urgent.
	Class int
	// Attained is the time that endpoints have worked for the program since the
	// user's message.
	Attained time.Duration
	// MessageTime is when the user's message arrived.
	MessageTime time.Time
	// ReadyTime is when the call became ready.
	ReadyTime time.Time
}

// Queue holds waiting calls. It contains an ID at most once.
type Queue struct {
	policy Policy
	heap   itemHeap
	items  map[string]*heapEntry
}

// heapEntry is an item with its index in the heap.
type heapEntry struct {
	Item
	// rank orders the entries, lowest first. Waiting changes all ranks alike, so
	// a rank is computed only once.
	rank  int64
	index int
}

// itemHeap implements heap.Interface.
type itemHeap []*heapEntry

// New returns an empty queue with the given order.
func New(policy Policy) *Queue { return &Queue{policy: policy, items: map[string]*heapEntry{}} }

// Push adds or replaces an item.
func (q *Queue) Push(i Item) {
	q.Remove(i.ID)
	e := &heapEntry{Item: i, rank: q.rank(i)}
	q.items[i.ID] = e
	heap.Push(&q.heap, e)
}

// Remove removes an item.
func (q *Queue) Remove(id string) {
	e, ok := q.items[id]
	if !ok {
		return
	}
	heap.Remove(&q.heap, e.index)
	delete(q.items, id)
}

// Pop removes and returns the first item, or returns false if the queue is
// empty.
func (q *Queue) Pop() (Item, bool) {
	if len(q.heap) == 0 {
		return Item{}, false
	}
	e := heap.Pop(&q.heap).(*heapEntry)
	delete(q.items, e.ID)
	return e.Item, true
}

// Peek returns the first item without removing it, or false if the queue is
// empty.
func (q *Queue) Peek() (Item, bool) {
	if len(q.heap) == 0 {
		return Item{}, false
	}
	return q.heap[0].Item, true
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.heap) }

const (
	// attainedWeight is how many seconds of waiting since the user's message one
	// second of service outweighs.
	attainedWeight = 3
	// classHeadStart is the head start of a class over the next one.
	classHeadStart = 30 * time.Second
)

func (q *Queue) rank(i Item) int64 {
	userTime := i.MessageTime.Add(time.Duration(i.Class) * classHeadStart)
	switch q.policy {
	case Fifo:
		return i.ReadyTime.UnixMicro()
	case Attained:
		return userTime.Add(attainedWeight * i.Attained).UnixMicro()
	default:
		return userTime.UnixMicro()
	}
}

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less orders by rank, then by ready time and ID.
func (h itemHeap) Less(a, b int) bool {
	if h[a].rank != h[b].rank {
		return h[a].rank < h[b].rank
	}
	if !h[a].ReadyTime.Equal(h[b].ReadyTime) {
		return h[a].ReadyTime.Before(h[b].ReadyTime)
	}
	return h[a].ID < h[b].ID
}

// Swap implements heap.Interface.
func (h itemHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	e := x.(*heapEntry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
