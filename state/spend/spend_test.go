package spend_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/state/spend"
)

type fact struct {
	turn  string
	entry spend.Entry
}

func facts(t *rapid.T) []fact {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fact {
		settled := rapid.Bool().Draw(t, "settled")
		f := fact{turn: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "turn")}
		if settled {
			f.entry = spend.Entry{Used: rapid.IntRange(0, 9).Draw(t, "used"), Settled: true}
		} else {
			f.entry = spend.Entry{MaxTokens: 10}
		}
		return f
	}), 1, 20).Draw(t, "facts")
}

// Copies hear facts in different orders and more than once; they must agree.
func TestTheOrderOfFactsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		heard := facts(t)
		one, other := spend.New(), spend.New()
		for _, f := range heard {
			one.Merge(f.turn, f.entry)
		}
		for _, i := range rapid.Permutation(indexes(len(heard))).Draw(t, "order") {
			other.Merge(heard[i].turn, heard[i].entry)
			other.Merge(heard[i].turn, heard[i].entry)
		}
		g.Expect(other.TotalExcept("none")).To(gomega.Equal(one.TotalExcept("none")))
	})
}

// A settled turn never goes back to its most, and one that is in doubt counts
// at its most.
func TestWhatIsInDoubtCountsAtItsMost(t *testing.T) {
	g := gomega.NewWithT(t)
	a := spend.New()
	a.Merge("a", spend.Entry{MaxTokens: 100})
	g.Expect(a.Allows("b", 50, 149)).To(gomega.BeFalse())
	g.Expect(a.Allows("b", 50, 150)).To(gomega.BeTrue())
	a.Merge("a", spend.Entry{Used: 10, Settled: true})
	a.Merge("a", spend.Entry{MaxTokens: 100})
	g.Expect(a.TotalExcept("b")).To(gomega.Equal(10))
	g.Expect(a.Allows("a", 150, 150)).To(gomega.BeTrue(), "a turn does not count against itself")
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// Whatever each copy holds: if the sums say that the budget holds one more turn, it
// does for all that the copies hold together.
func TestSumsNeverAllowWhatTheCopiesTogetherDoNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		union := spend.New()
		copies := []*spend.Account{spend.New(), spend.New(), spend.New()}
		for i := range rapid.IntRange(0, 12).Draw(t, "turns") {
			e := spend.Entry{Used: rapid.IntRange(0, 9).Draw(t, "used"), Settled: true}
			id := fmt.Sprint(i)
			union.Merge(id, e)
			for n, c := range copies {
				if rapid.Bool().Draw(t, fmt.Sprint("at ", n)) {
					c.Merge(id, e)
				} else if n == i%3 {
					c.Merge(id, spend.Entry{MaxTokens: 9})
				}
			}
		}
		together := spend.New()
		var sums []spend.Summary
		for _, c := range copies {
			sums = append(sums, c.Summarize("new"))
			for id, e := range c.Entries() {
				together.Merge(id, e)
			}
		}
		budget := rapid.IntRange(0, 120).Draw(t, "budget")
		if spend.SummariesAllow(sums, 9, budget) {
			g.Expect(together.Allows("new", 9, budget)).To(gomega.BeTrue(), "%v", sums)
		}
	})
}
