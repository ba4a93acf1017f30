package hedge_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/hedge"
)

// scene is one replayed minute of a service: eight endpoints with six slots each, three
// gates, calls of about 20 ms with a long but thin tail.
type scene struct {
	name string
	// perSecond is the load over all gates at a moment, from 0 to one minute.
	perSecond func(at time.Duration) float64
	// factor is how much longer a call takes that begins at an endpoint at a moment.
	factor func(at time.Duration, endpoint int, random *rand.Rand) float64
}

const (
	replayLength    = time.Minute
	replayGates     = 3
	replayEndpoints = 8
	replaySlots     = 6
	reportEvery     = 100 * time.Millisecond
	// burstLoad is 1.5 times the calls a second that all slots can run.
	burstLoad = 3600
)

func steady(time.Duration) float64 { return 400 }

func sound(time.Duration, int, *rand.Rand) float64 { return 1 }

func between(at, from, to time.Duration) bool { return at >= from && at < to }

// scenes are slow tails and overloads. 400 calls a second take a sixth of the slots.
var scenes = []scene{
	{"sound", steady, sound},
	{"grey endpoint", steady, func(_ time.Duration, e int, r *rand.Rand) float64 {
		if e == 0 && r.IntN(5) == 0 {
			return 25 // one call in five
		}
		return 1
	}},
	{"slow endpoint", steady, func(at time.Duration, e int, _ *rand.Rand) float64 {
		if e == 0 && between(at, 20*time.Second, 50*time.Second) {
			return 8
		}
		return 1
	}},
	{"all slow", steady, func(at time.Duration, _ int, _ *rand.Rand) float64 {
		if between(at, 20*time.Second, 40*time.Second) {
			return 4
		}
		return 1
	}},
	{"burst", func(at time.Duration) float64 {
		if between(at, 20*time.Second, 30*time.Second) {
			return burstLoad
		}
		return 400
	}, sound},
}

// replay plays scenes in virtual time.
type replay struct {
	scene scene
	// arrivals draws the calls and the work of their first attempts, random all else, so
	// that runs with different shares play the same calls.
	arrivals, random *rand.Rand
	now              time.Duration
	events           events
	hedgers          []*hedge.Hedger
	// running and waiting are the calls of each endpoint; known is what gates see of
	// running, taken at each report.
	running, known []int
	waiting        [][]*attempt
	calls, hedges  int
	// busyHedges counts the hedges sent while more calls ran than there are slots.
	busyHedges int
	took       []time.Duration
}

type call struct {
	at   time.Duration
	gate int
	done bool
	sent []*attempt
	// work is how long the first attempt takes at a sound endpoint, in milliseconds.
	work float64
}

type attempt struct {
	call     *call
	endpoint int
	began    time.Duration
	ended    bool
	runs     bool
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.events, event{r.now + d, do}) }

func (r *replay) clock() time.Time { return start.Add(r.now) }

func play(s scene, share float64, seed uint64) *replay {
	r := &replay{
		scene: s, arrivals: rand.New(rand.NewPCG(seed, 0)), random: rand.New(rand.NewPCG(seed, 1)), running: make([]int, replayEndpoints), known: make([]int, replayEndpoints),
		waiting: make([][]*attempt, replayEndpoints),
	}
	for range replayGates {
		r.hedgers = append(r.hedgers, hedge.New(hedge.PlainCalls(share)))
	}
	r.after(0, r.arrive)
	r.after(0, r.report)
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	slices.Sort(r.took)
	return r
}

func (r *replay) report() {
	for i := range r.known {
		r.known[i] = r.running[i] + len(r.waiting[i])
	}
	if r.now < replayLength {
		r.after(reportEvery, r.report)
	}
}

func (r *replay) arrive() {
	if r.now >= replayLength {
		return
	}
	r.after(time.Duration(r.arrivals.ExpFloat64()/r.scene.perSecond(r.now)*float64(time.Second)), r.arrive)
	c := &call{at: r.now, gate: r.arrivals.IntN(replayGates), work: 15 + 5*r.arrivals.ExpFloat64()}
	h := r.hedgers[c.gate]
	r.calls++
	h.AddCall()
	r.send(c, r.pick(-1))
	if delay, known := h.Delay(r.clock(), "s", time.Millisecond); known {
		r.after(delay, func() { r.late(c, delay) })
	}
}

// late hedges a call that has no answer, or tries again after the same delay.
func (r *replay) late(c *call, delay time.Duration) {
	if c.done || len(c.sent) > 1 {
		return
	}
	load := hedge.Capacity{Slots: replayEndpoints * replaySlots}
	running := 0
	for i, n := range r.known {
		load.Running += n
		running += r.running[i] + len(r.waiting[i])
	}
	if r.hedgers[c.gate].Take(r.clock(), "s", load) != hedge.Allowed {
		r.after(delay, func() { r.late(c, delay) })
		return
	}
	r.hedges++
	if running > load.Slots {
		r.busyHedges++
	}
	r.send(c, r.pick(c.sent[0].endpoint))
}

// pick returns the better of two endpoints by the last report.
func (r *replay) pick(excluded int) int {
	best := -1
	for range 2 {
		e := r.random.IntN(replayEndpoints)
		for e == excluded {
			e = r.random.IntN(replayEndpoints)
		}
		if best < 0 || r.known[e] < r.known[best] {
			best = e
		}
	}
	return best
}

func (r *replay) send(c *call, endpoint int) {
	a := &attempt{call: c, endpoint: endpoint, began: r.now}
	c.sent = append(c.sent, a)
	r.waiting[endpoint] = append(r.waiting[endpoint], a)
	r.start(endpoint)
}

// start runs waiting calls at an endpoint while it has free slots.
func (r *replay) start(e int) {
	for len(r.waiting[e]) > 0 && r.running[e] < replaySlots {
		a := r.waiting[e][0]
		r.waiting[e] = r.waiting[e][1:]
		a.runs = true
		r.running[e]++
		work := a.call.work
		if a != a.call.sent[0] {
			work = 15 + 5*r.random.ExpFloat64()
		}
		r.after(time.Duration(work*r.scene.factor(r.now, e, r.random)*float64(time.Millisecond)), func() { r.end(a, true) })
	}
}

// end ends an attempt that was answered or cancelled.
func (r *replay) end(a *attempt, answered bool) {
	if a.ended {
		return
	}
	a.ended = true
	if a.runs {
		r.running[a.endpoint]--
	} else {
		r.waiting[a.endpoint] = slices.DeleteFunc(r.waiting[a.endpoint], func(o *attempt) bool { return o == a })
	}
	h, took := r.hedgers[a.call.gate], r.now-a.began
	if answered {
		h.Observe(r.clock(), "s", took, time.Millisecond)
		a.call.done = true
		r.took = append(r.took, r.now-a.call.at)
		for _, other := range a.call.sent {
			r.end(other, false)
		}
	} else {
		h.ObserveCancelled(r.clock(), "s", took, time.Millisecond)
	}
	r.start(a.endpoint)
}

func (r *replay) quantile(q float64) time.Duration {
	return r.took[int(q*float64(len(r.took)-1))].Round(time.Millisecond)
}

// Replays slow tails with and without hedging, and prints extra work and quantiles. Guards
// against hedging that costs more than its share, feeds an overload or gains nothing.
func TestReplaysOfSlowTails(t *testing.T) {
	for _, s := range scenes {
		t.Run(s.name, func(t *testing.T) {
			g := NewWithT(t)
			runs := map[float64]*replay{}
			for _, share := range []float64{0, 0.01, 0.02, 0.03, 0.05, 0.1} {
				r := play(s, share, 1)
				runs[share] = r
				t.Logf("share %.2f: calls %d, extra %.4f, while full %d, p50 %v, p99 %v, p99.9 %v", share, r.calls,
					float64(r.hedges)/float64(r.calls), r.busyHedges, r.quantile(0.5), r.quantile(0.99), r.quantile(0.999))
				g.Expect(float64(r.hedges)).To(BeNumerically("<=", share*float64(r.calls)))
				// Until the next report of the load, gates may spend what they saved and what
				// the calls of that time add.
				unseen := 2*replayGates + share*reportEvery.Seconds()*burstLoad
				g.Expect(float64(r.busyHedges)).To(BeNumerically("<=", unseen))
			}
			without, with := runs[0], runs[hedge.SuggestedShare]
			g.Expect(with.quantile(0.5)).To(BeNumerically("<=", without.quantile(0.5)+max(time.Millisecond, without.quantile(0.5)/100)))
			switch s.name {
			case "grey endpoint":
				g.Expect(with.quantile(0.99)).To(BeNumerically("<", without.quantile(0.99)/2))
				g.Expect(with.quantile(0.999)).To(BeNumerically("<", without.quantile(0.999)/2))
			case "slow endpoint":
				g.Expect(with.quantile(0.999)).To(BeNumerically("<=", without.quantile(0.999)))
			default:
				g.Expect(with.quantile(0.99)).To(BeNumerically("<=", without.quantile(0.99)+without.quantile(0.99)/10))
			}
		})
	}
}
