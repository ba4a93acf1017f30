package gate

import (
	"context"
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

// fetchChain fetches an owner's chain from the vaults. The turns of one chain may lie on
// different vaults, so it continues with the turns before the ones received.
// The newest turn is known not to exist only if every seat counts as a copy and
// lacks it.
func (c *vaultClient) fetchChain(ctx context.Context, previous, owner string) ([]*chains.Turn, error) {
	var chain []*chains.Turn
	err := c.withRoster(ctx, func(roster *seats.Roster) error {
		for {
			missing := c.missingTurn(previous, owner)
			if missing == "" {
				chain, _ = c.cachedChain(previous, owner)
				return nil
			}
			lacking := c.fetchTurns(ctx, roster, missing, owner)
			switch {
			case c.missingTurn(previous, owner) != missing:
			case missing == previous && lacking == len(roster.Seats) && lacking >= seats.TargetCount(c.site.MaxLostHosts):
				return errors.Wrapf(errUnknown, "%s at %s", previous, roster)
			default:
				return errors.Wrapf(errUncertain, "%d of %d vaults lack the turn %s", lacking, len(roster.Seats), missing)
			}
		}
	})
	return chain, err
}

// fetchTurns asks vaults, nearest first and one at a time, for the chain up to
// a turn until one returns turns. Asking one at a time lets the text cross
// between data centres only once. It returns 0 if turns arrived, else how many
// vaults that count as copies lack the turn.
func (c *vaultClient) fetchTurns(ctx context.Context, roster *seats.Roster, id, owner string) int {
	lacking := 0
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
		}
		if len(f.Turns) == 0 && f.Authoritative && f.Version == roster.Version {
			lacking++
		}
		return len(f.Turns) > 0
	})
	if err == nil {
		return 0
	}
	return lacking
}

// missingTurn returns the newest turn of an owner's chain that is not cached, or "".
func (c *vaultClient) missingTurn(id, owner string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id != "" {
		t, ok := c.cachedTurn(id, owner)
		if !ok {
			return id
		}
		id = t.Previous
	}
	return ""
}

// cachedChain returns an owner's chain up to a turn, oldest first, and whether all of
// it is cached.
func (c *vaultClient) cachedChain(id, owner string) ([]*chains.Turn, bool) {
	if id == "" {
		return nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var chain []*chains.Turn
	for id != "" {
		t, ok := c.cachedTurn(id, owner)
		if !ok {
			return nil, false
		}
		chain = append(chain, t)
		id = t.Previous
	}
	for i, j := 0, len(chain)-1; i < j; i, j = i+1, j-1 {
		chain[i], chain[j] = chain[j], chain[i]
	}
	return chain, true
}

// cacheTurns adds turns to the cache and evicts the least recently used ones
// beyond the cache's share of the memory.
func (c *vaultClient) cacheTurns(turns ...*chains.Turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range turns {
		key := cacheKey{t.ID, t.Owner}
		if c.cache.Contains(key) {
			continue
		}
		c.cache.Add(key, t)
		c.cachedBytes += turnBytes(t)
	}
	for c.cachedBytes > int64(cacheShare*float64(c.site.Memory)) {
		c.cache.RemoveOldest()
	}
}
