package hedge_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/hedge"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against hedges before the service is known, and against a share that rounding
// or bursts exceed.
func TestHedgesNeedAFullWindowAndStayWithinTheirShare(t *testing.T) {
	g := NewWithT(t)
	h := hedge.New(hedge.ModelCalls(true))
	for i := range 200 {
		_, known := h.Delay(start, "s", time.Second)
		g.Expect(known).To(BeFalse())
		h.Observe(start, "s", time.Duration(i+1)*time.Second/100, time.Second)
	}
	after, known := h.Delay(start, "s", time.Second)
	g.Expect(known).To(BeTrue())
	g.Expect(after).To(BeNumerically(">", 2*time.Second))
	allowed := 0
	for i := range 100_000 {
		h.AddCall()
		if h.Take(start, "other", hedge.Capacity{}) == hedge.Allowed {
			allowed++
		}
		g.Expect(allowed).To(BeNumerically("<=", (i+1)*3/100))
	}
	g.Expect(allowed).To(Equal(3000))
}

// Guards against a sum over gates that exceeds the share, and against saved credits that
// many gates spend in one moment. Hedges are wanted at random calls.
func TestTheShareHoldsOverAllGates(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, share := range []int{0, 1, 7, 50, 1000} {
		gates := make([]*hedge.Hedger, 75)
		for i := range gates {
			gates[i] = hedge.New(hedge.PlainCalls(float64(share) / 1000))
		}
		hedges, burst := 0, 0
		for calls := 1; calls <= 50_000; calls++ {
			h := gates[random.IntN(len(gates))]
			h.AddCall()
			if random.IntN(10) == 0 && h.Take(start, "s", hedge.Capacity{}) == hedge.Allowed {
				hedges++
			}
			g.Expect(hedges * 1000).To(BeNumerically("<=", calls*share))
		}
		for _, h := range gates {
			for h.Take(start, "s", hedge.Capacity{}) == hedge.Allowed {
				burst++
			}
		}
		g.Expect(burst).To(BeNumerically("<=", 2*len(gates)))
	}
}

// Guards against extra calls sent for another reason that hedges add to, and against a
// debt that stops hedges for long.
func TestHedgesGiveWayToOtherExtraCalls(t *testing.T) {
	g := NewWithT(t)
	h := hedge.New(hedge.PlainCalls(0.5))
	for range 10 {
		h.Spend()
	}
	for range 5 {
		h.AddCall()
		g.Expect(h.Take(start, "s", hedge.Capacity{})).To(Equal(hedge.Limit))
	}
	h.AddCall()
	g.Expect(h.Take(start, "s", hedge.Capacity{})).To(Equal(hedge.Allowed))
	h.Return()
	g.Expect(h.Take(start, "s", hedge.Capacity{})).To(Equal(hedge.Allowed))
}

// Guards against copies that make an overload worse, and against a suspension that stays.
func TestHedgesAreSuspended(t *testing.T) {
	g := NewWithT(t)
	h := hedge.New(hedge.PlainCalls(1))
	h.AddCall()
	h.AddCall()
	now := start
	observe := func(n int, took time.Duration) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			h.Observe(now, "s", took, time.Millisecond)
		}
	}
	observe(100, 20*time.Millisecond)
	g.Expect(h.Take(now, "s", hedge.Capacity{Running: 8, Slots: 10})).To(Equal(hedge.Overload))
	observe(6, 200*time.Millisecond)
	g.Expect(h.Take(now, "s", hedge.Capacity{Running: 7, Slots: 10})).To(Equal(hedge.Allowed), "a slow endpoint")
	observe(6, 200*time.Millisecond)
	g.Expect(h.Take(now, "s", hedge.Capacity{Running: 7, Slots: 10})).To(Equal(hedge.Slowdown))
	g.Expect(h.Take(now.Add(6*time.Second), "s", hedge.Capacity{Running: 7, Slots: 10})).To(Equal(hedge.Allowed))
}

// Guards against a delay that follows the slow answers of one endpoint in five, against one
// that cancelled calls lower, and against one that outlives its answers.
func TestTheDelayFollowsRecentAnswers(t *testing.T) {
	g := NewWithT(t)
	h := hedge.New(hedge.PlainCalls(0.03))
	now := start
	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		took := 20 * time.Millisecond
		if i%5 == 0 {
			took = time.Second
		}
		h.Observe(now, "s", took, time.Millisecond)
		h.ObserveCancelled(now, "s", time.Millisecond, time.Millisecond)
	}
	delay, known := h.Delay(now, "s", time.Millisecond)
	g.Expect(known).To(BeTrue())
	g.Expect(delay).To(BeNumerically("~", 40*time.Millisecond, time.Millisecond))
	_, known = h.Delay(now.Add(31*time.Second), "s", time.Millisecond)
	g.Expect(known).To(BeFalse())
	_, known = hedge.New(hedge.PlainCalls(0)).Delay(now, "s", time.Millisecond)
	g.Expect(known).To(BeFalse())
}

func TestSharesOutsideZeroToOneAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, share := range []float64{-0.01, 1.01, math.NaN(), math.Inf(1)} {
		g.Expect(hedge.CheckShare(share)).To(MatchError(hedge.ErrShare))
	}
	g.Expect(hedge.CheckShare(0)).To(Succeed())
	g.Expect(hedge.CheckShare(1)).To(Succeed())
}
