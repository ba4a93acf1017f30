// Package tally (state layer) sums the running calls that many senders report, by
// endpoint.
package tally

import "time"

// maxReportAge is the age beyond which a sender's report is dropped. A sender under load
// reports with each turn, and the calls of a dead sender must not count for long.
const maxReportAge = 2 * time.Second

// Tally holds each sender's report and the totals. It is not safe for concurrent use.
type Tally struct {
	senders map[string]report
	// totals are over all senders; endpoints with 0 calls have no entry.
	totals map[string]int
	// lastSweep is when outdated reports were last removed.
	lastSweep time.Time
}

type report struct {
	calls      map[string]int
	receivedAt time.Time
}

// New returns an empty tally.
func New() *Tally { return &Tally{senders: map[string]report{}, totals: map[string]int{}} }

// Update replaces a sender's report.
func (t *Tally) Update(now time.Time, sender string, calls map[string]int) {
	t.add(t.senders[sender].calls, -1)
	t.add(calls, 1)
	t.senders[sender] = report{calls: calls, receivedAt: now}
	if now.Sub(t.lastSweep) >= maxReportAge/4 {
		t.lastSweep = now
		t.sweep(now)
	}
}

func (t *Tally) sweep(now time.Time) {
	for name, s := range t.senders {
		if now.Sub(s.receivedAt) > maxReportAge {
			t.add(s.calls, -1)
			delete(t.senders, name)
		}
	}
}

func (t *Tally) add(calls map[string]int, sign int) {
	for endpoint, n := range calls {
		if t.totals[endpoint] += sign * n; t.totals[endpoint] == 0 {
			delete(t.totals, endpoint)
		}
	}
}

// Senders returns the senders that have reported recently, in no order.
func (t *Tally) Senders(now time.Time) []string {
	var names []string
	for name, s := range t.senders {
		if now.Sub(s.receivedAt) <= maxReportAge {
			names = append(names, name)
		}
	}
	return names
}

// Totals returns the calls of all senders by endpoint. The result is valid until the next
// Update and must not be changed.
func (t *Tally) Totals() map[string]int { return t.totals }

// TotalsExcept returns the calls of all senders but one, by endpoint.
func (t *Tally) TotalsExcept(sender string) map[string]int {
	own := t.senders[sender].calls
	others := make(map[string]int, len(t.totals))
	for endpoint, n := range t.totals {
		if n -= own[endpoint]; n > 0 {
			others[endpoint] = n
		}
	}
	return others
}
