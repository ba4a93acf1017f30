// Package bound (state layer) holds how far all gates together may exceed a customer's quota.
package bound

import (
	"cmp"
	"time"

	"github.com/cockroachdb/errors"
)

// The values that apply where the settings name none.
const (
	DefaultWindow    = 5 * time.Second
	DefaultOvershoot = 0.1
	DefaultSlack     = 20
)

// minWindow and maxWindow bound the window. Use is counted in intervals of a quarter of a
// second, and a vault keeps those of one window for each customer.
const (
	minWindow = time.Second
	maxWindow = 5 * time.Minute
)

// ErrRange means that a value is outside of its range.
var ErrRange = errors.New("bound: out of range")

// Bound is the guarantee that quotas give: within any window all gates together pass at most
// Limit requests of a customer. The zero value holds the defaults.
type Bound struct {
	// window is from minWindow to maxWindow, overshoot and slack are positive; 0 stands for
	// the default.
	window    time.Duration
	overshoot float64
	slack     float64
}

// New returns a Bound.
func New(window time.Duration, overshoot, slack float64) (Bound, error) {
	switch {
	case window < minWindow || window > maxWindow:
		return Bound{}, errors.Wrapf(ErrRange, "the window of quotas is %s, must be from %s to %s", window, minWindow, maxWindow)
	case !(overshoot > 0 && overshoot <= 10):
		return Bound{}, errors.Wrapf(ErrRange, "the overshoot of quotas is %v, must be above 0 and at most 10", overshoot)
	case !(slack > 0 && slack <= 1e9):
		return Bound{}, errors.Wrapf(ErrRange, "the slack of quotas is %v, must be above 0 and at most 1e9", slack)
	}
	return Bound{window: window, overshoot: overshoot, slack: slack}, nil
}

// Window returns the time over which requests are counted.
func (b Bound) Window() time.Duration { return cmp.Or(b.window, DefaultWindow) }

// Overshoot returns the part by which a limit may be exceeded within a window.
func (b Bound) Overshoot() float64 { return cmp.Or(b.overshoot, DefaultOvershoot) }

// Slack returns how many requests more may pass within a window.
func (b Bound) Slack() float64 { return cmp.Or(b.slack, DefaultSlack) }

// Quota returns how many requests a limit allows within a window.
func (b Bound) Quota(rate, burst float64) float64 { return rate*b.Window().Seconds() + burst }

// Limit returns how many requests may pass within a window, overshoot and slack included.
func (b Bound) Limit(rate, burst float64) float64 {
	return b.Quota(rate, burst)*(1+b.Overshoot()) + b.Slack()
}
