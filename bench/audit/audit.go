// Package audit counts broken rules from the endpoints' own ledgers and the
// callers' record. It believes nothing that the scheduler says.
package audit

import (
	"fmt"
	"sort"
	"time"

	"github.com/cowslipstage/cowslipstage/bench/agent"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// Evidence is what endpoints and callers saw.
type Evidence struct {
	Records []agent.Record
	Engines map[string]Engine
	Desks   map[string]Desk
	// Tokens bounds each program's tokens by service; 0 means no bound.
	Tokens map[string]int64
	// Left is when an endpoint began to leave.
	Left map[string]time.Time
	// Back is when it came back, if it did.
	Back map[string]time.Time
	// Grace is how long work may still arrive at a leaving endpoint.
	Grace time.Duration
	// Ended is when programs ended.
	Ended map[string]time.Time
}

// Engine is one engine's evidence.
type Engine struct {
	Ledger  []engine.Entry
	Refused []engine.Refusal
	// Held is what the engine holds by program at the very end.
	Held map[string]int
}

// Desk is one desk's evidence.
type Desk struct {
	Ledger  []desk.Entry
	Refused []desk.Refusal
}

// Rule names a rule that must always hold.
type Rule string

// The rules.
const (
	// Order: the calls of one agent run in the order it issued them.
	Order Rule = "order"
	// History: the engine sees the conversation that the caller knows.
	History Rule = "history"
	// Budget: a program never spends beyond its budget.
	Budget Rule = "budget"
	// Memory: memory held for ended programs is given back.
	Memory Rule = "memory"
	// Answer: a caller gets the whole answer to its own request.
	Answer Rule = "answer"
	// NotRun: what a caller was told did not run has not run.
	NotRun Rule = "notrun"
	// Once: a non-idempotent request runs at most once.
	Once Rule = "once"
	// Leaving: a leaving endpoint gets no new work.
	Leaving Rule = "leaving"
)

// Rules lists all rules in the order of reports.
var Rules = []Rule{Order, History, Budget, Memory, Answer, NotRun, Once, Leaving}

// Report counts the violations of each rule.
type Report struct {
	counts map[Rule]int
	// samples describe the first violations.
	samples []string
}

// maxSamples bounds the violations described in a report.
const maxSamples = 20

func (r *Report) add(rule Rule, format string, args ...any) {
	r.counts[rule]++
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, string(rule)+": "+fmt.Sprintf(format, args...))
	}
}

// Count returns the violations of one rule.
func (r *Report) Count(rule Rule) int { return r.counts[rule] }

// Total returns the violations of all rules.
func (r *Report) Total() int {
	n := 0
	for _, c := range r.counts {
		n += c
	}
	return n
}

// Counts returns the violations by rule, all rules listed.
func (r *Report) Counts() map[Rule]int {
	counts := make(map[Rule]int, len(Rules))
	for _, rule := range Rules {
		counts[rule] = r.counts[rule]
	}
	return counts
}

// Samples describes the first violations.
func (r *Report) Samples() []string { return r.samples }

// ranRun is one run of a call, wherever it was.
type ranRun struct {
	key      string
	program  string
	agent    string
	endpoint string
	came     time.Time
	ended    time.Time
	digest   uint64
	chat     bool
	tokens   int64
}

// Check counts all violations in the evidence.
func Check(e Evidence) *Report {
	r := &Report{counts: map[Rule]int{}}
	runs := collect(e)
	byKey := map[string][]ranRun{}
	for _, x := range runs {
		byKey[x.program+"/"+x.key] = append(byKey[x.program+"/"+x.key], x)
	}
	answers(r, e)
	outcomes(r, e, byKey)
	order(r, e, byKey)
	budgets(r, e, runs)
	leaving(r, e, runs)
	memory(r, e)
	return r
}

func collect(e Evidence) []ranRun {
	var runs []ranRun
	for name, n := range e.Engines {
		for _, l := range n.Ledger {
			runs = append(runs, ranRun{
				key: l.Key, program: l.Program, agent: l.Agent, endpoint: name, came: l.Arrived, ended: l.Ended,
				digest: l.Digest, chat: true, tokens: int64(l.PromptTokens + l.OutputTokens),
			})
		}
	}
	for name, n := range e.Desks {
		for _, l := range n.Ledger {
			runs = append(runs, ranRun{key: l.Key, program: l.Program, endpoint: name, came: l.Arrived, ended: l.Ended})
		}
	}
	sort.Slice(runs, func(a, b int) bool {
		if !runs[a].came.Equal(runs[b].came) {
			return runs[a].came.Before(runs[b].came)
		}
		return runs[a].key < runs[b].key
	})
	return runs
}

// answers compares each text with the only right one.
func answers(r *Report, e Evidence) {
	for _, c := range e.Records {
		if c.Err != nil || c.Result.Outcome != answer.Done || c.Operation != "" {
			continue
		}
		if c.Result.Text != c.Want {
			r.add(Answer, "call %s of %s: %.60q in place of %.60q", c.Key, c.Program, c.Result.Text, c.Want)
		}
	}
}

// outcomes holds what callers were told against what ran.
func outcomes(r *Report, e Evidence, byKey map[string][]ranRun) {
	for _, c := range e.Records {
		ran := byKey[c.Program+"/"+c.Key]
		if c.Err == nil && c.Result.Outcome == answer.NotRun && len(ran) > 0 {
			r.add(NotRun, "call %s of %s ran at %s, its caller was told it did not", c.Key, c.Program, ran[0].endpoint)
		}
		if c.Err == nil && c.Result.Outcome == answer.Done && len(ran) == 0 {
			r.add(Answer, "call %s of %s was answered and ran nowhere", c.Key, c.Program)
		}
		if !c.Idempotent && len(ran) > 1 {
			r.add(Once, "call %s of %s ran %d times", c.Key, c.Program, len(ran))
		}
		for _, x := range ran {
			if x.chat && x.digest != c.Digest {
				r.add(History, "call %s of %s ran with another conversation", c.Key, c.Program)
			}
		}
	}
}

// order checks that no call of an agent begins before an earlier one's last run began.
func order(r *Report, e Evidence, byKey map[string][]ranRun) {
	type position struct {
		seq  uint64
		came time.Time
		key  string
	}
	queues := map[string][]position{}
	for _, c := range e.Records {
		for _, x := range byKey[c.Program+"/"+c.Key] {
			q := c.Program + "/" + c.Agent
			queues[q] = append(queues[q], position{seq: c.Seq, came: x.came, key: c.Key})
		}
	}
	for q, all := range queues {
		sort.SliceStable(all, func(a, b int) bool { return all[a].came.Before(all[b].came) })
		for i := 1; i < len(all); i++ {
			if all[i].seq < all[i-1].seq {
				r.add(Order, "%s: call %d ran after call %d", q, all[i].seq, all[i-1].seq)
			}
		}
	}
}

// budgets adds up what each program's runs took.
func budgets(r *Report, e Evidence, runs []ranRun) {
	service := map[string]string{}
	for _, c := range e.Records {
		if c.Operation == "" && service[c.Program] == "" {
			service[c.Program] = c.Service
		}
	}
	spent := map[string]int64{}
	for _, x := range runs {
		spent[x.program] += x.tokens
	}
	for p, n := range spent {
		if limit := e.Tokens[service[p]]; limit > 0 && n > limit {
			r.add(Budget, "%s spent %d of %d tokens", p, n, limit)
		}
	}
}

// leaving counts work, taken or refused, that came too long after an endpoint began to leave.
func leaving(r *Report, e Evidence, runs []ranRun) {
	late := func(endpoint string, came time.Time) bool {
		left, ok := e.Left[endpoint]
		back, returned := e.Back[endpoint]
		return ok && came.Sub(left) > e.Grace && (!returned || came.Before(back))
	}
	for _, x := range runs {
		if late(x.endpoint, x.came) {
			r.add(Leaving, "call %s came to %s", x.key, x.endpoint)
		}
	}
	for name, n := range e.Engines {
		for _, x := range n.Refused {
			if late(name, x.Time) {
				r.add(Leaving, "call %s came to %s and was refused", x.Key, name)
			}
		}
	}
	for name, n := range e.Desks {
		for _, x := range n.Refused {
			if late(name, x.Time) {
				r.add(Leaving, "call %s came to %s and was refused", x.Key, name)
			}
		}
	}
}

// memory counts the ended programs for which an engine still holds memory.
func memory(r *Report, e Evidence) {
	for name, n := range e.Engines {
		for p, tokens := range n.Held {
			if _, ended := e.Ended[p]; ended {
				r.add(Memory, "%s holds %d tokens for %s", name, tokens, p)
			}
		}
	}
}
