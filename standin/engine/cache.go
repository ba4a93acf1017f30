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

// cache holds the blocks of prompt prefixes in limited memory and evicts the least
// recently used. Callers hold the engine's lock.
type cache struct {
	options Options
	blocks  *simplelru.LRU[uint64, *block]
	// conversations are by program, then agent.
	conversations map[string]map[string]*conversation
	endedPrograms map[string]bool
	// reservedBlocks is the number of blocks that running jobs will still fill.
	reservedBlocks int
	// dirty holds the conversations whose cached length may have changed.
	dirty map[*conversation]bool
	meter usageMeter
}

// block is one block of a cached prefix.
type block struct {
	hash   uint64
	owners map[*conversation]bool
	// liveOwners counts the owners whose program has not ended.
	liveOwners int
	// pins counts the running jobs that use the block; only unpinned blocks are evicted.
	pins int
	// shared blocks belong to a service's system prompt.
	shared bool
}

// conversation is the cached part of one agent's conversation.
type conversation struct {
	program string
	agent   string
	blocks  map[*block]bool
	// hashes identify the blocks of the newest state of the conversation, in order.
	hashes []uint64
	// publishedTokens is the cached length that was last published.
	publishedTokens int
}

func newCache(o Options) *cache {
	blocks, _ := simplelru.NewLRU[uint64, *block](math.MaxInt, nil)
	return &cache{
		options: o, blocks: blocks, conversations: map[string]map[string]*conversation{},
		endedPrograms: map[string]bool{}, dirty: map[*conversation]bool{},
	}
}

// blockKey identifies one block of a conversation.
type blockKey struct {
	hash   uint64
	shared bool
}

// blockKeys divides a conversation into blocks. A hash covers all blocks up to its
// own. A last part shorter than a block is left out.
func (c *cache) blockKeys(messages []call.Message) []blockKey {
	size := c.options.BlockTokens * model.CharsPerToken
	text, system := model.Encode(messages)
	keys := make([]blockKey, 0, len(text)/size)
	var last [8]byte
	for end := size; end <= len(text); end += size {
		d := xxhash.New()
		_, _ = d.Write(last[:])
		_, _ = d.Write(text[end-size : end])
		h := d.Sum64()
		binary.LittleEndian.PutUint64(last[:], h)
		keys = append(keys, blockKey{hash: h, shared: end <= system})
	}
	return keys
}

// pinPrefix pins and returns the cached blocks at the beginning of a conversation.
func (c *cache) pinPrefix(keys []blockKey) []*block {
	var found []*block
	for _, k := range keys {
		b, ok := c.blocks.Peek(k.hash)
		if !ok {
			break
		}
		b.pins++
		found = append(found, b)
	}
	// Marks the blocks as used from the last to the first, so that a block is never
	// evicted before those that follow it.
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

// makeRoom evicts unpinned blocks until count more fit, and reports whether they do.
func (c *cache) makeRoom(now time.Time, count int) bool {
	capacity := c.options.CacheTokens / c.options.BlockTokens
	for tries := c.blocks.Len(); c.blocks.Len()+c.reservedBlocks+count > capacity; tries-- {
		_, b, ok := c.blocks.GetOldest()
		if !ok || tries <= 0 {
			return false
		}
		if b.pins > 0 {
			c.blocks.Get(b.hash)
			continue
		}
		c.integrate(now)
		c.remove(b)
	}
	return true
}

// store adds a conversation's blocks for an agent and returns them pinned.
func (c *cache) store(now time.Time, program, agent string, keys []blockKey) []*block {
	c.integrate(now)
	cv := c.conversation(program, agent)
	cv.hashes = cv.hashes[:0]
	stored := make([]*block, 0, len(keys))
	for _, k := range keys {
		b, ok := c.blocks.Peek(k.hash)
		if !ok {
			b = &block{hash: k.hash, shared: k.shared, owners: map[*conversation]bool{}}
		}
		c.addOwner(cv, b)
		b.pins++
		stored = append(stored, b)
		cv.hashes = append(cv.hashes, k.hash)
	}
	for i := len(stored) - 1; i >= 0; i-- {
		c.blocks.Add(stored[i].hash, stored[i])
	}
	c.dirty[cv] = true
	return stored
}

func (c *cache) addOwner(cv *conversation, b *block) {
	if b.owners[cv] {
		return
	}
	c.countBlock(b, -1)
	b.owners[cv] = true
	cv.blocks[b] = true
	if !c.endedPrograms[cv.program] {
		b.liveOwners++
	}
	c.countBlock(b, 1)
}

func (c *cache) conversation(program, agent string) *conversation {
	byAgent := c.conversations[program]
	if byAgent == nil {
		byAgent = map[string]*conversation{}
		c.conversations[program] = byAgent
	}
	cv := byAgent[agent]
	if cv == nil {
		cv = &conversation{program: program, agent: agent, blocks: map[*block]bool{}}
		byAgent[agent] = cv
	}
	return cv
}

// remove drops a block from the cache.
func (c *cache) remove(b *block) {
	c.countBlock(b, -1)
	for cv := range b.owners {
		delete(cv.blocks, b)
		c.dirty[cv] = true
	}
	clear(b.owners)
	b.liveOwners = 0
	c.blocks.Remove(b.hash)
}

// releaseProgram removes the ownership of a program, or of some of its agents, and
// drops the blocks that no one else owns.
func (c *cache) releaseProgram(now time.Time, program string, agents []string) {
	c.integrate(now)
	for name, cv := range c.conversations[program] {
		if len(agents) > 0 && !slices.Contains(agents, name) {
			continue
		}
		for b := range cv.blocks {
			c.removeOwner(cv, b)
		}
		clear(cv.blocks)
		cv.hashes = nil
		c.dirty[cv] = true
		delete(c.conversations[program], name)
	}
	if len(c.conversations[program]) == 0 {
		delete(c.conversations, program)
	}
}

func (c *cache) removeOwner(cv *conversation, b *block) {
	c.countBlock(b, -1)
	delete(b.owners, cv)
	if !c.endedPrograms[cv.program] {
		b.liveOwners--
	}
	if len(b.owners) > 0 || b.shared {
		c.countBlock(b, 1)
		return
	}
	if b.pins == 0 {
		c.blocks.Remove(b.hash)
	}
}

// endProgram marks a program as ended, so that blocks that only it holds count as
// wasted.
func (c *cache) endProgram(now time.Time, program string) {
	if c.endedPrograms[program] {
		return
	}
	c.integrate(now)
	c.endedPrograms[program] = true
	for _, cv := range c.conversations[program] {
		for b := range cv.blocks {
			c.countBlock(b, -1)
			b.liveOwners--
			c.countBlock(b, 1)
		}
	}
}

// heldTokens returns the tokens held for each program.
func (c *cache) heldTokens() map[string]int {
	held := map[string]int{}
	for program, byAgent := range c.conversations {
		blocks := map[*block]bool{}
		for _, cv := range byAgent {
			for b := range cv.blocks {
				blocks[b] = true
			}
		}
		if len(blocks) > 0 {
			held[program] = len(blocks) * c.options.BlockTokens
		}
	}
	return held
}

// cachedTokens returns how many tokens of the newest state of a conversation are
// cached.
func (c *cache) cachedTokens(cv *conversation) int {
	n := 0
	for _, h := range cv.hashes {
		if _, ok := c.blocks.Peek(h); !ok {
			break
		}
		n += c.options.BlockTokens
	}
	return n
}
