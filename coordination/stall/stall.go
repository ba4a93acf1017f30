// Package stall (coordination layer) detects stalled endpoints: those that
// send nothing while calls wait there. Calls at a host that stops responding
// under load neither fail nor end, so no other check detects it.
package stall

import "time"

// stallTimeout is how long an endpoint may send nothing while a call waits. It
// is several times the time to a first event at a full engine, and a quarter
// of the time after which callers give up.
const stallTimeout = 500 * time.Millisecond

// Detector records when endpoints last sent an event. One goroutine at a time
// may use it.
type Detector struct {
	endpoints map[string]*endpoint
}

type endpoint struct {
	// openCalls is the number of calls that have not ended.
	openCalls int
	// lastEvent is when the endpoint last sent an event, or when openCalls rose
	// above zero.
	lastEvent time.Time
	// stalled reports whether all calls of a stalled endpoint have ended. It then
	// gets one call at a time until it sends an event.
	stalled bool
}

// New returns a detector without endpoints.
func New() *Detector { return &Detector{endpoints: map[string]*endpoint{}} }

// CallSent records a call that was sent to an endpoint.
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

// Heard records an event from an endpoint.
func (d *Detector) Heard(now time.Time, id string) {
	if e := d.endpoints[id]; e != nil {
		e.lastEvent, e.stalled = now, false
	}
}

// CallEnded records that a call has ended for any reason.
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

// Stalled reports whether calls wait at an endpoint that sends nothing.
func (d *Detector) Stalled(now time.Time, id string) bool {
	e := d.endpoints[id]
	if e == nil || e.openCalls == 0 {
		return false
	}
	return e.stalled || now.Sub(e.lastEvent) > stallTimeout
}
