package audit

import (
	"github.com/cowslipstage/cowslipstage/bench/agent"
	"github.com/cowslipstage/cowslipstage/bench/local"
)

// Collect returns the evidence in the ledgers of a deployment's endpoints and in the
// callers' log.
func Collect(d *local.Deployment, l *agent.Log) Evidence {
	e := Evidence{
		Records: l.Records(), Engines: map[string]Engine{}, Desks: map[string]Desk{},
		Ended: l.Ended(),
	}
	for name, n := range d.Engines() {
		e.Engines[name] = Engine{Ledger: n.Ledger(), Refused: n.Refusals(), Held: n.HeldTokens()}
	}
	for name, n := range d.Desks() {
		e.Desks[name] = Desk{Ledger: n.Ledger(), Refused: n.Refusals()}
	}
	return e
}
