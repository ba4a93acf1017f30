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
	// until is the end of the last ejection.
	until time.Time
}

const (
	// tolerance is the failures in a row that eject an endpoint.
	tolerance = 3
	// base is the first ejection's length; each further one doubles it.
	base = 2 * time.Second
	// longest bounds an ejection.
	longest = time.Minute
	// slowStart is how long an endpoint takes to get its full share again.
	slowStart = 5 * time.Second
	// failingLeast is the failures within a second, at all gates of a data centre
	// together, from which an endpoint is judged by what they saw: as many as one
	// gate tolerates and one more, so that one gate alone cannot say it.
	failingLeast = tolerance + 1
	// maxShare is the share of a pool that may be ejected at once.
	maxShare = 0.5
)

// New returns a judge without records.
func New() *Detector { return &Detector{records: map[string]*record{}} }

// Succeed notes an answer.
func (j *Detector) Succeed(name string) {
	if r := j.records[name]; r != nil {
		r.failures, r.ejections = 0, 0
	}
}

// Fail notes a failure; pool are the endpoints of the same pool.
func (j *Detector) Fail(now time.Time, name string, pool []string) {
	r := j.records[name]
	if r == nil {
		r = &record{}
		j.records[name] = r
	}
	r.failures++
	if r.failures >= tolerance {
		j.eject(now, r, pool)
	}
}

// Unreachable notes that an endpoint could not be reached at all, which ejects it at
// once: a call that cannot be sent is sure to fail.
func (j *Detector) Unreachable(now time.Time, name string, pool []string) {
	r := j.records[name]
	if r == nil {
		r = &record{}
		j.records[name] = r
	}
	j.eject(now, r, pool)
}

// Failing tells whether an endpoint fails as the gates of a data centre saw it
// within the last second: often enough to tell, and more often than not. It answers
// an endpoint that breaks off what it takes: it is never busy, so that each of
// many gates would send it work until it has seen enough failures itself.
func Failing(good, bad int) bool { return bad >= failingLeast && bad > good }

// EjectByReports notes that the gates together saw an endpoint fail.
func (j *Detector) EjectByReports(now time.Time, name string, pool []string) {
	j.Unreachable(now, name, pool)
}

func (j *Detector) eject(now time.Time, r *record, pool []string) {
	if now.Before(r.until) || !j.mayEject(now, pool) {
		return
	}
	r.failures = 0
	r.until = now.Add(min(longest, base<<min(r.ejections, 10)))
	r.ejections++
}

// mayEject tells whether one more of the pool may be ejected; the last
// endpoint of a pool never is.
func (j *Detector) mayEject(now time.Time, pool []string) bool {
	out := 1
	for _, n := range pool {
		if j.Ejected(now, n) {
			out++
		}
	}
	return out < len(pool) && float64(out) <= max(1, maxShare*float64(len(pool)))
}

// Ejected tells whether the endpoint gets no work now.
func (j *Detector) Ejected(now time.Time, name string) bool {
	r := j.records[name]
	return r != nil && now.Before(r.until)
}

// Share returns the part of its slots that the endpoint may use, from 0 to 1.
func (j *Detector) Share(now time.Time, name string) float64 {
	r := j.records[name]
	if r == nil || r.until.IsZero() {
		return 1
	}
	back := now.Sub(r.until)
	if back < 0 {
		return 0
	}
	return min(1, 0.1+0.9*float64(back)/float64(slowStart))
}
