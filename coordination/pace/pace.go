// Package pace (coordination layer) estimates how long work takes, to detect
// early that a call cannot meet its deadline.
package pace

import "time"

// Estimator holds a moving average of the time that a unit of work takes.
type Estimator struct {
	// secondsPerUnit is the average time per unit. It is 0 until the first
	// observation.
	secondsPerUnit float64
}

// smoothing is the weight of a new observation in the average.
const smoothing = 0.05

// Observe adds an observation. Work without units is ignored.
func (p *Estimator) Observe(units int, took time.Duration) {
	if units <= 0 || took < 0 {
		return
	}
	u := took.Seconds() / float64(units)
	if p.secondsPerUnit == 0 {
		p.secondsPerUnit = u
		return
	}
	p.secondsPerUnit += smoothing * (u - p.secondsPerUnit)
}

// Estimate returns how long the units will take, or 0 before the first
// observation.
func (p *Estimator) Estimate(units int) time.Duration {
	return time.Duration(p.secondsPerUnit * float64(units) * float64(time.Second))
}
