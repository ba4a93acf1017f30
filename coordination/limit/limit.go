// Package limit (coordination layer) decides whether a call may begin under
// bounds that all nodes share, without a request to other nodes.
package limit

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Bound is what one key, such as a customer, may use over all nodes.
type Bound struct {
	// Rate is calls per second. 0 means no bound.
	Rate float64
	// Burst is calls at once. 0 means one second's worth.
	Burst int
	// Active is the number of calls in progress. 0 means no bound.
	Active int
}

// Usage is what one key uses at one node.
type Usage struct {
	// Rate is calls per second, averaged over the last seconds.
	Rate float64 `cbor:"1,keyasint,omitempty"`
	// Active is the number of calls in progress.
	Active int `cbor:"2,keyasint,omitempty"`
}

// Decision is a limiter's answer. RetryAfter is when to try again if it isn't
// OK.
type Decision struct {
	OK bool
	// Reason names the bound that was reached: "rate" or "active".
	Reason     string
	RetryAfter time.Duration
}

const (
	// averagingTime is the time over which the rate is averaged.
	averagingTime = 2 * time.Second
	// peerTTL is how long a peer's reported usage counts.
	peerTTL = 10 * time.Second
	// forgetAfter is how long an unused key is kept.
	forgetAfter = time.Minute
	// maxReportedKeys bounds the keys that a node reports to its peers.
	maxReportedKeys = 16
	// activePause is when to try again after too many calls in progress.
	activePause = time.Second
	// maxWait bounds how long a caller is asked to wait.
	maxWait = 30 * time.Second
)

// Limiter holds this node's usage and the usage that its peers reported. One
// goroutine at a time may use it.
type Limiter struct {
	// nodes is the number of nodes that share each bound, at least 1.
	nodes   int
	buckets map[string]*bucket
	peers   map[string]peer
}

// bucket is the state of one key at this node.
type bucket struct {
	bound   Bound
	limiter *rate.Limiter
	active  int
	// usedRate is the average rate at updated. It decays from there.
	usedRate float64
	updated  time.Time
}

// peer is the last report of another node.
type peer struct {
	reportedAt time.Time
	used       map[string]Usage
}

// New returns a limiter for a single node.
func New() *Limiter {
	return &Limiter{nodes: 1, buckets: map[string]*bucket{}, peers: map[string]peer{}}
}

// SetNodes sets how many nodes share each bound.
func (l *Limiter) SetNodes(nodes int) { l.nodes = max(nodes, 1) }

// UpdatePeer stores the usage that a peer reported.
func (l *Limiter) UpdatePeer(now time.Time, node string, used map[string]Usage) {
	if len(used) == 0 {
		delete(l.peers, node)
		return
	}
	l.peers[node] = peer{reportedAt: now, used: used}
}

// Acquire lets a call begin, or returns when to try again. Release must be
// called for each call that was let in.
func (l *Limiter) Acquire(now time.Time, key string, b Bound) Decision {
	n := l.bucketFor(key, b)
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
	n.usedRate = n.rate(now) + 1/averagingTime.Seconds()
	n.updated = now
	return Decision{OK: true}
}

// Release records that a call which was let in has ended.
func (l *Limiter) Release(key string) {
	if n := l.buckets[key]; n != nil {
		n.active--
	}
}

func (l *Limiter) bucketFor(key string, b Bound) *bucket {
	n := l.buckets[key]
	if n != nil && n.bound == b {
		return n
	}
	if n == nil {
		n = &bucket{}
		l.buckets[key] = n
	}
	n.bound = b
	n.limiter = rate.NewLimiter(rate.Limit(b.Rate), l.burst(b))
	return n
}

// burst returns this node's part of the burst, with room for an uneven spread
// over the nodes.
func (l *Limiter) burst(b Bound) int {
	total := float64(b.Burst)
	if total == 0 {
		total = b.Rate
	}
	part := total / float64(l.nodes)
	if l.nodes > 1 {
		part = min(total, part+2*math.Sqrt(part))
	}
	return max(1, int(math.Ceil(part)))
}

// share returns what this node may use: what the peers leave, but at least an
// equal part.
func (l *Limiter) share(now time.Time, key string, b Bound) Usage {
	remaining := Usage{Rate: b.Rate, Active: b.Active}
	for _, p := range l.peers {
		if u, ok := p.used[key]; ok && now.Sub(p.reportedAt) < peerTTL {
			remaining.Rate -= u.Rate
			remaining.Active -= u.Active
		}
	}
	nodes := float64(l.nodes)
	return Usage{
		Rate:   max(remaining.Rate, b.Rate/nodes),
		Active: max(remaining.Active, int(math.Ceil(float64(b.Active)/nodes))),
	}
}

func (b *bucket) rate(now time.Time) float64 {
	return b.usedRate * math.Exp(-now.Sub(b.updated).Seconds()/averagingTime.Seconds())
}

// wait returns how long it takes until the limiter admits the next call.
func wait(now time.Time, l *rate.Limiter) time.Duration {
	r := l.ReserveN(now, 1)
	d := r.DelayFrom(now)
	r.CancelAt(now)
	return min(d, maxWait)
}

// UsageForPeers returns the keys that use at least half of an equal part,
// those with the highest utilization first and at most maxReportedKeys. It
// forgets unused keys.
func (l *Limiter) UsageForPeers(now time.Time) map[string]Usage {
	type entry struct {
		key         string
		usage       Usage
		utilization float64
	}
	var all []entry
	for key, n := range l.buckets {
		if n.active == 0 && now.Sub(n.updated) > forgetAfter {
			delete(l.buckets, key)
			continue
		}
		u := Usage{Rate: n.rate(now), Active: n.active}
		if utilization := l.utilization(n.bound, u); utilization >= 0.5 {
			all = append(all, entry{key, u, utilization})
		}
	}
	slices.SortFunc(all, func(a, b entry) int {
		switch {
		case a.utilization > b.utilization || a.utilization == b.utilization && a.key < b.key:
			return -1
		case a.key == b.key:
			return 0
		}
		return 1
	})
	used := make(map[string]Usage, min(len(all), maxReportedKeys))
	for _, b := range all[:min(len(all), maxReportedKeys)] {
		used[b.key] = b.usage
	}
	return used
}

// utilization returns the used fraction of an equal part, for the bound that
// is closer to its limit.
func (l *Limiter) utilization(b Bound, u Usage) float64 {
	utilization := 0.0
	if b.Rate > 0 {
		utilization = u.Rate / b.Rate
	}
	if b.Active > 0 {
		utilization = max(utilization, float64(u.Active)/float64(b.Active))
	}
	return utilization * float64(l.nodes)
}
