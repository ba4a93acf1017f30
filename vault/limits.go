package vault

import (
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/quota"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/caps"
)

// exchangeLimits stores what a gate reports of limits that endpoints named, and
// returns what the other gates reported, if wanted.
func (v *Vault) exchangeLimits(now time.Time, l *vaults.Load) *vaults.LimitsReply {
	if l.Limits == nil {
		return nil
	}
	v.sent.Update(now, l.Node, l.Limits.Sent)
	for id, said := range l.Limits.Heard {
		v.caps.Hear(id, caps.Cap{Rate: said.Rate, Lifted: said.Lifted, StartedAt: said.StartedAt, HeardAt: now.Add(-max(0, said.Age))})
	}
	if !l.Limits.WantOthers {
		return nil
	}
	gates := v.runningCalls.Senders(now)
	for _, name := range v.sent.Senders(now) {
		if !slices.Contains(gates, name) {
			gates = append(gates, name)
		}
	}
	reply := &vaults.LimitsReply{
		OtherGates: len(gates) - 1, OtherSent: v.sent.TotalsExcept(l.Node), Ranks: map[string]int{}, Heard: map[string]vaults.Cap{},
	}
	for id, known := range v.caps.All(now) {
		reply.Heard[id] = vaults.Cap{Rate: known.Rate, Lifted: known.Lifted, StartedAt: known.StartedAt, Age: now.Sub(known.HeardAt)}
		if !known.Lifted {
			reply.Ranks[id] = quota.Rank(id, l.Node, gates)
		}
	}
	return reply
}
