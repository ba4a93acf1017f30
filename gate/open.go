package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/spend"
)

// open notes what a turn may spend and returns its chain. budget is negative
// for a turn without one.
func (b *bank) open(ctx context.Context, hold *chains.Hold, budget int, previous string) ([]*chains.Turn, error) {
	begun := time.Now()
	defer b.begins.UpdateDuration(begun)
	chain, held := b.held(previous)
	if budget < 0 && held {
		return chain, nil
	}
	var found []*chains.Turn
	wanted := ""
	if !held {
		wanted = previous
		b.missed.Inc()
	}
	limit := openTime
	if b.cutOff() {
		limit = 0
	}
	err := b.persist(ctx, limit, func() error {
		return b.inRounds(ctx, func(roster *seats.Roster) error {
			var err error
			found, err = b.begin(ctx, roster, hold, budget, wanted)
			return err
		})
	})
	if err != nil {
		return nil, err
	}
	if held {
		return chain, nil
	}
	b.remember(found...)
	if chain, held = b.held(previous); held {
		return chain, nil
	}
	return b.fetch(ctx, previous)
}

// inRounds repeats a step while the roster changes under it.
func (b *bank) inRounds(ctx context.Context, step func(*seats.Roster) error) error {
	for range rounds {
		roster := b.current()
		if len(roster.Seats) < roster.Quorum() {
			b.doubt()
			return errors.Wrap(errUncertain, "no roster with a quorum")
		}
		err := step(roster)
		if err == nil || !errors.Is(err, errUncertain) {
			return err
		}
		if b.current().Version == roster.Version || ctx.Err() != nil {
			b.doubt()
			return err
		}
	}
	return errors.Wrap(errUncertain, "the roster keeps changing")
}

// begin asks a quorum to note the hold; it returns what they hold of the chain.
func (b *bank) begin(ctx context.Context, roster *seats.Roster, hold *chains.Hold, budget int, wanted string) ([]*chains.Turn, error) {
	var turns []*chains.Turn
	var sums []spend.Summary
	message := func(i int, s seats.Seat) vaults.Message {
		m := &vaults.Begin{Version: roster.Version, Budget: budget}
		if budget >= 0 {
			copied := *hold
			m.Hold = &copied
		}
		if i == 0 {
			m.Chain = wanted
		}
		m.Load = b.share.tell(time.Now(), roster, s)
		return m
	}
	needed := roster.Quorum()
	if budget < 0 {
		needed = 1
	}
	order := b.order(roster, hold.Program)
	err := b.gather(ctx, order, needed, message, func(s seats.Seat, m vaults.Message) bool {
		a, ok := m.(*vaults.BeginReply)
		if !ok || !b.accepted(s, a.Status, a.Roster) {
			return false
		}
		b.share.heard(a.LoadReply)
		turns = append(turns, a.Turns...)
		sums = append(sums, a.Summary)
		return true
	})
	if err != nil {
		return nil, err
	}
	if budget < 0 || spend.SummariesAllow(sums, hold.MaxTokens, budget) {
		return turns, nil
	}
	return turns, b.audit(ctx, roster, order, hold, budget)
}

// audit decides a budget from the accounts of a quorum together: no copy alone
// needs to know all turns, nor that a turn has been settled.
func (b *bank) audit(ctx context.Context, roster *seats.Roster, order []seats.Seat, hold *chains.Hold, budget int) error {
	account := spend.New()
	err := b.gather(ctx, order, roster.Quorum(), func(int, seats.Seat) vaults.Message {
		copied := *hold
		return &vaults.Begin{Version: roster.Version, Hold: &copied, Budget: 0}
	}, func(s seats.Seat, m vaults.Message) bool {
		a, ok := m.(*vaults.BeginReply)
		if !ok || !b.accepted(s, a.Status, a.Roster) {
			return false
		}
		for id, e := range a.Account {
			account.Merge(id, e)
		}
		return true
	})
	if err != nil {
		return err
	}
	if !account.Allows(hold.Turn, hold.MaxTokens, budget) {
		return errors.Wrapf(errSpent, "%d spent or held, %d wanted, %d allowed", account.TotalExcept(hold.Turn), hold.MaxTokens, budget)
	}
	return nil
}
