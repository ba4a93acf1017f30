package cutoff_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/cutoff"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestAGateIsCutOffIfNoEndpointCanBeReached(t *testing.T) {
	g := gomega.NewWithT(t)
	d := cutoff.New()
	g.Expect(d.ProbeDue(epoch)).To(gomega.BeFalse())
	g.Expect(d.Fail(epoch, epoch, "a", false, 8)).To(gomega.BeFalse())
	g.Expect(d.Fail(epoch, epoch, "a", false, 8)).To(gomega.BeFalse(), "the same endpoint again")
	g.Expect(d.ProbeDue(epoch)).To(gomega.BeTrue())
	g.Expect(d.ProbeDue(epoch.Add(100 * time.Millisecond))).To(gomega.BeFalse())
	g.Expect(d.Fail(epoch, epoch, "b", true, 8)).To(gomega.BeFalse())
	g.Expect(d.Fail(epoch, epoch, "c", false, 8)).To(gomega.BeTrue())
	g.Expect(d.Fail(epoch, epoch, "d", false, 8)).To(gomega.BeFalse(), "no news")
	g.Expect([]bool{d.Cut(), d.Silent()}).To(gomega.Equal([]bool{true, true}))
	g.Expect(d.ProbeDue(epoch.Add(time.Second))).To(gomega.BeTrue(), "it ends only by a success")
	g.Expect(d.Succeed(epoch)).To(gomega.BeTrue())
	g.Expect(d.Succeed(epoch)).To(gomega.BeFalse())
	g.Expect([]bool{d.Cut(), d.Silent()}).To(gomega.Equal([]bool{false, false}))
}

// Some endpoints crash, others are reached. The gate is not cut off.
func TestCrashedEndpointsAreNoCut(t *testing.T) {
	g := gomega.NewWithT(t)
	d := cutoff.New()
	for i := range 30 {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		g.Expect(d.Fail(now, now, fmt.Sprint(i%2), true, 8)).To(gomega.BeFalse())
		g.Expect(d.Succeed(epoch)).To(gomega.BeFalse())
	}
}

// Failures that lie far apart are not one cut.
func TestOldFailuresDoNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	d := cutoff.New()
	for i := range 10 {
		now := epoch.Add(time.Duration(i) * 1500 * time.Millisecond)
		g.Expect(d.Fail(now, now, fmt.Sprint(i), false, 8)).To(gomega.BeFalse())
	}
}

// Connects that began during a cut time out after its end.
func TestFailuresOfConnectsFromBeforeTheEndDoNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	d := cutoff.New()
	d.Succeed(epoch.Add(time.Second))
	for i := range 10 {
		g.Expect(d.Fail(epoch.Add(1100*time.Millisecond), epoch.Add(900*time.Millisecond), fmt.Sprint(i), true, 8)).To(gomega.BeFalse())
	}
}

func TestTheOnlyEndpointsCount(t *testing.T) {
	g := gomega.NewWithT(t)
	d := cutoff.New()
	g.Expect(d.Fail(epoch, epoch, "a", true, 2)).To(gomega.BeFalse())
	g.Expect(d.Fail(epoch, epoch, "b", true, 2)).To(gomega.BeTrue())
}
