package vault

import (
	"context"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

// retireEvery is the pause between two questions whether the operators want this
// host emptied; they give some seconds for it.
const retireEvery = time.Second

// retireLoop empties this host when the operators ask for it.
func (v *Vault) retireLoop(ctx context.Context) {
	begun := false
	for ctx.Err() == nil {
		wanted, err := v.registry.Retiring(ctx, v.site.Node)
		switch {
		case err != nil:
			v.log.Warn().Err(err).Msg("not known whether this host is to be emptied")
		case wanted:
			if !begun {
				begun = v.tell(ctx, false)
			}
			if v.retire(ctx) && v.tell(ctx, true) {
				v.log.Info().Msg("emptied; this host may go")
				return
			}
		}
		select {
		case <-time.After(retireEvery):
		case <-ctx.Done():
		}
	}
}

func (v *Vault) tell(ctx context.Context, done bool) bool {
	if err := v.registry.PutRetired(ctx, v.site.Node, done); err != nil {
		v.log.Warn().Err(err).Bool("done", done).Msg("operators not told of the emptying")
		return false
	}
	return true
}

// retire gives up the seat and sees to it that the others hold all that was here.
func (v *Vault) retire(ctx context.Context) bool {
	roster, revision, err := v.registry.Roster(ctx)
	if err != nil {
		v.log.Warn().Err(err).Msg("not emptied: the store does not answer")
		return false
	}
	if roster.Find(v.site.Node) != nil {
		next, _ := roster.Remove(v.site.Node, v.heir(ctx, roster))
		if err := v.registry.PutRoster(ctx, next, revision); err != nil {
			v.log.Info().Err(err).Msg("seat not given up; trying again")
			return false
		}
		v.log.Info().Stringer("old", roster).Stringer("new", next).Msg("seat given up")
		roster = next
	}
	v.adopt(roster)
	return v.handOver(ctx, roster)
}

// heir returns a living spare, or nil.
func (v *Vault) heir(ctx context.Context, roster *seats.Roster) *seats.Seat {
	spares, err := v.registry.Spares(ctx)
	if err != nil {
		v.log.Warn().Err(err).Msg("spares not known")
		return nil
	}
	for _, s := range spares {
		if s.Node == v.site.Node || roster.Find(s.Node) != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, askTime)
		_, err := v.peer(s.Addr).Call(ctx, &vaults.Adopt{Roster: roster})
		cancel()
		if err == nil {
			return &s
		}
	}
	return nil
}

// handOver lets every seat catch up from this host; it succeeds when a quorum has.
func (v *Vault) handOver(ctx context.Context, roster *seats.Roster) bool {
	host := v.host()
	results := make(chan bool, len(roster.Seats))
	for _, s := range roster.Seats {
		go func() {
			m, err := call(ctx, v.peer(s.Addr), &vaults.Adopt{Roster: roster, Sync: true, Source: &host})
			a, ok := m.(*vaults.AdoptReply)
			results <- err == nil && ok && a.CaughtUp && a.Status == vaults.Done
		}()
	}
	caught := 0
	for range roster.Seats {
		if <-results {
			caught++
		}
	}
	v.log.Info().Int("caught", caught).Int("seats", len(roster.Seats)).Msg("handing over")
	return caught == len(roster.Seats) && caught >= roster.Quorum()
}
