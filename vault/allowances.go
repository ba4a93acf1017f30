package vault

import (
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/grant"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/usage"
)

// exchangeAllowances stores what a gate passed by customer and returns how much this vault knows,
// with what all gates passed, if wanted.
func (v *Vault) exchangeAllowances(now time.Time, l *vaults.Load) *vaults.AllowancesReply {
	a := l.Allowances
	if a == nil {
		return nil
	}
	v.usage.Add(now, l.Node, a.Lifetime, a.Counts)
	if a.Ends {
		v.usage.Remove(l.Node)
	}
	reply := &vaults.AllowancesReply{Unsettled: !v.usage.Settled(now, v.usesKept())}
	reply.Gates, reply.Missing = v.usage.Gates(now)
	if !a.WantView {
		return reply
	}
	reply.Phase, reply.Passed = usage.Phase(now), map[string][]int{}
	if a.Question != nil {
		reply.Answer = v.answerQuestion(now, l.Node, a, reply.Phase)
	}
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

// usesKept reports whether this vault began with its disk, or took a free seat, as at the first start
// of a deployment.
func (v *Vault) usesKept() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	seat := v.roster.Find(v.site.Node)
	return v.usesRead && (v.countedBefore || seat != nil && seat.Fresh && v.claimedVersion == seat.SinceVersion)
}

// answerQuestion decides on the requests that a gate asks for, and counts those that pass. It
// returns nil while this vault does not know enough; the gate then asks another one. It lets
// none pass if the gate has sent a newer count, because it no longer waits then.
func (v *Vault) answerQuestion(now time.Time, gate string, a *vaults.Allowances, phase time.Duration) *grant.Answer {
	n, ok := a.Counts[a.Customer]
	switch {
	case !a.Question.Known(v.usage.Counted(now)) || !v.usage.Settled(now, v.usesKept()):
		return nil
	case !ok || !v.usage.Newest(gate, a.Customer, n):
		return &grant.Answer{}
	}
	answer := a.Question.Decide(v.usage.Recent(now, a.Customer), phase)
	v.usage.Grant(now, gate, a.Customer, answer.UnderWay+answer.Beginning)
	return &answer
}

// usesEvery is the pause between two log lines on a customer near its quota.
const usesEvery = time.Second

// logUses logs what this vault counts of the customers near their quota.
func (v *Vault) logUses(now time.Time) {
	gates, missing := v.usage.Gates(now)
	for _, u := range v.usage.Uses(now) {
		v.log.Info().Str("customer", u.Customer).Int("requests", u.Requests).Int("granted", u.Granted).Int("gates", gates).Int("missing", missing).
			Msg("use of a quota at all gates")
	}
}

// usesFile holds a usage.Saved.
const usesFile = "uses"

// loadUses reads the use of quotas that this host last wrote. It reports whether nothing of it is
// lost.
func (v *Vault) loadUses(now time.Time) bool {
	data, err := os.ReadFile(filepath.Join(v.site.Data, usesFile))
	if os.IsNotExist(err) {
		return true
	}
	s := usage.Saved{}
	if err == nil {
		err = cbor.Unmarshal(data, &s)
	}
	if err != nil {
		v.log.Warn().Err(err).Msg("file of the use of quotas unreadable; skipped")
		return false
	}
	v.usage.Restore(now, s)
	v.log.Info().Int("customers", len(s.Passed)).Msg("use of quotas read")
	return true
}
