package usage

import "time"

// Saved is what a vault keeps on its disk. Gates keep their counts in memory only, so that a loss
// of power everywhere would empty the windows of all customers.
type Saved struct {
	// Newest is the number of the first interval of each customer's counts, by the time of day:
	// the steady clock means nothing to another process.
	Newest int64 `cbor:"1,keyasint,omitempty"`
	// Passed holds the counts of Usage.Recent by customer.
	Passed map[string][]int `cbor:"2,keyasint,omitempty"`
}

// numberOfDay returns the number of the interval of a time, by the time of day.
func numberOfDay(now time.Time) int64 { return now.UnixNano() / int64(Interval) }

// Save returns what to keep, and whether counts were added since the last call.
func (u *Usage) Save(now time.Time) (s Saved, changed bool) {
	if !u.changed {
		return Saved{}, false
	}
	u.changed = false
	s = Saved{Newest: numberOfDay(now), Passed: map[string][]int{}}
	for id := range u.customers {
		if passed := u.Recent(now, id); len(passed) > 0 {
			s.Passed[id] = passed
		}
	}
	return s, true
}

// Restore adds what was kept before this process started. It is called before any count is added.
// Counts of a later time than now are taken for just passed, as the clock has been set back.
func (u *Usage) Restore(now time.Time, s Saved) {
	for id, passed := range s.Passed {
		c := u.customer(id)
		c.changedAt = now
		c.restored = NewRing(u.window)
		c.restored.advance(now)
		ago := int(min(max(0, numberOfDay(now)-s.Newest), int64(c.Length())))
		for i, n := range passed[:max(0, min(len(passed), c.Length()-ago))] {
			*c.restored.at(i + ago) = max(0, n)
		}
	}
}

// recent returns what all gates passed by interval, with what was restored. Gates that did not
// restart report the intervals before since once more, so the larger of the two counts holds.
func (c *customer) recent(now, since time.Time) []int {
	if c.restored == nil {
		return c.Counts(now)
	}
	counted, restored := c.all(now), c.restored.all(now)
	started := 0 // how many intervals there are from since on
	if !since.IsZero() {
		started = int(min(max(0, number(now)-number(since)+1), int64(len(counted))))
	}
	for i := range started {
		counted[i] += restored[i]
	}
	if sum(restored[started:]) > sum(counted[started:]) {
		copy(counted[started:], restored[started:])
	}
	return trim(counted)
}

func sum(events []int) int {
	total := 0
	for _, n := range events {
		total += n
	}
	return total
}
