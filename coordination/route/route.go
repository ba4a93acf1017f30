// Package route (coordination layer) chooses the endpoint for a call.
package route

import "math/rand/v2"

// Policy names a way to choose.
type Policy string

// The ways to choose; Finish is the product's, the others are baselines.
const (
	// EarliestFinish takes the earliest estimated finish, cached prefix counted.
	EarliestFinish Policy = "finish"
	// RoundRobin takes the endpoints in turn.
	RoundRobin Policy = "round"
	// LeastCalls takes the endpoint with the fewest calls.
	LeastCalls Policy = "least"
	// Sticky keeps a program on the endpoint of its first call.
	Sticky Policy = "sticky"
)

// Candidate is one endpoint that may take the call.
type Candidate struct {
	Name string
	// Calls is the estimated number of calls there.
	Calls int
	// Slots is how many may run at once; 0 means no bound.
	Slots int
	// PendingTokens is the prompt tokens waiting for prefill there.
	PendingTokens int
	// CachedTokens is the length of the call's prefix in the endpoint's cache, in tokens.
	CachedTokens int
	// RemoteTokens is the length of the longest prefix that another endpoint has, and
	// Copy the cost of copying what is missing of it, in prompt tokens; 0 when
	// it cannot be copied.
	RemoteTokens int
	CopyCost     int
}

// Call describes the call.
type Call struct {
	// Program and Agent name the conversation, Pool the endpoints.
	Program string
	Agent   string
	Pool    string
	// PromptTokens is the length of the whole prompt, in tokens.
	PromptTokens int
	// OutputTokens is the expected number of generated tokens.
	OutputTokens int
	// CacheWeight is the operator's weight of wasted cache against latency, from 0 to 1.
	CacheWeight float64
}

// Router chooses endpoints by one policy.
type Router struct {
	policy Policy
	random *rand.Rand
	next   int
	// homes is used by Sticky only; it is by program.
	homes map[string]map[home]string
}

// home is what Sticky keeps in one place: a conversation, in each pool that it uses.
type home struct{ pool, agent string }

// New returns a router; random breaks ties.
func New(policy Policy, random *rand.Rand) *Router {
	return &Router{policy: policy, random: random, homes: map[string]map[home]string{}}
}

// Pick returns the index of the chosen endpoint, or -1 if none has room.
func (r *Router) Pick(n Call, choices []Candidate) int {
	if len(choices) == 0 {
		return -1
	}
	switch r.policy {
	case RoundRobin:
		r.next++
		return r.next % len(choices)
	case Sticky:
		return r.sticky(n, choices)
	case LeastCalls:
		return r.best(choices, func(c Candidate) int { return c.Calls })
	default:
		return r.best(choices, func(c Candidate) int { return finish(n, c) })
	}
}

func (r *Router) sticky(n Call, choices []Candidate) int {
	key := home{n.Pool, n.Agent}
	for i, c := range choices {
		if c.Name == r.homes[n.Program][key] {
			return i
		}
	}
	i := r.best(choices, func(c Candidate) int { return c.Calls })
	if r.homes[n.Program] == nil {
		r.homes[n.Program] = map[home]string{}
	}
	r.homes[n.Program][key] = choices[i].Name
	return i
}

// Forget drops what Sticky keeps for an ended program.
func (r *Router) Forget(program string) { delete(r.homes, program) }

func (r *Router) best(choices []Candidate, cost func(Candidate) int) int {
	best, ties := 0, 1
	for i := 1; i < len(choices); i++ {
		switch c, b := cost(choices[i]), cost(choices[best]); {
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

// PrefillTokens is the work to get the whole prompt into the cache, in prompt tokens.
func PrefillTokens(n Call, c Candidate) int {
	if ShouldCopy(n, c) {
		return max(0, n.PromptTokens-c.RemoteTokens) + c.CopyCost
	}
	return max(0, n.PromptTokens-c.CachedTokens)
}

// ShouldCopy tells whether copying the prefix from elsewhere beats computing it.
func ShouldCopy(n Call, c Candidate) bool {
	return c.CopyCost > 0 && c.CachedTokens+c.CopyCost < min(c.RemoteTokens, n.PromptTokens)
}

// finish is the work before the call ends at an endpoint, in prefill tokens. A
// prompt computed anew also displaces what others have cached.
func finish(n Call, c Candidate) int {
	missing := PrefillTokens(n, c)
	return c.PendingTokens + missing + int(n.CacheWeight*float64(missing)) + c.Calls*CallTokens
}
