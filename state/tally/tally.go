// Package tally (state layer) adds up the running calls that many senders told
// of, by endpoint.
package tally

import "time"

// maxReportAge is how long a sender's calls are believed; one under load tells of
// them with each turn, and one that died must not weigh for long.
const maxReportAge = 2 * time.Second

// Tally holds each sender's calls and their sums. One goroutine at a time may
// use it.
type Tally struct {
	senders map[string]report
	// totals are over all senders; none is 0.
	totals map[string]int
	// lastSweep is when aged senders were last looked for.
	lastSweep time.Time
}

type report struct {
	calls      map[string]int
	receivedAt time.Time
}

// New returns a tally that has heard nothing.
func New() *Tally { return &Tally{senders: map[string]report{}, totals: map[string]int{}} }

// Update replaces what a sender told before.
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

// Totals returns the calls by endpoint of all senders. The result is valid until
// the next Tell and must not be changed.
func (t *Tally) Totals() map[string]int { return t.totals }

// TotalsExcept returns the calls by endpoint of all senders but one.
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
