// Package assign (coordination layer) chooses the endpoint for a request of the
// platform's kinds. It answers bursts that fill engines unevenly: every gate
// sees only its own calls and what the others said some moments ago.
package assign

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is one endpoint that may take the request.
type Candidate struct {
	ID string
	// OwnCalls is the calls that this gate has there now, Others what the other
	// gates said they have.
	OwnCalls   int
	OtherCalls int
	Slots      int
	// SameCentre endpoints are in this gate's data centre.
	SameCentre bool
	// CachedTokens is how many of the prompt's tokens the endpoint probably has cached.
	CachedTokens int
	// Slowdown is how much longer the endpoint takes than its pool; 1 is usual.
	Slowdown float64
	// Share is the part of its slots that the endpoint may use, from 0 to 1.
	Share float64
	// Connected says that this gate has a connection there that can be used at once.
	Connected bool
	// WarmupLeft is how much longer the endpoint is slow after its start.
	WarmupLeft time.Duration
}

const (
	// batchWeight is how much longer a call takes at a full engine than at an
	// idle one; engines' steps grow by about half of that from one call to all.
	batchWeight = 1.0
	// waitWeight is the cost of a slot's worth of waiting calls.
	waitWeight = 3.0
	// missCost is the cost of reading a thousand tokens anew, against a usual
	// call's time: five to eight milliseconds at the engines' rates, during which
	// the other calls of the batch stand still as well, and what it displaces in
	// the cache is read again.
	missCost = 0.8
	// farCost is the cost of another data centre: its way, and the price of bytes
	// that cross: half a call's time, so that a near endpoint is left only when it
	// has half its slots more calls.
	farCost = 0.5
	// dialCost is the cost of a new connection: a way there and back, and a slot
	// that it holds for a moment, a twentieth of a usual call's time.
	dialCost = 0.1
	// coldCost is the cost of an endpoint that has just started.
	coldCost = 0.5
	// ejectedCost keeps ejected endpoints for when there is no other.
	ejectedCost = 100
)

// Pick returns the index of the endpoint with the least expected cost for a
// prompt of so many tokens, or -1 if there is none. Ties are broken by random,
// so that gates that know the same do not all choose the same.
func Pick(choices []Candidate, prompt int, random *rand.Rand) int {
	best, least := -1, 0.0
	for i, c := range choices {
		cost := c.cost(prompt) + random.Float64()*0.02
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

func (c Candidate) cost(prompt int) float64 {
	slots := float64(max(1, c.Slots)) * max(0.05, c.Share)
	calls := float64(c.OwnCalls + c.OtherCalls)
	slow := max(1, c.Slowdown)
	cost := slow * (1 + batchWeight*calls/slots)
	if over := calls + 1 - slots; over > 0 {
		cost += slow * waitWeight * over / slots
	}
	cost += missCost * float64(max(0, prompt-c.CachedTokens)) / 1000
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

// homeShare is the part of a pool that caches a shared head of prompts: enough
// for its load, few enough that each engine's memory is not filled with all heads.
const homeShare = 0.25

// PrefixHomes returns which of the endpoints cache a shared head of prompts. Gates that
// know the same endpoints agree on it without a word: the heads of a pool would
// else be read anew, and then held, at every engine.
func PrefixHomes(head string, ids []string) map[string]bool {
	homes := map[string]bool{}
	if head == "" || len(ids) == 0 {
		return homes
	}
	rank := func(id string) uint64 { return xxhash.Sum64String(head + "/" + id) }
	order := slices.Clone(ids)
	slices.SortFunc(order, func(a, b string) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	for _, id := range order[:max(1, int(homeShare*float64(len(ids))+0.5))] {
		homes[id] = true
	}
	return homes
}
