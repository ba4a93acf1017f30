package soak

import (
	"testing"

	"github.com/onsi/gomega"
)

// Each promise that is broken is seen, and nothing else is.
func TestTheLedgerSeesBrokenPromises(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(l *ledger)
		seen string
	}{
		{"a turn that runs once and is answered whole", func(l *ledger) {
			l.ask("a", conversation, "hi")
			l.run("a", "hi")
			l.hand("p", eventCount, 100, 40)
			l.success("a", "e1.a", expected(conversation, "a"))
		}, ""},
		{"a refusal that is true", func(l *ledger) { l.ask("a", order, "a"); l.deny("a", 503) }, ""},
		{"a lookup on two endpoints", func(l *ledger) {
			l.ask("a", lookup, "a")
			l.run("a", "a")
			l.run("a", "a")
			l.success("a", "e1.a", "done a")
		}, ""},
		{"nobody asked", func(l *ledger) { l.run("a", "") }, "UNASKED"},
		{"another text", func(l *ledger) { l.ask("a", conversation, "hi"); l.run("a", "ho") }, "UNASKED"},
		{"an order twice", func(l *ledger) { l.ask("a", order, "a"); l.run("a", "a"); l.run("a", "a") }, "TWICE"},
		{"refused after it ran", func(l *ledger) { l.ask("a", order, "a"); l.run("a", "a"); l.deny("a", 503) }, "REFUSED"},
		{"runs after it was refused", func(l *ledger) { l.ask("a", conversation, "a"); l.deny("a", 402); l.run("a", "a") }, "REFUSED"},
		{"another's answer", func(l *ledger) { l.ask("a", order, "a"); l.success("a", "e1.b", "done b") }, "MIXED"},
		{"half an answer", func(l *ledger) { l.ask("a", conversation, "a"); l.success("a", "e1.a", "id: 0\n") }, "MIXED"},
		{"over the budget", func(l *ledger) { l.hand("p", 10, 50, 40) }, "BUDGET"},
		{"a kept turn that is gone", func(l *ledger) { l.lost("b", "a", 404) }, "LOST"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := newLedger()
			c.do(l)
			if c.seen == "" {
				g.Expect(l.broken).To(gomega.BeEmpty())
				return
			}
			g.Expect(l.broken).NotTo(gomega.BeEmpty())
			g.Expect(l.broken[0]).To(gomega.HavePrefix(c.seen))
		})
	}
}
