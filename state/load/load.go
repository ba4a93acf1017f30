// Package load (state layer) tracks the load of each endpoint.
package load

import (
	"slices"
	"time"
)

// Report is the load that an endpoint measured itself. It lags behind by the engine's
// reporting delay.
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
	// Role is the engine's current role.
	Role string `cbor:"7,keyasint,omitempty" json:"role,omitempty"`
	// Models are the models in the engine's memory, as "model/adapter/version".
	Models []string `cbor:"8,keyasint,omitempty" json:"models,omitempty"`
	// MeasuredAt is when the endpoint took the measurement.
	MeasuredAt time.Time `cbor:"6,keyasint" json:"taken"`
}

// Tracker holds the load of all endpoints as one node knows it.
type Tracker struct {
	// entries has an item for every endpoint ever seen.
	entries map[string]*entry
}

type entry struct {
	report Report
	// inFlight holds this node's attempts in progress, by id.
	inFlight map[uint64]attempt
	// recentlyEnded are the attempts that ended after the report was measured. Those sent
	// before it are still in its count and are subtracted.
	recentlyEnded []attempt
	// remote holds the other nodes' attempts in progress, by node.
	remote map[string]remoteCalls
	// blockedUntil is when the endpoint may get new work again.
	blockedUntil time.Time
}

// remoteCalls counts another node's attempts in progress on an endpoint.
type remoteCalls struct {
	calls      int
	measuredAt time.Time
}

type attempt struct {
	sentAt       time.Time
	endedAt      time.Time
	promptTokens int
}

// maxEnded bounds the recently ended attempts kept per endpoint.
const maxEnded = 512

// New returns an empty tracker.
func New() *Tracker { return &Tracker{entries: map[string]*entry{}} }

func (t *Tracker) entry(name string) *entry {
	e, ok := t.entries[name]
	if !ok {
		e = &entry{inFlight: map[uint64]attempt{}, remote: map[string]remoteCalls{}}
		t.entries[name] = e
	}
	return e
}

// UpdateReport stores a report unless the stored one is newer.
func (t *Tracker) UpdateReport(name string, r Report) {
	e := t.entry(name)
	if r.MeasuredAt.Before(e.report.MeasuredAt) {
		return
	}
	e.report = r
	e.recentlyEnded = slices.DeleteFunc(e.recentlyEnded, func(a attempt) bool { return !a.endedAt.After(r.MeasuredAt) })
}

// RecordDispatch records that this node sent an attempt to the endpoint.
func (t *Tracker) RecordDispatch(now time.Time, name string, id uint64, prompt int) {
	t.entry(name).inFlight[id] = attempt{sentAt: now, promptTokens: prompt}
}

// RecordEnd records that an attempt of this node ended.
func (t *Tracker) RecordEnd(now time.Time, name string, id uint64) {
	e := t.entry(name)
	a, ok := e.inFlight[id]
	if !ok {
		return
	}
	delete(e.inFlight, id)
	a.endedAt = now
	e.recentlyEnded = append(e.recentlyEnded, a)
	if len(e.recentlyEnded) > maxEnded {
		e.recentlyEnded = slices.Clone(e.recentlyEnded[len(e.recentlyEnded)-maxEnded:])
	}
}

// InFlight returns how many attempts of this node are in progress on the endpoint.
func (t *Tracker) InFlight(name string) int { return len(t.entry(name).inFlight) }

// UpdateRemote replaces the counts of another node's attempts in progress.
func (t *Tracker) UpdateRemote(node string, measuredAt time.Time, calls map[string]int) {
	for name, e := range t.entries {
		if calls[name] == 0 {
			delete(e.remote, node)
		}
	}
	for name, n := range calls {
		t.entry(name).remote[node] = remoteCalls{calls: n, measuredAt: measuredAt}
	}
}

// maxRemoteAge is the age from which another node's counts are ignored.
const maxRemoteAge = 3 * time.Second

// EstimateCalls estimates the calls at the endpoint: its last report, corrected by the
// attempts that this node has begun and ended since, but at least this node's attempts in
// progress. Without a recent report it is the sum of all nodes' attempts in progress.
func (t *Tracker) EstimateCalls(now time.Time, name string) int {
	e := t.entry(name)
	if now.Sub(e.report.MeasuredAt) > maxReportAge {
		return len(e.inFlight) + e.remoteTotal(now)
	}
	n := e.report.Running + e.report.Waiting
	for _, a := range e.inFlight {
		if a.sentAt.After(e.report.MeasuredAt) {
			n++
		}
	}
	for _, a := range e.recentlyEnded {
		if !a.sentAt.After(e.report.MeasuredAt) {
			n--
		}
	}
	return max(n, len(e.inFlight))
}

// maxReportAge is the age up to which an endpoint's report is preferred to the nodes'
// counts.
const maxReportAge = 5 * time.Second

// remoteTotal counts the other nodes' attempts in progress on the endpoint.
func (e *entry) remoteTotal(now time.Time) int {
	n := 0
	for _, s := range e.remote {
		if now.Sub(s.measuredAt) < maxRemoteAge {
			n += s.calls
		}
	}
	return n
}

// EstimatePending estimates the prompt tokens waiting for prefill at the endpoint.
func (t *Tracker) EstimatePending(name string) int {
	e := t.entry(name)
	n := e.report.Pending
	for _, a := range e.inFlight {
		if a.sentAt.After(e.report.MeasuredAt) {
			n += a.promptTokens
		}
	}
	return n
}

// HasReport reports whether the endpoint has ever sent a report.
func (t *Tracker) HasReport(name string) bool { return !t.entry(name).report.MeasuredAt.IsZero() }

// Models returns the models in the engine's memory; none if it does not report them.
func (t *Tracker) Models(name string) []string { return t.entry(name).report.Models }

// ApplyOrder applies the effect of a confirmed order before the next report shows it.
func (t *Tracker) ApplyOrder(name, kind, model, role string) {
	r := &t.entry(name).report
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

// Role returns the engine's current role.
func (t *Tracker) Role(name string) string { return t.entry(name).report.Role }

// BlockUntil keeps new work away from the endpoint until the given time.
func (t *Tracker) BlockUntil(name string, until time.Time) { t.entry(name).blockedUntil = until }

// Available reports whether the endpoint may get new work.
func (t *Tracker) Available(now time.Time, name string) bool {
	e := t.entry(name)
	return !e.report.Leaving && !now.Before(e.blockedUntil)
}

// SetLeaving records whether the endpoint refuses work because it is leaving.
func (t *Tracker) SetLeaving(name string, leaving bool) { t.entry(name).report.Leaving = leaving }
