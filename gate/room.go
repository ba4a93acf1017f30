package gate

import (
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/admit"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/toggle"
)

// roomAge is how long the room of a service is remembered. Adding it up for 500 endpoints
// takes 80 microseconds, which waiting calls would spend at each of their looks. The
// calls of other gates are known 5 ms late or more anyway.
const roomAge = 2 * time.Millisecond

// room is the room at the endpoints of one service.
type room struct {
	// slots counts those of the endpoints that get calls, calls what runs or waits there.
	slots, calls float64
	countedAt    time.Time
}

// room returns what this gate knows of the room at the endpoints of a turn's service.
func (g *Gate) room(now time.Time, t *turn) admit.Room {
	service := t.service.Name
	g.mu.Lock()
	r := g.rooms[service]
	g.mu.Unlock()
	if r == nil || now.Sub(r.countedAt) >= roomAge {
		r = g.countRoom(now, service)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	programs := g.slackOf(service)
	return admit.Room{
		Slots: r.slots, Calls: r.calls, Waiting: g.waiting.calls[service], Call: g.speedOf(service).Speed().Call,
		Used: programs.Used(), InCalls: programs.InCalls(),
	}
}

// countRoom adds up the room at a service's endpoints and remembers it. Endpoints that get no
// calls now are left out with the calls that hang there.
func (g *Gate) countRoom(now time.Time, service string) *room {
	r := &room{countedAt: now}
	var others map[string]int
	if g.site.Off.On(toggle.Exchange) {
		others, _ = g.vaults.exchange.others(now)
	}
	usable := g.fleet.Usable(now, service)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range usable {
		if slots := float64(e.Slots) * g.share(now, e.ID); slots > 0 {
			r.slots += slots
			r.calls += float64(g.loadOf(e.ID).calls + others[e.ID])
		}
	}
	g.rooms[service] = r
	return r
}

// takeRoom counts a call that has been placed in the remembered room of its service. Ended
// calls are counted when the room is next added up. The caller holds the mutex.
func (g *Gate) takeRoom(e fleet.Entry) {
	if r := g.rooms[e.Service]; r != nil {
		r.calls++
	}
}

// share returns the part of its slots that an endpoint may use, from 0 to 1. The caller holds
// the mutex.
func (g *Gate) share(now time.Time, id string) float64 {
	off := g.site.Off
	switch {
	case off.On(toggle.Stalls) && g.stalls.Stalled(now, id):
		return 0
	case off.On(toggle.Ejection):
		return g.outliers.Share(now, id)
	}
	return 1
}
