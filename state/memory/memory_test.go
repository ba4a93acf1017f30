package memory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/memory"
)

var epoch = time.Unix(1_800_000_000, 0)

const kb = 1 << 10

// client is a holder that notes that it was ended. Who ended it closes it once the test goes on.
type client struct {
	*memory.Holder
	ended bool
}

// settle closes the clients that were ended.
func settle(clients ...*client) {
	for _, c := range clients {
		if c.ended {
			c.Close()
		}
	}
}

// open opens a holder and has it read so many bytes more.
func open(g *gomega.WithT, group *memory.Group, at time.Duration, addr string, bytes int64) *client {
	c := &client{}
	h, ok := group.Open(epoch.Add(at), addr, kb, func() { c.ended = true })
	g.Expect(ok).To(gomega.BeTrue())
	c.Holder = h
	g.Expect(c.Enter(epoch.Add(at), memory.Reading)).To(gomega.BeTrue())
	g.Expect(c.Take(epoch.Add(at), bytes)).To(gomega.BeTrue())
	return c
}

// The holder that has most for longest without progress goes first, and none that is served.
func TestTheLargestWithoutProgressGoesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	b := memory.New(1000 * kb)
	group := b.Group(0)
	old := open(g, group, 0, "a", 200*kb)
	long := open(g, group, time.Second, "a", 200*kb)
	served := open(g, group, 0, "a", 200*kb)
	g.Expect(served.Enter(epoch, memory.Serving)).To(gomega.BeTrue())
	moving := open(g, group, 0, "a", 200*kb)
	moving.Arrive(epoch.Add(1900*time.Millisecond), 64*kb)
	last := open(g, group, 2*time.Second, "b", 250*kb)
	g.Expect([]bool{old.ended, long.ended, served.ended, moving.ended, last.ended}).To(gomega.Equal([]bool{true, false, false, false, false}))
	g.Expect(old.Take(epoch, 1)).To(gomega.BeFalse())
	g.Expect(old.Enter(epoch, memory.Serving)).To(gomega.BeFalse())
	g.Expect(b.Ended()).To(gomega.Equal(1))
}

// Bytes that only keep a request open are no progress.
func TestDripsAreNoProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	group := memory.New(400 * kb).Group(0)
	drips := open(g, group, 0, "a", 200*kb)
	for i := range 10 {
		drips.Arrive(epoch.Add(time.Duration(i)*time.Second), 1)
	}
	open(g, group, 10*time.Second, "b", 250*kb)
	g.Expect(drips.ended).To(gomega.BeTrue())
}

// Large holders leave a part to the others, and a holder that would be the first to go is refused
// instead of one that makes progress.
func TestLargeHoldersLeaveRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	b := memory.New(3000 * kb)
	group := b.Group(0)
	for range 2 {
		large := open(g, group, 0, "a", 900*kb)
		g.Expect(large.Enter(epoch, memory.Serving)).To(gomega.BeTrue())
	}
	more, ok := group.Open(epoch, "a", kb, func() {})
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(more.Take(epoch, 300*kb)).To(gomega.BeFalse())
	for range 9 {
		small := open(g, group, 0, "a", 100*kb)
		g.Expect(small.Enter(epoch, memory.Serving)).To(gomega.BeTrue())
	}
	g.Expect(b.Fits(2001 * kb)).To(gomega.BeFalse())
	g.Expect(b.Taken()).To(gomega.BeNumerically("<=", 3000*kb))
}

// A group that is full ends the one of its holders that has waited longest, from the address with
// most of them.
func TestAFullGroupEndsOne(t *testing.T) {
	g := gomega.NewWithT(t)
	group := memory.New(0).Group(4)
	first := open(g, group, 0, "alone", kb)
	var crowd []*client
	for i := range 3 {
		crowd = append(crowd, open(g, group, time.Duration(1+i)*time.Second, "many", kb))
	}
	open(g, group, 5*time.Second, "other", kb)
	g.Expect(first.ended).To(gomega.BeFalse())
	g.Expect(crowd[0].ended).To(gomega.BeTrue())
	for _, c := range append(crowd[1:], first) {
		g.Expect(c.Enter(epoch, memory.Serving)).To(gomega.BeTrue())
	}
	last := open(g, group, 6*time.Second, "other", kb) // in place of the one before
	g.Expect(last.Enter(epoch, memory.Serving)).To(gomega.BeTrue())
	_, ok := group.Open(epoch.Add(7*time.Second), "other", kb, func() {})
	g.Expect(ok).To(gomega.BeFalse(), "all are served")
}

// Whatever clients do, no more is booked than the budget, and all of it is given back.
func TestNoMoreIsBookedThanTheBudget(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 0))
			const most = 4000 * kb
			b := memory.New(most)
			group := b.Group(30)
			var clients []*client
			for step := range 5000 {
				now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
				if random.IntN(4) == 0 {
					c := &client{}
					if h, ok := group.Open(now, fmt.Sprint(random.IntN(5)), kb, func() { c.ended = true }); ok {
						c.Holder = h
						clients = append(clients, c)
					}
				}
				if len(clients) == 0 {
					continue
				}
				i := random.IntN(len(clients))
				c := clients[i]
				switch random.IntN(7) {
				case 0:
					c.Close()
					clients = append(clients[:i], clients[i+1:]...)
				case 1:
					c.Enter(now, memory.Phase(random.IntN(3)))
				case 2:
					c.Give(random.Int64N(100 * kb))
				case 3:
					c.Arrive(now, random.IntN(64*kb))
				default:
					took := c.Take(now, random.Int64N(600*kb))
					g.Expect(took && c.ended).To(gomega.BeFalse())
				}
				if random.IntN(20) == 0 {
					settle(clients...)
				}
				g.Expect(b.Taken()).To(gomega.And(gomega.BeNumerically("<=", most), gomega.BeNumerically(">=", 0)))
			}
			for _, c := range clients {
				c.Close()
			}
			g.Expect(b.Taken()).To(gomega.BeZero())
		})
	}
}

// What has been ended may still be held until it is closed, so that not much more is ended before that.
func TestWhatIsGoingIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	b := memory.New(800 * kb)
	group := b.Group(0)
	var clients []*client
	for range 8 {
		clients = append(clients, open(g, group, 0, "a", 98*kb))
	}
	newcomer, ok := group.Open(epoch.Add(time.Second), "b", kb, func() {})
	g.Expect(ok).To(gomega.BeTrue())
	taken := 0
	for newcomer.Take(epoch.Add(time.Second), 98*kb) {
		taken++
	}
	g.Expect(taken).To(gomega.BeNumerically("<=", 2), "ended and not closed")
	settle(clients...)
	g.Expect(newcomer.Take(epoch.Add(time.Second), 98*kb)).To(gomega.BeTrue())
}
