// Package rank (coordination layer) ranks turns for the queues of engines.
package rank

// Turn is what counts for a turn's rank.
type Turn struct {
	// Priority is its route's; 0 comes first.
	Priority int
	// Begins says that it is the first of its program.
	Begins bool
	// Late says that its program can no longer end in time.
	Late bool
}

const (
	// first and last are the ranks of the engines' queues.
	first, last = 0, 9
	// perPriority leaves room for programs under way before those that begin.
	perPriority = 2
	// latePenalty puts late programs behind those of the next lower priority
	// that can still end in time.
	latePenalty = 4
)

// Urgency returns a turn's rank, from 0, which comes first, to 9. It answers load
// beyond what engines bear: programs under way go before those that begin, as an
// unfinished program is worth nothing, and programs that can end in time go
// before late ones, which are worth little or half.
func Urgency(t Turn) int {
	u := first + perPriority*t.Priority
	if t.Begins {
		u++
	}
	if t.Late {
		u += latePenalty
	}
	return min(last, u)
}
