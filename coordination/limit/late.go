package limit

import "time"

// minPause is the shortest time after which a late call should come back.
const minPause = 100 * time.Millisecond

// Late tells whether a call that comes behind others can't be done by its
// deadline, and when to come back. The calls ahead are served by slots at a
// time, each for the given service time.
func Late(now, deadline time.Time, ahead, slots int, service time.Duration) (time.Duration, bool) {
	delay := service * time.Duration(ahead) / time.Duration(max(slots, 1))
	over := now.Add(delay + service).Sub(deadline)
	if over <= 0 {
		return 0, false
	}
	return max(min(over, delay), minPause), true
}
