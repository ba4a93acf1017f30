package allot

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/state/usage"
)

// Ways by which requests pass a quota, as metrics and logs name them.
const (
	// ByShare is the gate's part of the room, ByFew the few requests that pass whatever the part
	// is, for sure or by chance.
	ByShare = "share"
	ByFew   = "few"
	// BySolo is what one gate may take beyond its part while the bucket is nearly full.
	BySolo = "solo"
	// BySlack is the guarantee's slack, for small customers.
	BySlack = "slack"
	// ByPart is the part of a gate that does not know what the others pass.
	ByPart = "part"
	// ByVault is the answer to a question.
	ByVault = "vault"
)

// Counted is how many requests of a customer a vault counted within the window of quotas.
type Counted struct {
	Vault    string
	Requests int
	At       time.Time
}

// Use describes what a gate passed for a customer that is near its quota.
type Use struct {
	Customer    string
	Rate, Burst float64
	// Passed counts the requests since the last Use by the way they passed.
	Passed map[string]int
	Status
	// Viewed is from the vault whose view the gate uses, Decided from the one that answered the
	// last question. Unseen is what the gate has passed since the view.
	Viewed, Decided Counted
	Unseen          int64
}

// Uses returns the use of the customers near their quota that passed requests here since the last
// call, by name.
func (a *Allot) Uses(now time.Time) []Use {
	var all []Use
	for name, c := range a.customers {
		if len(c.ways) == 0 {
			continue
		}
		if a.near(now, c) || now.Sub(c.decided.At) <= freshAge {
			all = append(all, Use{
				Customer: name, Rate: c.rate, Burst: c.burst, Passed: c.ways, Status: a.Status(now, name),
				Viewed: c.viewed, Decided: c.decided, Unseen: c.total - c.seen,
			})
		}
		c.ways = nil
	}
	slices.SortFunc(all, func(a, b Use) int { return cmp.Compare(a.Customer, b.Customer) })
	return all
}

// noteWay counts requests that passed by a way.
func (c *customer) noteWay(way string, requests int) {
	if requests <= 0 {
		return
	}
	if c.ways == nil {
		c.ways = map[string]int{}
	}
	c.ways[way] += requests
}

// counted returns how many requests a view counts within the window of quotas.
func (a *Allot) counted(now time.Time, vault string, passed []int) Counted {
	n := Counted{Vault: vault, At: now}
	for _, p := range passed[:min(len(passed), int(a.bound.Window()/usage.Interval))] {
		n.Requests += p
	}
	return n
}
