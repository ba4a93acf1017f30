package gate

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

// cacheKey identifies a cached turn. Callers choose the IDs, so customers can choose the
// same one.
type cacheKey struct{ id, owner string }

// cachedTurn returns the cached turn that an owner gets for an ID: its own, else one
// without an owner. Turns of other owners count as turns that are not cached. The caller
// holds the mutex.
func (c *vaultClient) cachedTurn(id, owner string) (*chains.Turn, bool) {
	if t, ok := c.cache.Get(cacheKey{id, owner}); ok || owner == "" {
		return t, ok
	}
	return c.cache.Get(cacheKey{id, ""})
}

// dropStale drops a turn from the cache whose own retention is over. Whether a turn that continues
// it keeps it alive, only the vaults know; a turn that went on from a chain that they have dropped
// could not be continued itself.
func (c *vaultClient) dropStale(now time.Time, wanted opening) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.cachedTurn(wanted.previous, wanted.owner)
	if ok && now.After(time.UnixMilli(t.Written).Add(t.Retention-wanted.margin)) {
		c.cache.Remove(cacheKey{t.ID, t.Owner})
	}
}

// maxChainLength bounds the walk along a chain, as at the vaults.
const maxChainLength = 4096

// fetchChain fetches an owner's chain from the vaults, oldest turn first. The turns of one chain may
// lie on different vaults, and an answer holds a page of them, so it continues with the turns before the
// ones received. room books the texts of each. The newest turn is known not to exist only if every seat
// counts as a copy and lacks it.
func (c *vaultClient) fetchChain(ctx context.Context, previous, owner string, room func(bytes int) bool) ([]*chains.Turn, error) {
	var chain []*chains.Turn // newest first
	next := previous
	err := c.withRoster(ctx, func(roster *seats.Roster) error {
		for next != "" && len(chain) < maxChainLength {
			turns := c.cachedTurns(next, owner)
			lacking := 0
			if len(turns) == 0 {
				turns, lacking = c.fetchTurns(ctx, roster, next, owner)
			}
			missing := next
			for _, t := range turns {
				if t.ID != next || t.Owner != owner && t.Owner != "" {
					break
				}
				if room != nil && !room(len(t.Input)+len(t.Output)) {
					return errors.Wrapf(errNoRoom, "%d turns of the chain", len(chain))
				}
				chain, next = append(chain, t), t.Previous
			}
			switch {
			case next != missing:
			case missing == previous && lacking == len(roster.Seats) && lacking >= seats.TargetCount(c.site.MaxLostHosts):
				return errors.Wrapf(errUnknown, "%s at %s", previous, roster)
			default:
				return errors.Wrapf(errUncertain, "%d of %d vaults lack the turn %s", lacking, len(roster.Seats), missing)
			}
		}
		return nil
	})
	slices.Reverse(chain)
	return chain, err
}

// fetchTurns asks vaults, nearest first and one at a time, for the chain up to
// a turn until one returns turns, newest first. Asking one at a time lets the text cross
// between data centres only once. If none arrived, it returns how many
// vaults that count as copies lack the turn.
func (c *vaultClient) fetchTurns(ctx context.Context, roster *seats.Roster, id, owner string) ([]*chains.Turn, int) {
	lacking := 0
	var turns []*chains.Turn
	ctx, cancel := context.WithTimeout(ctx, openTime)
	defer cancel()
	err := c.gather(ctx, c.orderSeats(roster, id), 1, func(int, seats.Seat) vaults.Message {
		return &vaults.Fetch{Chain: id, Owner: owner}
	}, func(_ seats.Seat, m vaults.Message) bool {
		f, ok := m.(*vaults.FetchReply)
		if !ok {
			return false
		}
		if len(f.Turns) > 0 {
			c.chainAnswers.Inc()
			c.cacheTurns(f.Turns...)
			turns = f.Turns
		}
		if len(f.Turns) == 0 && f.Authoritative && f.Version == roster.Version {
			lacking++
		}
		return len(f.Turns) > 0
	})
	if err == nil {
		return turns, 0
	}
	return nil, lacking
}

// cachedTurns returns the cached turns of an owner's chain from a turn on, newest first, up to the
// first that is not cached.
func (c *vaultClient) cachedTurns(id, owner string) []*chains.Turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var turns []*chains.Turn
	for id != "" && len(turns) < maxChainLength {
		t, ok := c.cachedTurn(id, owner)
		if !ok {
			break
		}
		turns, id = append(turns, t), t.Previous
	}
	return turns
}

// cachedChain returns an owner's chain up to a turn, oldest first, and whether all of
// it is cached.
func (c *vaultClient) cachedChain(id, owner string) ([]*chains.Turn, bool) {
	if id == "" {
		return nil, true
	}
	chain := c.cachedTurns(id, owner)
	if n := len(chain); n == 0 || chain[n-1].Previous != "" {
		return nil, false
	}
	slices.Reverse(chain)
	return chain, true
}

// longTurnShare is the part of the cache from which on a turn is not cached. Few of them would take
// the place of all others.
const longTurnShare = 1.0 / 16

// cacheTurns adds turns to the cache and evicts the least recently used ones
// beyond the cache's share of the memory.
func (c *vaultClient) cacheTurns(turns ...*chains.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range turns {
		key := cacheKey{t.ID, t.Owner}
		if c.cache.Contains(key) || turnBytes(t) > int64(longTurnShare*cacheShare*float64(c.site.Memory)) {
			continue
		}
		c.cache.Add(key, t)
		c.cachedBytes += turnBytes(t)
	}
	for c.cachedBytes > int64(cacheShare*float64(c.site.Memory)) {
		c.cache.RemoveOldest()
	}
}
