package rank_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/rank"
)

// program is a chain of turns that a user waits for.
type program struct {
	priority int
	turns    int
	// run is the time of one turn on an engine, aim when the whole should end.
	run time.Duration
	aim time.Duration
	// done counts ended turns.
	done int
	// worth is what it earns in time; late it earns a tenth.
	worth float64
}

// step is a turn that is to be queued or that ends.
type step struct {
	at      time.Duration
	program *program
	ends    bool
}

type agenda []step

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(step)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	s := (*a)[last]
	*a = (*a)[:last]
	return s
}

const (
	slots = 72
	pause = 24 * time.Millisecond
)

// burst is the bad seconds of a day at the yards: 26 programs a second of two
// kinds, and peak of them a second from the second to the sixth.
func burst(seed uint64, peak float64) agenda {
	random := rand.New(rand.NewPCG(seed, 1))
	var a agenda
	for at := time.Duration(0); at < 10*time.Second; {
		rate := 26.0
		if at > 2*time.Second && at < 6*time.Second {
			rate = peak
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		p := &program{priority: 1, turns: 1 + random.IntN(7), run: 220 * time.Millisecond, worth: 3}
		stretch := 1.4
		if random.IntN(4) == 0 {
			p.priority, p.turns, p.worth, stretch = 0, 5+random.IntN(13), 10, 1.2
		}
		ideal := time.Duration(p.turns) * (p.run + pause)
		p.aim = at + time.Duration(stretch*float64(ideal)) + 200*time.Millisecond
		a = append(a, step{at: at, program: p})
	}
	heap.Init(&a)
	return a
}

// play serves a burst with slots engines in the order of better, and returns the
// share of the worth that was earned.
func play(a agenda, better func(now time.Duration, p, q *program) bool) float64 {
	free := slots
	var waiting []*program
	earned, owed := 0.0, 0.0
	for a.Len() > 0 {
		s := heap.Pop(&a).(step)
		p := s.program
		switch {
		case !s.ends:
			waiting = append(waiting, p)
		default:
			free++
			if p.done++; p.done < p.turns {
				heap.Push(&a, step{at: s.at + pause, program: p})
				break
			}
			owed += p.worth
			if s.at <= p.aim {
				earned += p.worth
			} else {
				earned += p.worth / 10
			}
		}
		for free > 0 && len(waiting) > 0 {
			best := 0
			for i := range waiting {
				if better(s.at, waiting[i], waiting[best]) {
					best = i
				}
			}
			next := waiting[best]
			waiting = append(waiting[:best], waiting[best+1:]...)
			free--
			heap.Push(&a, step{at: s.at + next.run, program: next, ends: true})
		}
	}
	return earned / owed
}

func urgency(now time.Duration, p *program) int {
	return rank.Urgency(rank.Turn{Priority: p.priority, Begins: p.done == 0, Late: now >= p.aim})
}

// mean plays five bursts.
func mean(peak float64, better func(now time.Duration, p, q *program) bool) float64 {
	sum := 0.0
	for seed := range uint64(5) {
		sum += play(burst(seed, peak), better)
	}
	return sum / 5
}

// The peak of 100 a second is some one and a half times what the engines bear; 70
// is just beyond it. The sites ask for 0.49 of the worth on days of high load.
func TestRanksKeepTheFloorInABurst(t *testing.T) {
	g := gomega.NewWithT(t)
	inOrder := func(time.Duration, *program, *program) bool { return false }
	ranked := func(now time.Duration, p, q *program) bool { return urgency(now, p) < urgency(now, q) }
	const floor, noise = 0.49, 0.03
	for _, peak := range []float64{70, 85, 100, 120} {
		t.Logf("peak %.0f: in order of arrival %.3f, ranked %.3f", peak, mean(peak, inOrder), mean(peak, ranked))
	}
	g.Expect(mean(100, inOrder)).To(gomega.BeNumerically("<", floor), "the replay is a bad one")
	g.Expect(mean(100, ranked)).To(gomega.BeNumerically(">", floor))
	g.Expect(mean(70, ranked)).To(gomega.BeNumerically(">", mean(70, inOrder)-noise), "little is lost where little waits")
}

func TestRanksAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(rank.Urgency(rank.Turn{})).To(gomega.Equal(0))
	g.Expect(rank.Urgency(rank.Turn{Priority: 9, Begins: true, Late: true})).To(gomega.Equal(9))
	g.Expect(rank.Urgency(rank.Turn{Late: true})).To(gomega.BeNumerically(">", rank.Urgency(rank.Turn{Priority: 1, Begins: true})))
}
