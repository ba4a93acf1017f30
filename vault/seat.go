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
	// spreadTime is how long a host leaves a free seat to hosts of other data
	// centres when the whole system starts: all hosts start within a second or
	// so, callers come ten seconds later.
	spreadTime = 2 * time.Second
	// seatEvery is the pause between two looks at the roster while this host
	// has no seat or does not count; it is a fraction of the time to catch up.
	seatEvery = 200 * time.Millisecond
	// settledEvery is the pause once it counts. Newer rosters also come from
	// gates and other vaults.
	settledEvery = 2 * time.Second
	// lostAfter is how long a seat's holder must be silent before its seat may
	// go to another host: longer than a restart's dark moment, well within the
	// time to catch up.
	lostAfter = 1500 * time.Millisecond
	// askTime bounds a question to another vault.
	askTime = 600 * time.Millisecond
	// pageTime bounds one page of catching up.
	pageTime = 2 * time.Second
	// getTurns is how many turns are asked for at once.
	getTurns = 500
)

// seatLoop keeps the roster known, takes a seat where there is one, and catches
// up until this host counts as a copy.
func (v *Vault) seatLoop(ctx context.Context) {
	silent := map[string]time.Time{}
	announced := false
	begun := time.Now()
	for ctx.Err() == nil {
		pause := seatEvery
		v.refresh(ctx)
		roster, counts := v.standing()
		switch {
		case counts:
			// What was missed while away is on a quorum of others.
			pause = settledEvery
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
			yields := v.site.FirstStart && time.Since(begun) < spreadTime
			if _, free := roster.Claim(v.host(), v.site.MaxLostHosts, lost); free {
				v.claim(ctx, lost, yields)
			} else if !announced {
				announced = v.announce(ctx)
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

// refresh learns the store's newest roster. Without the store the last one
// known stands.
func (v *Vault) refresh(ctx context.Context) {
	known, counts := v.standing()
	var roster *seats.Roster
	var err error
	if counts || (known.Version > 0 && known.Find(v.site.Node) == nil) {
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

func (v *Vault) host() seats.Seat {
	return seats.Seat{Node: v.site.Node, Addr: v.Addr(), Centre: v.site.Centre}
}

// announce lets a retiring host find this one.
func (v *Vault) announce(ctx context.Context) bool {
	if err := v.registry.PutSpare(ctx, v.host()); err != nil {
		v.log.Warn().Err(err).Msg("not announced as a spare")
		return false
	}
	v.log.Info().Msg("no free seat; waiting as a spare")
	return true
}

// watchSeats asks the seats' holders for a sign of life.
func (v *Vault) watchSeats(ctx context.Context, roster *seats.Roster, silent map[string]time.Time) {
	type sign struct {
		node string
		err  error
	}
	signs := make(chan sign, len(roster.Seats))
	for _, s := range roster.Seats {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTime)
			defer cancel()
			_, err := v.peer(s.Addr).Call(ctx, &vaults.Adopt{Roster: roster})
			signs <- sign{s.Node, err}
		}()
	}
	for range roster.Seats {
		s := <-signs
		if s.err == nil {
			delete(silent, s.node)
		} else if silent[s.node].IsZero() {
			silent[s.node] = time.Now()
		}
	}
}

// claim takes a free seat or that of a host that has been silent for long. If it
// yields, it leaves the seat to another data centre where its own has enough.
func (v *Vault) claim(ctx context.Context, lost func(node string) bool, yields bool) {
	roster, revision, err := v.registry.Roster(ctx)
	if err != nil {
		v.log.Warn().Err(err).Msg("no seat claimed: the store does not answer")
		return
	}
	next, ok := roster.Claim(v.host(), v.site.MaxLostHosts, lost)
	if !ok || yields && roster.ShouldYield(v.site.Centre, v.site.MaxLostHosts, v.site.Centres) {
		return
	}
	if err := v.registry.PutRoster(ctx, next, revision); err != nil {
		v.log.Info().Err(err).Stringer("roster", next).Msg("seat not claimed; looking again")
		return
	}
	v.log.Info().Stringer("old", roster).Stringer("new", next).Msg("seat claimed")
	v.adopt(next)
	if v.site.FirstStart && v.chains.Size() == 0 {
		// Nothing was kept anywhere before the first start.
		v.settle(next)
	}
}

// settle notes that this host holds all that its seat in a roster must.
func (v *Vault) settle(roster *seats.Roster) {
	seat := roster.Find(v.site.Node)
	if seat == nil {
		return
	}
	err := files.Replace(filepath.Join(v.site.Data, seatFile), strconv.AppendUint(nil, seat.SinceVersion, 10))
	if err != nil {
		v.log.Error().Err(err).Msg("does not count as a copy: the disk refused")
		return
	}
	v.mu.Lock()
	v.caught = seat.SinceVersion
	v.mu.Unlock()
	v.log.Info().Stringer("roster", roster).Uint64("since", seat.SinceVersion).Msg("counts as a copy")
}

var errCatchUp = errors.New("vault: not enough copies answered")

// catchUp fetches what needs another copy: all accounts, and the turns that
// fewer other seats hold than a quorum has. source is asked besides; it counts
// for no copy. It succeeds once so many have been asked that every kept record
// must be among theirs.
func (v *Vault) catchUp(ctx context.Context, source *seats.Seat) error {
	v.syncing.Lock()
	defer v.syncing.Unlock()
	roster, _ := v.standing()
	var others []seats.Seat
	for _, s := range roster.Seats {
		if s.Node != v.site.Node {
			others = append(others, s)
		}
	}
	listings := make(chan listing, len(others)+1)
	for _, s := range others {
		go func() { listings <- v.list(ctx, s.Addr, roster) }()
	}
	failed, behind := 0, 0
	var all []listing
	for range others {
		switch l := <-listings; {
		case l.err != nil:
			failed++
			v.log.Info().Err(l.err).Str("vault", l.addr).Msg("a copy did not answer while catching up")
		default:
			if !l.caught {
				behind++
			}
			l.counts = true
			all = append(all, l)
		}
	}
	if source != nil {
		l := v.list(ctx, source.Addr, nil)
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
	if err := v.copyFrom(ctx, all, roster.Quorum()); err != nil {
		return err
	}
	if now, _ := v.standing(); now.Version != roster.Version {
		return errors.Wrap(errCatchUp, "the roster changed meanwhile")
	}
	v.settle(roster)
	return nil
}

// listing is what one other vault holds.
type listing struct {
	addr string
	err  error
	// caught says that the vault counts as a copy itself; counts that what it
	// holds is a copy.
	caught bool
	counts bool
	// records are the accounts' entries, turns the names of its turns.
	records []chains.Record
	turns   []string
}

// list asks one vault for all that it holds, texts left out.
func (v *Vault) list(ctx context.Context, addr string, roster *seats.Roster) listing {
	l := listing{addr: addr}
	for cursor, more := uint64(0), true; more; {
		m, err := call(ctx, v.peer(addr), &vaults.List{Cursor: cursor, Roster: roster})
		if err != nil {
			l.err = err
			return l
		}
		page, ok := m.(*vaults.ListReply)
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
		l.caught, cursor, more = page.CaughtUp, page.Next, page.More
	}
	return l
}

func call(ctx context.Context, c *calls.Client, m vaults.Message) (vaults.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTime)
	defer cancel()
	return c.Call(ctx, m)
}

// copyFrom fetches from the listed vaults what has fewer copies than wanted.
func (v *Vault) copyFrom(ctx context.Context, all []listing, wanted int) error {
	copies := map[string]int{}
	for _, l := range all {
		if err := v.keep(ctx, l.records); err != nil {
			return err
		}
		for _, id := range l.turns {
			if l.counts {
				copies[id]++
			}
		}
	}
	for _, l := range all {
		var short []string
		for _, id := range l.turns {
			if copies[id] < wanted {
				short = append(short, id)
			}
		}
		if err := v.fetch(ctx, l.addr, short); err != nil {
			return err
		}
	}
	return nil
}

// fetch gets those of a vault's turns that are not here.
func (v *Vault) fetch(ctx context.Context, addr string, turns []string) error {
	var wanted []string
	if err := v.do(ctx, func() { wanted = v.missing(turns) }); err != nil {
		return err
	}
	for len(wanted) > 0 {
		asked := wanted[:min(getTurns, len(wanted))]
		m, err := call(ctx, v.peer(addr), &vaults.Get{Turns: asked})
		if err != nil {
			return err
		}
		got, ok := m.(*vaults.GetReply)
		if !ok {
			return errors.Wrap(errCatchUp, "unexpected answer")
		}
		records := make([]chains.Record, 0, len(got.Turns))
		for _, t := range got.Turns {
			records = append(records, t)
		}
		if err := v.keep(ctx, records); err != nil {
			return err
		}
		// An answer of bounded size may hold only the first of them; what is
		// missing at its end has expired there.
		if n := len(got.Turns); n > 0 && n < len(asked) {
			asked = asked[:n]
		}
		wanted = wanted[len(asked):]
	}
	return nil
}

// keep makes records last here.
func (v *Vault) keep(ctx context.Context, records []chains.Record) error {
	var fresh []chains.Record
	err := v.do(ctx, func() {
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
		ctx, cancel := context.WithTimeout(context.Background(), pageTime)
		defer cancel()
		if err := v.catchUp(ctx, m.Source); err != nil {
			v.log.Info().Err(err).Msg("not caught up for a leaving host yet")
			answer(&vaults.AdoptReply{Status: vaults.Failed, Version: roster.Version})
			return
		}
	}
	_, counts := v.standing()
	answer(&vaults.AdoptReply{Version: roster.Version, CaughtUp: counts})
}
