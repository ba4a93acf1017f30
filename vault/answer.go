package vault

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/eject"
	"github.com/cowslipstage/cowslipstage/coordination/growth"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/homes"
	"github.com/cowslipstage/cowslipstage/state/memory"
)

const (
	// pageRecords is the most records in one page of a listing.
	pageRecords = 2000
	// leavingNewsAge is how long all gates are told of a newly leaving endpoint, since a later
	// lifetime of a known one does not change the count that they send.
	leavingNewsAge = time.Second
	// pageBytes bounds the texts of turns in one answer, unless there is only one turn.
	pageBytes = 1 << 20
	// recordBytes is about how much a record takes on disk beside its texts.
	recordBytes = 512
	// loadCopies is how often a text is held while it is read: as it is on disk, and decoded.
	loadCopies = 2
)

// answerRequest answers a message. It runs on the control goroutine.
func (v *Vault) answerRequest(now time.Time, r request) {
	switch m := r.message.(type) {
	case *vaults.Begin:
		v.meters.begins.Inc()
		v.answerBegin(now, m, r.answer)
	case *vaults.End:
		v.meters.ends.Inc()
		v.answerEnd(now, m, r.answer)
	case *vaults.Fetch:
		v.meters.fetches.Inc()
		roster, caughtUp := v.seatState()
		kept, complete := v.chains.Chain(m.Chain, m.Owner)
		go func() {
			l := v.loadTurns(kept)
			defer l.release()
			r.answer(&vaults.FetchReply{Turns: l.turns, ChainComplete: complete && l.whole, Authoritative: caughtUp && l.err == nil, Version: roster.Version})
		}()
	case *vaults.List:
		v.answerList(m, r.answer)
	case *vaults.Load:
		if l := v.exchangeLoad(now, m); l != nil {
			r.answer(l)
			return
		}
		r.answer(&vaults.LoadReply{})
	case *vaults.Get:
		if len(m.Roots)+len(m.Accounts) > 0 {
			r.answer(v.answerLeft(now, m))
			return
		}
		v.answerGet(m, r.answer)
	default:
		r.answer(nil)
	}
}

// checkVersion compares the roster version of a message with this vault's. The
// status is Done if the message may be acted on. If the message's version is
// older, the newer roster is returned with it.
func (v *Vault) checkVersion(version uint64) (vaults.Status, *seats.Roster) {
	roster, caughtUp := v.seatState()
	switch {
	case version < roster.Version:
		return vaults.SenderStale, roster
	case version > roster.Version:
		return vaults.VaultStale, nil
	case !caughtUp || v.isDraining():
		return vaults.Unseated, nil
	}
	return vaults.Done, nil
}

// answerBegin returns the requested chain. If the message contains a hold, it
// stores the hold and returns a summary of the program's account, and all
// entries of the account if the budget does not allow the turn.
func (v *Vault) answerBegin(now time.Time, m *vaults.Begin, answer func(vaults.Message)) {
	status, newer := v.checkVersion(m.Version)
	b := &vaults.BeginReply{Status: status, Roster: newer}
	if status != vaults.Done {
		answer(b)
		return
	}
	b.LoadReply = v.exchangeLoad(now, m.Load)
	var kept []chains.Kept
	if m.Chain != "" {
		kept, b.ChainComplete = v.chains.Chain(m.Chain, m.Owner)
	}
	if m.Hold == nil {
		go v.answerWithTurns(b, kept, answer)
		return
	}
	wanted := growth.Want{Program: m.Hold.Program, Retention: m.Hold.Retention}
	wanted.Bytes, wanted.UnderWay = v.chains.NewBytes(m.Hold)
	if !v.writer.hasRoom(m.Size+recordBytes) || !v.growth.Admit(now, v.chains.Bytes(), wanted) {
		v.meters.full.Inc()
		answer(&vaults.BeginReply{Status: vaults.Full})
		return
	}
	if m.Session != "" {
		b.Home = v.findHome(now, m.Hold.Program, m.Session)
	}
	b.Age = v.chains.AccountAge(now, m.Hold.Program)
	m.Hold.Written = now.UnixMilli()
	v.chains.Add(m.Hold)
	account := v.chains.Account(m.Hold.Program)
	b.Summary = account.Summarize(m.Hold.Turn)
	if !account.Allows(m.Hold.Turn, m.Hold.MaxTokens, m.Budget) {
		b.Account = account.Entries()
	}
	v.writer.add(func(err error) {
		switch {
		case err != nil:
			answer(&vaults.BeginReply{Status: vaults.Failed})
		case len(kept) > 0:
			go v.answerWithTurns(b, kept, answer) // the writer must not wait for reads
		default:
			answer(b)
		}
	}, m.Hold)
}

// findHome returns the home of a session, or nil if none is known.
func (v *Vault) findHome(now time.Time, program, session string) *vaults.Home {
	h, ok := v.homes.Get(now, program, session)
	if !ok {
		return nil
	}
	return &vaults.Home{Endpoint: h.Endpoint, StartedAt: h.StartedAt, Tokens: h.Tokens}
}

// answerWithTurns answers with the newest turns of a chain.
func (v *Vault) answerWithTurns(b *vaults.BeginReply, kept []chains.Kept, answer func(vaults.Message)) {
	l := v.loadTurns(kept)
	defer l.release()
	b.Turns, b.ChainComplete = l.turns, b.ChainComplete && l.whole
	answer(b)
}

// loaded is a page of turns with their texts.
type loaded struct {
	turns []*chains.Turn
	// whole says that the page holds all turns that were asked for. err is why it holds fewer than a
	// page, if it does.
	whole bool
	err   error
	// holder is where the texts are booked.
	holder *memory.Holder
}

// release gives back what is booked for the texts.
func (l *loaded) release() { l.holder.Close() }

// errNoRoom means that there is no memory for the texts of turns now.
var errNoRoom = errors.New("vault: no memory for the texts now")

// loadTurns returns the first of some turns with their texts, up to a page of them or to the first that
// cannot be read. It may wait for the disk.
func (v *Vault) loadTurns(kept []chains.Kept) *loaded {
	now := time.Now()
	holder, _ := v.loads.Open(now, "", 0, func() {}) // it needs no room
	holder.Enter(now, memory.Serving)
	l := &loaded{holder: holder}
	size := 0
	for _, k := range kept {
		n := k.LoadBytes()
		// Turns with one ID are sent together, because who asks for turns goes on with the next ID.
		if size += n; size > pageBytes && len(l.turns) > 0 && l.turns[len(l.turns)-1].ID != k.ID {
			return l
		}
		if !holder.Take(now, int64(loadCopies*n)) {
			l.err = errNoRoom
			return l
		}
		t, err := k.Load()
		if err != nil {
			v.log.Warn().Err(err).Str("turn", k.ID).Msg("reading a turn from disk failed; others are asked for it")
			l.err = err
			return l
		}
		l.turns = append(l.turns, t)
	}
	l.whole = true
	return l
}

// exchangeLoad stores a gate's load and returns that of all other gates, if
// wanted.
func (v *Vault) exchangeLoad(now time.Time, l *vaults.Load) *vaults.LoadReply {
	if l == nil {
		return nil
	}
	limits := v.exchangeLimits(now, l)
	relays := v.exchangeRelays(now, l)
	verdicts, revision := v.exchangeVerdicts(now, l)
	allowances := v.exchangeAllowances(now, l)
	if l.Partial {
		return &vaults.LoadReply{Limits: limits, Relays: relays, Verdicts: verdicts, VerdictsRevision: revision, Allowances: allowances}
	}
	v.runningCalls.Update(now, l.Node, l.Calls)
	v.successes.Update(now, l.Node, l.Succeeded)
	v.failures.Update(now, l.Node, l.Failed)
	for id, startedAt := range l.Leaving {
		if v.leaving.Add(id, startedAt) {
			v.leavingLearnedAt = now
		}
	}
	if !l.WantOthers {
		return nil
	}
	answer := &vaults.LoadReply{
		OtherCalls: v.runningCalls.TotalsExcept(l.Node), LeavingCount: v.leaving.Size(), Limited: v.caps.Limited(now), Limits: limits,
		Verdicts: verdicts, VerdictsRevision: revision,
	}
	if l.LeavingCount != answer.LeavingCount || now.Sub(v.leavingLearnedAt) < leavingNewsAge {
		answer.Leaving = v.leaving.All()
	}
	successes := v.successes.Totals()
	for endpoint, bad := range v.failures.Totals() {
		if eject.Failing(successes[endpoint], bad) {
			answer.FailingEndpoints = append(answer.FailingEndpoints, endpoint)
		}
	}
	return answer
}

// answerEnd stores the end of a turn.
func (v *Vault) answerEnd(now time.Time, m *vaults.End, answer func(vaults.Message)) {
	status, newer := v.checkVersion(m.Version)
	if status != vaults.Done {
		answer(&vaults.EndReply{Status: status, Roster: newer})
		return
	}
	if m.Turn != nil && (v.growth.Full(v.chains.Bytes()) || !v.writer.hasRoom(len(m.Turn.Input)+len(m.Turn.Output)+recordBytes)) {
		v.meters.full.Inc()
		answer(&vaults.EndReply{Status: vaults.Full})
		return
	}
	var records []chains.Record
	if m.Turn != nil {
		m.Turn.Written = now.UnixMilli()
		records = append(records, m.Turn)
	}
	if m.Spent != nil {
		m.Spent.Written = now.UnixMilli()
		records = append(records, m.Spent)
	}
	if h := m.Home; h != nil {
		v.homes.Put(now, h.Program, h.Session, homes.Home{Endpoint: h.Endpoint, StartedAt: h.StartedAt, Tokens: h.Tokens})
	}
	for _, r := range records {
		v.chains.Add(r)
	}
	v.writer.add(func(err error) {
		if err != nil {
			answer(&vaults.EndReply{Status: vaults.Failed})
			return
		}
		answer(&vaults.EndReply{})
	}, records...)
}

// answerList returns one page of the records of this vault.
func (v *Vault) answerList(m *vaults.List, answer func(vaults.Message)) {
	roster, caughtUp := v.seatState()
	if m.Roster != nil && m.Roster.Version > roster.Version {
		roster = v.adopt(m.Roster)
		_, caughtUp = v.seatState()
	}
	l := &vaults.ListReply{CaughtUp: caughtUp, Fresh: v.isFresh(roster), Tenure: v.knownTenure(), Started: v.startedAt.UnixNano()}
	if m.Roster != nil && m.Roster.Version < roster.Version {
		l.Status, l.Roster = vaults.SenderStale, roster
		answer(l)
		return
	}
	records, next := v.chains.After(m.Cursor, pageRecords)
	l.Next, l.More = next, len(records) == pageRecords
	var owners []string
	for _, r := range records {
		if t, ok := r.(*chains.Turn); ok {
			if v.chains.Holds(t.ID, t.Owner) { // else only what it spent is still kept
				l.Turns, owners = append(l.Turns, t.ID), append(owners, t.Owner)
			}
			if t.Owner != "" {
				l.Owners = owners
			}
			if t.Program == "" {
				continue
			}
			// What the turn spent is needed even where its texts are not.
			r = &chains.Spent{Program: t.Program, Turn: t.ID, Used: t.Used, Retention: t.Retention, Written: t.Written}
		}
		data, err := chains.Encode(nil, r)
		if err != nil {
			v.log.Error().Err(err).Msg("encoding a record for a listing failed")
			answer(&vaults.ListReply{Status: vaults.Failed})
			return
		}
		l.Records = append(l.Records, data)
	}
	if !m.Packs || len(l.Records) == 0 {
		answer(l)
		return
	}
	go func() {
		defer v.recoverPanic(m)
		if packed, err := v.pack(l.Records); err == nil {
			l.Packed, l.Records = packed, nil
		}
		answer(l)
	}()
}

// answerGet returns the first of the requested turns, up to a page of them. If one cannot be read it
// does not answer, because a missing turn would count as expired.
func (v *Vault) answerGet(m *vaults.Get, answer func(vaults.Message)) {
	var kept []chains.Kept
	for _, id := range m.Turns {
		kept = append(kept, v.chains.Turn(id)...)
	}
	go func() {
		l := v.loadTurns(kept)
		defer l.release()
		if l.err != nil {
			answer(nil)
			return
		}
		answer(&vaults.GetReply{Turns: l.turns, Started: v.startedAt.UnixNano()})
	}()
}

// missingTurns returns the IDs of those of the turns that are not here. It runs on the
// control goroutine.
func (v *Vault) missingTurns(turns []turnName) []string {
	var missing []string
	added := map[string]bool{}
	for _, t := range turns {
		if !added[t.id] && !v.chains.Holds(t.id, t.owner) {
			added[t.id] = true
			missing = append(missing, t.id)
		}
	}
	return missing
}
