package vault

import (
	"context"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/transport/calls"
	"github.com/cowslipstage/cowslipstage/transport/files"
)

const (
	// seatSpreadTime is how long a host leaves a free seat to hosts of other data
	// centres when the whole system starts: all hosts start within a second or
	// so, callers come ten seconds later.
	seatSpreadTime = 2 * time.Second
	// seatEvery is the pause between two looks at the roster while this host
	// has no seat or does not count; it is a fraction of the time to catch up.
	seatEvery = 200 * time.Millisecond
	// caughtUpEvery is the pause once it counts. Newer rosters also come from
	// gates and other vaults.
	caughtUpEvery = 2 * time.Second
	// lostAfter is how long a seat's holder must be silent before its seat may
	// go to another host: longer than a restart's dark moment, well within the
	// time to catch up.
	lostAfter = 1500 * time.Millisecond
	// askTimeout bounds a question to another vault.
	askTimeout = 600 * time.Millisecond
	// pageTimeout bounds one page of catching up.
	pageTimeout = 2 * time.Second
	// turnsPerGet is how many turns are asked for at once.
	turnsPerGet = 500
)

// seatLoop keeps the roster known, takes a seat where there is one, and catches
// up until this host counts as a copy.
func (v *Vault) seatLoop(ctx context.Context) {
	silent := map[string]time.Time{}
	announced := false
	started := time.Now()
	for ctx.Err() == nil {
		pause := seatEvery
		v.refreshRoster(ctx)
		roster, caughtUp := v.seatState()
		switch {
		case caughtUp:
			// What was missed while away is on a quorum of others.
			pause = caughtUpEvery
		case roster.Find(v.site.Node) != nil:
			if err := v.catchUp(ctx, nil); err != nil {
				v.log.Info().Err(err).Stringer("roster", roster).Msg("not caught up yet")
			}
		default:
			v.watchSeats(ctx, roster, silent)
			lost := func(node string) bool {
				since, known := silent[node]
				return known && time.Since(since) >= lostAfter
			}
			yield := v.site.Fresh && time.Since(started) < seatSpreadTime
			if _, free := roster.Claim(v.ownSeat(), v.site.Losses, lost); free {
				v.claimSeat(ctx, lost, yield)
			} else if !announced {
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

// refreshRoster learns the store's newest roster. Without the store the last one
// known stands.
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
		v.log.Warn().Err(err).Msg("roster not read; the last one stands")
		return
	}
	v.adopt(roster)
}

func (v *Vault) ownSeat() seats.Seat {
	return seats.Seat{Node: v.site.Node, Addr: v.Addr(), Centre: v.site.Centre}
}

// announceSpare lets a retiring host find this one.
func (v *Vault) announceSpare(ctx context.Context) bool {
	if err := v.registry.PutSpare(ctx, v.ownSeat()); err != nil {
		v.log.Warn().Err(err).Msg("not announced as a spare")
		return false
	}
	v.log.Info().Msg("no free seat; waiting as a spare")
	return true
}

// watchSeats asks the seats' holders for a sign of life.
func (v *Vault) watchSeats(ctx context.Context, roster *seats.Roster, silent map[string]time.Time) {
	type probe struct {
		node string
		err  error
	}
	probes := make(chan probe, len(roster.Seats))
	for _, s := range roster.Seats {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_, err := v.peer(s.Addr).Call(ctx, &vaults.Adopt{Roster: roster})
			probes <- probe{s.Node, err}
		}()
	}
	for range roster.Seats {
		s := <-probes
		if s.err == nil {
			delete(silent, s.node)
		} else if silent[s.node].IsZero() {
			silent[s.node] = time.Now()
		}
	}
}

// claimSeat takes a free seat or that of a host that has been silent for long. If it
// yields, it leaves the seat to another data centre where its own has enough.
func (v *Vault) claimSeat(ctx context.Context, lost func(node string) bool, yield bool) {
	roster, revision, err := v.registry.Roster(ctx)
	if err != nil {
		v.log.Warn().Err(err).Msg("no seat claimed: the store does not answer")
		return
	}
	next, ok := roster.Claim(v.ownSeat(), v.site.Losses, lost)
	if !ok || yield && roster.Crowded(v.site.Centre, v.site.Losses, v.site.Centres) {
		return
	}
	if err := v.registry.PutRoster(ctx, next, revision); err != nil {
		v.log.Info().Err(err).Stringer("roster", next).Msg("seat not claimed; looking again")
		return
	}
	v.log.Info().Stringer("old", roster).Stringer("new", next).Msg("seat claimed")
	v.adopt(next)
	if v.site.Fresh && v.chains.Size() == 0 {
		// Nothing was kept anywhere before the first start.
		v.markCaughtUp(next)
	}
}

// markCaughtUp notes that this host holds all that its seat in a roster must.
func (v *Vault) markCaughtUp(roster *seats.Roster) {
	seat := roster.Find(v.site.Node)
	if seat == nil {
		return
	}
	err := files.Replace(filepath.Join(v.site.Data, seatFile), strconv.AppendUint(nil, seat.Since, 10))
	if err != nil {
		v.log.Error().Err(err).Msg("does not count as a copy: the disk refused")
		return
	}
	v.mu.Lock()
	v.caughtUpSince = seat.Since
	v.mu.Unlock()
	v.log.Info().Stringer("roster", roster).Uint64("since", seat.Since).Msg("counts as a copy")
}

var errCatchUp = errors.New("vault: not enough copies answered")

// catchUp fetches what needs another copy: all accounts, and the turns that
// fewer other seats hold than a quorum has. source is asked besides; it counts
// for no copy. It succeeds once so many have been asked that every kept record
// must be among theirs.
func (v *Vault) catchUp(ctx context.Context, source *seats.Seat) error {
	v.syncing.Lock()
	defer v.syncing.Unlock()
	roster, _ := v.seatState()
	var others []seats.Seat
	for _, s := range roster.Seats {
		if s.Node != v.site.Node {
			others = append(others, s)
		}
	}
	listings := make(chan listing, len(others)+1)
	for _, s := range others {
		go func() { listings <- v.listRecords(ctx, s.Addr, roster) }()
	}
	failed, behind := 0, 0
	var all []listing
	for range others {
		switch l := <-listings; {
		case l.err != nil:
			failed++
			v.log.Info().Err(l.err).Str("vault", l.addr).Msg("a copy did not answer while catching up")
		default:
			if !l.caughtUp {
				behind++
			}
			l.isCopy = true
			all = append(all, l)
		}
	}
	if source != nil {
		l := v.listRecords(ctx, source.Addr, nil)
		if l.err != nil {
			return l.err
		}
		all = append(all, l)
	}
	// A record is kept by a quorum; it cannot hide among fewer than that. Where
	// no host counts any more, all of them together hold all there is.
	nobody := failed == 0 && behind == len(others)
	if failed+behind+1 >= roster.Quorum() && !nobody {
		return errors.Wrapf(errCatchUp, "%d failed, %d behind, of %d others", failed, behind, len(others))
	}
	if err := v.copyMissing(ctx, all, roster.Quorum()); err != nil {
		return err
	}
	if now, _ := v.seatState(); now.Version != roster.Version {
		return errors.Wrap(errCatchUp, "the roster changed meanwhile")
	}
	v.markCaughtUp(roster)
	return nil
}

// listing is what one other vault holds.
type listing struct {
	addr string
	err  error
	// caughtUp says that the vault counts as a copy itself; counts that what it
	// holds is a copy.
	caughtUp bool
	isCopy   bool
	// records are the accounts' entries, turns the names of its turns.
	records []chains.Record
	turns   []string
}

// listRecords asks one vault for all that it holds, texts left out.
func (v *Vault) listRecords(ctx context.Context, addr string, roster *seats.Roster) listing {
	l := listing{addr: addr}
	for cursor, more := uint64(0), true; more; {
		m, err := callPeer(ctx, v.peer(addr), &vaults.List{Cursor: cursor, Roster: roster})
		if err != nil {
			l.err = err
			return l
		}
		page, ok := m.(*vaults.Listed)
		if !ok || page.Status != vaults.Done {
			if ok {
				v.adopt(page.Roster)
			}
			l.err = errors.Wrapf(errCatchUp, "%s did not list", addr)
			return l
		}
		for _, data := range page.Records {
			r, err := chains.Decode(data)
			if err != nil {
				l.err = err
				return l
			}
			l.records = append(l.records, r)
		}
		l.turns = append(l.turns, page.Turns...)
		l.caughtUp, cursor, more = page.Caught, page.Next, page.More
	}
	return l
}

func callPeer(ctx context.Context, c *calls.Client, m vaults.Message) (vaults.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return c.Call(ctx, m)
}

// copyMissing fetches from the listed vaults what has fewer copies than wanted.
func (v *Vault) copyMissing(ctx context.Context, listings []listing, wanted int) error {
	copies := map[string]int{}
	for _, l := range listings {
		if err := v.persistRecords(ctx, l.records); err != nil {
			return err
		}
		for _, id := range l.turns {
			if l.isCopy {
				copies[id]++
			}
		}
	}
	for _, l := range listings {
		var missing []string
		for _, id := range l.turns {
			if copies[id] < wanted {
				missing = append(missing, id)
			}
		}
		if err := v.fetchTurns(ctx, l.addr, missing); err != nil {
			return err
		}
	}
	return nil
}

// fetchTurns gets those of a vault's turns that are not here.
func (v *Vault) fetchTurns(ctx context.Context, addr string, turns []string) error {
	var wanted []string
	if err := v.runOnControl(ctx, func() { wanted = v.missingTurns(turns) }); err != nil {
		return err
	}
	for len(wanted) > 0 {
		batch := wanted[:min(turnsPerGet, len(wanted))]
		m, err := callPeer(ctx, v.peer(addr), &vaults.Get{Turns: batch})
		if err != nil {
			return err
		}
		got, ok := m.(*vaults.Got)
		if !ok {
			return errors.Wrap(errCatchUp, "unexpected answer")
		}
		records := make([]chains.Record, 0, len(got.Turns))
		for _, t := range got.Turns {
			records = append(records, t)
		}
		if err := v.persistRecords(ctx, records); err != nil {
			return err
		}
		// An answer of bounded size may hold only the first of them; what is
		// missing at its end has expired there.
		if n := len(got.Turns); n > 0 && n < len(batch) {
			batch = batch[:n]
		}
		wanted = wanted[len(batch):]
	}
	return nil
}

// persistRecords makes records last here.
func (v *Vault) persistRecords(ctx context.Context, records []chains.Record) error {
	var fresh []chains.Record
	err := v.runOnControl(ctx, func() {
		for _, r := range records {
			if v.chains.Add(r) {
				fresh = append(fresh, r)
			}
		}
	})
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	v.writer.add(func(err error) { done <- err }, fresh...)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// answerAdopt takes a roster from another host, and catches up if asked to.
func (v *Vault) answerAdopt(m *vaults.Adopt, answer func(vaults.Message)) {
	roster := v.adopt(m.Roster)
	if m.Sync {
		ctx, cancel := context.WithTimeout(context.Background(), pageTimeout)
		defer cancel()
		if err := v.catchUp(ctx, m.Source); err != nil {
			v.log.Info().Err(err).Msg("not caught up for a leaving host yet")
			answer(&vaults.Adopted{Status: vaults.Failed, Version: roster.Version})
			return
		}
	}
	_, caughtUp := v.seatState()
	answer(&vaults.Adopted{Version: roster.Version, Caught: caughtUp})
}
