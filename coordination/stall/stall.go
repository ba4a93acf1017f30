// Package stall (coordination layer) tells which endpoints have fallen silent
// while calls wait there. It answers a host that goes dark under load: its calls
// neither fail nor end, so that nothing else speaks against it.
package stall

import "time"

// stallTimeout is how long an endpoint may bring nothing while a call waits: several
// times the time to a first event at a full engine, a quarter of the time after
// which callers give up.
const stallTimeout = 500 * time.Millisecond

// Detector holds the signs of life of endpoints. One goroutine at a time may use it.
type Detector struct {
	endpoints map[string]*endpoint
}

type endpoint struct {
	// openCalls is the calls that have not ended.
	openCalls int
	// lastEvent is the last sign of life, or when waiting began to be above zero.
	lastEvent time.Time
	// stalled says that all calls of a silent endpoint have been given up. Until
	// it is heard it gets one call at a time.
	stalled bool
}

// New returns a pulse that has heard nothing.
func New() *Detector { return &Detector{endpoints: map[string]*endpoint{}} }

// CallSent notes a call of an endpoint.
func (d *Detector) CallSent(now time.Time, id string) {
	e := d.endpoints[id]
	if e == nil {
		e = &endpoint{}
		d.endpoints[id] = e
	}
	if e.openCalls == 0 {
		e.lastEvent = now
	}
	e.openCalls++
}

// Heard notes a sign of life.
func (d *Detector) Heard(now time.Time, id string) {
	if e := d.endpoints[id]; e != nil {
		e.lastEvent, e.stalled = now, false
	}
}

// CallEnded notes that a call has ended, however.
func (d *Detector) CallEnded(now time.Time, id string) {
	e := d.endpoints[id]
	if e == nil {
		return
	}
	if e.openCalls--; e.openCalls > 0 {
		return
	}
	if e.stalled = e.stalled || now.Sub(e.lastEvent) > stallTimeout; !e.stalled {
		delete(d.endpoints, id)
	}
}

// Stalled tells whether calls wait at an endpoint that brings nothing.
func (d *Detector) Stalled(now time.Time, id string) bool {
	e := d.endpoints[id]
	if e == nil || e.openCalls == 0 {
		return false
	}
	return e.stalled || now.Sub(e.lastEvent) > stallTimeout
}
