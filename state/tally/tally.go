// Package tally (state layer) adds up the running calls that many senders told
// of, by endpoint.
package tally

import "time"

// loadAge is how long a sender's calls are believed; one under load tells of
// them with each turn, and one that died must not weigh for long.
const loadAge = 2 * time.Second

// Tally holds each sender's calls and their sums. One goroutine at a time may
// use it.
type Tally struct {
	senders map[string]told
	// sums are over all senders; none is 0.
	sums map[string]int
	// swept is when aged senders were last looked for.
	swept time.Time
}

type told struct {
	calls map[string]int
	at    time.Time
}

// New returns a tally that has heard nothing.
func New() *Tally { return &Tally{senders: map[string]told{}, sums: map[string]int{}} }

// Update replaces what a sender told before.
func (t *Tally) Update(now time.Time, sender string, calls map[string]int) {
	t.add(t.senders[sender].calls, -1)
	t.add(calls, 1)
	t.senders[sender] = told{calls: calls, at: now}
	if now.Sub(t.swept) >= loadAge/4 {
		t.swept = now
		t.sweep(now)
	}
}

func (t *Tally) sweep(now time.Time) {
	for name, s := range t.senders {
		if now.Sub(s.at) > loadAge {
			t.add(s.calls, -1)
			delete(t.senders, name)
		}
	}
}

func (t *Tally) add(calls map[string]int, sign int) {
	for endpoint, n := range calls {
		if t.sums[endpoint] += sign * n; t.sums[endpoint] == 0 {
			delete(t.sums, endpoint)
		}
	}
}

// Totals returns the calls by endpoint of all senders. The result is valid until
// the next Tell and must not be changed.
func (t *Tally) Totals() map[string]int { return t.sums }

// TotalsExcept returns the calls by endpoint of all senders but one.
func (t *Tally) TotalsExcept(sender string) map[string]int {
	own := t.senders[sender].calls
	others := make(map[string]int, len(t.sums))
	for endpoint, n := range t.sums {
		if n -= own[endpoint]; n > 0 {
			others[endpoint] = n
		}
	}
	return others
}
