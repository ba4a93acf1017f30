// Package eject (coordination layer) is an outlier detector: it ejects
// endpoints that fail and returns them to service gradually.
package eject

import "time"

// Detector records the failures and ejections of a pool's endpoints.
type Detector struct {
	// records has an entry for every endpoint that ever failed.
	records map[string]*record
}

type record struct {
	// failures counts failures since the last success or ejection.
	failures int
	// ejections counts ejections since the last success.
	ejections int
	// ejectedUntil is the end of the last ejection.
	ejectedUntil time.Time
}

const (
	// failureThreshold is the number of failures in a row that ejects an
	// endpoint.
	failureThreshold = 3
	// baseEjection is the duration of the first ejection. Each further one
	// doubles it.
	baseEjection = 2 * time.Second
	// maxEjection bounds the duration of an ejection.
	maxEjection = time.Minute
	// slowStart is how long an endpoint takes after an ejection to get its full
	// share again.
	slowStart = 5 * time.Second
	// reportThreshold is the number of failures within a second, at all gates of
	// a data centre together, from which their reports can eject an endpoint. It
	// is one more than failureThreshold, so that one gate's failures alone do not
	// suffice.
	reportThreshold = failureThreshold + 1
	// maxShare is the share of a pool that may be ejected at once.
	maxShare = 0.5
)

// New returns a detector without records.
func New() *Detector { return &Detector{records: map[string]*record{}} }

// Succeed records a success.
func (d *Detector) Succeed(name string) {
	if r := d.records[name]; r != nil {
		r.failures, r.ejections = 0, 0
	}
}

// Fail records a failure. pool lists the endpoints of the same pool.
func (d *Detector) Fail(now time.Time, name string, pool []string) {
	r := d.records[name]
	if r == nil {
		r = &record{}
		d.records[name] = r
	}
	r.failures++
	if r.failures >= failureThreshold {
		d.eject(now, r, pool)
	}
}

// Unreachable records that an endpoint could not be reached. It ejects the
// endpoint at once, because a call that cannot be sent is sure to fail.
func (d *Detector) Unreachable(now time.Time, name string, pool []string) {
	r := d.records[name]
	if r == nil {
		r = &record{}
		d.records[name] = r
	}
	d.eject(now, r, pool)
}

// Failing reports whether an endpoint fails, by the successes and failures
// that all gates of a data centre saw within the last second: enough failures,
// and more of them than successes. This catches an endpoint that breaks off
// every call: it is never busy, so each gate would send it calls until it has
// seen enough failures itself.
func Failing(good, bad int) bool { return bad >= reportThreshold && bad > good }

// EjectByReports ejects an endpoint that is failing by the reports of all
// gates.
func (d *Detector) EjectByReports(now time.Time, name string, pool []string) {
	d.Unreachable(now, name, pool)
}

func (d *Detector) eject(now time.Time, r *record, pool []string) {
	if now.Before(r.ejectedUntil) || !d.mayEject(now, pool) {
		return
	}
	r.failures = 0
	r.ejectedUntil = now.Add(min(maxEjection, baseEjection<<min(r.ejections, 10)))
	r.ejections++
}

// mayEject reports whether one more endpoint of the pool may be ejected. The
// last endpoint of a pool never is.
func (d *Detector) mayEject(now time.Time, pool []string) bool {
	ejected := 1
	for _, n := range pool {
		if d.Ejected(now, n) {
			ejected++
		}
	}
	return ejected < len(pool) && float64(ejected) <= max(1, maxShare*float64(len(pool)))
}

// Ejected reports whether the endpoint gets no work now.
func (d *Detector) Ejected(now time.Time, name string) bool {
	r := d.records[name]
	return r != nil && now.Before(r.ejectedUntil)
}

// Share returns the part of its slots that the endpoint may use, from 0 to 1.
func (d *Detector) Share(now time.Time, name string) float64 {
	r := d.records[name]
	if r == nil || r.ejectedUntil.IsZero() {
		return 1
	}
	elapsed := now.Sub(r.ejectedUntil)
	if elapsed < 0 {
		return 0
	}
	return min(1, 0.1+0.9*float64(elapsed)/float64(slowStart))
}
