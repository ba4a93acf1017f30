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

func fail(j *eject.Detector, now time.Time, name string) {
	for range 3 {
		j.Fail(now, name, pool)
	}
}

func TestNeverMoreThanHalfOfAPool(t *testing.T) {
	g := NewWithT(t)
	j := eject.New()
	out := 0
	for _, n := range pool {
		fail(j, start, n)
		if j.Ejected(start, n) {
			out++
		}
	}
	g.Expect(out).To(Equal(2))
}

func TestLastEndpointIsNeverEjected(t *testing.T) {
	g := NewWithT(t)
	j := eject.New()
	for range 9 {
		j.Fail(start, "a", []string{"a"})
	}
	g.Expect(j.Ejected(start, "a")).To(BeFalse())
}

func TestSlowStartAndDoubling(t *testing.T) {
	g := NewWithT(t)
	j := eject.New()
	fail(j, start, "a")
	g.Expect(j.Share(start, "a")).To(BeZero())
	back := start.Add(2 * time.Second)
	g.Expect(j.Share(back, "a")).To(BeNumerically("~", 0.1, 0.01))
	g.Expect(j.Share(back.Add(5*time.Second), "a")).To(BeNumerically("==", 1))
	fail(j, back, "a")
	g.Expect(j.Ejected(back.Add(3*time.Second), "a")).To(BeTrue())
	j.Succeed("a")
	later := back.Add(time.Minute)
	fail(j, later, "a")
	g.Expect(j.Ejected(later.Add(3*time.Second), "a")).To(BeFalse())
}

// Sixteen gates send turns to ten endpoints, one of which breaks off at once what it
// takes. Each gate by itself needs three failures in a row; told of what the others
// saw, all keep away after a few.
func TestGatesTogetherFindAFailingEndpointSooner(t *testing.T) {
	g := NewWithT(t)
	const gates, turns = 16, 2000
	pool := []string{"bad", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	lost := func(together bool) int {
		random := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(0, 0)
		var judges []*eject.Detector
		for range gates {
			judges = append(judges, eject.New())
		}
		good, bad, failed := 0, 0, 0
		for range turns {
			now = now.Add(time.Millisecond)
			j := judges[random.IntN(gates)]
			if together && eject.Failing(good, bad) {
				j.EjectByReports(now, "bad", pool)
			}
			name := pool[random.IntN(len(pool))]
			switch {
			case j.Ejected(now, name):
			case name == "bad":
				bad++
				failed++
				j.Fail(now, name, pool)
			default:
				j.Succeed(name)
			}
		}
		return failed
	}
	alone, together := lost(false), lost(true)
	t.Logf("%d turns lost by gates alone, %d together", alone, together)
	g.Expect(together).To(BeNumerically("<=", 6))
	g.Expect(alone).To(BeNumerically(">", 4*together))
	g.Expect(eject.Failing(40, 6)).To(BeFalse(), "some answers are lost on the way")
	g.Expect(eject.Failing(0, 3)).To(BeFalse(), "one gate alone")
}
