package chains

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/spend"
)

// maxChainLength bounds the walk along a chain. The longest program that the system is
// designed for has 120 turns, so a longer chain is a fault, such as a cycle.
const maxChainLength = 4096

// Source is where the record of a turn is stored. It is safe for concurrent use.
type Source interface {
	// Read returns the encoded record.
	Read() ([]byte, error)
	// KeepUntil keeps the record until the given time at least.
	KeepUntil(t time.Time)
}

// Kept is a turn that is held, with its texts in memory or where they are stored.
type Kept struct {
	*Turn
	// source is nil while the texts are in memory.
	source Source
	// expiresAt only moves later: a turn is kept as long as any turn that continues it.
	expiresAt time.Time
	// cursor is that of the turn's record.
	cursor uint64
}

// Load returns the turn with its texts. It may read them, and is safe for concurrent
// use.
func (k Kept) Load() (*Turn, error) {
	if k.source == nil {
		return k.Turn, nil
	}
	data, err := k.source.Read()
	if err != nil {
		return nil, err
	}
	r, err := Decode(data)
	if err != nil {
		return nil, err
	}
	t, ok := r.(*Turn)
	if !ok || t.ID != k.ID {
		return nil, errors.Wrapf(ErrRecord, "not the turn %s", k.ID)
	}
	return t, nil
}

// withoutTexts returns a copy of a turn without its texts.
func (t *Turn) withoutTexts() *Turn {
	short := *t
	short.Input, short.Output = nil, nil
	return &short
}

type account struct {
	*spend.Account
	// openedAt is when the first of its records was written.
	openedAt  time.Time
	expiresAt time.Time
}

// Chains holds the turns and accounts of one replica. It is not safe for concurrent use.
type Chains struct {
	turns    map[string]*Kept
	accounts map[string]*account
	// received holds the records in order of arrival, for replicas that catch up. base is
	// the cursor of the first one.
	received []Record
	base     uint64
}

// New returns a Chains without records.
func New() *Chains {
	return &Chains{turns: map[string]*Kept{}, accounts: map[string]*account{}}
}

// Add stores a record and reports whether it changed anything.
func (c *Chains) Add(r Record) bool {
	added := false
	stored := r
	switch r := r.(type) {
	case *Turn:
		if added = c.addTurn(r); !added {
			stored = r.withoutTexts() // the texts are held already
		}
		if r.Program != "" {
			entry := spend.Entry{Used: r.Used, Settled: true}
			added = c.merge(r.Program, r.ID, entry, r.writtenAt(), r.Retention) || added
		}
	case *Hold:
		added = c.merge(r.Program, r.Turn, spend.Entry{MaxTokens: r.MaxTokens}, r.writtenAt(), r.Retention)
	case *Spent:
		added = c.merge(r.Program, r.Turn, spend.Entry{Used: r.Used, Settled: true}, r.writtenAt(), r.Retention)
	}
	if added {
		c.received = append(c.received, stored)
	}
	return added
}

// SetSource notes where the record of a turn is stored, and drops its texts from
// memory. Memory would bound the turns that a host can hold far sooner than its disk.
func (c *Chains) SetSource(id string, s Source) {
	k := c.turns[id]
	if k == nil || k.source != nil {
		return
	}
	s.KeepUntil(k.expiresAt)
	// Answers that are being sent may use the turn, so it is replaced, not changed.
	k.Turn, k.source = k.withoutTexts(), s
	if k.cursor >= c.base {
		c.received[k.cursor-c.base] = k.Turn
	}
}

func (c *Chains) addTurn(t *Turn) bool {
	if c.turns[t.ID] != nil {
		return false
	}
	until := t.writtenAt().Add(t.Retention)
	c.turns[t.ID] = &Kept{Turn: t, expiresAt: until, cursor: c.base + uint64(len(c.received))}
	c.extendRetention(t.Previous, until)
	return true
}

// extendRetention keeps a turn and its predecessors until the given time.
func (c *Chains) extendRetention(id string, until time.Time) {
	for range maxChainLength {
		k := c.turns[id]
		if k == nil || !k.expiresAt.Before(until) {
			return
		}
		k.expiresAt = until
		if k.source != nil {
			k.source.KeepUntil(until)
		}
		id = k.Previous
	}
}

func (c *Chains) merge(program, turn string, e spend.Entry, written time.Time, retention time.Duration) bool {
	a, until := c.accounts[program], written.Add(retention)
	if a == nil {
		a = &account{Account: spend.New(), openedAt: written}
		c.accounts[program] = a
	}
	if written.Before(a.openedAt) {
		a.openedAt = written
	}
	if a.expiresAt.Before(until) {
		a.expiresAt = until
	}
	return a.Merge(turn, e)
}

// Account returns a program's account, or nil if there is none.
func (c *Chains) Account(program string) *spend.Account {
	if a := c.accounts[program]; a != nil {
		return a.Account
	}
	return nil
}

// AccountAge returns how long ago a program's account was opened, 0 if there is none.
func (c *Chains) AccountAge(now time.Time, program string) time.Duration {
	if a := c.accounts[program]; a != nil {
		return max(0, now.Sub(a.openedAt))
	}
	return 0
}

// Turn returns the turn with an id and whether it is held.
func (c *Chains) Turn(id string) (Kept, bool) {
	if k := c.turns[id]; k != nil {
		return *k, true
	}
	return Kept{}, false
}

// Chain returns the stored turns up to id, newest first. complete reports whether the
// first turn of the chain is among them.
func (c *Chains) Chain(id string) (turns []Kept, complete bool) {
	for range maxChainLength {
		k := c.turns[id]
		if k == nil {
			return turns, false
		}
		turns = append(turns, *k)
		if k.Previous == "" {
			return turns, true
		}
		id = k.Previous
	}
	return turns, false
}

// After returns up to limit records from a cursor on, and the next cursor.
func (c *Chains) After(cursor uint64, limit int) ([]Record, uint64) {
	if cursor < c.base {
		cursor = c.base
	}
	first := min(cursor-c.base, uint64(len(c.received)))
	last := min(first+uint64(limit), uint64(len(c.received)))
	return c.received[first:last], c.base + last
}

// Size returns how many records are held.
func (c *Chains) Size() int { return len(c.received) }

// Expire drops expired turns and accounts, and the oldest records up to the first one that
// a turn or an account still needs.
func (c *Chains) Expire(now time.Time) {
	for id, k := range c.turns {
		if now.After(k.expiresAt) {
			delete(c.turns, id)
		}
	}
	for p, a := range c.accounts {
		if now.After(a.expiresAt) {
			delete(c.accounts, p)
		}
	}
	dropped := 0
	for dropped < len(c.received) && !c.needed(c.received[dropped]) {
		dropped++
	}
	c.received = append([]Record(nil), c.received[dropped:]...)
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

// BuildInput returns the full input of a turn: the input and output of each earlier turn
// of the chain, oldest first, followed by the new input.
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
