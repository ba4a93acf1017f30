// Package recent (state layer) counts what happened lately, by name.
package recent

import "time"

// interval is half of the time that is counted: events of the interval under way and of
// the one before it count, so each for half a second to a second.
const interval = 500 * time.Millisecond

// Recent counts events by name. One goroutine at a time may use it.
type Recent struct {
	// start is when the slice under way began.
	start             time.Time
	current, previous map[string]int
}

// New returns a count of nothing.
func New() *Recent { return &Recent{current: map[string]int{}, previous: map[string]int{}} }

// Add counts one event.
func (r *Recent) Add(now time.Time, name string) {
	r.rotate(now)
	r.current[name]++
}

// Counts returns how often each name occurred lately.
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
