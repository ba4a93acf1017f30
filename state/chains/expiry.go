package chains

import "time"

// Names names trees by their roots and accounts by their keys.
type Names struct{ Roots, Accounts []string }

// Size returns how many there are.
func (n Names) Size() int { return len(n.Roots) + len(n.Accounts) }

// Due returns up to limit trees and accounts that may be dropped by what this replica has
// heard. Others may have heard of later records.
func (c *Chains) Due(now time.Time, limit int) Names {
	var due Names
	for root, t := range c.trees {
		if due.Size() < limit && now.After(t.until) {
			due.Roots = append(due.Roots, root)
		}
	}
	for key, a := range c.accounts {
		if due.Size() < limit && now.After(a.until) {
			due.Accounts = append(due.Accounts, key)
		}
	}
	return due
}

// Expire drops those of the trees and accounts that are still due, and the records that
// neither needs any more.
func (c *Chains) Expire(now time.Time, due Names) {
	for _, root := range due.Roots {
		if t := c.trees[root]; t != nil && now.After(t.until) {
			c.dropTree(t)
		}
	}
	for _, key := range due.Accounts {
		if a := c.accounts[key]; a != nil && now.After(a.until) {
			c.dropAccount(key, a)
		}
	}
	c.Prune()
}

// Left says how much longer a replica keeps each of some trees and accounts, by the records
// that it has heard of, 0 for those that it need not keep.
type Left struct{ Roots, Accounts []time.Duration }

// TimeLeft returns how much longer this replica keeps trees and accounts.
func (c *Chains) TimeLeft(now time.Time, n Names) Left {
	var all Left
	for _, root := range n.Roots {
		var left time.Duration
		if t := c.trees[root]; t != nil {
			left = max(0, t.until.Sub(now))
		}
		all.Roots = append(all.Roots, left)
	}
	for _, key := range n.Accounts {
		var left time.Duration
		if a := c.accounts[key]; a != nil {
			left = max(0, a.until.Sub(now))
		}
		all.Accounts = append(all.Accounts, left)
	}
	return all
}

// Prolong keeps those of the trees and accounts that are here as long as another replica
// does.
func (c *Chains) Prolong(now time.Time, n Names, all Left) {
	for i, left := range all.Roots[:min(len(n.Roots), len(all.Roots))] {
		if t := c.trees[n.Roots[i]]; t != nil && left > 0 {
			t.keepUntil(now.Add(left))
		}
	}
	for i, left := range all.Accounts[:min(len(n.Accounts), len(all.Accounts))] {
		if a := c.accounts[n.Accounts[i]]; a != nil && left > 0 {
			a.keepUntil(now.Add(left))
		}
	}
}
