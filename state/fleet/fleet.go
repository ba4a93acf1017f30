// Package fleet (state layer) holds the known endpoints: their addresses, their data
// centres and whether they are leaving.
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cowslipstage/cowslipstage/state/leave"
)

// Entry is an endpoint's own entry in the key-value service.
type Entry struct {
	ID      string
	Service string
	Addr    string
	Centre  string
	Slots   int
	// Leaving endpoints get no new work.
	Leaving bool
	// StartedAt is when this incarnation of the endpoint started, in Unix milliseconds; 0
	// if unknown.
	StartedAt int64
	// WarmupLeft is how much longer the endpoint is slow after its start.
	WarmupLeft time.Duration
}

// outageGrace is how long an endpoint stays usable without an entry after an outage of the
// key-value service. Its entry may have lapsed in the outage, and the platform states that
// live endpoints write theirs again within about two seconds.
const outageGrace = 2 * time.Second

type member struct {
	Entry
	// removeAt is when a missing entry counts as removed; zero while it is listed.
	removeAt time.Time
	// wrongAddress says that another endpoint answered at the address.
	wrongAddress bool
}

// Fleet holds the endpoints. It is safe for concurrent use.
type Fleet struct {
	mu      sync.RWMutex
	members map[string]*member
	// services holds each service's members sorted by ID, so that choices are
	// reproducible.
	services map[string][]*member
	// leaving holds what endpoints said of themselves. It outlives their entries,
	// because a lapsed entry comes back after an outage of the key-value service.
	leaving *leave.Marks
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{members: map[string]*member{}, services: map[string][]*member{}, leaving: leave.New()}
}

// Put adds or replaces an entry.
func (f *Fleet) Put(e Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(e)
}

func (f *Fleet) put(e Entry) {
	old := f.members[e.ID]
	f.drop(e.ID)
	f.leaving.Learn(e.ID, e.StartedAt)
	m := &member{Entry: e}
	if old != nil && old.StartedAt == e.StartedAt && old.Addr == e.Addr {
		m.wrongAddress = old.wrongAddress
	}
	f.members[e.ID] = m
	entries := append(f.services[e.Service], m)
	slices.SortFunc(entries, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
	f.services[e.Service] = entries
}

func (f *Fleet) drop(id string) {
	m := f.members[id]
	if m == nil {
		return
	}
	delete(f.members, id)
	f.services[m.Service] = slices.DeleteFunc(slices.Clone(f.services[m.Service]), func(o *member) bool { return o.ID == id })
}

// Remove removes an entry. After an outage the entry stays for outageGrace, because its
// endpoint may be about to write it again.
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
	case m.removeAt.IsZero():
		m.removeAt = now.Add(outageGrace)
	}
}

// ReplaceAll replaces the entries by a complete listing. After an outage, missing entries
// stay for outageGrace, as in Remove.
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

// MarkWrongAddress records that another endpoint answered at the address of id.
func (f *Fleet) MarkWrongAddress(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[id]; m != nil {
		m.wrongAddress = true
	}
}

// MarkLeaving records that a lifetime of an endpoint is leaving, whatever the list of
// endpoints says. It reports whether that is news.
func (f *Fleet) MarkLeaving(id string, startedAt int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving.Add(id, startedAt)
}

// LeavingMarks returns the lifetimes recorded by MarkLeaving, by endpoint.
func (f *Fleet) LeavingMarks() map[string]int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.leaving.All()
}

// LeavingCount returns the number of lifetimes recorded by MarkLeaving.
func (f *Fleet) LeavingCount() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.leaving.Size()
}

// Usable returns the endpoints of a service that may get new work.
func (f *Fleet) Usable(now time.Time, service string) []Entry {
	f.mu.RLock()
	defer f.mu.RUnlock()
	usable := make([]Entry, 0, len(f.services[service]))
	for _, m := range f.services[service] {
		removed := !m.removeAt.IsZero() && !now.Before(m.removeAt)
		if !m.Leaving && !f.leaving.Covers(m.ID, m.StartedAt) && !m.wrongAddress && !removed {
			usable = append(usable, m.Entry)
		}
	}
	return usable
}

// Addrs returns the addresses of all endpoints listed.
func (f *Fleet) Addrs() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	addrs := make([]string, 0, len(f.members))
	for _, m := range f.members {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// Size returns the number of endpoints listed.
func (f *Fleet) Size() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.members)
}
