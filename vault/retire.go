package vault

import (
	"context"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

const (
	// retireEvery is the pause between two checks whether the operators want this
	// host emptied. They allow some seconds for that.
	retireEvery = time.Second
	// successorTime is how long one attempt to empty this host waits for the spare that
	// was offered the seat to claim it.
	successorTime  = 3 * time.Second
	successorEvery = 300 * time.Millisecond
)

// retireLoop empties this host when the operators ask for it.
func (v *Vault) retireLoop(ctx context.Context) {
	reported := false
	var seatless time.Time
	for ctx.Err() == nil {
		wanted, err := v.registry.Retiring(ctx, v.site.Node)
		switch {
		case err != nil:
			v.log.Warn().Err(err).Msg("reading whether to empty this host failed")
		case !wanted:
			v.resume()
		default:
			v.mu.Lock()
			v.retiring = true
			v.mu.Unlock()
			if !reported {
				reported = v.reportRetiring(ctx, false)
			}
			if v.retire(ctx, &seatless) && v.reportRetiring(ctx, true) {
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
// here. It reports whether this host may be removed with its disk. The seat is given up
// only while all other seats count as copies and hold what this one does, because records
// may then have a copy less. seatless is set to when this host was first without a seat.
func (v *Vault) retire(ctx context.Context, seatless *time.Time) bool {
	roster, ok := v.giveUpSeat(ctx)
	if !ok {
		return false
	}
	if seatless.IsZero() {
		*seatless = time.Now()
	}
	handover := seats.Handover{}
	if roster.Free() > 0 {
		if handover.SpareMayClaim = v.offerSeat(ctx, roster); handover.SpareMayClaim {
			roster = v.awaitSuccessor(ctx, roster)
		}
	}
	if !v.handOver(ctx, roster) {
		return false
	}
	newest, _, err := v.registry.Roster(ctx)
	if err != nil {
		v.log.Warn().Err(err).Msg("not emptied: reading the roster again failed")
		return false
	}
	handover.Version, handover.Newest, handover.Waited = roster.Version, v.adopt(newest), time.Since(*seatless)
	if !handover.Done() {
		v.log.Info().Stringer("old", roster).Stringer("new", newest).Msg("not emptied yet: a spare claims the free seat")
		return false
	}
	return true
}

// giveUpSeat removes this host from the roster if it has a seat. It returns the newest
// roster and reports whether this host is not in it. From before the others copy what this host
// holds until it has no seat it stores nothing, so that they hold all that was ever stored here.
func (v *Vault) giveUpSeat(ctx context.Context) (*seats.Roster, bool) {
	roster, revision, err := v.registry.Roster(ctx)
	if err != nil {
		v.log.Warn().Err(err).Msg("not emptied: reading the roster failed")
		return nil, false
	}
	v.adopt(roster)
	v.resume()
	if roster.Find(v.site.Node) == nil {
		return roster, true
	}
	next, ok := roster.Remove(v.site.Node)
	if !ok {
		v.log.Warn().Stringer("roster", roster).Msg("not emptied: too few seats would remain; waiting for another host")
		return nil, false
	}
	if _, caughtUp := v.seatState(); !caughtUp || !v.othersCount(ctx, roster) {
		v.log.Info().Stringer("roster", roster).Bool("counts", caughtUp).Msg("not emptied yet: not all seats count")
		return nil, false
	}
	v.drain()
	if !v.handOver(ctx, roster) {
		v.resume()
		return nil, false
	}
	v.mu.Lock()
	v.removalVersion = next.Version
	v.mu.Unlock()
	if err := v.registry.PutRoster(ctx, next, revision); err != nil {
		// The write may still be carried out, so this host stores nothing until it knows better.
		v.log.Info().Err(err).Msg("giving up the seat failed; retrying")
		return nil, false
	}
	v.log.Info().Stringer("old", roster).Stringer("new", next).Msg("seat given up")
	v.adopt(next)
	v.resume()
	return next, true
}

// drain has this host store nothing more in its seat.
func (v *Vault) drain() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.draining {
		v.log.Info().Stringer("roster", v.roster).Msg("storing nothing more before the seat is given up")
	}
	v.draining = true
}

// resume ends drain, unless a roster without this host may still be written: a call of the
// key-value service without an answer may be carried out later.
func (v *Vault) resume() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.draining && v.roster.Version >= v.removalVersion {
		v.draining = false
		v.log.Info().Stringer("roster", v.roster).Msg("storing again, if this host has a seat")
	}
}

// othersCount reports whether all other holders of seats count.
func (v *Vault) othersCount(ctx context.Context, roster *seats.Roster) bool {
	holders := holderStates{}
	v.watchSeats(ctx, roster, holders)
	judge := holders.at(time.Now())
	return !slices.ContainsFunc(roster.Seats, func(s seats.Seat) bool { return s.Node != v.site.Node && !judge(s).Replica })
}

// awaitSuccessor waits until another host has the free seat, and returns the newest
// roster.
func (v *Vault) awaitSuccessor(ctx context.Context, roster *seats.Roster) *seats.Roster {
	wanted := len(roster.Seats) + 1
	for end := time.Now().Add(successorTime); time.Now().Before(end) && len(roster.Seats) < wanted; {
		select {
		case <-time.After(successorEvery):
		case <-ctx.Done():
			return roster
		}
		newest, _, err := v.registry.Roster(ctx)
		if err != nil {
			v.log.Warn().Err(err).Msg("reading the roster failed while waiting for a successor")
			continue
		}
		roster = v.adopt(newest)
	}
	return roster
}

// offerSeat tells one spare that answers of the roster, so that it claims the free
// seat at once. It reports whether a spare may claim it: one answered, was too slow, or
// the spares are not known.
func (v *Vault) offerSeat(ctx context.Context, roster *seats.Roster) bool {
	spares, err := v.registry.Spares(ctx)
	if err != nil {
		v.log.Warn().Err(err).Msg("reading the spares failed; one will find the free seat later")
		return true
	}
	slow := false
	for _, s := range spares {
		if s.Node == v.site.Node || roster.Find(s.Node) != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		_, err := v.peer(s.Addr).Call(ctx, &vaults.Adopt{Roster: roster})
		timedOut := ctx.Err() != nil
		cancel()
		if err == nil {
			return true
		}
		slow = slow || timedOut
	}
	return slow
}

// handOver has every other seat catch up from this host. It reports whether all
// did. A quorum of them is not enough: a record may lie here and on one of the rest
// only, whose disk may be lost next.
func (v *Vault) handOver(ctx context.Context, roster *seats.Roster) bool {
	host := v.ownSeat()
	results := make(chan bool, len(roster.Seats))
	others := 0
	for _, s := range roster.Seats {
		if s.Node == host.Node {
			continue
		}
		others++
		go func() {
			m, err := callPeer(ctx, v.peer(s.Addr), &vaults.Adopt{Roster: roster, Sync: true, Source: &host})
			a, ok := m.(*vaults.AdoptReply)
			results <- err == nil && ok && a.CaughtUp && a.Status == vaults.Done
		}()
	}
	caught := 0
	for range others {
		if !<-results {
			break // the others go on copying
		}
		caught++
	}
	v.log.Info().Int("caught", caught).Int("seats", others).Msg("seats caught up from this host")
	return caught == others && caught >= roster.Quorum()
}
