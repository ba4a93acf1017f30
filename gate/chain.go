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
func (b *vaultClient) fetchChain(ctx context.Context, previous string) ([]*chains.Turn, error) {
	var chain []*chains.Turn
	err := b.withRoster(ctx, func(roster *seats.Roster) error {
		for {
			missing := b.missingTurn(previous)
			if missing == "" {
				chain, _ = b.cachedChain(previous)
				return nil
			}
			lacking := b.fetchTurns(ctx, roster, missing)
			switch {
			case b.missingTurn(previous) != missing:
			case missing == previous && lacking == len(roster.Seats) && lacking >= seats.Wanted(b.site.Losses):
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
func (b *vaultClient) fetchTurns(ctx context.Context, roster *seats.Roster, id string) int {
	lacking := 0
	err := b.gather(ctx, b.orderSeats(roster, id), 1, func(int, seats.Seat) vaults.Message {
		return &vaults.Fetch{Chain: id}
	}, func(_ seats.Seat, m vaults.Message) bool {
		f, ok := m.(*vaults.Fetched)
		if !ok {
			return false
		}
		if len(f.Turns) > 0 {
			b.chainAnswers.Inc()
			b.cacheTurns(f.Turns...)
		}
		if len(f.Turns) == 0 && f.Certain && f.Version == roster.Version {
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
func (b *vaultClient) missingTurn(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id != "" {
		t, ok := b.cache.Get(id)
		if !ok {
			return id
		}
		id = t.Previous
	}
	return ""
}

// cachedChain returns the chain up to a turn, oldest first, and whether all of
// it is cached.
func (b *vaultClient) cachedChain(id string) ([]*chains.Turn, bool) {
	if id == "" {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var chain []*chains.Turn
	for id != "" {
		t, ok := b.cache.Get(id)
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
func (b *vaultClient) cacheTurns(turns ...*chains.Turn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range turns {
		if b.cache.Contains(t.ID) {
			continue
		}
		b.cache.Add(t.ID, t)
		b.cachedBytes += turnBytes(t)
	}
	for b.cachedBytes > int64(cacheShare*float64(b.site.Memory)) {
		b.cache.RemoveOldest()
	}
}
