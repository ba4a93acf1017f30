package eject_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/eject"
)

var (
	start = time.Unix(1000, 0)
	pool  = []string{"a", "b", "c", "d"}
)

func fail(j *eject.Judge, now time.Time, name string) {
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
