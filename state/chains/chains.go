package chains

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/spend"
)

// depth bounds a chain's length; the letter's longest program has 120 turns, and
// a chain that does not end is a fault.
const depth = 4096

// keptTurn is a turn and when it may be dropped.
type keptTurn struct {
	*Turn
	// until only moves later: a turn is kept as long as one that goes on from it.
	until time.Time
}

type account struct {
	*spend.Account
	until time.Time
}

// Chains is what one copy holds. One goroutine at a time may use it.
type Chains struct {
	turns    map[string]*keptTurn
	accounts map[string]*account
	// order holds the records as they came, for those who catch up; base is the
	// number of the first.
	order []Record
	base  uint64
}

// New returns empty chains.
func New() *Chains {
	return &Chains{turns: map[string]*keptTurn{}, accounts: map[string]*account{}}
}

// Add notes a record and tells whether it says anything new.
func (c *Chains) Add(r Record) bool {
	added := false
	switch r := r.(type) {
	case *Turn:
		added = c.addTurn(r)
		if r.Program != "" {
			entry := spend.Entry{Used: r.Used, Settled: true}
			added = c.merge(r.Program, r.ID, entry, r.at().Add(r.Retention)) || added
		}
	case *Hold:
		added = c.merge(r.Program, r.Turn, spend.Entry{MaxTokens: r.MaxTokens}, r.at().Add(r.Retention))
	case *Spent:
		added = c.merge(r.Program, r.Turn, spend.Entry{Used: r.Used, Settled: true}, r.at().Add(r.Retention))
	}
	if added {
		c.order = append(c.order, r)
	}
	return added
}

func (c *Chains) addTurn(t *Turn) bool {
	if c.turns[t.ID] != nil {
		return false
	}
	until := t.at().Add(t.Retention)
	c.turns[t.ID] = &keptTurn{Turn: t, until: until}
	c.touch(t.Previous, until)
	return true
}

// touch keeps a turn and those before it until a time.
func (c *Chains) touch(id string, until time.Time) {
	for range depth {
		k := c.turns[id]
		if k == nil || !k.until.Before(until) {
			return
		}
		k.until = until
		id = k.Previous
	}
}

func (c *Chains) merge(program, turn string, e spend.Entry, until time.Time) bool {
	a := c.accounts[program]
	if a == nil {
		a = &account{Account: spend.New()}
		c.accounts[program] = a
	}
	if a.until.Before(until) {
		a.until = until
	}
	return a.Merge(turn, e)
}

// Account returns a program's account, or nil if nothing is known of it.
func (c *Chains) Account(program string) *spend.Account {
	if a := c.accounts[program]; a != nil {
		return a.Account
	}
	return nil
}

// Turn returns a turn, or nil.
func (c *Chains) Turn(id string) *Turn {
	if k := c.turns[id]; k != nil {
		return k.Turn
	}
	return nil
}

// Chain returns the turns up to id as far as they are here, newest first; whole
// tells whether the first turn of the chain is among them.
func (c *Chains) Chain(id string) (turns []*Turn, whole bool) {
	for range depth {
		k := c.turns[id]
		if k == nil {
			return turns, false
		}
		turns = append(turns, k.Turn)
		if k.Previous == "" {
			return turns, true
		}
		id = k.Previous
	}
	return turns, false
}

// After returns up to most records from a cursor on, and the next cursor.
func (c *Chains) After(cursor uint64, most int) ([]Record, uint64) {
	if cursor < c.base {
		cursor = c.base
	}
	first := min(cursor-c.base, uint64(len(c.order)))
	last := min(first+uint64(most), uint64(len(c.order)))
	return c.order[first:last], c.base + last
}

// Size returns how many records are held.
func (c *Chains) Size() int { return len(c.order) }

// Expire drops what need not be kept any longer.
func (c *Chains) Expire(now time.Time) {
	for id, k := range c.turns {
		if now.After(k.until) {
			delete(c.turns, id)
		}
	}
	for p, a := range c.accounts {
		if now.After(a.until) {
			delete(c.accounts, p)
		}
	}
	dropped := 0
	for dropped < len(c.order) && !c.needed(c.order[dropped]) {
		dropped++
	}
	c.order = append([]Record(nil), c.order[dropped:]...)
	c.base += uint64(dropped)
}

func (c *Chains) needed(r Record) bool {
	switch r := r.(type) {
	case *Turn:
		return c.turns[r.ID] != nil || c.accounts[r.Program] != nil
	case *Hold:
		return c.accounts[r.Program] != nil
	case *Spent:
		return c.accounts[r.Program] != nil
	}
	return false
}

// BuildInput returns what an endpoint reads for a turn: the input and output of each
// turn of the chain, oldest first, and then the new input.
func BuildInput(turns []*Turn, input []byte) []byte {
	size := len(input)
	for _, t := range turns {
		size += len(t.Input) + len(t.Output)
	}
	text := make([]byte, 0, size)
	for _, t := range turns {
		text = append(append(text, t.Input...), t.Output...)
	}
	return append(text, input...)
}
