package vault

import (
	"context"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

// retireEvery is the pause between two checks whether the operators want this
// host emptied. They allow some seconds for that.
const retireEvery = time.Second

// retireLoop empties this host when the operators ask for it.
func (v *Vault) retireLoop(ctx context.Context) {
	reported := false
	for ctx.Err() == nil {
		wanted, err := v.registry.Retiring(ctx, v.site.Node)
		switch {
		case err != nil:
			v.log.Warn().Err(err).Msg("reading whether to empty this host failed")
		case wanted:
			if !reported {
				reported = v.reportRetiring(ctx, false)
			}
			if v.retire(ctx) && v.reportRetiring(ctx, true) {
				v.log.Info().Msg("emptied; this host may be removed")
				return
			}
		}
		select {
		case <-time.After(retireEvery):
		case <-ctx.Done():
		}
	}
}

// reportRetiring tells the operators that emptying has begun or is done, and
// reports whether that succeeded.
func (v *Vault) reportRetiring(ctx context.Context, done bool) bool {
	if err := v.registry.PutRetired(ctx, v.site.Node, done); err != nil {
		v.log.Warn().Err(err).Bool("done", done).Msg("writing the progress of emptying failed")
		return false
	}
	return true
}

// retire gives up the seat and has the other seats copy all records that are
// here. It reports whether they have.
func (v *Vault) retire(ctx context.Context) bool {
	roster, revision, err := v.registry.Roster(ctx)
	if err != nil {
		v.log.Warn().Err(err).Msg("not emptied: reading the roster failed")
		return false
	}
	if roster.Find(v.site.Node) != nil {
		next, _ := roster.Remove(v.site.Node, v.livingSpare(ctx, roster))
		if err := v.registry.PutRoster(ctx, next, revision); err != nil {
			v.log.Info().Err(err).Msg("giving up the seat failed; retrying")
			return false
		}
		v.log.Info().Stringer("old", roster).Stringer("new", next).Msg("seat given up")
		roster = next
	}
	v.adopt(roster)
	return v.handOver(ctx, roster)
}

// livingSpare returns a spare that answers, or nil.
func (v *Vault) livingSpare(ctx context.Context, roster *seats.Roster) *seats.Seat {
	spares, err := v.registry.Spares(ctx)
	if err != nil {
		v.log.Warn().Err(err).Msg("reading the spares failed")
		return nil
	}
	for _, s := range spares {
		if s.Node == v.site.Node || roster.Find(s.Node) != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		_, err := v.peer(s.Addr).Call(ctx, &vaults.Adopt{Roster: roster})
		cancel()
		if err == nil {
			return &s
		}
	}
	return nil
}

// handOver has every seat catch up from this host. It reports whether all seats
// did and they are at least a quorum.
func (v *Vault) handOver(ctx context.Context, roster *seats.Roster) bool {
	host := v.ownSeat()
	results := make(chan bool, len(roster.Seats))
	for _, s := range roster.Seats {
		go func() {
			m, err := callPeer(ctx, v.peer(s.Addr), &vaults.Adopt{Roster: roster, Sync: true, Source: &host})
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
	v.log.Info().Int("caught", caught).Int("seats", len(roster.Seats)).Msg("seats caught up from this host")
	return caught == len(roster.Seats) && caught >= roster.Quorum()
}
