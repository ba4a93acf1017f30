package vault

import (
	"context"
	"time"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

// unspentTime is how long the account of a program that has used nothing is kept, so that messages
// which are still on their way find it.
const unspentTime = 15 * time.Second

// namesPerGet is the most chains and accounts that one message asks about.
const namesPerGet = 2000

// startExpiry drops what has expired. A quorum that records a turn need not include this
// vault, so the others are asked first whether a chain or a program goes on. It runs on the
// control goroutine.
func (v *Vault) startExpiry(ctx context.Context, now time.Time) {
	if v.expiring {
		return
	}
	v.chains.DropUnspent(now, unspentTime)
	due := v.chains.Due(now, namesPerGet)
	if due.Size() == 0 {
		v.chains.Prune()
		v.writer.clean()
		return
	}
	v.expiring = true
	go func() {
		confirmed := v.askLeft(ctx, due)
		_ = v.runOnControl(ctx, func() { // the vault stops otherwise
			v.expiring = false
			if confirmed {
				v.chains.Expire(time.Now(), due)
			}
			v.writer.clean()
		})
	}()
}

// askLeft asks the other seats how long they keep chains and accounts, and keeps them here as
// long. It reports whether enough of them answered to know of every record of these.
func (v *Vault) askLeft(ctx context.Context, due chains.Names) bool {
	roster, caughtUp := v.seatState()
	seated := roster.Find(v.site.Node) != nil
	if len(roster.Seats) == 0 || seated && !caughtUp {
		return false
	}
	answers := make(chan *vaults.GetReply, len(roster.Seats))
	asked := 0
	for _, s := range roster.Seats {
		if s.Node == v.site.Node {
			continue
		}
		asked++
		go func() {
			m, err := callPeer(ctx, v.peer(s.Addr), &vaults.Get{Roots: due.Roots, Accounts: due.Accounts, Version: roster.Version})
			if err != nil {
				v.log.Info().Err(err).Str("vault", s.Node).Msg("a vault did not say what it keeps")
			}
			reply, _ := m.(*vaults.GetReply)
			answers <- reply
		}()
	}
	answered := 0
	for range asked {
		reply := <-answers
		if reply == nil || reply.Status != vaults.Done {
			continue
		}
		answered++
		now := time.Now()
		left := chains.Left{Roots: reply.RootsLeft, Accounts: reply.AccountsLeft}
		if err := v.runOnControl(ctx, func() { v.chains.Prolong(now, due, left) }); err != nil {
			return false
		}
	}
	if needed := roster.Witnesses(seated); answered < needed {
		v.log.Info().Int("chains", len(due.Roots)).Int("accounts", len(due.Accounts)).Int("answered", answered).Int("needed", needed).Msg("nothing expires: too few vaults say what they keep")
		return false
	}
	return true
}

// answerLeft answers how much longer this vault keeps chains and accounts. It runs on the
// control goroutine.
func (v *Vault) answerLeft(now time.Time, m *vaults.Get) *vaults.GetReply {
	status, _ := v.checkVersion(m.Version)
	left := v.chains.TimeLeft(now, chains.Names{Roots: m.Roots, Accounts: m.Accounts})
	return &vaults.GetReply{Status: status, RootsLeft: left.Roots, AccountsLeft: left.Accounts}
}
