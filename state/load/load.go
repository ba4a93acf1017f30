// Package load (state layer) keeps what is known of each endpoint's load.
package load

import "time"

// Report is an endpoint's own view of its load. It is late by the engine's lag.
type Report struct {
	// Running and Waiting count calls.
	Running int `cbor:"1,keyasint" json:"running"`
	Waiting int `cbor:"2,keyasint" json:"waiting"`
	// Pending is the prompt tokens waiting for prefill.
	Pending int `cbor:"3,keyasint" json:"pending"`
	// Cached is the cache memory in use, in tokens.
	Cached int `cbor:"4,keyasint" json:"cached"`
	// Leaving says that the endpoint refuses new work.
	Leaving bool `cbor:"5,keyasint" json:"leaving"`
	// Taken is when the endpoint measured itself.
	Taken time.Time `cbor:"6,keyasint" json:"taken"`
}

// Board holds the load of all endpoints as one node knows it.
type Board struct {
	// entries has an item for every endpoint ever seen.
	entries map[string]*entry
}

type entry struct {
	report Report
	// own are this node's dispatches in flight: flight id to prompt tokens.
	own map[uint64]flight
	// barred is until when the endpoint gets nothing new.
	barred time.Time
}

type flight struct {
	sent   time.Time
	prompt int
}

// New returns an empty board.
func New() *Board { return &Board{entries: map[string]*entry{}} }

func (b *Board) entry(name string) *entry {
	e, ok := b.entries[name]
	if !ok {
		e = &entry{own: map[uint64]flight{}}
		b.entries[name] = e
	}
	return e
}

// Report takes over a newer report.
func (b *Board) Report(name string, r Report) {
	e := b.entry(name)
	if r.Taken.Before(e.report.Taken) {
		return
	}
	e.report = r
}

// Send notes a dispatch of this node.
func (b *Board) Send(now time.Time, name string, id uint64, prompt int) {
	b.entry(name).own[id] = flight{sent: now, prompt: prompt}
}

// Finish notes that a dispatch of this node is over.
func (b *Board) Finish(name string, id uint64) { delete(b.entry(name).own, id) }

// Own returns how many dispatches of this node are in flight there.
func (b *Board) Own(name string) int { return len(b.entry(name).own) }

// Calls estimates the calls at the endpoint: its report plus what was sent since.
func (b *Board) Calls(name string) int {
	e := b.entry(name)
	n := e.report.Running + e.report.Waiting
	for _, f := range e.own {
		if f.sent.After(e.report.Taken) {
			n++
		}
	}
	return max(n, len(e.own))
}

// Pending estimates the prompt tokens waiting for prefill there.
func (b *Board) Pending(name string) int {
	e := b.entry(name)
	n := e.report.Pending
	for _, f := range e.own {
		if f.sent.After(e.report.Taken) {
			n += f.prompt
		}
	}
	return n
}

// Bar keeps new work away from the endpoint until the given time.
func (b *Board) Bar(name string, until time.Time) { b.entry(name).barred = until }

// Open tells whether the endpoint may get new work.
func (b *Board) Open(now time.Time, name string) bool {
	e := b.entry(name)
	return !e.report.Leaving && !now.Before(e.barred)
}

// Leave marks an endpoint that refused work because it is leaving.
func (b *Board) Leave(name string, leaving bool) { b.entry(name).report.Leaving = leaving }
