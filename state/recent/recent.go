// Package recent (state layer) counts recent events by name.
package recent

import "time"

// interval is half of the counting window. Events of the current and the previous interval
// count, so each counts for half a second to a second.
const interval = 500 * time.Millisecond

// Recent counts events by name. It is not safe for concurrent use.
type Recent struct {
	// start is when the current interval began.
	start             time.Time
	current, previous map[string]int
}

// New returns a Recent without events.
func New() *Recent { return &Recent{current: map[string]int{}, previous: map[string]int{}} }

// Add counts one event.
func (r *Recent) Add(now time.Time, name string) {
	r.rotate(now)
	r.current[name]++
}

// Counts returns how often each name occurred in the current and the previous interval.
func (r *Recent) Counts(now time.Time) map[string]int {
	r.rotate(now)
	counts := make(map[string]int, len(r.current)+len(r.previous))
	for name, n := range r.previous {
		counts[name] = n
	}
	for name, n := range r.current {
		counts[name] += n
	}
	return counts
}

func (r *Recent) rotate(now time.Time) {
	switch age := now.Sub(r.start); {
	case age < interval:
		return
	case age < 2*interval:
		r.previous = r.current
	default:
		r.previous = map[string]int{}
	}
	r.current, r.start = map[string]int{}, now
}
