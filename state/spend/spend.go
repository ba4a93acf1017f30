// Package spend (state layer) adds up the tokens that one program has been
// given and may yet be given.
package spend

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Entry is the account of one turn.
type Entry struct {
	// MaxTokens is what the turn may generate; it counts until Settled.
	MaxTokens int `cbor:"1,keyasint"`
	// Used is what was handed out, once Settled.
	Used int `cbor:"2,keyasint,omitempty"`
	// Settled entries do not go back to open.
	Settled bool `cbor:"3,keyasint,omitempty"`
}

// cost is what an entry counts against the budget.
func (e Entry) cost() int {
	if e.Settled {
		return e.Used
	}
	return e.MaxTokens
}

// Account holds the turns of one program. Merging entries in any order, and any
// number of times, gives the same account.
type Account struct {
	entries map[string]Entry
}

// New returns an empty account.
func New() *Account { return &Account{entries: map[string]Entry{}} }

// Merge notes an entry and tells whether the account changed.
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

// TotalExcept returns what all turns but one count.
func (a *Account) TotalExcept(turn string) int {
	total := 0
	for id, e := range a.entries {
		if id != turn {
			total += e.cost()
		}
	}
	return total
}

// Allows tells whether the budget holds one more turn beside the others.
func (a *Account) Allows(turn string, most, budget int) bool {
	return a.TotalExcept(turn)+most <= budget
}

// Entries returns a copy of the entries by turn.
func (a *Account) Entries() map[string]Entry {
	copied := make(map[string]Entry, len(a.entries))
	for id, e := range a.entries {
		copied[id] = e
	}
	return copied
}

// Summary is what one copy of an account says of all turns but one, in a few bytes.
type Summary struct {
	// Spent is what they count.
	Spent int `cbor:"1,keyasint,omitempty"`
	// Fingerprint is the same for copies that hold the same.
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
}

// Summarize sums up all turns but one.
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

// SummariesAllow tells whether the copies' sums alone show that a budget holds one more
// turn, whatever the copies hold together: they hold the same, or what they count
// is within it even if no entry is at two of them. Copies differ while one of them
// has missed turns that others have.
func SummariesAllow(sums []Summary, most, budget int) bool {
	total, same := 0, true
	for _, s := range sums {
		total += s.Spent
		same = same && s == sums[0]
	}
	if same && len(sums) > 0 {
		total = sums[0].Spent
	}
	return total+most <= budget
}
