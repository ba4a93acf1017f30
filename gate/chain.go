package gate

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

// fetchChain fetches a chain from the vaults. The turns of one chain may lie on
// different vaults, so it continues with the turns before the ones received.
// The newest turn is known not to exist only if every seat counts as a copy and
// lacks it.
func (c *vaultClient) fetchChain(ctx context.Context, previous string) ([]*chains.Turn, error) {
	var chain []*chains.Turn
	err := c.withRoster(ctx, func(roster *seats.Roster) error {
		for {
			missing := c.missingTurn(previous)
			if missing == "" {
				chain, _ = c.cachedChain(previous)
				return nil
			}
			lacking := c.fetchTurns(ctx, roster, missing)
			switch {
			case c.missingTurn(previous) != missing:
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
func (c *vaultClient) fetchTurns(ctx context.Context, roster *seats.Roster, id string) int {
	lacking := 0
	err := c.gather(ctx, c.orderSeats(roster, id), 1, func(int, seats.Seat) vaults.Message {
		return &vaults.Fetch{Chain: id}
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

// missingTurn returns the newest turn of a chain that is not cached, or "".
func (c *vaultClient) missingTurn(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id != "" {
		t, ok := c.cache.Get(id)
		if !ok {
			return id
		}
		id = t.Previous
	}
	return ""
}

// cachedChain returns the chain up to a turn, oldest first, and whether all of
// it is cached.
func (c *vaultClient) cachedChain(id string) ([]*chains.Turn, bool) {
	if id == "" {
		return nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var chain []*chains.Turn
	for id != "" {
		t, ok := c.cache.Get(id)
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
		if c.cache.Contains(t.ID) {
			continue
		}
		c.cache.Add(t.ID, t)
		c.cachedBytes += turnBytes(t)
	}
	for c.cachedBytes > int64(cacheShare*float64(c.site.Memory)) {
		c.cache.RemoveOldest()
	}
}
