package limit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/coordination/limit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRateAndRetry(t *testing.T) {
	g := NewWithT(t)
	x, b := limit.New(), limit.Bound{Rate: 10, Burst: 2}
	g.Expect(x.Acquire(start, "a", b).OK).To(BeTrue())
	g.Expect(x.Acquire(start, "a", b).OK).To(BeTrue())
	g.Expect(x.Acquire(start, "a", b)).To(Equal(limit.Decision{Reason: "rate", RetryAfter: 100 * time.Millisecond}))
	g.Expect(x.Acquire(start, "b", b).OK).To(BeTrue())
	g.Expect(x.Acquire(start.Add(100*time.Millisecond), "a", b).OK).To(BeTrue())
}

func TestActive(t *testing.T) {
	g := NewWithT(t)
	x, b := limit.New(), limit.Bound{Active: 1}
	g.Expect(x.Acquire(start, "a", b).OK).To(BeTrue())
	g.Expect(x.Acquire(start, "a", b).Reason).To(Equal("active"))
	x.Release("a")
	g.Expect(x.Acquire(start, "a", b).OK).To(BeTrue())
}

func TestNoBound(t *testing.T) {
	x := limit.New()
	for range 1000 {
		NewWithT(t).Expect(x.Acquire(start, "a", limit.Bound{}).OK).To(BeTrue())
	}
}

func TestUnusedNamesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	x := limit.New()
	x.Acquire(start, "a", limit.Bound{Rate: 0.01})
	g.Expect(x.UsageForPeers(start)).To(HaveKey("a"))
	x.Release("a")
	g.Expect(x.UsageForPeers(start.Add(2 * time.Minute))).To(BeEmpty())
}

// run offers calls to every node's limiter for a while and returns the
// admitted rate. It counts only after a warm-up in which the nodes exchange
// their usage.
func run(nodes int, offered []float64, b limit.Bound, gossip time.Duration) float64 {
	const tick, span, warm = 10 * time.Millisecond, 60 * time.Second, 20 * time.Second
	limiters := make([]*limit.Limiter, nodes)
	due := make([]float64, nodes)
	for i := range limiters {
		limiters[i] = limit.New()
		limiters[i].SetNodes(nodes)
	}
	admitted := 0
	for at := time.Duration(0); at < span; at += tick {
		now := start.Add(at)
		for i, x := range limiters {
			for due[i] += offered[i] * tick.Seconds(); due[i] >= 1; due[i]-- {
				if !x.Acquire(now, "a", b).OK {
					continue
				}
				x.Release("a")
				if at >= warm {
					admitted++
				}
			}
			if at%gossip == 0 {
				for j, y := range limiters {
					if i != j {
						y.UpdatePeer(now, fmt.Sprint(i), x.UsageForPeers(now))
					}
				}
			}
		}
	}
	return float64(admitted) / (span - warm).Seconds()
}

func TestBudgetIsShared(t *testing.T) {
	b := limit.Bound{Rate: 70, Burst: 7}
	for name, c := range map[string]struct {
		offered  []float64
		from, to float64
	}{
		"all nodes busy":         {[]float64{50, 50, 50, 50, 50, 50, 50}, 56, 84},
		"all at one node":        {[]float64{200, 0, 0, 0, 0, 0, 0}, 63, 77},
		"one busy, others light": {[]float64{200, 5, 5, 5, 5, 5, 5}, 56, 105},
		"within the bound":       {[]float64{40, 3, 3, 3, 3, 3, 3}, 56, 58.5},
	} {
		for _, gossip := range []time.Duration{200 * time.Millisecond, time.Second, 4 * time.Second} {
			got := run(7, c.offered, b, gossip)
			t.Logf("%s, usage exchanged every %s: %.1f of %g calls a second", name, gossip, got, b.Rate)
			NewWithT(t).Expect(got).To(And(BeNumerically(">=", c.from), BeNumerically("<=", c.to)), name)
		}
	}
}

// TestLimiterProperties checks that one limiter alone never exceeds its
// bounds, in any order of calls.
func TestLimiterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := limit.Bound{
			Rate: rapid.Float64Range(0.5, 50).Draw(t, "rate"), Burst: rapid.IntRange(1, 20).Draw(t, "burst"),
			Active: rapid.IntRange(1, 10).Draw(t, "active"),
		}
		x, now, active, admitted := limit.New(), start, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if active > 0 && rapid.Bool().Draw(t, "leave") {
				x.Release("a")
				active--
				continue
			}
			if x.Acquire(now, "a", b).OK {
				active++
				admitted++
			}
			if active > b.Active || float64(admitted) > float64(b.Burst)+b.Rate*now.Sub(start).Seconds()+1e-6 {
				t.Fatalf("%d in progress and %d admitted after %s", active, admitted, now.Sub(start))
			}
		}
	})
}

func BenchmarkAcquire(b *testing.B) {
	x := limit.New()
	x.SetNodes(350)
	for i := range 350 {
		x.UpdatePeer(start, fmt.Sprint(i), map[string]limit.Usage{"a": {Rate: 1}})
	}
	for b.Loop() {
		x.Acquire(start, "a", limit.Bound{Rate: 1e9, Burst: 1e9})
	}
}
