package vault

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/cover"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/pack"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/tenure"
	"github.com/cowslipstage/cowslipstage/transport/wsrpc"
)

var (
	errCatchUp = errors.New("vault: too few copies answered to catch up")
	// errRestarted means that a vault may have lost its disk since it listed its records.
	errRestarted = errors.New("vault: restarted since it began to list its records")
)

// catchUp copies records that lack copies: all accounts, and the turns that
// fewer other seats hold than a quorum has. source is read in any case and does
// not count as a copy. It succeeds once it has read so many seats that every
// stored record must be on one of them. Former holders of seats are asked only if
// the holders do not suffice.
func (v *Vault) catchUp(ctx context.Context, source *seats.Seat) error {
	v.syncing.Lock()
	defer v.syncing.Unlock()
	roster, caughtUp := v.seatState()
	read := cover.New(roster, v.site.Node, cover.Heard{Replica: caughtUp, Tenure: v.knownTenure()})
	all := v.listAll(ctx, roster, v.otherHolders(roster), read)
	for i, l := range all {
		all[i].isCopy = l.caughtUp && (source == nil || l.host.node != source.Node)
	}
	for formers := read.Formers(); len(formers) > 0; formers = read.Formers() {
		var hosts []host
		for _, f := range formers {
			hosts = append(hosts, host{f.Node, f.Addr})
		}
		v.meters.formers.Add(len(hosts))
		v.log.Info().Stringer("roster", roster).Stringer("read", read).Int("formers", len(hosts)).Msg("asking former holders of seats for their records")
		all = append(all, v.listAll(ctx, roster, hosts, read)...)
	}
	if source != nil && !slices.ContainsFunc(all, func(l listing) bool { return l.host.node == source.Node }) {
		l := v.listRecords(ctx, host{source.Node, source.Addr}, nil)
		if l.err != nil {
			return l.err
		}
		all = append(all, l)
	}
	if !read.Complete() {
		return errors.Wrap(errCatchUp, read.String())
	}
	if err := v.copyMissing(ctx, all, roster.Quorum()); err != nil {
		return err
	}
	if now, _ := v.seatState(); now.Version != roster.Version {
		return errors.Wrap(errCatchUp, "the roster changed during the catch-up")
	}
	v.markCaughtUp(roster)
	return nil
}

// copyAhead copies the records that lack copies without the silent holders of seats, before this
// host has a seat.
func (v *Vault) copyAhead(ctx context.Context, roster *seats.Roster) {
	v.syncing.Lock()
	defer v.syncing.Unlock()
	all := v.listAll(ctx, roster, v.otherHolders(roster), cover.New(roster, v.site.Node, cover.Heard{}))
	for i, l := range all {
		all[i].isCopy = l.caughtUp
	}
	if err := v.copyMissing(ctx, all, roster.Quorum()); err != nil {
		v.log.Info().Err(err).Stringer("roster", roster).Msg("copying records before a seat is claimed failed")
	}
}

// otherHolders returns the other hosts that have seats.
func (v *Vault) otherHolders(roster *seats.Roster) []host {
	var holders []host
	for _, s := range roster.Seats {
		if s.Node != v.site.Node {
			holders = append(holders, host{s.Node, s.Addr})
		}
	}
	return holders
}

// listAll has hosts list their records at once, and notes in read which did. It returns the
// listings of those.
func (v *Vault) listAll(ctx context.Context, roster *seats.Roster, hosts []host, read *cover.Cover) []listing {
	listings := make(chan listing, len(hosts))
	for _, h := range hosts {
		go func() { listings <- v.listRecords(ctx, h, roster) }()
	}
	var all []listing
	for range hosts {
		l := <-listings
		if l.err != nil {
			v.log.Info().Err(l.err).Str("vault", l.host.node).Msg("a host did not list its records for a catch-up")
			read.Fail(l.host.node)
			continue
		}
		read.Hear(l.host.node, cover.Heard{Replica: l.caughtUp, Tenure: l.tenureIn(roster)})
		all = append(all, l)
	}
	return all
}

// isFresh reports whether this host took a seat that was free and has never counted
// as a copy in it. If its disk was lost since, that is not known.
func (v *Vault) isFresh(roster *seats.Roster) bool {
	seat := roster.Find(v.site.Node)
	return seat != nil && seat.Fresh && v.knownTenure().NeverCounted(seat.SinceVersion)
}

// host is another vault.
type host struct{ node, addr string }

// listing is what one other vault holds.
type listing struct {
	host host
	err  error
	// caughtUp is set if the vault itself counts as a copy, isCopy if its
	// records count as copies.
	caughtUp bool
	isCopy   bool
	// fresh is set if the vault took a free seat and has never counted in it. tenure says
	// which seats it has had; the build before does not send it.
	fresh  bool
	tenure tenure.Tenure
	// started is when the process that sent the listing started.
	started int64
	// records are the entries of accounts.
	records []chains.Record
	turns   []turnName
}

// turnName identifies a turn. Callers choose the IDs, so customers can choose the same one.
type turnName struct{ id, owner string }

// tenureIn returns the vault's tenure, with what fresh says of its seat in a roster.
func (l *listing) tenureIn(roster *seats.Roster) tenure.Tenure {
	if seat := roster.Find(l.host.node); l.fresh && seat != nil {
		return l.tenure.Claim(seat.SinceVersion)
	}
	return l.tenure
}

// listRecords asks one vault for all that it holds, without the texts of turns.
func (v *Vault) listRecords(ctx context.Context, h host, roster *seats.Roster) listing {
	l := listing{host: h}
	for cursor, more := uint64(0), true; more; {
		m, err := callPeer(ctx, v.peer(h.addr), &vaults.List{Cursor: cursor, Roster: roster, Packs: true})
		if err != nil {
			l.err = err
			return l
		}
		page, ok := m.(*vaults.ListReply)
		if !ok || page.Status != vaults.Done {
			if ok {
				v.adopt(page.Roster)
			}
			l.err = errors.Wrapf(errCatchUp, "%s did not list its records", h.node)
			return l
		}
		if cursor > 0 && page.Started != l.started {
			l.err = errors.Wrapf(errRestarted, "%s", h.node)
			return l
		}
		if len(page.Packed) > 0 {
			if err := pack.Decode(page.Packed, &page.Records); err != nil {
				l.err = err
				return l
			}
		}
		for _, data := range page.Records {
			r, err := chains.Decode(data)
			if err != nil {
				l.err = err
				return l
			}
			l.records = append(l.records, r)
		}
		for i, id := range page.Turns {
			name := turnName{id: id}
			if i < len(page.Owners) {
				name.owner = page.Owners[i]
			}
			l.turns = append(l.turns, name)
		}
		l.caughtUp, l.fresh, l.tenure, l.started = page.CaughtUp, page.Fresh, page.Tenure, page.Started
		cursor, more = page.Next, page.More
	}
	return l
}

// callPeer sends a message to another vault, bounded by pageTimeout.
func callPeer(ctx context.Context, c *wsrpc.Client, m vaults.Message) (vaults.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return c.Call(ctx, m)
}

// copyMissing stores the listed accounts and fetches the turns that have fewer
// copies than wanted.
func (v *Vault) copyMissing(ctx context.Context, listings []listing, wanted int) error {
	copies := map[turnName]int{}
	for _, l := range listings {
		if err := v.persistRecords(ctx, l.records); err != nil {
			return err
		}
		for _, t := range l.turns {
			if l.isCopy {
				copies[t]++
			}
		}
	}
	for _, l := range listings {
		var missing []turnName
		for _, t := range l.turns {
			if copies[t] < wanted {
				missing = append(missing, t)
			}
		}
		if err := v.fetchTurns(ctx, l, missing); err != nil {
			return err
		}
	}
	return nil
}

// fetchTurns fetches from the vault that sent a listing those of the turns that are not here.
func (v *Vault) fetchTurns(ctx context.Context, l listing, turns []turnName) error {
	var wanted []string
	if err := v.runOnControl(ctx, func() { wanted = v.missingTurns(turns) }); err != nil {
		return err
	}
	for len(wanted) > 0 {
		batch := wanted[:min(turnsPerGet, len(wanted))]
		m, err := callPeer(ctx, v.peer(l.host.addr), &vaults.Get{Turns: batch})
		if err != nil {
			return err
		}
		got, ok := m.(*vaults.GetReply)
		if !ok {
			return errors.Wrap(errCatchUp, "unexpected answer to a request for turns")
		}
		if got.Started != l.started {
			return errors.Wrapf(errRestarted, "%s", l.host.node)
		}
		records := make([]chains.Record, 0, len(got.Turns))
		received := map[string]bool{}
		for _, t := range got.Turns {
			records = append(records, t)
			received[t.ID] = true
		}
		if err := v.persistRecords(ctx, records); err != nil {
			return err
		}
		// An answer is bounded and may hold only the first of them, so the rest
		// is requested again. An empty answer means that they have expired there.
		if n := len(received); n > 0 && n < len(batch) {
			batch = batch[:n]
		}
		wanted = wanted[len(batch):]
	}
	return nil
}

// persistRecords stores records and waits until the new ones are on disk.
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
