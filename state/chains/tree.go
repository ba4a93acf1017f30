package chains

import (
	"slices"
	"time"
)

// tree is the first turn of a chain and all turns that continue it. They are kept for one
// time: the retention of a turn holds for every turn before it.
type tree struct {
	// root is the ID of the first turn, which need not be held here.
	root string
	// until is when the tree may be dropped, by the turns that this replica has heard of. It
	// only moves later.
	until time.Time
	turns []*Kept
}

func (t *tree) keepUntil(until time.Time) {
	if until.After(t.until) {
		t.until = until
	}
}

// rootOf returns the root of the tree that a turn belongs to. Builds before Turn.Root do
// not name it; the turn before stands for it where that is not held.
func (c *Chains) rootOf(t *Turn) string {
	if t.Root != "" && t.Previous != "" {
		return t.Root
	}
	if t.Previous == "" {
		return t.ID
	}
	if k := c.visible(t.Previous, t.Owner); k != nil {
		return k.tree.root
	}
	return t.Previous
}

// addToTree adds a turn to its tree. Turns of builds that do not name the root may have
// been held as separate trees until now.
func (c *Chains) addToTree(k *Kept) {
	root := c.rootOf(k.Turn)
	t := c.trees[root]
	if t == nil {
		t = &tree{root: root}
		c.trees[root] = t
	}
	t.turns, k.tree = append(t.turns, k), t
	t.keepUntil(k.writtenAt().Add(k.Retention))
	c.mergeTrees(t, c.trees[k.ID])
	if p := c.visible(k.Previous, k.Owner); p != nil {
		c.mergeTrees(t, p.tree)
	}
}

// mergeTrees adds the turns of another tree, which may be nil or the same.
func (c *Chains) mergeTrees(t, other *tree) {
	if other == nil || other == t {
		return
	}
	for _, k := range other.turns {
		k.tree = t
	}
	t.turns = append(t.turns, other.turns...)
	t.keepUntil(other.until)
	delete(c.trees, other.root)
}

// dropTree forgets the turns of a tree.
func (c *Chains) dropTree(t *tree) {
	for _, k := range t.turns {
		c.bytes -= turnBytes(k.Turn)
		if k.source != nil {
			k.source.Release()
		}
		rest := slices.DeleteFunc(c.turns[k.ID], func(o *Kept) bool { return o == k })
		if c.turns[k.ID] = rest; len(rest) == 0 {
			delete(c.turns, k.ID)
		}
	}
	delete(c.trees, t.root)
}
