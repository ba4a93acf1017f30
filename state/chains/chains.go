package chains

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/spend"
)

// maxChainLength bounds the walk along a chain. The longest program that the system is
// designed for has 120 turns, so a longer chain is a fault, such as a cycle.
const maxChainLength = 4096

// Source is where a record is stored. It is safe for concurrent use.
type Source interface {
	// Read returns the encoded record, and Size its length.
	Read() ([]byte, error)
	Size() int
	// Pin keeps the record stored until Release is called once more.
	Pin()
	Release()
}

// Kept is a turn that is held, with its texts in memory or where they are stored.
type Kept struct {
	*Turn
	// source is nil while the texts are in memory. It is pinned.
	source Source
	tree   *tree
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

// LoadBytes returns about how long the texts are that Load returns.
func (k Kept) LoadBytes() int {
	if k.source == nil {
		return len(k.Input) + len(k.Output)
	}
	return k.source.Size()
}

// withoutTexts returns a copy of a turn without its texts.
func (t *Turn) withoutTexts() *Turn {
	short := *t
	short.Input, short.Output = nil, nil
	return &short
}

// Chains holds the turns and accounts of one replica. It is not safe for concurrent use.
type Chains struct {
	// turns holds the turns by ID, one of each owner: callers choose the IDs, so customers
	// can choose the same one.
	turns map[string][]*Kept
	// trees holds the trees by root. Each has a turn.
	trees    map[string]*tree
	accounts map[string]*account
	// received holds the records in order of arrival, for replicas that catch up, without
	// those that are no longer needed. next is the cursor of the next one.
	received []numbered
	next     uint64
	// unspent holds the accounts that may be dropped soon, by time.
	unspent []unspent
	// bytes is about the memory that all of it takes, without texts.
	bytes int64
}

// numbered is a record and its cursor.
type numbered struct {
	cursor uint64
	record Record
}

// New returns a Chains without records.
func New() *Chains {
	return &Chains{turns: map[string][]*Kept{}, trees: map[string]*tree{}, accounts: map[string]*account{}}
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
		c.received = append(c.received, numbered{c.next, stored})
		c.next++
		c.bytes += recordBytes(stored)
	}
	return added
}

// SetSource notes where a record is stored, and releases it once that is not needed here. It
// drops the texts of a turn from memory, which would bound the turns that a host can hold far sooner
// than its disk.
func (c *Chains) SetSource(r Record, s Source) {
	defer s.Release()
	var program, turn string
	settles := true
	switch r := r.(type) {
	case *Turn:
		program, turn = r.Program, r.ID
		c.setTurnSource(r, s)
	case *Hold:
		program, turn, settles = r.Program, r.Turn, false
	case *Spent:
		program, turn = r.Program, r.Turn
	}
	if a := c.accounts[program]; a != nil {
		a.pin(turn, settles, s)
	}
}

func (c *Chains) setTurnSource(t *Turn, s Source) {
	k := c.ownedBy(t.ID, t.Owner)
	if k == nil || k.source != nil {
		return
	}
	s.Pin()
	// Answers that are being sent may use the turn, so it is replaced, not changed.
	k.Turn, k.source = k.withoutTexts(), s
	if i := c.position(k.cursor); i < len(c.received) && c.received[i].cursor == k.cursor {
		c.received[i].record = k.Turn
	}
}

// position returns the index of the first received record from a cursor on.
func (c *Chains) position(cursor uint64) int {
	i, _ := slices.BinarySearchFunc(c.received, cursor, func(n numbered, cursor uint64) int { return cmp.Compare(n.cursor, cursor) })
	return i
}

func (c *Chains) addTurn(t *Turn) bool {
	if c.ownedBy(t.ID, t.Owner) != nil {
		return false
	}
	k := &Kept{Turn: t, cursor: c.next}
	c.turns[t.ID] = append(c.turns[t.ID], k)
	c.addToTree(k)
	c.bytes += turnBytes(t)
	return true
}

// ownedBy returns the turn that an owner has recorded under an id, or nil.
func (c *Chains) ownedBy(id, owner string) *Kept {
	for _, k := range c.turns[id] {
		if k.Owner == owner {
			return k
		}
	}
	return nil
}

// visible returns the turn that an owner gets for an id, or nil: its own, else one without
// an owner.
func (c *Chains) visible(id, owner string) *Kept {
	if k := c.ownedBy(id, owner); k != nil {
		return k
	}
	return c.ownedBy(id, "")
}

// Turn returns the turns with an id, one of each owner.
func (c *Chains) Turn(id string) []Kept {
	kept := make([]Kept, 0, len(c.turns[id]))
	for _, k := range c.turns[id] {
		kept = append(kept, *k)
	}
	return kept
}

// Holds reports whether a turn need not be copied from another replica. One without an
// owner, where the same is held of an owner, has lost its owner in an earlier build.
func (c *Chains) Holds(id, owner string) bool {
	return c.ownedBy(id, owner) != nil || owner == "" && len(c.turns[id]) > 0
}

// Chain returns the stored turns up to id that an owner may continue, newest first.
// complete reports whether the first turn of the chain is among them. Turns of other
// owners count as turns that are not stored.
func (c *Chains) Chain(id, owner string) (turns []Kept, complete bool) {
	for range maxChainLength {
		k := c.visible(id, owner)
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
	rest := c.received[c.position(cursor):]
	next := c.next
	if len(rest) > limit {
		next = rest[limit].cursor
		rest = rest[:limit]
	}
	records := make([]Record, 0, len(rest))
	for _, n := range rest {
		records = append(records, n.record)
	}
	return records, next
}

// Size returns how many records are held.
func (c *Chains) Size() int { return len(c.received) }

// Bytes returns about the memory that is held, without the texts of turns.
func (c *Chains) Bytes() int64 { return c.bytes }

// NewBytes returns about the memory that a hold and the turn after it take, and whether their program
// is held already.
func (c *Chains) NewBytes(h *Hold) (bytes int64, underWay bool) {
	bytes = entryBytes(h.Turn) + turnBytes(&Turn{ID: h.Turn}) + 2*recordBytes(h)
	if _, underWay = c.accounts[h.Program]; !underWay {
		bytes += accountBytes(h.Program)
	}
	return bytes, underWay
}

// accountBytes, entryBytes, turnBytes and recordBytes return about the memory of one of each.
func accountBytes(key string) int64 { return 500 + 2*int64(len(key)) }

func entryBytes(turn string) int64 { return 100 + int64(len(turn)) }

func turnBytes(t *Turn) int64 { return 300 + 3*int64(len(t.ID)) }

func recordBytes(r Record) int64 {
	const overhead = 150
	switch r := r.(type) {
	case *Turn:
		return overhead + int64(len(r.ID)+len(r.Previous)+len(r.Root)+len(r.Program)+len(r.Endpoint)+len(r.Owner))
	case *Hold:
		return overhead + int64(len(r.Program)+len(r.Turn))
	case *Spent:
		return overhead + int64(len(r.Program)+len(r.Turn))
	}
	return overhead
}

// Prune forgets the records that neither a turn nor an account needs any more.
func (c *Chains) Prune() {
	kept := make([]numbered, 0, len(c.received))
	for _, n := range c.received {
		if c.needed(n.record) {
			kept = append(kept, n)
		} else {
			c.bytes -= recordBytes(n.record)
		}
	}
	c.received = kept
}

// needed reports whether a turn or an account needs a record.
func (c *Chains) needed(r Record) bool {
	switch r := r.(type) {
	case *Turn:
		return c.ownedBy(r.ID, r.Owner) != nil || c.accounts[r.Program] != nil
	case *Hold:
		a := c.accounts[r.Program]
		return a != nil && !a.Settled(r.Turn)
	case *Spent:
		return c.accounts[r.Program] != nil
	}
	return false
}

// BuildInput returns the full input of a turn: the input and output of each earlier turn
// of the chain, oldest first, followed by the new input.
func BuildInput(turns []*Turn, input []byte) []byte {
	text := make([]byte, 0, InputBytes(turns, input))
	for _, t := range turns {
		text = append(append(text, t.Input...), t.Output...)
	}
	return append(text, input...)
}

// InputBytes returns the length of what BuildInput returns.
func InputBytes(turns []*Turn, input []byte) int {
	size := len(input)
	for _, t := range turns {
		size += len(t.Input) + len(t.Output)
	}
	return size
}
