// Package spend (state layer) sums the tokens that one program has received and may yet
// receive.
package spend

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Entry is the cost of one turn.
type Entry struct {
	// MaxTokens is the most that the turn may generate; it counts until Settled.
	MaxTokens int `cbor:"1,keyasint"`
	// Used is what was delivered, once Settled.
	Used int `cbor:"2,keyasint,omitempty"`
	// Settled entries never become open again.
	Settled bool `cbor:"3,keyasint,omitempty"`
}

// cost returns the tokens of the budget that an entry uses.
func (e Entry) cost() int {
	if e.Settled {
		return e.Used
	}
	return e.MaxTokens
}

// Account holds the turns of one program. Merging entries in any order, and any number of
// times, gives the same account.
type Account struct {
	entries map[string]Entry
}

// New returns an empty account.
func New() *Account { return &Account{entries: map[string]Entry{}} }

// Merge adds an entry and reports whether the account changed.
func (a *Account) Merge(turn string, e Entry) bool {
	old, ok := a.entries[turn]
	switch {
	case !ok:
	case old.Settled && !e.Settled:
		return false
	case old.Settled && e.Settled:
		e.Used = max(old.Used, e.Used)
	case !old.Settled && !e.Settled:
		e.MaxTokens = max(old.MaxTokens, e.MaxTokens)
	}
	a.entries[turn] = e
	return !ok || old != e
}

// Settled reports whether it is known what a turn has used.
func (a *Account) Settled(turn string) bool { return a.entries[turn].Settled }

// Size returns how many turns the account has.
func (a *Account) Size() int { return len(a.entries) }

// Unspent reports whether all turns are settled and none has used anything.
func (a *Account) Unspent() bool {
	for _, e := range a.entries {
		if !e.Settled || e.Used > 0 {
			return false
		}
	}
	return true
}

// TotalExcept returns the cost of all turns but one.
func (a *Account) TotalExcept(turn string) int {
	total := 0
	for id, e := range a.entries {
		if id != turn {
			total += e.cost()
		}
	}
	return total
}

// Allows reports whether the budget allows one more turn in addition to the others.
func (a *Account) Allows(turn string, maxTokens, budget int) bool {
	return a.TotalExcept(turn)+maxTokens <= budget
}

// Entries returns a copy of the entries by turn.
func (a *Account) Entries() map[string]Entry {
	copied := make(map[string]Entry, len(a.entries))
	for id, e := range a.entries {
		copied[id] = e
	}
	return copied
}

// Summary describes one replica's account, without one turn, in a few bytes.
type Summary struct {
	// Spent is the cost of the turns.
	Spent int `cbor:"1,keyasint,omitempty"`
	// Fingerprint is equal for replicas that hold the same costs.
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
}

// Summarize returns the summary of all turns but one.
func (a *Account) Summarize(turn string) Summary {
	var s Summary
	for id, e := range a.entries {
		if id != turn {
			s.Spent += e.cost()
			s.Fingerprint += xxhash.Sum64String(id + "/" + strconv.Itoa(e.cost()))
		}
	}
	return s
}

// SummariesAllow reports whether the replicas' summaries alone prove that a budget allows
// one more turn. They do if the replicas agree and the budget allows it, or if it allows
// the sum of their costs, as if no entry were at two replicas. Replicas differ while one
// has missed turns that others have.
func SummariesAllow(sums []Summary, maxTokens, budget int) bool {
	total, same := 0, true
	for _, s := range sums {
		total += s.Spent
		same = same && s == sums[0]
	}
	if same && len(sums) > 0 {
		total = sums[0].Spent
	}
	return total+maxTokens <= budget
}
