// Package gauge (coordination layer) learns how fast the engines of a pool are
// from the calls that a gate has there: how long a call takes, and how much of
// that is spent on reading prompt tokens that are not cached. Load pattern: prompts
// whose shared parts take one pool of engines a sixth of a call to read and
// another pool several calls, so no fixed cost of reading fits both.
package gauge

import "time"

// Sample is what one call has shown.
type Sample struct {
	// Unread is how many prompt tokens were thought not to be cached at the engine.
	Unread int
	// Load is the number of calls at the engine when the call was sent, relative to
	// its slots.
	Load float64
	// FirstEvent is the time to the first event, Total the time to the last.
	FirstEvent, Total time.Duration
}

// Speed is what a pool's engines take.
type Speed struct {
	// Call is how long a typical call takes at an idle engine, without reading.
	Call time.Duration
	// ReadToken is how much longer a call takes for each token thought not to be
	// cached.
	ReadToken time.Duration
}

const (
	// priorCall and priorRead are the speed of engines that are not known yet: of a
	// mid-sized model on one accelerator.
	priorCall = 150 * time.Millisecond
	priorRead = 8 * time.Microsecond
	// priorWeight is how many calls of a thousand unread tokens the prior counts as.
	priorWeight = 20
	// memory is how many calls are remembered, about. Engines are replaced within
	// minutes, and a gate has a hundred calls a second at its busiest.
	memory = 1000
	// maxFirstEvent bounds a sample, because a stalled engine says nothing about
	// reading.
	maxFirstEvent = 2 * time.Second
	// features counts the features of a sample: a constant, the load and the unread
	// tokens.
	features = 3
)

// Gauge learns one pool's speed by least squares over the recent calls. It is not
// safe for concurrent use.
type Gauge struct {
	// products and targets are the sums of the normal equations, in milliseconds and
	// thousands of tokens, with older calls weighing less.
	products [features][features]float64
	targets  [features]float64
	// callSeconds is the moving average of a call's time without reading, divided by
	// what the load makes of it.
	callSeconds float64
	calls       int
	// speed is the result as of the last refresh.
	speed Speed
}

// New returns a Gauge that knows nothing but the prior.
func New() *Gauge {
	return &Gauge{callSeconds: priorCall.Seconds(), speed: Speed{Call: priorCall, ReadToken: priorRead}}
}

// refreshEvery is how many calls pass between two solutions of the equations.
const refreshEvery = 16

// Add learns from a call.
func (g *Gauge) Add(s Sample) {
	if s.FirstEvent <= 0 || s.FirstEvent > maxFirstEvent || s.Total < s.FirstEvent {
		return
	}
	x := [features]float64{1, s.Load, float64(s.Unread) / 1000}
	y := float64(s.FirstEvent) / float64(time.Millisecond)
	const keep = 1 - 1.0/memory
	for i := range features {
		for j := range features {
			g.products[i][j] = keep*g.products[i][j] + x[i]*x[j]
		}
		g.targets[i] = keep*g.targets[i] + x[i]*y
	}
	rest := max(0, s.Total-time.Duration(s.Unread)*g.speed.ReadToken)
	g.callSeconds += (rest.Seconds()/(1+s.Load) - g.callSeconds) / priorWeight
	if g.calls++; g.calls%refreshEvery == 0 {
		g.speed = Speed{Call: time.Duration(g.callSeconds * float64(time.Second)), ReadToken: g.solve()}
	}
}

// Speed returns the pool's speed.
func (g *Gauge) Speed() Speed { return g.speed }

// solve returns the time per unread token: the solution of the normal equations with
// the prior added, by elimination, and never below 0.
func (g *Gauge) solve() time.Duration {
	a, b := g.products, g.targets
	const priorPerThousand = float64(1000*priorRead) / float64(time.Millisecond)
	a[2][2] += priorWeight
	b[2] += priorWeight * priorPerThousand
	a[0][0] += 1e-6 // a pool whose calls are all alike has no unique solution
	a[1][1] += 1e-6
	for i := range features {
		for j := i + 1; j < features; j++ {
			factor := a[j][i] / a[i][i]
			for k := i; k < features; k++ {
				a[j][k] -= factor * a[i][k]
			}
			b[j] -= factor * b[i]
		}
	}
	perThousand := max(0, b[2]/a[2][2])
	return time.Duration(perThousand / 1000 * float64(time.Millisecond))
}
