package tally_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/state/tally"
)

// Whatever was told in whatever order, the sums are those of what each sender
// said last.
func TestOthersAreTheSumsOfWhatWasToldLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		now := time.Unix(0, 0)
		y := tally.New()
		last := map[string]map[string]int{}
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			sender := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "sender"))
			calls := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.IntRange(1, 9), 0, 3).Draw(t, "calls")
			now = now.Add(time.Millisecond)
			y.Update(now, sender, calls)
			last[sender] = calls
		}
		want := map[string]int{}
		for sender, calls := range last {
			for endpoint, n := range calls {
				if sender != "0" {
					want[endpoint] += n
				}
			}
		}
		g.Expect(y.TotalsExcept("0")).To(gomega.Equal(want))
	})
}

func TestASenderThatFallsSilentIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	y := tally.New()
	y.Update(now, "gone", map[string]int{"a": 5})
	y.Update(now.Add(time.Second), "here", map[string]int{"a": 1})
	g.Expect(y.TotalsExcept("me")).To(gomega.Equal(map[string]int{"a": 6}))
	y.Update(now.Add(2500*time.Millisecond), "here", map[string]int{"a": 2})
	g.Expect(y.TotalsExcept("me")).To(gomega.Equal(map[string]int{"a": 2}))
}
