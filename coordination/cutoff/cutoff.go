// Package cutoff (coordination layer) tells a gate that has lost its own way to the
// endpoints from endpoints that fail. Load pattern: a gate is partitioned from all
// endpoints, while callers and vaults still reach it.
package cutoff

import "time"

const (
	// enough is how many endpoints in a row must be out of reach before the gate counts
	// as cut off. Fewer count if there are no more.
	enough = 3
	// failureAge is how long a failed connect counts.
	failureAge = 2 * time.Second
	// probeEvery is the pause between two rounds of probes.
	probeEvery = 500 * time.Millisecond
)

// Detector records how connecting to endpoints ends. Requests on open connections are no
// evidence: a cut may leave these alive and refuse new ones. One goroutine at a time may
// use it.
type Detector struct {
	// failed holds when connecting to an address last failed, since the last success
	// with any.
	failed map[string]time.Time
	// cut is set while the gate counts as cut off. silent says that some connects got no
	// answer at all.
	cut, silent bool
	// succeededAt is when connecting last succeeded.
	succeededAt time.Time
	probedAt    time.Time
}

// New returns the Detector of a gate that reaches the endpoints.
func New() *Detector { return &Detector{failed: map[string]time.Time{}} }

// Fail records that a connect that began at started has failed; silent says that there was
// no answer. known is how many endpoints there are. It reports whether the gate counts as
// cut off from now on. A connect that began before the last success says nothing new.
func (d *Detector) Fail(now, started time.Time, addr string, silent bool, known int) bool {
	if started.Before(d.succeededAt) {
		return false
	}
	for a, at := range d.failed {
		if now.Sub(at) > failureAge {
			delete(d.failed, a)
		}
	}
	d.failed[addr] = now
	d.silent = d.silent || silent
	if d.cut || len(d.failed) < min(enough, known) {
		return false
	}
	d.cut = true
	return true
}

// Succeed records that connecting to an endpoint succeeded. It reports whether the gate
// was cut off until now.
func (d *Detector) Succeed(now time.Time) bool {
	was := d.cut
	d.cut, d.silent, d.succeededAt = false, false, now
	clear(d.failed)
	return was
}

// Cut reports whether the gate is cut off from the endpoints.
func (d *Detector) Cut() bool { return d.cut }

// Silent reports whether connects got no answer, so that open connections are probably
// dead, too.
func (d *Detector) Silent() bool { return d.silent }

// ProbeDue reports whether to find out by connecting to some endpoints, and counts that as
// a round. It is due while there are failures and no success since.
func (d *Detector) ProbeDue(now time.Time) bool {
	if len(d.failed) == 0 && !d.cut || now.Sub(d.probedAt) < probeEvery {
		return false
	}
	d.probedAt = now
	return true
}
