// Package assign (coordination layer) chooses the endpoint for a request, so
// that bursts fill the engines evenly although every gate knows only its own
// calls and recent counts from the other gates.
package assign

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipstage/cowslipstage/coordination/gauge"
)

// Candidate is one endpoint that may take the request.
type Candidate struct {
	ID string
	// OwnCalls is the number of calls that this gate has at the endpoint,
	// OtherCalls the number that the other gates last reported.
	OwnCalls   int
	OtherCalls int
	Slots      int
	// SameCentre reports whether the endpoint is in this gate's data centre.
	SameCentre bool
	// CachedTokens is how many of the prompt's tokens the endpoint has probably
	// cached.
	CachedTokens int
	// Slowdown is how many times longer the endpoint takes than is usual in its
	// pool.
	Slowdown float64
	// Share is the part of its slots that the endpoint may use, from 0 to 1.
	Share float64
	// Connected reports whether this gate has an idle connection to the endpoint.
	Connected bool
	// WarmupLeft is how much longer the endpoint is slow after its start.
	WarmupLeft time.Duration
	// LimitWait is how long a request has to wait because of the endpoint's limit.
	LimitWait time.Duration
}

const (
	// batchWeight is how much longer a call takes at a full engine than at an
	// idle one. An engine's steps take about half as long again when its batch
	// grows from one call to all slots.
	batchWeight = 1.0
	// waitWeight is the cost of as many waiting calls as the endpoint has slots.
	waitWeight = 3.0
	// evictionFactor accounts for the cached tokens that reading evicts, most of which
	// are read again later.
	evictionFactor = 2
	// farCost is the cost of an endpoint in another data centre, for latency and
	// the price of traffic. It is half of a typical call's time, so that an
	// endpoint in the same data centre is passed over only when it has half its
	// slots more calls.
	farCost = 0.5
	// dialCost is the cost of a new connection: a round trip, and a slot that is
	// occupied for about a twentieth of a typical call's time.
	dialCost = 0.1
	// coldCost is the cost of an endpoint that has just started.
	coldCost = 0.5
	// ejectedCost makes ejected endpoints the last resort.
	ejectedCost = 100
)

// Pick returns the index of the endpoint with the lowest expected cost for a
// prompt of promptTokens at engines of a speed, or -1 if there is none. A small
// random cost keeps gates with the same information from all choosing the same
// endpoint.
func Pick(candidates []Candidate, promptTokens int, speed gauge.Speed, random *rand.Rand) int {
	best, least := -1, 0.0
	for i, c := range candidates {
		cost := c.cost(promptTokens, speed) + random.Float64()*0.02
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// PickWithin picks among the endpoints that have not reached their limits. If none of
// them is sound, it returns the one with the shortest wait, if that is within patience.
// If it returns -1, the request would have to wait for shortest, or there is no endpoint.
func PickWithin(
	candidates []Candidate, promptTokens int, patience time.Duration, speed gauge.Speed, random *rand.Rand,
) (index int, shortest time.Duration) {
	var free []Candidate
	var indices []int
	waiting := -1
	for i, c := range candidates {
		switch {
		case c.LimitWait <= 0:
			free, indices = append(free, c), append(indices, i)
		case waiting < 0 || c.LimitWait < candidates[waiting].LimitWait:
			waiting = i
		}
	}
	best := Pick(free, promptTokens, speed, random)
	sound := best >= 0 && free[best].Share > 0
	switch {
	case !sound && waiting >= 0 && candidates[waiting].LimitWait <= patience:
		return waiting, 0
	case best >= 0:
		return indices[best], 0
	case waiting >= 0:
		return -1, candidates[waiting].LimitWait
	}
	return -1, 0
}

// cost returns the expected cost in units of a typical call's time.
func (c Candidate) cost(promptTokens int, speed gauge.Speed) float64 {
	slots := float64(max(1, c.Slots)) * max(0.05, c.Share)
	calls := float64(c.OwnCalls + c.OtherCalls)
	slow := max(1, c.Slowdown)
	cost := slow * (1 + batchWeight*calls/slots)
	if over := calls + 1 - slots; over > 0 {
		cost += slow * waitWeight * over / slots
	}
	cost += evictionFactor * c.readCost(promptTokens, speed)
	if !c.SameCentre {
		cost += farCost
	}
	if !c.Connected {
		cost += dialCost
	}
	if c.WarmupLeft > 0 {
		cost += coldCost
	}
	if c.Share <= 0 {
		cost += ejectedCost
	}
	return cost
}

// readCost returns the cost of reading what is not cached. All calls of the batch
// wait while a prompt is read, so an idle engine reads it at the lowest cost.
func (c Candidate) readCost(promptTokens int, speed gauge.Speed) float64 {
	read := time.Duration(max(0, promptTokens-c.CachedTokens)) * speed.ReadToken
	batch := 1 + float64(min(c.OwnCalls+c.OtherCalls, c.Slots))
	return batch * float64(read) / float64(max(time.Millisecond, speed.Call))
}

// prefixShare is the part of a pool that caches a shared prompt prefix: enough
// endpoints for its load, but few enough that no engine's cache must hold all
// prefixes.
const prefixShare = 0.25

// PrefixHomes returns the endpoints that cache a shared prompt prefix. Gates
// that know the same endpoints choose the same ones without communicating.
// Otherwise every engine would prefill and cache every prefix of the pool.
func PrefixHomes(prefix string, ids []string) map[string]bool {
	homes := map[string]bool{}
	if prefix == "" || len(ids) == 0 {
		return homes
	}
	rank := func(id string) uint64 { return xxhash.Sum64String(prefix + "/" + id) }
	order := slices.Clone(ids)
	slices.SortFunc(order, func(a, b string) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	for _, id := range order[:max(1, int(prefixShare*float64(len(ids))+0.5))] {
		homes[id] = true
	}
	return homes
}
