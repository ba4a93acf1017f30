// Package usage (state layer) adds up what all gates pass for each customer, in short
// intervals of the recent past.
package usage

import (
	"slices"
	"time"
)

const (
	// Interval is the length of an interval.
	Interval = 250 * time.Millisecond
	// lateness is how much longer than the window of quotas intervals are kept, because
	// reports may be late.
	lateness = 3 * time.Second
	// presentAge is how long after its last report a gate counts as present. Gates report
	// three times a second.
	presentAge = 1200 * time.Millisecond
	// missingAge is how long a gate that went silent may still pass requests unheard. The
	// share that is set aside for it returns after that.
	missingAge = time.Minute
	// repeatAge is how long beyond the window a gate's count of an unused customer is kept. It
	// exceeds the time over which gates repeat a count.
	repeatAge = 5 * time.Second
	// sweepEvery is the pause between two removals of outdated counts.
	sweepEvery = 5 * time.Second
)

// Count is what one gate has passed for a customer.
type Count struct {
	// Total counts from the gate's start, so that a lost report is made up by the next.
	// Recent is the part of it that was passed within the kept intervals.
	Total  int64 `cbor:"1,keyasint,omitempty"`
	Recent int64 `cbor:"2,keyasint,omitempty"`
	// Near says that the gate finds the customer near its quota.
	Near bool `cbor:"3,keyasint,omitempty"`
	// Sequence orders the gate's counts; one that a newer one has overtaken is ignored. 0
	// says nothing.
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
	// Intervals is Recent by interval, the newest first, for a vault that may have restarted
	// and not know the gate's earlier counts.
	Intervals []int `cbor:"5,keyasint,omitempty"`
}

// Usage holds the counts of all gates. It is not safe for concurrent use.
type Usage struct {
	window time.Duration
	// since is when the first count was added.
	since     time.Time
	gates     map[string]*gate
	customers map[string]*customer
	sweptAt   time.Time
	// changed says that counts were added since the last call of Save.
	changed bool
}

type gate struct {
	lifetime  int64
	reportAt  time.Time
	customers map[string]total
}

type total struct {
	count    int64
	sequence uint64
	at       time.Time
}

type customer struct {
	*Ring
	changedAt time.Time
	nearAt    time.Time
	// restored holds what was counted before this process started, nil if nothing of it is left.
	restored *Ring
	// granted counts the requests of Grant since the last call of Uses.
	granted int
}

// Use describes how much of a quota is used, for logs.
type Use struct {
	Customer string
	// Requests is how many all gates passed within the window, and Granted how many of them the
	// vault let pass since the last Use.
	Requests, Granted int
}

// New returns a Usage without counts for quotas that are measured over a window.
func New(window time.Duration) *Usage {
	return &Usage{window: window, gates: map[string]*gate{}, customers: map[string]*customer{}}
}

// Add stores a gate's report. lifetime tells apart the processes of a gate.
func (u *Usage) Add(now time.Time, name string, lifetime int64, counts map[string]Count) {
	if u.since.IsZero() {
		u.since = now
	}
	g := u.gates[name]
	if g == nil || g.lifetime != lifetime {
		g = &gate{lifetime: lifetime, customers: map[string]total{}}
		u.gates[name] = g
	}
	g.reportAt = now
	for id, n := range counts {
		c := u.customer(id)
		last, known := g.customers[id]
		switch {
		case known && n.Sequence < last.sequence:
			continue
		case known && len(n.Intervals) > 0 && n.Total > last.count:
			c.AddIntervals(now, newest(n.Intervals, int(n.Total-last.count)))
		case known:
			c.Add(now, int(n.Total-last.count))
		case len(n.Intervals) > 0:
			c.AddIntervals(now, n.Intervals)
		default:
			c.Spread(now, int(n.Recent)) // when they passed is not known, as after a restart of the vault
		}
		g.customers[id] = total{n.Total, n.Sequence, now}
		c.changedAt, u.changed = now, true
		if n.Near {
			c.nearAt = now
		}
	}
	if now.Sub(u.sweptAt) >= sweepEvery {
		u.sweep(now)
	}
}

// newest returns the newest of the events by interval up to a number. What a gate reports after
// it was cut off is the newest of what it passed.
func newest(intervals []int, events int) []int {
	kept := make([]int, len(intervals))
	for i, n := range intervals {
		kept[i] = min(max(0, n), events)
		events -= kept[i]
	}
	return kept
}

// customer returns the counts of a customer, none at first.
func (u *Usage) customer(id string) *customer {
	c := u.customers[id]
	if c == nil {
		c = &customer{Ring: NewRing(u.window)}
		u.customers[id] = c
	}
	return c
}

// Counted returns for how long counts have been added.
func (u *Usage) Counted(now time.Time) time.Duration { return now.Sub(u.since) }

// Settled reports whether nothing that passed within the kept intervals was lost with a disk. kept
// says that this process began with its disk or with the deployment; else gates that ended before
// may have passed more than is counted.
func (u *Usage) Settled(now time.Time, kept bool) bool {
	return kept || !u.since.IsZero() && now.Sub(u.since) >= u.window+lateness
}

// Newest reports whether a count of a gate is the last one that was added.
func (u *Usage) Newest(name, id string, n Count) bool {
	g := u.gates[name]
	return g != nil && g.customers[id].sequence == n.Sequence
}

// Grant counts requests that a gate passes because a vault lets it, before the gate reports
// them. The gate's count of the customer must have been added.
func (u *Usage) Grant(now time.Time, name, id string, requests int) {
	g := u.gates[name]
	t := g.customers[id]
	t.count += int64(requests)
	g.customers[id] = t
	u.customers[id].Add(now, requests)
	u.customers[id].granted += requests
	u.changed = true
}

// Uses returns the use of the customers near their quota, by name.
func (u *Usage) Uses(now time.Time) []Use {
	var all []Use
	for _, id := range u.Near(now) {
		c := u.customers[id]
		passed := c.recent(now, u.since)
		all = append(all, Use{Customer: id, Requests: sum(passed[:min(len(passed), int(u.window/Interval))]), Granted: c.granted})
		c.granted = 0
	}
	return all
}

// Remove forgets a gate that ends. What it passed still counts.
func (u *Usage) Remove(name string) { delete(u.gates, name) }

// sweep removes what is too old to count.
func (u *Usage) sweep(now time.Time) {
	u.sweptAt = now
	forgetAge := u.window + repeatAge
	for name, g := range u.gates {
		if now.Sub(g.reportAt) > missingAge {
			delete(u.gates, name)
		}
		for id, t := range g.customers {
			if now.Sub(t.at) > forgetAge {
				delete(g.customers, id)
			}
		}
	}
	for id, c := range u.customers {
		if now.Sub(c.changedAt) > forgetAge {
			delete(u.customers, id)
		}
		if c.restored != nil && sum(c.restored.all(now)) == 0 {
			c.restored = nil
		}
	}
}

// Gates returns how many gates report, and how many have gone silent and may still pass
// requests.
func (u *Usage) Gates(now time.Time) (present, missing int) {
	for _, g := range u.gates {
		switch age := now.Sub(g.reportAt); {
		case age <= presentAge:
			present++
		case age <= missingAge:
			missing++
		}
	}
	return present, missing
}

// Recent returns what all gates passed for a customer, as Ring.Counts does.
func (u *Usage) Recent(now time.Time, id string) []int {
	if c := u.customers[id]; c != nil {
		return c.recent(now, u.since)
	}
	return nil
}

// Near returns the customers that some gate recently found near their quota.
func (u *Usage) Near(now time.Time) []string {
	var all []string
	for id, c := range u.customers {
		if now.Sub(c.nearAt) <= presentAge {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

// Level returns the level of a token bucket after requests passed, given by interval, the newest
// first, of which phase has passed. In each interval they count as if they passed at its end.
// Before the intervals the bucket was full. The level is negative if more passed than it held.
func Level(passed []int, phase time.Duration, rate, size float64) float64 {
	level := size
	for i := len(passed) - 1; i >= 0; i-- {
		length := Interval
		if i == 0 {
			length = phase
		}
		level = min(size, level+rate*length.Seconds()) - float64(passed[i])
	}
	return level
}

// Ring counts events in intervals of the recent past.
type Ring struct {
	// counts has an item for each interval that is kept.
	counts []int
	// newest is the number of the interval that counts holds at newest modulo its length.
	newest int64
}

// NewRing returns a Ring that keeps the intervals of a window, and some before it.
func NewRing(window time.Duration) *Ring {
	return &Ring{counts: make([]int, (window+lateness+Interval-1)/Interval)}
}

// origin is when this process started.
var origin = time.Now()

// steady returns a time as if the time of day had not been set since this process started.
func steady(now time.Time) time.Time { return origin.Round(0).Add(now.Sub(origin)) }

// number returns the number of the interval of a time, by the steady clock.
func number(now time.Time) int64 { return steady(now).UnixNano() / int64(Interval) }

// Phase returns how much of the current interval has passed.
func Phase(now time.Time) time.Duration {
	return time.Duration(steady(now).UnixNano() % int64(Interval))
}

// Length returns how many intervals are kept.
func (r *Ring) Length() int { return len(r.counts) }

// at returns the count of the interval that was the newest a number of intervals ago.
func (r *Ring) at(ago int) *int {
	n := int64(len(r.counts))
	return &r.counts[((r.newest-int64(ago))%n+n)%n]
}

func (r *Ring) advance(now time.Time) {
	n := number(now)
	if n-r.newest >= int64(len(r.counts)) {
		clear(r.counts)
		r.newest = n
	}
	for r.newest < n {
		r.newest++
		*r.at(0) = 0
	}
}

// Add counts events; a negative number takes some back.
func (r *Ring) Add(now time.Time, events int) {
	r.advance(now)
	*r.at(0) = max(0, *r.at(0)+events)
}

// Spread adds events evenly to all intervals.
func (r *Ring) Spread(now time.Time, events int) {
	r.advance(now)
	each, rest := events/len(r.counts), events%len(r.counts)
	for i := range r.counts {
		r.counts[i] += each
	}
	for i := range rest {
		*r.at(i)++
	}
}

// AddIntervals adds events by interval, the current one first.
func (r *Ring) AddIntervals(now time.Time, events []int) {
	r.advance(now)
	for i, n := range events[:min(len(events), len(r.counts))] {
		*r.at(i) += max(0, n)
	}
}

// Counts returns the events by interval, the current one first, without zeros at the end.
func (r *Ring) Counts(now time.Time) []int { return trim(r.all(now)) }

// all returns the events by interval, the current one first.
func (r *Ring) all(now time.Time) []int {
	r.advance(now)
	all := make([]int, len(r.counts))
	for i := range all {
		all[i] = *r.at(i)
	}
	return all
}

// trim removes zeros at the end.
func trim(events []int) []int {
	for len(events) > 0 && events[len(events)-1] <= 0 {
		events = events[:len(events)-1]
	}
	return events
}

// Sum returns the events of the last intervals, the current one included.
func (r *Ring) Sum(now time.Time, intervals int) int {
	r.advance(now)
	sum := 0
	for i := range min(intervals, len(r.counts)) {
		sum += *r.at(i)
	}
	return sum
}
