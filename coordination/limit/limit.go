// Package limit (coordination layer) decides whether a call may begin under
// bounds that all nodes share without asking each other.
package limit

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Bound is what one name, such as a customer, may use over all nodes.
type Bound struct {
	// Rate is calls a second; 0 means no bound.
	Rate float64
	// Burst is calls at once; 0 means one second's worth.
	Burst int
	// Active is calls under way; 0 means no bound.
	Active int
}

// Usage is what one name uses at one node.
type Usage struct {
	// Rate is calls a second, as a mean over the last seconds.
	Rate float64 `cbor:"1,keyasint,omitempty"`
	// Active is calls under way.
	Active int `cbor:"2,keyasint,omitempty"`
}

// Decision is a limiter's answer. Wait is when to come back if it isn't OK.
type Decision struct {
	OK bool
	// Reason says which bound was met: "rate" or "active".
	Reason     string
	RetryAfter time.Duration
}

const (
	// memory is over how long use is averaged.
	memory = 2 * time.Second
	// fresh is how long a peer's word about its use counts.
	fresh = 10 * time.Second
	// quiet is after how long an unused name is forgotten.
	quiet = time.Minute
	// maxNames bounds the names that a node tells its peers about.
	maxNames = 16
	// activePause is when a name over its calls under way should come back.
	activePause = time.Second
	// maxWait bounds how long a caller is told to wait.
	maxWait = 30 * time.Second
)

// Limiter keeps what one node has let through, and what it knows of its peers.
// One goroutine at a time may use it.
type Limiter struct {
	// nodes is at least 1.
	nodes int
	names map[string]*name
	peers map[string]peer
}

// name is one bounded name at this node.
type name struct {
	bound   Bound
	limiter *rate.Limiter
	active  int
	// used is the mean rate at touched; it decays from there.
	used    float64
	touched time.Time
}

// peer is the last word of another node.
type peer struct {
	heard time.Time
	used  map[string]Usage
}

// New returns a limiter of the only node.
func New() *Limiter {
	return &Limiter{nodes: 1, names: map[string]*name{}, peers: map[string]peer{}}
}

// SetNodes tells the limiter how many nodes share each bound.
func (l *Limiter) SetNodes(nodes int) { l.nodes = max(nodes, 1) }

// UpdatePeer takes over what a peer uses.
func (l *Limiter) UpdatePeer(now time.Time, node string, used map[string]Usage) {
	if len(used) == 0 {
		delete(l.peers, node)
		return
	}
	l.peers[node] = peer{heard: now, used: used}
}

// Acquire lets a call begin, or says when to come back. Each call that was let
// in must Release.
func (l *Limiter) Acquire(now time.Time, key string, b Bound) Decision {
	n := l.name(key, b)
	share := l.share(now, key, b)
	if b.Active > 0 && n.active >= share.Active {
		return Decision{Reason: "active", RetryAfter: activePause}
	}
	if b.Rate > 0 {
		n.limiter.SetLimitAt(now, rate.Limit(share.Rate))
		if !n.limiter.AllowN(now, 1) {
			return Decision{Reason: "rate", RetryAfter: wait(now, n.limiter)}
		}
	}
	n.active++
	n.used = n.rate(now) + 1/memory.Seconds()
	n.touched = now
	return Decision{OK: true}
}

// Release notes that a call which was let in is over.
func (l *Limiter) Release(key string) {
	if n := l.names[key]; n != nil {
		n.active--
	}
}

func (l *Limiter) name(key string, b Bound) *name {
	n := l.names[key]
	if n != nil && n.bound == b {
		return n
	}
	if n == nil {
		n = &name{}
		l.names[key] = n
	}
	n.bound = b
	n.limiter = rate.NewLimiter(rate.Limit(b.Rate), l.burst(b))
	return n
}

// burst is this node's part of the calls that may come at once, with room for
// an uneven spread over the nodes.
func (l *Limiter) burst(b Bound) int {
	whole := float64(b.Burst)
	if whole == 0 {
		whole = b.Rate
	}
	part := whole / float64(l.nodes)
	if l.nodes > 1 {
		part = min(whole, part+2*math.Sqrt(part))
	}
	return max(1, int(math.Ceil(part)))
}

// share is what this node may use: what the peers leave, and at least an
// equal part.
func (l *Limiter) share(now time.Time, key string, b Bound) Usage {
	left := Usage{Rate: b.Rate, Active: b.Active}
	for _, p := range l.peers {
		if u, ok := p.used[key]; ok && now.Sub(p.heard) < fresh {
			left.Rate -= u.Rate
			left.Active -= u.Active
		}
	}
	equal := float64(l.nodes)
	return Usage{
		Rate:   max(left.Rate, b.Rate/equal),
		Active: max(left.Active, int(math.Ceil(float64(b.Active)/equal))),
	}
}

func (n *name) rate(now time.Time) float64 {
	return n.used * math.Exp(-now.Sub(n.touched).Seconds()/memory.Seconds())
}

// wait is when the limiter would let the next call through.
func wait(now time.Time, l *rate.Limiter) time.Duration {
	r := l.ReserveN(now, 1)
	d := r.DelayFrom(now)
	r.CancelAt(now)
	return min(d, maxWait)
}

// UsageForPeers returns the names that use at least half of an equal part, the busiest
// first and at most a few: what peers must know. It forgets unused names.
func (l *Limiter) UsageForPeers(now time.Time) map[string]Usage {
	type busy struct {
		key  string
		use  Usage
		part float64
	}
	var all []busy
	for key, n := range l.names {
		if n.active == 0 && now.Sub(n.touched) > quiet {
			delete(l.names, key)
			continue
		}
		u := Usage{Rate: n.rate(now), Active: n.active}
		if part := l.part(n.bound, u); part >= 0.5 {
			all = append(all, busy{key, u, part})
		}
	}
	slices.SortFunc(all, func(a, b busy) int {
		switch {
		case a.part > b.part || a.part == b.part && a.key < b.key:
			return -1
		case a.key == b.key:
			return 0
		}
		return 1
	})
	used := make(map[string]Usage, min(len(all), maxNames))
	for _, b := range all[:min(len(all), maxNames)] {
		used[b.key] = b.use
	}
	return used
}

// part is how much of an equal part is used, by the bound that is nearer.
func (l *Limiter) part(b Bound, u Usage) float64 {
	part := 0.0
	if b.Rate > 0 {
		part = u.Rate / b.Rate
	}
	if b.Active > 0 {
		part = max(part, float64(u.Active)/float64(b.Active))
	}
	return part * float64(l.nodes)
}
