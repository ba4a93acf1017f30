// Package route (coordination layer) chooses the endpoint for a call.
package route

import "math/rand/v2"

// Policy names a way to choose an endpoint.
type Policy string

// The policies. EarliestFinish is the default, the others are baselines.
const (
	// EarliestFinish chooses the earliest estimated finish, taking the cached
	// prefix into account.
	EarliestFinish Policy = "finish"
	// RoundRobin chooses the endpoints in turn.
	RoundRobin Policy = "round"
	// LeastCalls chooses the endpoint with the fewest calls.
	LeastCalls Policy = "least"
	// Sticky keeps a program's agent on the endpoint of its first call in each
	// pool.
	Sticky Policy = "sticky"
)

// Candidate is one endpoint that may take the call.
type Candidate struct {
	Name string
	// Calls is the estimated number of calls at the endpoint.
	Calls int
	// Slots is how many calls may run at once. 0 means no bound.
	Slots int
	// PendingTokens is the number of prompt tokens that wait for prefill at the
	// endpoint.
	PendingTokens int
	// CachedTokens is the length of the call's prefix in the endpoint's cache.
	CachedTokens int
	// RemoteTokens is the length of the longest prefix that another endpoint has
	// cached, and CopyCost the cost, in prompt tokens, of copying what is missing
	// of it. CopyCost is 0 if it cannot be copied.
	RemoteTokens int
	CopyCost     int
}

// Call describes the call to route.
type Call struct {
	// Program and Agent identify the conversation, Pool the endpoints.
	Program string
	Agent   string
	Pool    string
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// OutputTokens is the expected number of generated tokens.
	OutputTokens int
	// CacheWeight weighs wasted cache against latency, from 0 to 1. The operator
	// sets it.
	CacheWeight float64
}

// Router chooses endpoints by one policy.
type Router struct {
	policy Policy
	random *rand.Rand
	next   int
	// placements holds the endpoints that Sticky chose, by program.
	placements map[string]map[stickyKey]string
}

// stickyKey identifies what Sticky keeps on one endpoint: an agent's
// conversation in one pool.
type stickyKey struct{ pool, agent string }

// New returns a router. random breaks ties.
func New(policy Policy, random *rand.Rand) *Router {
	return &Router{policy: policy, random: random, placements: map[string]map[stickyKey]string{}}
}

// Pick returns the index of the chosen endpoint, or -1 if there are no
// candidates.
func (r *Router) Pick(call Call, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	switch r.policy {
	case RoundRobin:
		r.next++
		return r.next % len(candidates)
	case Sticky:
		return r.sticky(call, candidates)
	case LeastCalls:
		return r.cheapest(candidates, func(c Candidate) int { return c.Calls })
	default:
		return r.cheapest(candidates, func(c Candidate) int { return finishCost(call, c) })
	}
}

func (r *Router) sticky(call Call, candidates []Candidate) int {
	key := stickyKey{call.Pool, call.Agent}
	for i, c := range candidates {
		if c.Name == r.placements[call.Program][key] {
			return i
		}
	}
	i := r.cheapest(candidates, func(c Candidate) int { return c.Calls })
	if r.placements[call.Program] == nil {
		r.placements[call.Program] = map[stickyKey]string{}
	}
	r.placements[call.Program][key] = candidates[i].Name
	return i
}

// Forget drops the placements of a program that has ended.
func (r *Router) Forget(program string) { delete(r.placements, program) }

func (r *Router) cheapest(candidates []Candidate, cost func(Candidate) int) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch c, b := cost(candidates[i]), cost(candidates[best]); {
		case c < b:
			best, ties = i, 1
		case c == b:
			ties++
			if r.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// CallTokens is the cost of one more call at an endpoint, in prefill tokens.
const CallTokens = 200

// PrefillTokens returns the work to get the whole prompt into the endpoint's
// cache, in prompt tokens.
func PrefillTokens(call Call, c Candidate) int {
	if ShouldCopy(call, c) {
		return max(0, call.PromptTokens-c.RemoteTokens) + c.CopyCost
	}
	return max(0, call.PromptTokens-c.CachedTokens)
}

// ShouldCopy reports whether copying the prefix from another endpoint costs
// less than computing it.
func ShouldCopy(call Call, c Candidate) bool {
	return c.CopyCost > 0 && c.CachedTokens+c.CopyCost < min(c.RemoteTokens, call.PromptTokens)
}

// finishCost returns the work until the call ends at an endpoint, in prefill
// tokens. CacheWeight adds to the missing tokens because computing them evicts
// cached prefixes of other calls.
func finishCost(call Call, c Candidate) int {
	missing := PrefillTokens(call, c)
	return c.PendingTokens + missing + int(call.CacheWeight*float64(missing)) + c.Calls*CallTokens
}
