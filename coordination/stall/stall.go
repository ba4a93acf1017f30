// Package stall (coordination layer) tells which endpoints have fallen silent
// while calls wait there. It answers a host that goes dark under load: its calls
// neither fail nor end, so that nothing else speaks against it.
package stall

import "time"

// silence is how long an endpoint may bring nothing while a call waits: several
// times the time to a first event at a full engine, a quarter of the time after
// which callers give up.
const silence = 500 * time.Millisecond

// Detector holds the signs of life of endpoints. One goroutine at a time may use it.
type Detector struct {
	endpoints map[string]*endpoint
}

type endpoint struct {
	// waiting is the calls that have not ended.
	waiting int
	// since is the last sign of life, or when waiting began to be above zero.
	since time.Time
	// doubted says that all calls of a silent endpoint have been given up. Until
	// it is heard it gets one call at a time.
	doubted bool
}

// New returns a pulse that has heard nothing.
func New() *Detector { return &Detector{endpoints: map[string]*endpoint{}} }

// CallSent notes a call of an endpoint.
func (p *Detector) CallSent(now time.Time, id string) {
	e := p.endpoints[id]
	if e == nil {
		e = &endpoint{}
		p.endpoints[id] = e
	}
	if e.waiting == 0 {
		e.since = now
	}
	e.waiting++
}

// Heard notes a sign of life.
func (p *Detector) Heard(now time.Time, id string) {
	if e := p.endpoints[id]; e != nil {
		e.since, e.doubted = now, false
	}
}

// CallEnded notes that a call has ended, however.
func (p *Detector) CallEnded(now time.Time, id string) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if e.waiting--; e.waiting > 0 {
		return
	}
	if e.doubted = e.doubted || now.Sub(e.since) > silence; !e.doubted {
		delete(p.endpoints, id)
	}
}

// Stalled tells whether calls wait at an endpoint that brings nothing.
func (p *Detector) Stalled(now time.Time, id string) bool {
	e := p.endpoints[id]
	if e == nil || e.waiting == 0 {
		return false
	}
	return e.doubted || now.Sub(e.since) > silence
}
