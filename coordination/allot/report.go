package allot

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/usage"
)

const (
	// slowPause is the pause between two reports while no customer is near its quota.
	// Vaults know the gates by these.
	slowPause = 300 * time.Millisecond
	// quickPause is the pause between two reports of a customer near its quota, for
	// quickAge after a request of it.
	quickPause = 100 * time.Millisecond
	quickAge   = time.Second
	// urgentPause is the least pause between two reports, and urgentPerGate its minimum for
	// each gate, so that the vaults' load does not grow with the square of a deployment.
	urgentPause   = 20 * time.Millisecond
	urgentPerGate = 500 * time.Microsecond
	// forgetAge is how long a customer without requests is kept.
	forgetAge = time.Minute
)

// Report is what a gate tells the vaults.
type Report struct {
	// Number identifies the report when a view answers it.
	Number uint64
	SentAt time.Time
	// WantNear requests a view of all customers near their quota.
	WantNear bool
	// counts holds for each vault the customers whose counts it lacks; for the first one
	// those of which a view is wanted as well.
	counts map[string]map[string]usage.Count
	// recent holds what this gate passed lately, by customer.
	recent map[string]int
}

// Counts returns what to tell a vault.
func (r Report) Counts(vault string) map[string]usage.Count { return r.counts[vault] }

// View is what all gates passed, this one included, as a vault answers a report.
type View struct {
	// Vault names the vault.
	Vault string
	// Gates report to the vault; Missing ones went silent recently.
	Gates, Missing int
	// Phase is how much of the vault's current interval has passed, and Passed holds the
	// counts of usage.Ring.Counts by customer.
	Phase  time.Duration
	Passed map[string][]int
}

// Report returns what is due now for the vaults that this gate reaches. The first one is asked
// for a view.
func (a *Allot) Report(now time.Time, vaults []string) Report {
	a.reports++
	a.reportAt = now
	r := Report{Number: a.reports, SentAt: now, counts: map[string]map[string]usage.Count{}, recent: map[string]int{}, WantNear: now.Sub(a.nearAt) >= slowPause}
	if r.WantNear {
		a.nearAt = now
	}
	for _, v := range vaults {
		r.counts[v] = map[string]usage.Count{}
	}
	for name, c := range a.customers {
		if now.Sub(c.askedAt) > forgetAge {
			delete(a.customers, name)
			continue
		}
		if now.Before(a.dueAt(now, c)) {
			continue
		}
		wanted := c.urgent || c.askedAt.After(c.reportAt)
		c.reportAt, c.urgent = now, false
		r.recent[name] = c.passed.Sum(now, shareIntervals)
		for i, v := range vaults {
			if v == c.asked || !c.lacks(now, v) && (!wanted || i > 0) {
				continue
			}
			r.counts[v][name] = a.countFor(now, c, v, r.Number)
		}
	}
	return r
}

// lacks reports whether a vault may lack requests of a customer that still count.
func (c *customer) lacks(now time.Time, vault string) bool {
	t, known := c.told[vault]
	return known && t.total != c.total || !known && c.passed.Sum(now, c.passed.Length()) > 0
}

// countFor returns what to tell a vault of a customer: by interval, unless the vault has a
// count to which the total compares.
func (a *Allot) countFor(now time.Time, c *customer, vault string, sequence uint64) usage.Count {
	if _, known := c.told[vault]; known {
		return a.count(now, c, sequence)
	}
	return a.detailed(now, c, sequence)
}

// Confirm notes that a vault has stored a report.
func (a *Allot) Confirm(vault string, r Report) {
	for name, n := range r.counts[vault] {
		if c := a.customers[name]; c != nil && c.told[vault].sequence < n.Sequence {
			c.told[vault] = told{n.Total, n.Sequence}
		}
	}
}

// LoseReport notes that a report to a vault was not answered. The vault may have stored it or not.
func (a *Allot) LoseReport(vault string, r Report) {
	for name, n := range r.counts[vault] {
		if c := a.customers[name]; c != nil && c.told[vault].sequence < n.Sequence {
			delete(c.told, vault)
		}
	}
}

// Forget notes that a vault may have restarted. It is told all counts again.
func (a *Allot) Forget(vault string) {
	for _, c := range a.customers {
		delete(c.told, vault)
	}
}

// near reports whether a customer's bucket is low.
func (a *Allot) near(now time.Time, c *customer) bool {
	if c.viewedAt.IsZero() || now.Sub(c.askedAt) > quickAge {
		return false
	}
	level := a.levelAt(c) + c.rate*now.Sub(c.viewedAt).Seconds() - float64(c.total-c.seen)
	return level < nearLevel*(c.burst+a.tolerated(c))
}

// dueAt returns when the next report of a customer is due.
func (a *Allot) dueAt(now time.Time, c *customer) time.Time {
	switch {
	case c.urgent:
		return c.reportAt
	case a.near(now, c):
		return c.reportAt.Add(quickPause)
	}
	return c.reportAt.Add(slowPause)
}

// Pause returns how long until the next report is due. Customers far from their quota wait
// for one that is due anyway.
func (a *Allot) Pause(now time.Time) time.Duration {
	next := a.reportAt.Add(slowPause)
	for _, c := range a.customers {
		if !c.urgent && !a.near(now, c) {
			continue
		}
		if due := a.dueAt(now, c); due.Before(next) {
			next = due
		}
	}
	least := max(urgentPause, time.Duration(a.gates)*urgentPerGate)
	return max(least-now.Sub(a.reportAt), next.Sub(now))
}

// Urgent reports whether a report of the customer is due before its usual pause is over.
func (a *Allot) Urgent(name string) bool {
	c := a.customers[name]
	return c != nil && c.urgent
}

// SetView stores the answer to a report. An answer that a later one has overtaken is ignored.
func (a *Allot) SetView(now time.Time, r Report, v View) {
	if r.Number <= a.viewed {
		return
	}
	a.viewed, a.sentAt, a.receivedAt = r.Number, r.SentAt, now
	a.gates, a.missing = max(1, v.Gates), v.Missing
	for name := range v.Passed {
		c := a.customer(name)
		if c.askedAt.IsZero() {
			c.askedAt = now.Add(-quickAge)
		}
		if r.Number < c.viewNumber {
			continue
		}
		a.setCustomerView(now, c, r.recent[name], name, r.Number, v)
		n, reported := r.counts[v.Vault][name]
		c.urgent = c.urgent || reported && a.near(now, c) && !n.Near // the other gates are to know
	}
}

// setCustomerView stores what all gates passed for a customer, as a vault answers the report or
// question with a number. own is this gate's part of it lately.
func (a *Allot) setCustomerView(now time.Time, c *customer, own int, name string, number uint64, v View) {
	passed := v.Passed[name]
	c.view, c.viewPhase, c.viewedAt, c.viewNumber, c.levelRate = passed, v.Phase, now, number, -1
	c.viewed = a.counted(now, v.Vault, passed)
	c.share, c.luck = a.shareOf(own, passed), -1
	if t, known := c.told[v.Vault]; known {
		c.seen = t.total
	} else {
		c.seen = c.total - int64(c.passed.Sum(now, c.passed.Length()))
	}
}

// SetQuorum notes whether a majority of the vaults answers this gate.
func (a *Allot) SetQuorum(quorum bool) { a.quorum = quorum }

// Status describes what is known of a customer, for logs and metrics.
type Status struct {
	// Level is how many requests the quota had room for as of the view, and Share the part
	// of the room that this gate takes.
	Level, Share float64
	// Age is the age of the view.
	Age time.Duration
}

// Fresh reports whether this gate knows what all gates passed until just now.
func (a *Allot) Fresh(now time.Time) bool { return a.quorum && now.Sub(a.sentAt) <= freshAge }

// Status returns what is known of a customer.
func (a *Allot) Status(now time.Time, name string) Status {
	s := Status{Age: min(now.Sub(a.sentAt), time.Hour), Share: 1 / float64(a.gates)}
	if c := a.customers[name]; c != nil {
		s.Level, s.Share = a.levelAt(c), a.share(c)
	}
	return s
}
