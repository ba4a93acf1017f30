package vault

import (
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/eject"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

const (
	// pageRecords is the most records in one page of a listing.
	pageRecords = 2000
	// chainBytes bounds the texts in one answer.
	chainBytes = 8 << 20
)

// answer takes a message on the control goroutine.
func (v *Vault) answer(now time.Time, a asked) {
	switch m := a.message.(type) {
	case *vaults.Begin:
		v.meters.begins.Inc()
		v.begin(now, m, a.answer)
	case *vaults.End:
		v.meters.ends.Inc()
		v.end(now, m, a.answer)
	case *vaults.Fetch:
		v.meters.fetches.Inc()
		roster, counts := v.standing()
		turns, whole := v.chains.Chain(m.Chain)
		a.answer(&vaults.FetchReply{Turns: turns, ChainComplete: whole, Authoritative: counts, Version: roster.Version})
	case *vaults.List:
		v.answerList(m, a.answer)
	case *vaults.Load:
		if l := v.exchange(now, m); l != nil {
			a.answer(l)
			return
		}
		a.answer(&vaults.LoadReply{})
	case *vaults.Get:
		v.get(m, a.answer)
	}
}

// check tells how a message with a roster's version is to be taken.
func (v *Vault) check(version uint64) (vaults.Status, *seats.Roster) {
	roster, counts := v.standing()
	switch {
	case version < roster.Version:
		return vaults.SenderStale, roster
	case version > roster.Version:
		return vaults.VaultStale, nil
	case !counts:
		return vaults.Unseated, nil
	}
	return vaults.Done, nil
}

func (v *Vault) begin(now time.Time, m *vaults.Begin, answer func(vaults.Message)) {
	status, newer := v.check(m.Version)
	b := &vaults.BeginReply{Status: status, Roster: newer}
	if status != vaults.Done {
		answer(b)
		return
	}
	b.LoadReply = v.exchange(now, m.Load)
	if m.Chain != "" {
		b.Turns, b.ChainComplete = v.chains.Chain(m.Chain)
	}
	if m.Hold == nil {
		answer(b)
		return
	}
	m.Hold.Written = now.UnixMilli()
	v.chains.Add(m.Hold)
	account := v.chains.Account(m.Hold.Program)
	b.Summary = account.Summarize(m.Hold.Turn)
	if !account.Allows(m.Hold.Turn, m.Hold.MaxTokens, m.Budget) {
		b.Account = account.Entries()
	}
	v.writer.add(func(err error) {
		if err != nil {
			b = &vaults.BeginReply{Status: vaults.Failed}
		}
		answer(b)
	}, m.Hold)
}

// exchange notes what a gate tells of its calls and returns what all others told,
// if wanted.
func (v *Vault) exchange(now time.Time, l *vaults.Load) *vaults.LoadReply {
	if l == nil {
		return nil
	}
	v.calls.Update(now, l.Node, l.Calls)
	v.good.Update(now, l.Node, l.Succeeded)
	v.bad.Update(now, l.Node, l.Failed)
	if !l.WantOthers {
		return nil
	}
	answer := &vaults.LoadReply{OtherCalls: v.calls.TotalsExcept(l.Node)}
	for endpoint, bad := range v.bad.Totals() {
		if eject.Failing(v.good.Totals()[endpoint], bad) {
			answer.FailingEndpoints = append(answer.FailingEndpoints, endpoint)
		}
	}
	return answer
}

func (v *Vault) end(now time.Time, m *vaults.End, answer func(vaults.Message)) {
	status, newer := v.check(m.Version)
	if status != vaults.Done {
		answer(&vaults.EndReply{Status: status, Roster: newer})
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

func (v *Vault) answerList(m *vaults.List, answer func(vaults.Message)) {
	roster, counts := v.standing()
	if m.Roster != nil && m.Roster.Version > roster.Version {
		roster = v.adopt(m.Roster)
		_, counts = v.standing()
	}
	l := &vaults.ListReply{CaughtUp: counts}
	if m.Roster != nil && m.Roster.Version < roster.Version {
		l.Status, l.Roster = vaults.SenderStale, roster
		answer(l)
		return
	}
	records, next := v.chains.After(m.Cursor, pageRecords)
	l.Next, l.More = next, len(records) == pageRecords
	for _, r := range records {
		if t, ok := r.(*chains.Turn); ok {
			l.Turns = append(l.Turns, t.ID)
			if t.Program == "" {
				continue
			}
			// What it spent counts also where its texts are not needed.
			r = &chains.Spent{Program: t.Program, Turn: t.ID, Used: t.Used, Retention: t.Retention, Written: t.Written}
		}
		data, err := chains.Encode(nil, r)
		if err != nil {
			v.log.Error().Err(err).Msg("record not listed")
			answer(&vaults.ListReply{Status: vaults.Failed})
			return
		}
		l.Records = append(l.Records, data)
	}
	answer(l)
}

func (v *Vault) get(m *vaults.Get, answer func(vaults.Message)) {
	g := &vaults.GetReply{}
	size := 0
	for _, id := range m.Turns {
		t := v.chains.Turn(id)
		if t == nil {
			continue
		}
		if size += len(t.Input) + len(t.Output); size > chainBytes {
			break
		}
		g.Turns = append(g.Turns, t)
	}
	answer(g)
}

// missing returns those of the turns that are not here. It runs on the control
// goroutine.
func (v *Vault) missing(turns []string) []string {
	var missing []string
	for _, id := range turns {
		if v.chains.Turn(id) == nil {
			missing = append(missing, id)
		}
	}
	return missing
}
