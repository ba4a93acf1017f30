// Package pace (coordination layer) learns how long work takes, to tell early
// that a call cannot make its deadline.
package pace

import "time"

// Estimator is a moving average of the time that a unit of work takes.
type Estimator struct {
	// unit is the average time per unit, in seconds; 0 until the first observation.
	unit float64
}

// weight is the part that a new observation has in the average.
const weight = 0.05

// Observe notes work that took some time. Work without units is ignored.
func (p *Estimator) Observe(units int, took time.Duration) {
	if units <= 0 || took < 0 {
		return
	}
	u := took.Seconds() / float64(units)
	if p.unit == 0 {
		p.unit = u
		return
	}
	p.unit += weight * (u - p.unit)
}

// Estimate returns how long the units will take, 0 while nothing is known.
func (p *Estimator) Estimate(units int) time.Duration {
	return time.Duration(p.unit * float64(units) * float64(time.Second))
}
