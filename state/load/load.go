// Package load (state layer) keeps what is known of each endpoint's load.
package load

import (
	"slices"
	"time"
)

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
	// Role is what the engine does at present.
	Role string `cbor:"7,keyasint,omitempty" json:"role,omitempty"`
	// Models are the models in the engine's memory, as "model/adapter/version".
	Models []string `cbor:"8,keyasint,omitempty" json:"models,omitempty"`
	// MeasuredAt is when the endpoint measured itself.
	MeasuredAt time.Time `cbor:"6,keyasint" json:"taken"`
}

// Tracker holds the load of all endpoints as one node knows it.
type Tracker struct {
	// entries has an item for every endpoint ever seen.
	entries map[string]*entry
}

type entry struct {
	report Report
	// own are this node's dispatches in flight: flight id to prompt tokens.
	own map[uint64]flight
	// ended are the flights that ended lately and were sent before it; those
	// that the report cannot know of are taken off its count.
	ended []flight
	// others are the other nodes' dispatches in flight, by node.
	others map[string]share
	// barred is until when the endpoint gets nothing new.
	barred time.Time
}

// share is one other node's dispatches in flight.
type share struct {
	calls int
	taken time.Time
}

type flight struct {
	sent   time.Time
	ended  time.Time
	prompt int
}

// maxEnded bounds the ended flights kept for an endpoint.
const maxEnded = 512

// New returns an empty board.
func New() *Tracker { return &Tracker{entries: map[string]*entry{}} }

func (b *Tracker) entry(name string) *entry {
	e, ok := b.entries[name]
	if !ok {
		e = &entry{own: map[uint64]flight{}, others: map[string]share{}}
		b.entries[name] = e
	}
	return e
}

// UpdateReport takes over a newer report.
func (b *Tracker) UpdateReport(name string, r Report) {
	e := b.entry(name)
	if r.MeasuredAt.Before(e.report.MeasuredAt) {
		return
	}
	e.report = r
	e.ended = slices.DeleteFunc(e.ended, func(f flight) bool { return !f.ended.After(r.MeasuredAt) })
}

// RecordDispatch notes a dispatch of this node.
func (b *Tracker) RecordDispatch(now time.Time, name string, id uint64, prompt int) {
	b.entry(name).own[id] = flight{sent: now, prompt: prompt}
}

// RecordEnd notes that a dispatch of this node is over.
func (b *Tracker) RecordEnd(now time.Time, name string, id uint64) {
	e := b.entry(name)
	f, ok := e.own[id]
	if !ok {
		return
	}
	delete(e.own, id)
	f.ended = now
	e.ended = append(e.ended, f)
	if len(e.ended) > maxEnded {
		e.ended = slices.Clone(e.ended[len(e.ended)-maxEnded:])
	}
}

// InFlight returns how many dispatches of this node are in flight there.
func (b *Tracker) InFlight(name string) int { return len(b.entry(name).own) }

// UpdateRemote takes over another node's dispatches in flight.
func (b *Tracker) UpdateRemote(node string, taken time.Time, sent map[string]int) {
	for name, e := range b.entries {
		if sent[name] == 0 {
			delete(e.others, node)
		}
	}
	for name, n := range sent {
		b.entry(name).others[node] = share{calls: n, taken: taken}
	}
}

// shareLife is how long another node's news counts.
const shareLife = 3 * time.Second

// EstimateCalls estimates the calls at the endpoint: its late report, corrected by what
// this node knows to have begun and ended since, and never less than what this
// node has there. Without a recent report it is what all nodes have there.
func (b *Tracker) EstimateCalls(now time.Time, name string) int {
	e := b.entry(name)
	if now.Sub(e.report.MeasuredAt) > reportLife {
		return len(e.own) + e.shared(now)
	}
	n := e.report.Running + e.report.Waiting
	for _, f := range e.own {
		if f.sent.After(e.report.MeasuredAt) {
			n++
		}
	}
	for _, f := range e.ended {
		if !f.sent.After(e.report.MeasuredAt) {
			n--
		}
	}
	return max(n, len(e.own))
}

// reportLife is how long an endpoint's report is better than the nodes' own count.
const reportLife = 5 * time.Second

// shared counts what the other nodes have at the endpoint.
func (e *entry) shared(now time.Time) int {
	n := 0
	for _, s := range e.others {
		if now.Sub(s.taken) < shareLife {
			n += s.calls
		}
	}
	return n
}

// EstimatePending estimates the prompt tokens waiting for prefill there.
func (b *Tracker) EstimatePending(name string) int {
	e := b.entry(name)
	n := e.report.Pending
	for _, f := range e.own {
		if f.sent.After(e.report.MeasuredAt) {
			n += f.prompt
		}
	}
	return n
}

// HasReport tells whether the endpoint has ever reported.
func (b *Tracker) HasReport(name string) bool { return !b.entry(name).report.MeasuredAt.IsZero() }

// Models returns the models in the engine's memory; none if it does not say.
func (b *Tracker) Models(name string) []string { return b.entry(name).report.Models }

// ApplyOrder takes over what a confirmed order achieved, ahead of the next report.
func (b *Tracker) ApplyOrder(name, kind, model, role string) {
	r := &b.entry(name).report
	switch kind {
	case "load":
		if !slices.Contains(r.Models, model) {
			r.Models = append(slices.Clone(r.Models), model)
		}
	case "unload":
		r.Models = slices.DeleteFunc(slices.Clone(r.Models), func(m string) bool { return m == model })
	case "role":
		r.Role = role
	}
}

// Role returns what the engine does at present.
func (b *Tracker) Role(name string) string { return b.entry(name).report.Role }

// BlockUntil keeps new work away from the endpoint until the given time.
func (b *Tracker) BlockUntil(name string, until time.Time) { b.entry(name).barred = until }

// Available tells whether the endpoint may get new work.
func (b *Tracker) Available(now time.Time, name string) bool {
	e := b.entry(name)
	return !e.report.Leaving && !now.Before(e.barred)
}

// SetLeaving marks an endpoint that refused work because it is leaving.
func (b *Tracker) SetLeaving(name string, leaving bool) { b.entry(name).report.Leaving = leaving }
