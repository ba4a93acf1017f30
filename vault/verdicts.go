package vault

import (
	"time"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/blame"
)

// exchangeVerdicts stores what a gate reports of requests that crashed endpoints, and
// returns what is known of them if the gate does not have that yet.
func (v *Vault) exchangeVerdicts(now time.Time, l *vaults.Load) (*blame.Verdicts, uint64) {
	for _, r := range l.Crashes {
		v.blame.AddCrash(now, now.Add(-max(0, r.Age)), r.Content, r.Target, r.Crash)
	}
	v.blame.Merge(now, l.Verdicts)
	for _, content := range v.blame.Decide(now) {
		v.log.Warn().Str("content", content).Msg("a request crashes one endpoint after another; blocked")
	}
	if revision := v.blame.Revision(); revision != l.VerdictsRevision {
		return v.blame.Verdicts(now), revision
	}
	return nil, 0
}
