// Package fleet (state layer) holds what is believed of the endpoints: who is
// there, who is leaving, and where.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Entry is what an endpoint says of itself.
type Entry struct {
	ID      string
	Service string
	Addr    string
	Centre  string
	Slots   int
	// Leaving endpoints get no new work.
	Leaving bool
	// StartedAt is the Unix millisecond of the start of this life; 0 when not said.
	StartedAt int64
	// WarmUp is how much longer the endpoint is slow after its start.
	WarmUp time.Duration
}

// returnGrace is how long after the key-value service's return an entry that
// lapsed meanwhile may still be missing although its endpoint lives. The
// platform states about two seconds.
const returnGrace = 2 * time.Second

type member struct {
	Entry
	// doomed is when a missing entry is taken as gone; zero while it is listed.
	doomed time.Time
	// refuted says that something else answered at the address.
	refuted bool
}

// Fleet is the list of endpoints. It is safe for concurrent use.
type Fleet struct {
	mu      sync.RWMutex
	members map[string]*member
	// services holds each service's members by ID, so that choices repeat.
	services map[string][]*member
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{members: map[string]*member{}, services: map[string][]*member{}}
}

// Put notes an entry as it now stands.
func (f *Fleet) Put(e Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(e)
}

func (f *Fleet) put(e Entry) {
	old := f.members[e.ID]
	f.drop(e.ID)
	m := &member{Entry: e}
	if old != nil && old.StartedAt == e.StartedAt && old.Addr == e.Addr {
		m.refuted = old.refuted
	}
	f.members[e.ID] = m
	held := append(f.services[e.Service], m)
	slices.SortFunc(held, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	f.services[e.Service] = held
}

func (f *Fleet) drop(id string) {
	m := f.members[id]
	if m == nil {
		return
	}
	delete(f.members, id)
	f.services[m.Service] = slices.DeleteFunc(slices.Clone(f.services[m.Service]), func(o *member) bool { return o.ID == id })
}

// Remove notes that an entry is gone. After an outage it stays for a moment:
// its endpoint may be about to write again.
func (f *Fleet) Remove(now time.Time, id string, outage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(now, id, outage)
}

func (f *Fleet) remove(now time.Time, id string, outage bool) {
	m := f.members[id]
	switch {
	case m == nil:
	case !outage:
		f.drop(id)
	case m.doomed.IsZero():
		m.doomed = now.Add(returnGrace)
	}
}

// ReplaceAll replaces the entries by a whole listing. After an outage, entries that
// are missing stay for a moment: their endpoints may be about to write again.
func (f *Fleet) ReplaceAll(now time.Time, entries []Entry, outage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		f.put(e)
	}
	for id := range f.members {
		if !listed[id] {
			f.remove(now, id, outage)
		}
	}
}

// MarkWrongAddress notes that another endpoint answered at the address of id.
func (f *Fleet) MarkWrongAddress(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		m.refuted = true
	}
}

// Usable returns the endpoints of a service that may get new work.
func (f *Fleet) Usable(now time.Time, service string) []Entry {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var usable []Entry
	for _, m := range f.services[service] {
		gone := !m.doomed.IsZero() && !now.Before(m.doomed)
		if !m.Leaving && !m.refuted && !gone {
			usable = append(usable, m.Entry)
		}
	}
	return usable
}

// Size returns the number of endpoints listed.
func (f *Fleet) Size() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.members)
}
