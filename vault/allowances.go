package vault

import (
	"time"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/usage"
)

// exchangeAllowances stores what a gate passed by customer and returns what all gates
// passed, if wanted.
func (v *Vault) exchangeAllowances(now time.Time, l *vaults.Load) *vaults.AllowancesReply {
	a := l.Allowances
	if a == nil {
		return nil
	}
	v.usage.Add(now, l.Node, a.Lifetime, a.Counts)
	if a.Ends {
		v.usage.Remove(l.Node)
	}
	if !a.WantView {
		return nil
	}
	reply := &vaults.AllowancesReply{Phase: usage.Phase(now), Passed: map[string][]int{}}
	reply.Gates, reply.Missing = v.usage.Gates(now)
	for name := range a.Counts {
		reply.Passed[name] = v.usage.Recent(now, name)
	}
	if a.WantNear {
		for _, name := range v.usage.Near(now) {
			reply.Passed[name] = v.usage.Recent(now, name)
		}
	}
	return reply
}
