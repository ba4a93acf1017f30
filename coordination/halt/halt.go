// Package halt (coordination layer) decides which requests a host that is being stopped still
// begins. Load pattern: callers go on sending on open connections while a host is drained.
package halt

import "time"

// cutShare is the fraction of the grace period after which remaining requests are ended, so
// that their callers are answered before the process is killed.
const cutShare = 0.9

// Plan is the end of one host.
type Plan struct {
	cutAt time.Time
}

// New returns the plan of a host that has been told to stop at a time.
func New(now time.Time, grace time.Duration) *Plan {
	return &Plan{cutAt: now.Add(time.Duration(float64(grace) * cutShare))}
}

// CutAt returns when the remaining requests are ended.
func (p *Plan) CutAt() time.Time { return p.cutAt }

// MayBegin reports whether a request with a deadline has its whole time before the remaining
// ones are ended. A host that is not being stopped has no plan.
func (p *Plan) MayBegin(deadline time.Time) bool { return p == nil || !deadline.After(p.cutAt) }
