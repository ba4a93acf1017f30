package stall_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/assign"
	"github.com/cowslipstage/cowslipstage/coordination/stall"
)

const (
	endpoints = 9
	slots     = 8
	// callTime is a usual turn, with an event each tenth of it.
	callTime = 250 * time.Millisecond
	// patience is when callers give up a silent stream.
	patience = 2 * time.Second
)

// replay plays ten seconds of 110 turns a second on nine engines, one of which
// goes dark after two, and returns the turns that were sent into the dark.
func replay(heedful bool) int {
	random := rand.New(rand.NewPCG(1, 2))
	p := stall.New()
	now := time.Unix(0, 0)
	dark := now.Add(2 * time.Second)
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	type call struct {
		id  string
		end time.Time
	}
	var calls []call
	lost := 0
	for range 1100 {
		now = now.Add(time.Second / 110)
		running := map[string]int{}
		var left []call
		for _, c := range calls {
			alive := c.id != "a" || now.Before(dark)
			switch {
			case !now.Before(c.end):
				p.CallEnded(now, c.id)
				continue
			case alive:
				p.Heard(now, c.id)
			}
			running[c.id]++
			left = append(left, c)
		}
		calls = left
		var choices []assign.Candidate
		for _, id := range ids {
			c := assign.Candidate{ID: id, OwnCalls: running[id], Slots: slots, SameCentre: true, Slowdown: 1, Share: 1}
			if heedful && p.Stalled(now, id) {
				c.Share = 0
			}
			choices = append(choices, c)
		}
		id := ids[assign.Pick(choices, 1000, random)]
		end := now.Add(callTime)
		if id == "a" && !now.Before(dark.Add(-callTime)) {
			end = now.Add(patience)
			if !now.Before(dark) {
				lost++
			}
		}
		p.CallSent(now, id)
		calls = append(calls, call{id, end})
	}
	return lost
}

// An engine goes dark under load. The calls that wait there make it look fuller,
// which is not enough: each time that callers give up it gets new ones. Known as
// silent it gets one call at a time.
func TestADarkEndpointGetsFewCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	without, with := replay(false), replay(true)
	t.Logf("sent into the dark: %d without, %d with", without, with)
	g.Expect(with).To(gomega.BeNumerically("<", without))
	// Its ninth of 110 a second in the half second until it is known, then one at
	// a time for the eight seconds, each as long as callers' patience.
	g.Expect(with).To(gomega.BeNumerically("<=", 110/endpoints/2+int(8*time.Second/patience)))
}

func TestSignsOfLifeCount(t *testing.T) {
	g := gomega.NewWithT(t)
	p := stall.New()
	now := time.Unix(0, 0)
	g.Expect(p.Stalled(now, "a")).To(gomega.BeFalse())
	p.CallSent(now, "a")
	g.Expect(p.Stalled(now.Add(501*time.Millisecond), "a")).To(gomega.BeTrue())
	p.Heard(now.Add(300*time.Millisecond), "a")
	g.Expect(p.Stalled(now.Add(501*time.Millisecond), "a")).To(gomega.BeFalse())
	p.CallEnded(now.Add(time.Second), "a")
	g.Expect(p.Stalled(now.Add(time.Hour), "a")).To(gomega.BeFalse())
	p.CallSent(now.Add(time.Hour), "a")
	g.Expect(p.Stalled(now.Add(time.Hour), "a")).To(gomega.BeTrue(), "one call at a time until it is heard")
	p.Heard(now.Add(time.Hour), "a")
	g.Expect(p.Stalled(now.Add(time.Hour), "a")).To(gomega.BeFalse())
}
