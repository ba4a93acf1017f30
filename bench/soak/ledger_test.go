package soak

import (
	"testing"

	"github.com/onsi/gomega"
)

// The ledger reports each kind of broken promise and accepts correct behaviour.
func TestLedgerReportsBrokenPromises(t *testing.T) {
	for _, c := range []struct {
		name       string
		act        func(l *ledger)
		wantPrefix string
	}{
		{"a turn that runs once and is answered completely", func(l *ledger) {
			l.recordRequest("a", conversation, "hi")
			l.recordRun("a", "hi")
			l.recordTokens("p", eventCount, 100, 40)
			l.checkAnswer("a", "e1.a", expectedAnswer(conversation, "a"))
		}, ""},
		{"a refused order that has not run", func(l *ledger) { l.recordRequest("a", order, "a"); l.recordNotRun("a", 503) }, ""},
		{"a lookup on two endpoints", func(l *ledger) {
			l.recordRequest("a", lookup, "a")
			l.recordRun("a", "a")
			l.recordRun("a", "a")
			l.checkAnswer("a", "e1.a", "done a")
		}, ""},
		{"a run without a request", func(l *ledger) { l.recordRun("a", "") }, "UNASKED"},
		{"a run with another text", func(l *ledger) { l.recordRequest("a", conversation, "hi"); l.recordRun("a", "ho") }, "UNASKED"},
		{"an order that runs twice", func(l *ledger) { l.recordRequest("a", order, "a"); l.recordRun("a", "a"); l.recordRun("a", "a") }, "TWICE"},
		{"a refusal after the run", func(l *ledger) { l.recordRequest("a", order, "a"); l.recordRun("a", "a"); l.recordNotRun("a", 503) }, "REFUSED"},
		{"a run after the refusal", func(l *ledger) {
			l.recordRequest("a", conversation, "a")
			l.recordNotRun("a", 402)
			l.recordRun("a", "a")
		}, "REFUSED"},
		{"the answer to another request", func(l *ledger) { l.recordRequest("a", order, "a"); l.checkAnswer("a", "e1.b", "done b") }, "MIXED"},
		{"an incomplete answer", func(l *ledger) { l.recordRequest("a", conversation, "a"); l.checkAnswer("a", "e1.a", "id: 0\n") }, "MIXED"},
		{"more tokens than the budget", func(l *ledger) { l.recordTokens("p", 10, 50, 40) }, "BUDGET"},
		{"a completed turn that is lost", func(l *ledger) { l.recordLostTurn("b", "a", 404) }, "LOST"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := newLedger()
			c.act(l)
			if c.wantPrefix == "" {
				g.Expect(l.violations).To(gomega.BeEmpty())
				return
			}
			g.Expect(l.violations).NotTo(gomega.BeEmpty())
			g.Expect(l.violations[0]).To(gomega.HavePrefix(c.wantPrefix))
		})
	}
}
