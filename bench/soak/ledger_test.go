package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// ledgerCase is what happens and the beginning of the violation that it is, "" for none.
type ledgerCase struct {
	name       string
	act        func(l *ledger)
	wantPrefix string
}

func (c ledgerCase) run(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger()
	c.act(l)
	if c.wantPrefix == "" {
		g.Expect(l.violations).To(gomega.BeEmpty())
		return
	}
	g.Expect(l.violations).NotTo(gomega.BeEmpty())
	g.Expect(l.violations[0]).To(gomega.HavePrefix(c.wantPrefix))
}

// The ledger reports each kind of broken promise and accepts correct behaviour.
func TestLedgerReportsBrokenPromises(t *testing.T) {
	for _, c := range []ledgerCase{
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
		{"a turn refused within its budget", func(l *ledger) { l.recordHold("p"); l.checkSpent("a", "p", 80, 40) }, "BUDGET"},
		{"a turn refused beyond its budget", func(l *ledger) {
			l.recordHold("p")
			l.recordHold("p")
			l.recordHold("p")
			l.checkSpent("a", "p", 80, 40)
		}, ""},
		{"a completed turn that is lost", func(l *ledger) { l.recordLostTurn("b", "a", 404) }, "LOST"},
	} {
		t.Run(c.name, c.run)
	}
}

// The ledger reports what a key or a customer's name must not do.
func TestLedgerReportsKeys(t *testing.T) {
	for _, c := range []ledgerCase{
		{"a run with a revoked key", func(l *ledger) {
			l.recordPass("a", pass{customer: "c", forbidden: "a revoked key"})
			l.recordReceived(time.Time{}, "a", "c", nil)
		}, "KEY"},
		{"a run as another customer's", func(l *ledger) {
			l.recordPass("a", pass{customer: "c"})
			l.recordReceived(time.Time{}, "a", "d", nil)
		}, "CUSTOMER"},
		{"a run with its key", func(l *ledger) { l.recordReceived(time.Time{}, "a", "", []string{"key"}) }, "KEY"},
		{"a valid key that is refused", func(l *ledger) {
			k := newKeyring(newOutages())
			l.recordPass("a", k.judge(time.Now(), k.customers[0].steady, "gate"))
			l.recordUnauthorized("a", k)
		}, "KEY"},
		{"an unknown key that is refused", func(l *ledger) {
			k := newKeyring(newOutages())
			l.recordPass("a", k.judge(time.Now(), "unknown", "gate"))
			l.recordUnauthorized("a", k)
		}, ""},
	} {
		t.Run(c.name, c.run)
	}
}

// Windows slide: requests that two fixed windows would share count together. A lowered
// quota binds once it was applied and a window has passed.
func TestQuotasAreCheckedOverSlidingWindows(t *testing.T) {
	start := time.Unix(0, 0)
	low := limitChange{start, 4, 2} // at most 44 in 5 s
	high := limitChange{start, 400, 0}
	for _, c := range []struct {
		name    string
		changes []limitChange
		from    time.Duration
		count   int
		want    int
	}{
		{"as many as allowed", []limitChange{low}, 3 * time.Second, 44, 0},
		{"one more, across two fixed windows", []limitChange{low}, 3 * time.Second, 45, 1},
		{"no limit", []limitChange{{start, 0, 0}}, 0, 1000, 0},
		{"right after it was lowered", []limitChange{high, low}, 0, 45, 0},
		{"once the lowered one binds", []limitChange{high, low}, applyTime + 2*quotaWindow, 45, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &quotas{customer: "c", changes: c.changes}
			for i := range c.count {
				q.recordArrival(start.Add(c.from+time.Duration(i)*100*time.Millisecond), "c")
			}
			got := q.check(func(at time.Time) time.Time { return at.Add(applyTime) })
			gomega.NewWithT(t).Expect(got).To(gomega.HaveLen(c.want))
		})
	}
}

// Only the time in which a gate could learn of a configuration counts against it.
func TestOutagesDoNotCountAgainstAGate(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	o := newOutages()
	o.spans[theService] = []span{{at(2), at(4)}}
	o.spans["gate"] = []span{{at(3), at(5)}, {from: at(8)}}
	g.Expect(o.connected("gate", at(0), at(10))).To(gomega.Equal(5 * time.Second))
	g.Expect(o.connected("other", at(0), at(10))).To(gomega.Equal(8 * time.Second))
	g.Expect(o.connected("gate", at(8), at(10))).To(gomega.BeZero())
}
