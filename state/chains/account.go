package chains

import (
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/state/spend"
)

// account is what one program has spent. Its records are kept for one time.
type account struct {
	*spend.Account
	// openedAt is when the first of its records was written.
	openedAt time.Time
	// until is when it may be dropped, by the records that this replica has heard of. It only
	// moves later.
	until time.Time
	// sources holds its records, since a budget counts all of a program's turns.
	sources []accountSource
}

// accountSource is where a record of an account is stored. It is pinned.
type accountSource struct {
	turn    string
	settles bool
	Source
}

// pin keeps a record of a turn stored. One that settles the turn stands for its hold.
func (a *account) pin(turn string, settles bool, s Source) {
	for i, o := range a.sources {
		if o.turn != turn || o.settles == settles {
			continue
		}
		if settles {
			s.Pin()
			o.Release()
			a.sources[i] = accountSource{turn, settles, s}
		}
		return
	}
	s.Pin()
	a.sources = append(a.sources, accountSource{turn, settles, s})
}

// release gives up the account's records.
func (a *account) release() {
	for _, s := range a.sources {
		s.Release()
	}
}

func (a *account) keepUntil(until time.Time) {
	if until.After(a.until) {
		a.until = until
	}
}

func (c *Chains) merge(program, turn string, e spend.Entry, written time.Time, retention time.Duration) bool {
	a, until := c.accounts[program], written.Add(retention)
	if a == nil {
		a = &account{Account: spend.New(), openedAt: written}
		c.accounts[program] = a
		c.bytes += accountBytes(program)
	}
	if written.Before(a.openedAt) {
		a.openedAt = written
	}
	a.keepUntil(until)
	known := a.Size()
	changed := a.Merge(turn, e)
	if a.Size() > known {
		c.bytes += entryBytes(turn)
	}
	if changed && e.Settled && e.Used == 0 && a.Unspent() {
		c.unspent = append(c.unspent, unspent{program, written})
	}
	return changed
}

// dropAccount forgets an account.
func (c *Chains) dropAccount(key string, a *account) {
	a.release()
	delete(c.accounts, key)
	c.bytes -= accountBytes(key)
	for turn := range a.Entries() {
		c.bytes -= entryBytes(turn)
	}
}

// unspent is an account of a program whose turns have all ended without using anything, such as
// those that were refused, as of a record's time.
type unspent struct {
	key string
	at  time.Time
}

// DropUnspent drops the accounts that have been unspent for some time, during which further records
// of their turns may arrive. They say nothing that a program without an account does not.
func (c *Chains) DropUnspent(now time.Time, after time.Duration) {
	for len(c.unspent) > 0 && now.Sub(c.unspent[0].at) > after {
		u := c.unspent[0]
		c.unspent = c.unspent[1:]
		if a := c.accounts[u.key]; a != nil && a.Unspent() {
			c.dropAccount(u.key, a)
		}
	}
}

// accountSeparator separates the owner from the program in the key of an account. Neither
// can contain it.
const accountSeparator = "\x00"

// AccountKey returns the key under which the spending of an owner's program is recorded,
// the program itself if it has no owner.
func AccountKey(owner, program string) string {
	if owner == "" || program == "" {
		return program
	}
	return owner + accountSeparator + program
}

// Account returns the account with a key, or nil if there is none. What was recorded for
// the same program without an owner counts for every owner that names the program.
func (c *Chains) Account(key string) *spend.Account {
	_, program, owned := strings.Cut(key, accountSeparator)
	a, shared := c.accounts[key], c.accounts[program]
	switch {
	case a == nil && (!owned || shared == nil):
		return nil
	case a == nil:
		return shared.Account
	case !owned || shared == nil:
		return a.Account
	}
	merged := spend.New()
	for _, one := range []*account{a, shared} {
		for turn, e := range one.Entries() {
			merged.Merge(turn, e)
		}
	}
	return merged
}

// AccountAge returns how long ago the account with a key was opened, 0 if there is none.
func (c *Chains) AccountAge(now time.Time, key string) time.Duration {
	if a := c.accounts[key]; a != nil {
		return max(0, now.Sub(a.openedAt))
	}
	return 0
}
