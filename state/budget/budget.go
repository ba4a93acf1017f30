// Package budget (state layer) keeps one program's budget.
package budget

import "github.com/cowslipstage/cowslipstage/state/record"

// Budget is a budget in tokens and money. What is granted is journaled before
// it is reserved, so that a successor can count it as spent.
type Budget struct {
	tokens account
	money  account
}

// account is one currency of a purse.
type account struct {
	// limit is 0 for no bound; otherwise spent+granted never exceeds it.
	limit int64
	// spent is settled.
	spent int64
	// granted is journaled and not settled.
	granted int64
	// reserved is held by calls in flight; it never exceeds granted.
	reserved int64
}

// New returns a purse with these limits; 0 means no bound.
func New(tokens, money int64) Budget {
	return Budget{tokens: account{limit: tokens}, money: account{limit: money}}
}

// SetGrant sets the outstanding grant.
func (p *Budget) SetGrant(tokens, money int64) {
	p.tokens.granted = tokens
	p.money.granted = money
}

// Fits tells whether the need can be granted without exceeding a limit.
func (p *Budget) Fits(tokens, money int64) bool {
	return p.tokens.fits(tokens) && p.money.fits(money)
}

// Covers tells whether the outstanding grant already covers the need.
func (p *Budget) Covers(tokens, money int64) bool {
	return p.tokens.free() >= tokens && p.money.free() >= money
}

// RequiredGrant returns the grant totals that cover the need besides what is reserved.
func (p *Budget) RequiredGrant(tokens, money int64) (int64, int64) {
	return p.tokens.raise(tokens), p.money.raise(money)
}

// Reserve holds a need that is covered.
func (p *Budget) Reserve(tokens, money int64) {
	p.tokens.reserved += tokens
	p.money.reserved += money
}

// Release gives a reservation back without spending it.
func (p *Budget) Release(tokens, money int64) {
	p.tokens.reserved -= tokens
	p.money.reserved -= money
}

// Granted returns the outstanding grant.
func (p *Budget) Granted() (tokens, money int64) { return p.tokens.granted, p.money.granted }

// GrantAfter returns the grant totals that are to remain after a turn: what is
// reserved and, as far as the limit allows, some tokens for the next call.
func (p *Budget) GrantAfter(t *record.Turn, next int64) (tokens, money int64) {
	used := int64(t.Answer.Usage.Prompt+t.Answer.Usage.Output) + t.LostTokens
	return p.tokens.headroom(used, next), p.money.reserved
}

// Settle books what a call spent, on all its attempts, and sets the grant that remains.
func (p *Budget) Settle(t *record.Turn) {
	used := t.Answer.Usage
	p.tokens.spent += int64(used.Prompt+used.Output) + t.LostTokens
	p.money.spent += used.Money + t.LostMoney
	p.SetGrant(t.Tokens, t.Money)
}

// Forfeit counts the outstanding grant as spent: a successor cannot know which
// part of it its predecessor used.
func (p *Budget) Forfeit() {
	p.tokens.forfeit()
	p.money.forfeit()
}

// Spent returns what is settled.
func (p *Budget) Spent() (tokens, money int64) { return p.tokens.spent, p.money.spent }

// Reserved returns what calls in flight hold.
func (p *Budget) Reserved() (tokens, money int64) { return p.tokens.reserved, p.money.reserved }

// Limit returns the bounds; 0 means none.
func (p *Budget) Limit() (tokens, money int64) { return p.tokens.limit, p.money.limit }

func (a *account) fits(need int64) bool {
	return a.limit == 0 || a.spent+a.reserved+need <= a.limit
}

func (a *account) free() int64 { return a.granted - a.reserved }

func (a *account) raise(need int64) int64 { return max(a.granted, a.reserved+need) }

func (a *account) forfeit() {
	a.spent += a.granted
	a.granted = 0
	a.reserved = 0
}

func (a *account) headroom(used, next int64) int64 {
	if a.limit == 0 {
		return a.reserved + next
	}
	return max(a.reserved, min(a.reserved+next, a.limit-a.spent-used))
}
