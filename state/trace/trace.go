// Package trace (state layer) keeps a node's latest events, so that one program or call
// can be traced across nodes.
package trace

import (
	"cmp"
	"slices"
	"time"
)

// Event is one step that a node took for a call.
type Event struct {
	Time time.Time `json:"time"`
	Node string    `json:"node"`
	// Kind is a short word such as "taken", "dispatch" or "answer".
	Kind     string `json:"kind"`
	Customer string `json:"customer,omitempty"`
	Program  string `json:"program,omitempty"`
	// Key is the call's key; it is empty for events of the whole program.
	Key string `json:"key,omitempty"`
	// Detail says more, such as the endpoint or the outcome.
	Detail string `json:"detail,omitempty"`
}

// Log is a ring buffer of events that overwrites the oldest. It is not safe for concurrent
// use.
type Log struct {
	events []Event
	// next is the index of the next event.
	next int
	full bool
}

// New returns a log that holds the given number of events.
func New(size int) *Log { return &Log{events: make([]Event, size)} }

// Add stores an event.
func (l *Log) Add(e Event) {
	l.events[l.next] = e
	l.next++
	if l.next == len(l.events) {
		l.next, l.full = 0, true
	}
}

// Find returns the events of a program, or of the call with a key, in order of time.
func (l *Log) Find(name string) []Event {
	found := []Event{}
	stored := l.events[:l.next]
	if l.full {
		stored = l.events
	}
	for _, e := range stored {
		if e.Key == name || e.Program == name {
			found = append(found, e)
		}
	}
	return Merge(found)
}

// Merge returns the events of several nodes in order of time.
func Merge(all ...[]Event) []Event {
	merged := slices.Concat(all...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node))
	})
	return merged
}
