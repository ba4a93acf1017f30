package gate

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

// fetch asks the seats for a chain, and again for what is before it: the turns
// of one chain may lie on different seats. Only when all that count lack the
// newest turn, it is certain that there is none.
func (b *bank) fetch(ctx context.Context, previous string) ([]*chains.Turn, error) {
	var chain []*chains.Turn
	err := b.inRounds(ctx, func(roster *seats.Roster) error {
		for {
			gap := b.gap(previous)
			if gap == "" {
				chain, _ = b.held(previous)
				return nil
			}
			certain := b.fetchOnce(ctx, roster, gap)
			switch {
			case b.gap(previous) != gap:
			case gap == previous && certain == len(roster.Seats) && certain >= seats.TargetCount(b.site.MaxLostHosts):
				return errors.Wrapf(errUnknown, "%s at %s", previous, roster)
			default:
				return errors.Wrapf(errUncertain, "%d of %d vaults lack the turn %s", certain, len(roster.Seats), gap)
			}
		}
	})
	return chain, err
}

// fetchOnce asks the seats for the chain up to a turn until it is here, the
// nearest first and one at a time, so that the text crosses between data centres
// once. It returns how many that count do not hold the turn.
func (b *bank) fetchOnce(ctx context.Context, roster *seats.Roster, id string) int {
	certain := 0
	err := b.gather(ctx, b.order(roster, id), 1, func(int, seats.Seat) vaults.Message {
		return &vaults.Fetch{Chain: id}
	}, func(_ seats.Seat, m vaults.Message) bool {
		f, ok := m.(*vaults.FetchReply)
		if !ok {
			return false
		}
		if len(f.Turns) > 0 {
			b.fetched.Inc()
			b.remember(f.Turns...)
		}
		if len(f.Turns) == 0 && f.Authoritative && f.Version == roster.Version {
			certain++
		}
		return len(f.Turns) > 0
	})
	if err == nil {
		return 0
	}
	return certain
}

// gap returns the newest turn of a chain that is not here, or "".
func (b *bank) gap(id string) string {
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

// held returns the chain up to a turn, oldest first, if all of it is here.
func (b *bank) held(id string) ([]*chains.Turn, bool) {
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

func (b *bank) remember(turns ...*chains.Turn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range turns {
		if b.cache.Contains(t.ID) {
			continue
		}
		b.cache.Add(t.ID, t)
		b.cached += weight(t)
	}
	for b.cached > int64(cacheShare*float64(b.site.Memory)) {
		b.cache.RemoveOldest()
	}
}
