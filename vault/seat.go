package vault

import (
	"context"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

const (
	// seatSpreadTime is how long a host leaves a free seat to hosts of other
	// data centres when the whole system starts: all hosts start within a
	// second or so, callers come ten seconds later.
	seatSpreadTime = 2 * time.Second
	// seatEvery is the pause between two reads of the roster while this host
	// has no seat or does not count as a copy. It is a fraction of the time to
	// catch up.
	seatEvery = 200 * time.Millisecond
	// caughtUpEvery is the pause once this host counts. Newer rosters also come
	// from gates and other vaults.
	caughtUpEvery = 2 * time.Second
	// spareRefreshEvery is the pause between two reads of the roster by a spare while
	// all seats' holders answer and none knows a newer roster.
	spareRefreshEvery = 5 * time.Second
	// lostAfter is how long a seat's holder must be unresponsive before its
	// seat may go to another host: longer than a restart takes, and well within
	// the time to catch up.
	lostAfter = 1500 * time.Millisecond
	// askTimeout bounds a liveness check of another vault.
	askTimeout = 600 * time.Millisecond
	// pageTimeout bounds one call of a catch-up.
	pageTimeout = 2 * time.Second
	// turnsPerGet is how many turns one message requests.
	turnsPerGet = 500
)

// holderState is what this host last learned about the holder of a seat.
type holderState struct {
	// silentSince is when it stopped answering; zero while it answers.
	silentSince time.Time
	// replicaSince is the SinceVersion of the seat in which it counted as a replica when it
	// last answered, or 0. countedSince is that of the last seat in which it has counted.
	replicaSince, countedSince uint64
}

// holderStates are the states of the seats' holders by node.
type holderStates map[string]holderState

// at returns the states as of now in the terms of package seats.
func (h holderStates) at(now time.Time) func(seats.Seat) seats.Holder {
	return func(s seats.Seat) seats.Holder {
		state, known := h[s.Node]
		silent := !state.silentSince.IsZero()
		return seats.Holder{
			Silent:  silent,
			Lost:    silent && now.Sub(state.silentSince) >= lostAfter,
			Replica: known && !silent && state.replicaSince == s.SinceVersion,
			Counted: known && state.countedSince == s.SinceVersion,
		}
	}
}

// seatLoop keeps the roster up to date, claims a free seat, and catches up
// until this host counts as a copy.
func (v *Vault) seatLoop(ctx context.Context) {
	holders := holderStates{}
	announced, calm := false, false
	started := time.Now()
	var refreshed time.Time
	for ctx.Err() == nil {
		pause := seatEvery
		if !calm || time.Since(refreshed) >= spareRefreshEvery {
			v.refreshRoster(ctx)
			refreshed = time.Now()
		}
		calm = false
		roster, caughtUp := v.seatState()
		switch {
		case caughtUp:
			// Records missed during a restart are on a quorum of other seats.
			pause = caughtUpEvery
		case roster.Find(v.site.Node) != nil:
			if err := v.catchUp(ctx, nil); err != nil {
				v.log.Info().Err(err).Stringer("roster", roster).Msg("catching up failed; retrying")
			}
		case v.isRetiring():
			pause = caughtUpEvery
		default:
			calm = v.watchSeats(ctx, roster, holders) && announced
			yield := v.site.FirstStart && time.Since(started) < seatSpreadTime
			switch _, mayClaim := roster.Claim(v.ownSeat(), v.site.MaxLostHosts, v.judgeHolders(roster, holders)); {
			case mayClaim:
				v.claimSeat(ctx, holders, yield)
			case len(roster.Seats) < seats.TargetCount(v.site.MaxLostHosts):
				// A holder is silent. This host takes its seat or the free one as soon as it is known
				// whether that holder is lost, and needs the same records for either.
				calm = true
				v.copyAhead(ctx, roster)
			case !announced:
				announced = v.announceSpare(ctx)
			}
			if announced {
				pause = lostAfter / 3
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// isDraining reports whether this host stores nothing because it gives its seat up.
func (v *Vault) isDraining() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.draining
}

// isRetiring reports whether the operators want this host emptied.
func (v *Vault) isRetiring() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.retiring
}

// refreshRoster reads the newest roster from the registry. If that fails, the
// last one known stays in use.
func (v *Vault) refreshRoster(ctx context.Context) {
	known, caughtUp := v.seatState()
	var roster *seats.Roster
	var err error
	if caughtUp || (known.Version > 0 && known.Find(v.site.Node) == nil) {
		roster, err = v.registry.RecentRoster(ctx)
	} else {
		roster, _, err = v.registry.Roster(ctx)
	}
	if err != nil {
		v.log.Warn().Err(err).Msg("reading the roster failed; the last one stays in use")
		return
	}
	v.adopt(roster)
}

// ownSeat returns a seat that names this host.
func (v *Vault) ownSeat() seats.Seat {
	return seats.Seat{Node: v.site.Node, Addr: v.Addr(), Centre: v.site.Centre}
}

// announceSpare registers this host as a spare, so that a retiring host finds
// it. It reports whether that succeeded.
func (v *Vault) announceSpare(ctx context.Context) bool {
	if err := v.registry.PutSpare(ctx, v.ownSeat()); err != nil {
		v.log.Warn().Err(err).Msg("registering as a spare failed")
		return false
	}
	v.log.Info().Msg("no free seat; registered as a spare")
	return true
}

// watchSeats asks the other holders of the seats whether they count as replicas, and
// records the answers in holders. It reports whether all answered and none knows a
// newer roster.
func (v *Vault) watchSeats(ctx context.Context, roster *seats.Roster, holders holderStates) bool {
	type probe struct {
		seat    seats.Seat
		replica bool
		newer   bool
		err     error
	}
	others := slices.DeleteFunc(slices.Clone(roster.Seats), func(s seats.Seat) bool { return s.Node == v.site.Node })
	probes := make(chan probe, len(others))
	for _, s := range others {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			m, err := v.peer(s.Addr).Call(ctx, &vaults.Adopt{Roster: roster})
			a, ok := m.(*vaults.AdoptReply)
			probes <- probe{s, ok && a.CaughtUp && a.Version == roster.Version, ok && a.Version > roster.Version, err}
		}()
	}
	calm := len(others) > 0
	for range others {
		p := <-probes
		calm = calm && p.err == nil && !p.newer
		state := holderState{countedSince: holders[p.seat.Node].countedSince}
		switch {
		case p.err != nil:
			if state.silentSince = holders[p.seat.Node].silentSince; state.silentSince.IsZero() {
				state.silentSince = time.Now()
			}
		case p.replica:
			state.replicaSince, state.countedSince = p.seat.SinceVersion, p.seat.SinceVersion
		}
		holders[p.seat.Node] = state
	}
	return calm
}

// judgeHolders returns what is known of the holders of a roster's seats as of now. While the
// whole system starts, a holder that does not answer is not taken for lost as long as there
// are free seats.
func (v *Vault) judgeHolders(roster *seats.Roster, holders holderStates) func(seats.Seat) seats.Holder {
	if v.site.FirstStart && roster.Initial() && len(roster.Seats) < seats.TargetCount(v.site.MaxLostHosts) {
		return func(seats.Seat) seats.Holder { return seats.Holder{} }
	}
	return holders.at(time.Now())
}

// claimSeat claims a free seat or that of a lost host. If yield is set, it
// leaves the seat to another data centre if its own has enough seats.
func (v *Vault) claimSeat(ctx context.Context, holders holderStates, yield bool) {
	if retiring, err := v.registry.Retiring(ctx, v.site.Node); err != nil || retiring {
		v.log.Info().Err(err).Bool("retiring", retiring).Msg("no seat claimed: this host is to be emptied, or that is not known")
		return
	}
	roster, revision, err := v.registry.Roster(ctx)
	if err != nil {
		v.log.Warn().Err(err).Msg("no seat claimed: reading the roster failed")
		return
	}
	next, ok := roster.Claim(v.ownSeat(), v.site.MaxLostHosts, v.judgeHolders(roster, holders))
	if !ok || yield && roster.ShouldYield(v.site.Centre, v.site.MaxLostHosts, v.site.Centres) {
		return
	}
	if err := v.storeVersion(claimFile, next.Version); err != nil {
		v.log.Error().Err(err).Msg("no seat claimed: writing to disk failed")
		return
	}
	v.mu.Lock()
	v.claimedVersion, v.tenure = next.Version, v.tenure.Claim(next.Version)
	v.mu.Unlock()
	v.storeTenure()
	if err := v.registry.PutRoster(ctx, next, revision); err != nil {
		v.log.Info().Err(err).Stringer("roster", next).Msg("claiming the seat failed; retrying")
		return
	}
	v.log.Info().Stringer("old", roster).Stringer("new", next).Msg("seat claimed")
	v.adopt(next)
	if v.site.FirstStart && v.chains.Size() == 0 && next.Initial() {
		// No vault held any record before the first start.
		v.markCaughtUp(next)
	}
}

// markCaughtUp notes, also on disk, that this host holds all that its seat
// must.
func (v *Vault) markCaughtUp(roster *seats.Roster) {
	seat := roster.Find(v.site.Node)
	if seat == nil {
		return
	}
	if err := v.storeVersion(seatFile, seat.SinceVersion); err != nil {
		v.log.Error().Err(err).Msg("does not count as a copy: writing to disk failed")
		return
	}
	v.mu.Lock()
	v.caughtUpSince, v.tenure = seat.SinceVersion, v.tenure.Count(seat.SinceVersion)
	v.mu.Unlock()
	v.storeTenure()
	v.log.Info().Stringer("roster", roster).Uint64("since", seat.SinceVersion).Msg("counts as a copy")
}

// answerAdopt adopts a roster from another host, and catches up if asked to.
func (v *Vault) answerAdopt(m *vaults.Adopt, answer func(vaults.Message)) {
	roster := v.adopt(m.Roster)
	if m.Sync {
		ctx, cancel := context.WithTimeout(context.Background(), pageTimeout)
		defer cancel()
		if err := v.catchUp(ctx, m.Source); err != nil {
			v.log.Info().Err(err).Msg("catching up for a retiring host failed")
			answer(&vaults.AdoptReply{Status: vaults.Failed, Version: roster.Version})
			return
		}
	}
	_, caughtUp := v.seatState()
	answer(&vaults.AdoptReply{Version: roster.Version, CaughtUp: caughtUp})
}
