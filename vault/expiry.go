package vault

import (
	"context"
	"time"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

// rootsPerGet is the most chains that one message asks about.
const rootsPerGet = 2000

// startExpiry drops what has expired. A quorum that records a turn need not include this
// vault, so the others are asked first whether a chain goes on. It runs on the control
// goroutine.
func (v *Vault) startExpiry(ctx context.Context, now time.Time) {
	if v.expiring {
		return
	}
	due := v.chains.Due(now, rootsPerGet)
	if len(due) == 0 {
		v.expire(now, nil)
		return
	}
	v.expiring = true
	go func() {
		confirmed := v.askKept(ctx, due)
		_ = v.runOnControl(ctx, func() { // the vault stops otherwise
			v.expiring = false
			if !confirmed {
				due = nil
			}
			v.expire(time.Now(), due)
		})
	}()
}

// expire drops those of the chains that no vault has extended, and what has expired besides.
func (v *Vault) expire(now time.Time, due []string) {
	v.chains.Expire(now, due)
	v.writer.expire(now)
}

// askKept asks the other seats how long they keep chains, and keeps them here as long. It
// reports whether enough of them answered to know of every turn that was recorded.
func (v *Vault) askKept(ctx context.Context, roots []string) bool {
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
			m, err := callPeer(ctx, v.peer(s.Addr), &vaults.Get{Roots: roots, Version: roster.Version})
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
		err := v.runOnControl(ctx, func() {
			for i, left := range reply.KeptFor[:min(len(roots), len(reply.KeptFor))] {
				v.chains.KeepFor(now, roots[i], left)
			}
		})
		if err != nil {
			return false
		}
	}
	if needed := roster.Witnesses(seated); answered < needed {
		v.log.Info().Int("chains", len(roots)).Int("answered", answered).Int("needed", needed).Msg("nothing expires: too few vaults say what they keep")
		return false
	}
	return true
}

// answerKept answers how much longer this vault keeps chains. It runs on the control
// goroutine.
func (v *Vault) answerKept(now time.Time, m *vaults.Get) *vaults.GetReply {
	status, _ := v.checkVersion(m.Version)
	reply := &vaults.GetReply{Status: status}
	for _, root := range m.Roots {
		reply.KeptFor = append(reply.KeptFor, v.chains.KeptFor(now, root))
	}
	return reply
}
