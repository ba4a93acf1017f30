package vault

import (
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/blame"
)

// verdictsFile holds the verdicts on requests that crash endpoints. Without it, a loss of
// power everywhere would give such requests their crashes once more.
const verdictsFile = "verdicts"

// savedVerdicts is the content of verdictsFile.
type savedVerdicts struct {
	// SavedAt is in Unix milliseconds.
	SavedAt  int64           `cbor:"1,keyasint"`
	Verdicts *blame.Verdicts `cbor:"2,keyasint,omitempty"`
}

// exchangeVerdicts stores what a gate reports of requests that crashed endpoints, and
// returns what is known of them if the gate does not have that yet.
func (v *Vault) exchangeVerdicts(now time.Time, l *vaults.Load) (*blame.Verdicts, uint64) {
	before := v.blame.Revision()
	for _, r := range l.Crashes {
		v.blame.AddCrash(now, now.Add(-max(0, r.Age)), r.Content, r.Target, r.Crash)
	}
	v.blame.Merge(now, l.Verdicts)
	for _, content := range v.blame.Decide(now) {
		v.log.Warn().Str("content", content).Msg("a request crashes one endpoint after another; blocked")
	}
	if v.blame.Revision() != before {
		v.saveVerdicts(now)
	}
	if revision := v.blame.Revision(); revision != l.VerdictsRevision {
		return v.blame.Verdicts(now), revision
	}
	return nil, 0
}

// saveVerdicts has what is known now written to disk.
func (v *Vault) saveVerdicts(now time.Time) {
	v.verdicts.put(savedVerdicts{SavedAt: now.UnixMilli(), Verdicts: v.blame.Verdicts(now)})
}

// loadVerdicts reads the verdicts that this host last wrote.
func (v *Vault) loadVerdicts(now time.Time) {
	data, err := os.ReadFile(filepath.Join(v.site.Data, verdictsFile))
	if os.IsNotExist(err) {
		return
	}
	s := savedVerdicts{}
	if err == nil {
		err = cbor.Unmarshal(data, &s)
	}
	if err != nil || s.Verdicts == nil {
		v.log.Warn().Err(err).Msg("verdicts file unreadable; skipped")
		return
	}
	away := max(0, now.Sub(time.UnixMilli(s.SavedAt)))
	for _, ages := range []map[string]time.Duration{s.Verdicts.Blocked, s.Verdicts.Ended, s.Verdicts.Targets} {
		for name := range ages {
			ages[name] += away
		}
	}
	blocked := v.blame.Merge(now, s.Verdicts)
	v.log.Info().Int("blocked", len(blocked)).Dur("age", away).Msg("verdicts on requests read")
}
