package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/await"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/spend"
)

// opening is what a gate wants of the vaults before a turn runs.
type opening struct {
	hold *chains.Hold
	// budget is that of the program; a negative one means that the turn has none.
	budget int
	// previous is the turn whose chain is wanted, "" if there is none.
	previous string
	// owner is the customer that the turn belongs to, "" if it has none.
	owner string
	// margin is how much longer turns are kept than they may be continued.
	margin time.Duration
	// room books bytes of the chain that are fetched, and reports whether there is room. There always
	// is if it is nil.
	room func(bytes int) bool
	// size is the length of the turn's texts, if it is kept and they are long.
	size int
	// session is the session whose home is wanted, "" if none is.
	session string
}

// opened is what the vaults answered.
type opened struct {
	// chain is the chain up to the previous turn, oldest first.
	chain []*chains.Turn
	// home is where the session's last turn ran, nil if no vault knows.
	home *vaults.Home
	// held says that some vault may hold tokens for the turn.
	held bool
	// underWay reports whether the program has spent tokens before, age how long ago it
	// first opened a turn.
	underWay bool
	age      time.Duration
}

// addHome keeps the home that a vault answered, if it is the longest: a session's prompt
// only grows.
func (o *opened) addHome(h *vaults.Home) {
	if h != nil && (o.home == nil || h.Tokens > o.home.Tokens) {
		o.home = h
	}
}

// openTurn has the vaults hold the tokens that a turn may spend and returns the
// turn's chain.
func (c *vaultClient) openTurn(ctx context.Context, wanted opening) (*opened, error) {
	started := time.Now()
	defer c.beginSeconds.UpdateDuration(started)
	result := &opened{underWay: wanted.previous != ""}
	c.dropStale(started, wanted)
	var cached bool
	if result.chain, cached = c.cachedChain(wanted.previous, wanted.owner); wanted.budget < 0 && cached {
		return result, nil
	}
	previous := wanted.previous
	if cached {
		wanted.previous = ""
	} else {
		c.cacheMisses.Inc()
	}
	waiter := await.New(started)
	mayRetry := func(now time.Time) bool {
		deadline, _ := ctx.Deadline() // without one, nobody waits for long
		return waiter.MayRetry(now, c.seatedVaults(now), deadline.Sub(now))
	}
	err := c.retryUncertain(ctx, mayRetry, func() error {
		ctx, cancel := context.WithTimeout(ctx, openTime)
		defer cancel()
		return c.withRoster(ctx, func(roster *seats.Roster) error { return c.sendBegin(ctx, roster, wanted, result) })
	})
	if err != nil || cached {
		return result, err
	}
	if result.chain, cached = c.cachedChain(previous, wanted.owner); cached {
		return result, nil
	}
	result.chain, err = c.fetchChain(ctx, previous, wanted.owner, wanted.room)
	return result, err
}

// withRoster runs a step with the known roster, and again if the roster changed
// while the step failed with errUncertain.
func (c *vaultClient) withRoster(ctx context.Context, step func(*seats.Roster) error) error {
	for range maxRosterRounds {
		roster := c.currentRoster()
		if len(roster.Seats) < roster.Quorum() {
			c.requestRoster()
			return errors.Wrap(errUncertain, "no roster with a quorum")
		}
		err := step(roster)
		if err == nil || !errors.Is(err, errUncertain) {
			return err
		}
		if c.currentRoster().Version == roster.Version || ctx.Err() != nil {
			c.requestRoster()
			return err
		}
	}
	return errors.Wrap(errUncertain, "the roster keeps changing")
}

// sendBegin stores the hold at a quorum of vaults, adds what they answered to the
// result, and caches the turns of the chain that they sent.
func (c *vaultClient) sendBegin(ctx context.Context, roster *seats.Roster, wanted opening, result *opened) error {
	hold, budget := wanted.hold, wanted.budget
	var sums []spend.Summary
	message := func(i int, s seats.Seat) vaults.Message {
		m := &vaults.Begin{Version: roster.Version, Budget: budget}
		if budget >= 0 {
			copied := *hold
			m.Hold, m.Session, m.Size = &copied, wanted.session, wanted.size
		}
		if i == 0 {
			m.Chain, m.Owner = wanted.previous, wanted.owner
		}
		m.Load = c.exchange.loadFor(time.Now(), roster, s)
		return m
	}
	needed := roster.Quorum()
	if budget < 0 {
		needed = 1
	}
	order := c.orderSeats(roster, hold.Program)
	full := 0
	err := c.gather(ctx, order, needed, message, func(s seats.Seat, m vaults.Message) bool {
		a, ok := m.(*vaults.BeginReply)
		if ok && a.Status == vaults.Full {
			full++
		}
		if !ok || !c.acceptStatus(s, a.Status, a.Roster) {
			return false
		}
		c.exchange.receive(s.Addr, a.LoadReply)
		c.cacheTurns(a.Turns...)
		result.addHome(a.Home)
		result.underWay = result.underWay || a.Summary.Spent > 0
		result.age = max(result.age, a.Age)
		sums = append(sums, a.Summary)
		return true
	})
	result.held = result.held || full < len(order)
	if err != nil && full > 0 {
		return errors.Wrap(errFull, err.Error())
	}
	if err != nil || budget < 0 || spend.SummariesAllow(sums, hold.MaxTokens, budget) {
		return err
	}
	return c.checkBudget(ctx, roster, order, hold, budget)
}

// checkBudget decides whether a turn fits its budget from the merged accounts
// of a quorum. A single copy may lack turns or their settlement.
func (c *vaultClient) checkBudget(ctx context.Context, roster *seats.Roster, order []seats.Seat, hold *chains.Hold, budget int) error {
	account := spend.New()
	err := c.gather(ctx, order, roster.Quorum(), func(int, seats.Seat) vaults.Message {
		copied := *hold
		return &vaults.Begin{Version: roster.Version, Hold: &copied, Budget: 0}
	}, func(s seats.Seat, m vaults.Message) bool {
		a, ok := m.(*vaults.BeginReply)
		if !ok || !c.acceptStatus(s, a.Status, a.Roster) {
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
