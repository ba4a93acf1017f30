package audit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/bench/agent"
	"github.com/cowslipstage/cowslipstage/bench/audit"
	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

var began = time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return began.Add(time.Duration(seconds) * time.Second) }

// cleanEvidence returns evidence of two model calls and an order without a violation.
func cleanEvidence() audit.Evidence {
	chat := func(key string, seq, digest uint64) agent.Record {
		return agent.Record{
			Program: "c/p", Key: key, Seq: seq, Service: "booking", Idempotent: true, Digest: digest, Want: key,
			Result: client.Result{Outcome: answer.Done, Text: key},
		}
	}
	return audit.Evidence{
		Records: []agent.Record{
			chat("k1", 1, 11),
			{Program: "c/p", Key: "k2", Seq: 2, Service: "yard", Operation: "book", Result: client.Result{Outcome: answer.Done}},
			chat("k3", 3, 33),
		},
		Engines: map[string]audit.Engine{"e1": {
			Ledger: []engine.Entry{
				{Program: "c/p", Key: "k1", Digest: 11, PromptTokens: 10, OutputTokens: 5, Arrived: at(1), Ended: at(2)},
				{Program: "c/p", Key: "k3", Digest: 33, PromptTokens: 20, OutputTokens: 5, Arrived: at(5), Ended: at(6)},
			},
			Held: map[string]int{"c/other": 32},
		}},
		Desks:  map[string]audit.Desk{"d1": {Ledger: []desk.Entry{{Program: "c/p", Key: "k2", Operation: "book", Arrived: at(3), Ended: at(4)}}}},
		Tokens: map[string]int64{"booking": 40},
		Left:   map[string]time.Time{"e1": at(4)}, Grace: 3 * time.Second,
		Ended: map[string]time.Time{"c/p": at(7)},
	}
}

func TestNoViolations(t *testing.T) {
	g := gomega.NewWithT(t)
	r := audit.Check(cleanEvidence())
	g.Expect(r.Samples()).To(gomega.BeEmpty())
	g.Expect(r.Total()).To(gomega.BeZero())
	g.Expect(r.Counts()).To(gomega.HaveLen(len(audit.Rules)))
}

// TestViolations checks that each corruption of the clean evidence is reported as
// exactly one violation.
func TestViolations(t *testing.T) {
	engineRuns := func(e *audit.Evidence) []engine.Entry { return e.Engines["e1"].Ledger }
	addRuns := func(e *audit.Evidence, entries ...engine.Entry) {
		n := e.Engines["e1"]
		n.Ledger = append(n.Ledger, entries...)
		e.Engines["e1"] = n
	}
	cases := map[string]struct {
		rule  audit.Rule
		spoil func(e *audit.Evidence)
	}{
		"another call's answer":   {audit.Answer, func(e *audit.Evidence) { e.Records[0].Result.Text = "k3" }},
		"an incomplete answer":    {audit.Answer, func(e *audit.Evidence) { e.Records[2].Result.Text = "k" }},
		"an answer without a run": {audit.Answer, func(e *audit.Evidence) { e.Desks = nil }},
		"a lost history":          {audit.History, func(e *audit.Evidence) { engineRuns(e)[1].Digest = 34 }},
		"a retry after the next call": {audit.Order, func(e *audit.Evidence) {
			addRuns(e, engine.Entry{Program: "c/p", Key: "k1", Digest: 11, Arrived: at(6)})
		}},
		"a call before its predecessor": {audit.Order, func(e *audit.Evidence) { engineRuns(e)[1].Arrived = at(2) }},
		"a budget exceeded":             {audit.Budget, func(e *audit.Evidence) { engineRuns(e)[1].OutputTokens = 6 }},
		"memory held for an ended program": {audit.Memory, func(e *audit.Evidence) {
			e.Engines["e1"].Held["c/p"] = 32
		}},
		"a call that ran though its outcome is notrun": {audit.NotRun, func(e *audit.Evidence) {
			e.Records[1].Result.Outcome = answer.NotRun
		}},
		"an order that ran twice": {audit.Once, func(e *audit.Evidence) {
			e.Desks["d2"] = audit.Desk{Ledger: []desk.Entry{{Program: "c/p", Key: "k2", Arrived: at(3)}}}
		}},
		"work for a leaving engine": {audit.Leaving, func(e *audit.Evidence) { e.Left["e1"] = at(1) }},
		"work that a leaving engine refused": {audit.Leaving, func(e *audit.Evidence) {
			n := e.Engines["e1"]
			n.Refused = []engine.Refusal{{Key: "k9", Time: at(8)}}
			e.Engines["e1"] = n
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := cleanEvidence()
			c.spoil(&e)
			r := audit.Check(e)
			g.Expect(r.Count(c.rule)).To(gomega.Equal(1), "%v", r.Samples())
			g.Expect(r.Total()).To(gomega.Equal(1), "%v", r.Samples())
		})
	}
}

// TestIdempotentCallMayRunTwice checks that a second run of an idempotent call is not
// a violation.
func TestIdempotentCallMayRunTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	e := cleanEvidence()
	n := e.Engines["e1"]
	n.Ledger = append(n.Ledger, engine.Entry{Program: "c/p", Key: "k3", Digest: 33, Arrived: at(6)})
	e.Engines["e1"] = n
	e.Tokens = nil
	g.Expect(audit.Check(e).Total()).To(gomega.BeZero())
}
