// Package quota (coordination layer) spaces one gate's requests to endpoints that
// named a limit for all gates together. Load pattern: endpoints in trouble take
// less than they would get, and every gate has requests for them. No gate asks
// anyone before a request: each uses what the others leave, by their reports of
// what they sent, and at least an equal part. If gates are many, each limit is
// shared among some of them only.
package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// window is the time over which sent requests are counted.
	window = 4 * time.Second
	// reportAge is how long the report of the other gates counts.
	reportAge = time.Second
	// surplus is the part of a limit by which all gates together may exceed it within
	// the window, besides one request. Gates that take up the same room at the same
	// time do so until they hear of each other.
	surplus = 0.25
	// minRate is the least requests a second for an endpoint, so that it is noticed
	// when a limit near zero ends.
	minRate = 0.1
	// sharersBeyond is by how many the gates that share a limit may outnumber the
	// requests of a second. Any of them may have room for one request at any moment.
	sharersBeyond = 2
	// assumedGates is how many gates share a limit before the first report.
	assumedGates = 8
	// forgetAge is how long an endpoint without requests is kept.
	forgetAge = time.Minute
)

// Quota holds what this gate and the others have sent to limited endpoints. One
// goroutine at a time may use it.
type Quota struct {
	// sent holds by endpoint when this gate's requests were sent, or will be, oldest
	// first: those of the window and at least the last one.
	sent map[string][]time.Time
	// gates is how many gates share the limits, this one included.
	gates int
	// others counts what the other gates sent within the window, as of reportedAt.
	others     map[string]int
	reportedAt time.Time
	// ranks holds by endpoint how many gates come before this one in the endpoint's
	// order. Of more gates than a limit can be shared among, the first use it.
	ranks map[string]int
}

// Never is the wait for an endpoint whose limit is left to other gates.
const Never = time.Hour

// New returns a Quota of a gate that knows of no other.
func New() *Quota { return &Quota{sent: map[string][]time.Time{}, gates: assumedGates} }

// Begin starts to space the requests to an endpoint that has just named a limit, and
// may have got one before.
func (q *Quota) Begin(now time.Time, id string) {
	if len(q.sent[id]) == 0 {
		q.sent[id] = []time.Time{now}
	}
}

// End forgets an endpoint that names no limit any more.
func (q *Quota) End(id string) { delete(q.sent, id) }

// Others is a report of the other gates.
type Others struct {
	// Gates is how many there are, Sent what they sent within the window by endpoint.
	Gates int
	Sent  map[string]int
	// Ranks holds this gate's place among all gates by endpoint.
	Ranks map[string]int
}

// SetOthers stores a report.
func (q *Quota) SetOthers(now time.Time, o Others) {
	q.gates, q.others, q.ranks, q.reportedAt = o.Gates+1, o.Sent, o.Ranks, now
}

// Rank returns a gate's place among all gates in the order of an endpoint. The orders
// of endpoints differ, so that every gate shares the limits of some.
func Rank(id, gate string, all []string) int {
	own := xxhash.Sum64String(id + "/" + gate)
	rank := 0
	for _, other := range all {
		if xxhash.Sum64String(id+"/"+other) < own {
			rank++
		}
	}
	return rank
}

// Gates returns how many gates share the limits.
func (q *Quota) Gates() int { return q.gates }

// Wait returns how long a request to an endpoint with a limit has to wait, behind
// those that wait already.
func (q *Quota) Wait(now time.Time, id string, limit float64) time.Duration {
	limit = max(limit, minRate)
	sharers := min(q.gates, int(limit)+sharersBeyond)
	if q.ranks[id] >= sharers {
		return Never
	}
	own, others := q.counts(now, id)
	part := limit / float64(sharers)
	if q.fresh(now) {
		part = max(part, limit-float64(others)/window.Seconds())
	}
	wait := time.Duration(0)
	if sent := q.sent[id]; len(sent) > 0 {
		wait = sent[len(sent)-1].Add(seconds(1 / part)).Sub(now)
	}
	if float64(own+others) >= limit*(1+surplus)*window.Seconds()+1 {
		wait = max(wait, seconds(1/limit))
	}
	return max(0, wait)
}

// Take counts a request that is sent after a wait.
func (q *Quota) Take(now time.Time, id string, wait time.Duration) {
	q.sent[id] = append(q.sent[id], now.Add(wait))
}

// Counts returns by endpoint how many requests this gate sent within the window, or
// will send soon. It forgets endpoints that are no longer used.
func (q *Quota) Counts(now time.Time) map[string]int {
	maps.DeleteFunc(q.sent, func(_ string, sent []time.Time) bool { return now.Sub(sent[len(sent)-1]) > forgetAge })
	counts := map[string]int{}
	for id := range q.sent {
		if own, _ := q.counts(now, id); own > 0 {
			counts[id] = own
		}
	}
	return counts
}

// counts returns how many requests this gate and the others sent within the window.
func (q *Quota) counts(now time.Time, id string) (own, others int) {
	sent := q.sent[id]
	first := 0
	for first < len(sent) && now.Sub(sent[first]) > window {
		first++
	}
	if drop := min(first, len(sent)-1); drop > 0 {
		q.sent[id] = slices.Delete(sent, 0, drop)
	}
	if q.fresh(now) {
		others = q.others[id]
	}
	return len(sent) - first, others
}

func (q *Quota) fresh(now time.Time) bool { return now.Sub(q.reportedAt) <= reportAge }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
