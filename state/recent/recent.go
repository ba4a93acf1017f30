// Package recent (state layer) counts what happened lately, by name.
package recent

import "time"

// slice is half of the time that is counted: events of the slice under way and of
// the one before it count, so each for half a second to a second.
const slice = 500 * time.Millisecond

// Recent counts events by name. One goroutine at a time may use it.
type Recent struct {
	// begun is when the slice under way began.
	begun         time.Time
	current, last map[string]int
}

// New returns a count of nothing.
func New() *Recent { return &Recent{current: map[string]int{}, last: map[string]int{}} }

// Add counts one event.
func (r *Recent) Add(now time.Time, name string) {
	r.turn(now)
	r.current[name]++
}

// Counts returns how often each name occurred lately.
func (r *Recent) Counts(now time.Time) map[string]int {
	r.turn(now)
	counts := make(map[string]int, len(r.current)+len(r.last))
	for name, n := range r.last {
		counts[name] = n
	}
	for name, n := range r.current {
		counts[name] += n
	}
	return counts
}

func (r *Recent) turn(now time.Time) {
	switch age := now.Sub(r.begun); {
	case age < slice:
		return
	case age < 2*slice:
		r.last = r.current
	default:
		r.last = map[string]int{}
	}
	r.current, r.begun = map[string]int{}, now
}
