// Package eject (coordination layer) keeps work away from endpoints that fail,
// and lets it come back slowly.
package eject

import "time"

// Detector holds the record of a pool's endpoints.
type Detector struct {
	// records has an item for every endpoint that ever failed.
	records map[string]*record
}

type record struct {
	// failures counts failures since the last success.
	failures int
	// ejections counts ejections without a success between them.
	ejections int
	// ejectedUntil is the end of the last ejection.
	ejectedUntil time.Time
}

const (
	// failureThreshold is the failures in a row that eject an endpoint.
	failureThreshold = 3
	// baseEjection is the first ejection's length; each further one doubles it.
	baseEjection = 2 * time.Second
	// maxEjection bounds an ejection.
	maxEjection = time.Minute
	// slowStart is how long an endpoint takes to get its full share again.
	slowStart = 5 * time.Second
	// reportThreshold is the failures within a second, at all gates of a data centre
	// together, from which an endpoint is judged by what they saw: as many as one
	// gate tolerates and one more, so that one gate alone cannot say it.
	reportThreshold = failureThreshold + 1
	// maxShare is the share of a pool that may be ejected at once.
	maxShare = 0.5
)

// New returns a judge without records.
func New() *Detector { return &Detector{records: map[string]*record{}} }

// Succeed notes an answer.
func (d *Detector) Succeed(name string) {
	if r := d.records[name]; r != nil {
		r.failures, r.ejections = 0, 0
	}
}

// Fail notes a failure; pool are the endpoints of the same pool.
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

// Unreachable notes that an endpoint could not be reached at all, which ejects it at
// once: a call that cannot be sent is sure to fail.
func (d *Detector) Unreachable(now time.Time, name string, pool []string) {
	r := d.records[name]
	if r == nil {
		r = &record{}
		d.records[name] = r
	}
	d.eject(now, r, pool)
}

// Failing tells whether an endpoint fails as the gates of a data centre saw it
// within the last second: often enough to tell, and more often than not. It answers
// an endpoint that breaks off what it takes: it is never busy, so that each of
// many gates would send it work until it has seen enough failures itself.
func Failing(good, bad int) bool { return bad >= reportThreshold && bad > good }

// EjectByReports notes that the gates together saw an endpoint fail.
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

// mayEject tells whether one more of the pool may be ejected; the last
// endpoint of a pool never is.
func (d *Detector) mayEject(now time.Time, pool []string) bool {
	ejected := 1
	for _, n := range pool {
		if d.Ejected(now, n) {
			ejected++
		}
	}
	return ejected < len(pool) && float64(ejected) <= max(1, maxShare*float64(len(pool)))
}

// Ejected tells whether the endpoint gets no work now.
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
