package engine

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cowslipstage/cowslipstage/standin/model"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// cache holds the blocks of prompt prefixes in limited memory. Callers hold
// the engine's lock.
type cache struct {
	options Options
	blocks  *simplelru.LRU[uint64, *block]
	// talks are by program, then agent.
	talks map[string]map[string]*talk
	ended map[string]bool
	// reserved is the blocks that running streams will still fill.
	reserved int
	// dirty holds the talks whose cached length may have changed.
	dirty map[*talk]bool
	usage usage
}

// block is one unit of cached prefix.
type block struct {
	hash   uint64
	owners map[*talk]bool
	// live counts the owners whose program has not ended.
	live int
	// pins counts the running streams that use the block; only unpinned blocks are evicted.
	pins int
	// shared blocks belong to a service's system prompt.
	shared bool
}

// talk is the cached part of one agent's conversation.
type talk struct {
	program string
	agent   string
	blocks  map[*block]bool
	// chain is the newest conversation, in order.
	chain []uint64
	// told is the cached length last published, in tokens.
	told int
}

func newCache(o Options) *cache {
	blocks, _ := simplelru.NewLRU[uint64, *block](math.MaxInt, nil)
	return &cache{
		options: o, blocks: blocks, talks: map[string]map[string]*talk{},
		ended: map[string]bool{}, dirty: map[*talk]bool{},
	}
}

// link is one block of a conversation.
type link struct {
	hash   uint64
	shared bool
}

// links divides a conversation into chained blocks; a last part that fills no
// block is left out.
func (c *cache) links(messages []call.Message) []link {
	size := c.options.BlockTokens * model.CharsPerToken
	text, system := model.Encode(messages)
	links := make([]link, 0, len(text)/size)
	var last [8]byte
	for at := size; at <= len(text); at += size {
		d := xxhash.New()
		_, _ = d.Write(last[:])
		_, _ = d.Write(text[at-size : at])
		h := d.Sum64()
		binary.LittleEndian.PutUint64(last[:], h)
		links = append(links, link{hash: h, shared: at <= system})
	}
	return links
}

// match pins and returns the cached beginning of a conversation.
func (c *cache) match(links []link) []*block {
	var found []*block
	for _, l := range links {
		b, ok := c.blocks.Peek(l.hash)
		if !ok {
			break
		}
		b.pins++
		found = append(found, b)
	}
	// From the end, so that a block is always newer than those that follow it.
	for i := len(found) - 1; i >= 0; i-- {
		c.blocks.Get(found[i].hash)
	}
	return found
}

func (c *cache) unpin(blocks []*block) {
	for _, b := range blocks {
		b.pins--
		if b.pins == 0 && len(b.owners) == 0 && !b.shared {
			c.remove(b)
		}
	}
}

// room makes place for more blocks, and tells whether there is any.
func (c *cache) room(now time.Time, count int) bool {
	capacity := c.options.CacheTokens / c.options.BlockTokens
	for tries := c.blocks.Len(); c.blocks.Len()+c.reserved+count > capacity; tries-- {
		_, b, ok := c.blocks.GetOldest()
		if !ok || tries <= 0 {
			return false
		}
		if b.pins > 0 {
			c.blocks.Get(b.hash)
			continue
		}
		c.count(now)
		c.remove(b)
	}
	return true
}

// keep stores a conversation's blocks for an agent and returns them pinned.
func (c *cache) keep(now time.Time, program, agent string, links []link) []*block {
	c.count(now)
	t := c.talk(program, agent)
	t.chain = t.chain[:0]
	kept := make([]*block, 0, len(links))
	for _, l := range links {
		b, ok := c.blocks.Peek(l.hash)
		if !ok {
			b = &block{hash: l.hash, shared: l.shared, owners: map[*talk]bool{}}
		}
		c.own(t, b)
		b.pins++
		kept = append(kept, b)
		t.chain = append(t.chain, l.hash)
	}
	for i := len(kept) - 1; i >= 0; i-- {
		c.blocks.Add(kept[i].hash, kept[i])
	}
	c.dirty[t] = true
	return kept
}

func (c *cache) own(t *talk, b *block) {
	if b.owners[t] {
		return
	}
	c.weigh(b, -1)
	b.owners[t] = true
	t.blocks[b] = true
	if !c.ended[t.program] {
		b.live++
	}
	c.weigh(b, 1)
}

func (c *cache) talk(program, agent string) *talk {
	all := c.talks[program]
	if all == nil {
		all = map[string]*talk{}
		c.talks[program] = all
	}
	t := all[agent]
	if t == nil {
		t = &talk{program: program, agent: agent, blocks: map[*block]bool{}}
		all[agent] = t
	}
	return t
}

// remove drops a block from memory.
func (c *cache) remove(b *block) {
	c.weigh(b, -1)
	for t := range b.owners {
		delete(t.blocks, b)
		c.dirty[t] = true
	}
	clear(b.owners)
	b.live = 0
	c.blocks.Remove(b.hash)
}

// release drops what only this program holds, or only these agents of it.
func (c *cache) release(now time.Time, program string, agents []string) {
	c.count(now)
	for name, t := range c.talks[program] {
		if len(agents) > 0 && !slices.Contains(agents, name) {
			continue
		}
		for b := range t.blocks {
			c.disown(t, b)
		}
		clear(t.blocks)
		t.chain = nil
		c.dirty[t] = true
		delete(c.talks[program], name)
	}
	if len(c.talks[program]) == 0 {
		delete(c.talks, program)
	}
}

func (c *cache) disown(t *talk, b *block) {
	c.weigh(b, -1)
	delete(b.owners, t)
	if !c.ended[t.program] {
		b.live--
	}
	if len(b.owners) > 0 || b.shared {
		c.weigh(b, 1)
		return
	}
	if b.pins == 0 {
		c.blocks.Remove(b.hash)
	}
}

// end notes that a program has ended, so that what it holds counts as waste.
func (c *cache) end(now time.Time, program string) {
	if c.ended[program] {
		return
	}
	c.count(now)
	c.ended[program] = true
	for _, t := range c.talks[program] {
		for b := range t.blocks {
			c.weigh(b, -1)
			b.live--
			c.weigh(b, 1)
		}
	}
}

// held returns the tokens held for each program.
func (c *cache) held() map[string]int {
	held := map[string]int{}
	for program, talks := range c.talks {
		blocks := map[*block]bool{}
		for _, t := range talks {
			for b := range t.blocks {
				blocks[b] = true
			}
		}
		if len(blocks) > 0 {
			held[program] = len(blocks) * c.options.BlockTokens
		}
	}
	return held
}

// length returns how many tokens of an agent's newest conversation are cached.
func (c *cache) length(t *talk) int {
	n := 0
	for _, h := range t.chain {
		if _, ok := c.blocks.Peek(h); !ok {
			break
		}
		n += c.options.BlockTokens
	}
	return n
}
