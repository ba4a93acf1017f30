package blame_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/state/blame"
)

var start = time.Unix(1000, 0)

func crash(n int) blame.Crash { return blame.Crash{Endpoint: fmt.Sprint("e", n), StartedAt: 1} }

// at returns the time n seconds after the start.
func at(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }

// addCrash reports that contents ran at the nth crash, in the nth second.
func addCrash(b *blame.Blame, n int, contents ...string) {
	for _, content := range contents {
		b.AddCrash(at(n), at(n), content, "", crash(n))
	}
	b.Decide(at(n).Add(100 * time.Millisecond))
}

func TestTheThirdCrashBlocksForABoundedTime(t *testing.T) {
	g := gomega.NewWithT(t)
	b := blame.New(blame.Crashes)
	addCrash(b, 1, "x")
	addCrash(b, 2, "x")
	addCrash(b, 2, "x") // reported again
	g.Expect(b.BlockLeft(at(2), "x")).To(gomega.BeZero())
	addCrash(b, 3, "x")
	g.Expect(b.BlockLeft(at(4), "x")).To(gomega.BeNumerically("~", blame.BlockTime, time.Second))
	g.Expect(b.BlockLeft(at(4).Add(blame.BlockTime), "x")).To(gomega.BeZero())
	addCrash(b, 5+int(blame.BlockTime.Seconds()), "x")
	g.Expect(b.BlockLeft(at(6).Add(blame.BlockTime), "x")).To(gomega.BeZero(), "crashes before the block no longer count")
}

// Other requests that happened to run at a crash are not blocked, in whatever order the
// gates' reports arrive, unless they ran at as many crashes as what caused them.
func TestBystandersAreNotBlocked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		b := blame.New(blame.Crashes)
		type report struct {
			content string
			crash   int
		}
		var reports []report
		for n := range blame.Crashes {
			reports = append(reports, report{"cause", n})
			for _, bystander := range []string{"y", "z"} {
				if n > 0 && rapid.Bool().Draw(t, "ran") {
					reports = append(reports, report{bystander, n})
				}
			}
		}
		for _, r := range rapid.Permutation(reports).Draw(t, "order") {
			b.AddCrash(at(9), at(r.crash), r.content, "", crash(r.crash))
		}
		g.Expect(b.Decide(at(10))).To(gomega.Equal([]string{"cause"}))
		g.Expect(b.BlockLeft(at(10), "cause")).NotTo(gomega.BeZero())
		for _, bystander := range []string{"y", "z"} {
			g.Expect(b.BlockLeft(at(10), bystander)).To(gomega.BeZero())
			g.Expect(b.CrashCount(at(10), bystander)).To(gomega.BeZero(), "the cause explains its crashes")
		}
	})
}

func TestTwoThatRanAtTheSameCrashesAreToldApartByTheNext(t *testing.T) {
	g := gomega.NewWithT(t)
	b := blame.New(blame.Crashes)
	for n := range blame.Crashes {
		addCrash(b, n, "x", "y")
	}
	g.Expect(b.BlockLeft(at(3), "x") + b.BlockLeft(at(3), "y")).To(gomega.BeZero())
	addCrash(b, 3, "x")
	g.Expect(b.BlockLeft(at(4), "x")).NotTo(gomega.BeZero())
	g.Expect(b.BlockLeft(at(4), "y")).To(gomega.BeZero())
}

// A request that is sent over and over by its caller ran at many crashes by chance, and
// to its end between them.
func TestAnEndClearsOfEarlierCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	b := blame.New(blame.Crashes)
	for n := range 30 {
		addCrash(b, 2*n, "poll")
		if n%2 == 1 {
			b.AddEnd(at(2*n+1), at(2*n+1), "poll")
		}
		g.Expect(b.BlockLeft(at(2*n), "poll")).To(gomega.BeZero())
	}
	b.AddCrash(at(90), at(58), "poll", "", crash(99))
	g.Expect(b.CrashCount(at(90), "poll")).To(gomega.BeZero(), "a report that is older than the end")
}

// What one process knows reaches others by exchanging verdicts, the newer fact wins.
func TestVerdictsAreMergedByAge(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := blame.New(blame.Crashes), blame.New(blame.SureCrashes)
	g.Expect(a.Verdicts(start)).To(gomega.BeNil())
	g.Expect(a.Revision()).NotTo(gomega.BeZero())
	for n := range blame.Crashes {
		addCrash(a, n, "x")
	}
	g.Expect(b.Merge(at(5), a.Verdicts(at(5)))).To(gomega.Equal([]string{"x"}))
	g.Expect(b.Merge(at(5), a.Verdicts(at(5)))).To(gomega.BeEmpty())
	g.Expect(b.BlockLeft(at(5), "x")).To(gomega.Equal(a.BlockLeft(at(5), "x")))
	known := a.Revision()
	b.AddEnd(at(6), at(6), "x")
	a.Merge(at(7), b.Verdicts(at(7)))
	g.Expect(a.BlockLeft(at(7), "x")).To(gomega.BeZero())
	g.Expect(a.Revision()).NotTo(gomega.Equal(known))
}

func TestContentsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	b := blame.New(blame.Crashes)
	for n := range 6000 {
		addCrash(b, n/100, fmt.Sprint(n))
	}
	b.Verdicts(at(100))
	g.Expect(b.CrashCount(at(100), "0")).To(gomega.BeZero())
	g.Expect(b.CrashCount(at(100), "5999")).To(gomega.Equal(1))
}

// Other contents that are sent to the same target as a blocked one need no more than one
// crash, unless something sent there has run to its end since.
func TestATargetOfABlockedContentIsSuspected(t *testing.T) {
	for _, ended := range []bool{false, true} {
		g := gomega.NewWithT(t)
		b := blame.New(blame.Crashes)
		run := func(n int, content, target string) {
			b.AddCrash(at(n), at(n), content, target, crash(n))
			if n > 0 {
				b.AddCrash(at(n), at(n), "bystander", "elsewhere", crash(n))
			}
			b.Decide(at(n).Add(100 * time.Millisecond))
		}
		for n := range blame.SureCrashes {
			run(n, "x", "t")
		}
		g.Expect(b.Verdicts(at(5)).Targets).To(gomega.HaveKey("t"))
		if ended {
			b.AddEnd(at(5), at(5), "t")
			g.Expect(b.Verdicts(at(5)).Targets).To(gomega.BeEmpty())
		}
		other := blame.New(blame.Crashes)
		other.Merge(at(5), b.Verdicts(at(5)))
		b = other
		run(6, "y", "t")
		g.Expect(b.BlockLeft(at(7), "y") > 0).To(gomega.Equal(!ended))
		g.Expect(b.BlockLeft(at(7), "bystander")).To(gomega.BeZero())
	}
}
