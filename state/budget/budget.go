// Package budget (state layer) tracks one program's budget.
package budget

import "github.com/cowslipstage/cowslipstage/state/record"

// Budget holds a program's tokens and money. A grant is journaled before it is reserved,
// so that a successor can count it as spent.
type Budget struct {
	tokens account
	money  account
}

// account is the budget in one currency.
type account struct {
	// limit is 0 for no bound; otherwise spent+granted never exceeds it.
	limit int64
	// spent is the cost of the settled calls.
	spent int64
	// granted is journaled for calls that are not settled yet.
	granted int64
	// reserved is held by calls in progress; it never exceeds granted.
	reserved int64
}

// New returns a budget with these limits; 0 means no bound.
func New(tokens, money int64) Budget {
	return Budget{tokens: account{limit: tokens}, money: account{limit: money}}
}

// SetGrant sets the outstanding grant.
func (b *Budget) SetGrant(tokens, money int64) {
	b.tokens.granted = tokens
	b.money.granted = money
}

// Fits reports whether the need can be granted without exceeding a limit.
func (b *Budget) Fits(tokens, money int64) bool {
	return b.tokens.fits(tokens) && b.money.fits(money)
}

// Covers reports whether the outstanding grant already covers the need.
func (b *Budget) Covers(tokens, money int64) bool {
	return b.tokens.unreserved() >= tokens && b.money.unreserved() >= money
}

// RequiredGrant returns the total grant that covers the need in addition to what is
// reserved.
func (b *Budget) RequiredGrant(tokens, money int64) (int64, int64) {
	return b.tokens.requiredGrant(tokens), b.money.requiredGrant(money)
}

// Reserve reserves a need that the grant covers.
func (b *Budget) Reserve(tokens, money int64) {
	b.tokens.reserved += tokens
	b.money.reserved += money
}

// Release returns a reservation without spending it.
func (b *Budget) Release(tokens, money int64) {
	b.tokens.reserved -= tokens
	b.money.reserved -= money
}

// Granted returns the outstanding grant.
func (b *Budget) Granted() (tokens, money int64) { return b.tokens.granted, b.money.granted }

// GrantAfter returns the total grant that remains after a turn: the reserved amount plus
// next tokens for the next call, within the limit.
func (b *Budget) GrantAfter(t *record.Turn, next int64) (tokens, money int64) {
	used := int64(t.Answer.Usage.Prompt+t.Answer.Usage.Output) + t.LostTokens
	return b.tokens.grantAfter(used, next), b.money.reserved
}

// Settle adds the cost of a call, over all its attempts, and sets the grant that remains.
func (b *Budget) Settle(t *record.Turn) {
	used := t.Answer.Usage
	b.tokens.spent += int64(used.Prompt+used.Output) + t.LostTokens
	b.money.spent += used.Money + t.LostMoney
	b.SetGrant(t.Tokens, t.Money)
}

// Forfeit counts the outstanding grant as spent, because a successor cannot know which
// part of it its predecessor used.
func (b *Budget) Forfeit() {
	b.tokens.forfeit()
	b.money.forfeit()
}

// Spent returns the cost of the settled calls.
func (b *Budget) Spent() (tokens, money int64) { return b.tokens.spent, b.money.spent }

// Reserved returns the amounts reserved by calls in progress.
func (b *Budget) Reserved() (tokens, money int64) { return b.tokens.reserved, b.money.reserved }

// Limit returns the limits; 0 means no bound.
func (b *Budget) Limit() (tokens, money int64) { return b.tokens.limit, b.money.limit }

func (a *account) fits(need int64) bool {
	return a.limit == 0 || a.spent+a.reserved+need <= a.limit
}

func (a *account) unreserved() int64 { return a.granted - a.reserved }

func (a *account) requiredGrant(need int64) int64 { return max(a.granted, a.reserved+need) }

func (a *account) forfeit() {
	a.spent += a.granted
	a.granted = 0
	a.reserved = 0
}

func (a *account) grantAfter(used, next int64) int64 {
	if a.limit == 0 {
		return a.reserved + next
	}
	return max(a.reserved, min(a.reserved+next, a.limit-a.spent-used))
}
