package soak

import (
	"fmt"
	"time"
)

const (
	// quotaWindow, quotaOvershoot and quotaSlack are the guarantee on quotas: how many
	// requests may reach endpoints in any window of 5 s.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// limitChange is a customer's quota from a time on.
type limitChange struct {
	at          time.Time
	rate, burst float64
}

// most returns how many requests may reach endpoints in one window.
func (c limitChange) most() float64 {
	return (c.rate*quotaWindow.Seconds()+c.burst)*(1+quotaOvershoot) + quotaSlack
}

// quotas holds one customer's quota over time and when its requests reached endpoints.
// The ledger's mutex guards it.
type quotas struct {
	customer string
	changes  []limitChange
	arrivals []time.Time
}

// recordArrival records that a request reaches an endpoint for the first time.
func (q *quotas) recordArrival(now time.Time, customer string) {
	if customer == q.customer {
		q.arrivals = append(q.arrivals, now)
	}
}

// most returns how many requests may reach endpoints in the window that ends at a time.
// Of the quotas in force since the window began, the highest counts. A quota is in force
// until the next one binds; bound holds when each has bound since.
func (q *quotas) most(end time.Time, bound []time.Time) (most float64, limited bool) {
	for i, c := range q.changes {
		replaced := i+1 < len(q.changes) && !bound[i+1].After(end.Add(-quotaWindow))
		if c.at.After(end) || replaced {
			continue
		}
		if c.rate == 0 {
			return 0, false
		}
		most, limited = max(most, c.most()), true
	}
	return most, limited
}

// check returns a description of each window in which too many requests reached endpoints,
// one for those that overlap. appliedAt returns when all gates must have applied a quota
// that was set at a time; it binds one window later.
func (q *quotas) check(appliedAt func(time.Time) time.Time) []string {
	var bound []time.Time
	for _, c := range q.changes {
		bound = append(bound, appliedAt(c.at).Add(quotaWindow))
	}
	var found []string
	first, reported := 0, time.Time{}
	for i, at := range q.arrivals {
		for at.Sub(q.arrivals[first]) >= quotaWindow {
			first++
		}
		most, limited := q.most(at, bound)
		if n := i - first + 1; limited && float64(n) > most && at.Sub(reported) >= quotaWindow {
			found = append(found, fmt.Sprintf("QUOTA: %d requests of %s reach endpoints within %s, not %.0f", n, q.customer, quotaWindow, most))
			reported = at
		}
	}
	return found
}
