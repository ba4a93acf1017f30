package eject_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/eject"
)

var (
	start = time.Unix(1000, 0)
	pool  = []string{"a", "b", "c", "d"}
)

func fail(d *eject.Detector, now time.Time, name string) {
	for range 3 {
		d.Fail(now, name, pool)
	}
}

func TestNeverMoreThanHalfOfAPool(t *testing.T) {
	g := NewWithT(t)
	d := eject.New()
	ejected := 0
	for _, n := range pool {
		fail(d, start, n)
		if d.Ejected(start, n) {
			ejected++
		}
	}
	g.Expect(ejected).To(Equal(2))
}

func TestLastEndpointIsNeverEjected(t *testing.T) {
	g := NewWithT(t)
	d := eject.New()
	for range 9 {
		d.Fail(start, "a", []string{"a"})
	}
	g.Expect(d.Ejected(start, "a")).To(BeFalse())
}

func TestSlowStartAndDoubling(t *testing.T) {
	g := NewWithT(t)
	d := eject.New()
	fail(d, start, "a")
	g.Expect(d.Share(start, "a")).To(BeZero())
	back := start.Add(2 * time.Second)
	g.Expect(d.Share(back, "a")).To(BeNumerically("~", 0.1, 0.01))
	g.Expect(d.Share(back.Add(5*time.Second), "a")).To(BeNumerically("==", 1))
	fail(d, back, "a")
	g.Expect(d.Ejected(back.Add(3*time.Second), "a")).To(BeTrue())
	d.Succeed("a")
	later := back.Add(time.Minute)
	fail(d, later, "a")
	g.Expect(d.Ejected(later.Add(3*time.Second), "a")).To(BeFalse())
}

// Sixteen gates send turns to ten endpoints, one of which breaks off every
// turn at once. A single gate needs three failures in a row to eject it. With
// shared failure counts all gates avoid it after a few.
func TestSharedFailureCountsEjectSooner(t *testing.T) {
	g := NewWithT(t)
	const gates, turns = 16, 2000
	pool := []string{"bad", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	lostTurns := func(shareCounts bool) int {
		random := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(0, 0)
		var detectors []*eject.Detector
		for range gates {
			detectors = append(detectors, eject.New())
		}
		good, bad, failed := 0, 0, 0
		for range turns {
			now = now.Add(time.Millisecond)
			d := detectors[random.IntN(gates)]
			if shareCounts && eject.Failing(good, bad) {
				d.EjectByReports(now, "bad", pool)
			}
			name := pool[random.IntN(len(pool))]
			switch {
			case d.Ejected(now, name):
			case name == "bad":
				bad++
				failed++
				d.Fail(now, name, pool)
			default:
				d.Succeed(name)
			}
		}
		return failed
	}
	alone, shared := lostTurns(false), lostTurns(true)
	t.Logf("%d turns lost without shared counts, %d with", alone, shared)
	g.Expect(shared).To(BeNumerically("<=", 6))
	g.Expect(alone).To(BeNumerically(">", 4*shared))
	g.Expect(eject.Failing(40, 6)).To(BeFalse(), "more successes than failures")
	g.Expect(eject.Failing(0, 3)).To(BeFalse(), "too few failures, they may be one gate's alone")
}
