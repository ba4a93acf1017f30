// Package audit counts violations of the scheduler's rules. It uses only the
// endpoints' ledgers and the callers' records, and no data from the scheduler.
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

// Evidence holds what endpoints and callers recorded during a run.
type Evidence struct {
	Records []agent.Record
	Engines map[string]Engine
	Desks   map[string]Desk
	// Tokens is the bound on a program's tokens, by service. 0 means no bound.
	Tokens map[string]int64
	// Left is when each endpoint began to leave.
	Left map[string]time.Time
	// Back is when an endpoint that left came back.
	Back map[string]time.Time
	// Grace is how long calls may still arrive at a leaving endpoint.
	Grace time.Duration
	// Ended is when each program ended.
	Ended map[string]time.Time
}

// Engine is the evidence of one engine.
type Engine struct {
	Ledger  []engine.Entry
	Refused []engine.Refusal
	// Held is the number of tokens that the engine holds at the end, by program.
	Held map[string]int
}

// Desk is the evidence of one desk.
type Desk struct {
	Ledger  []desk.Entry
	Refused []desk.Refusal
}

// Rule names a rule that must always hold.
type Rule string

// The rules.
const (
	// Order requires that the calls of one agent run in the order it issued them.
	Order Rule = "order"
	// History requires that the engine gets the conversation that the caller knows.
	History Rule = "history"
	// Budget requires that a program never spends beyond its budget.
	Budget Rule = "budget"
	// Memory requires that engines release the memory held for ended programs.
	Memory Rule = "memory"
	// Answer requires that a caller gets the complete answer to its own request.
	Answer Rule = "answer"
	// NotRun requires that a call whose caller got the outcome "not run" has not run.
	NotRun Rule = "notrun"
	// Once requires that a non-idempotent call runs at most once.
	Once Rule = "once"
	// Leaving requires that a leaving endpoint gets no new calls.
	Leaving Rule = "leaving"
)

// Rules lists all rules in the order used in reports.
var Rules = []Rule{Order, History, Budget, Memory, Answer, NotRun, Once, Leaving}

// Report counts the violations of each rule.
type Report struct {
	counts map[Rule]int
	// samples describes the first violations.
	samples []string
}

// maxSamples bounds the number of violations described in a report.
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

// Counts returns the violations of every rule, including rules without any.
func (r *Report) Counts() map[Rule]int {
	counts := make(map[Rule]int, len(Rules))
	for _, rule := range Rules {
		counts[rule] = r.counts[rule]
	}
	return counts
}

// Samples returns descriptions of the first violations.
func (r *Report) Samples() []string { return r.samples }

// run is one run of a call at an endpoint.
type run struct {
	key       string
	program   string
	agent     string
	endpoint  string
	arrived   time.Time
	ended     time.Time
	digest    uint64
	modelCall bool
	tokens    int64
}

// Check counts all violations in the evidence.
func Check(e Evidence) *Report {
	r := &Report{counts: map[Rule]int{}}
	runs := collectRuns(e)
	byKey := map[string][]run{}
	for _, x := range runs {
		byKey[x.program+"/"+x.key] = append(byKey[x.program+"/"+x.key], x)
	}
	checkAnswers(r, e)
	checkOutcomes(r, e, byKey)
	checkOrder(r, e, byKey)
	checkBudgets(r, e, runs)
	checkLeaving(r, e, runs)
	checkMemory(r, e)
	return r
}

// collectRuns returns the runs in all ledgers, sorted by arrival.
func collectRuns(e Evidence) []run {
	var runs []run
	for name, n := range e.Engines {
		for _, l := range n.Ledger {
			runs = append(runs, run{
				key: l.Key, program: l.Program, agent: l.Agent, endpoint: name, arrived: l.Arrived, ended: l.Ended,
				digest: l.Digest, modelCall: true, tokens: int64(l.PromptTokens + l.OutputTokens),
			})
		}
	}
	for name, n := range e.Desks {
		for _, l := range n.Ledger {
			runs = append(runs, run{key: l.Key, program: l.Program, endpoint: name, arrived: l.Arrived, ended: l.Ended})
		}
	}
	sort.Slice(runs, func(a, b int) bool {
		if !runs[a].arrived.Equal(runs[b].arrived) {
			return runs[a].arrived.Before(runs[b].arrived)
		}
		return runs[a].key < runs[b].key
	})
	return runs
}

// checkAnswers compares each answer's text with the expected text.
func checkAnswers(r *Report, e Evidence) {
	for _, c := range e.Records {
		if c.Err != nil || c.Result.Outcome != answer.Done || c.Operation != "" {
			continue
		}
		if c.Result.Text != c.Want {
			r.add(Answer, "call %s of %s: %.60q in place of %.60q", c.Key, c.Program, c.Result.Text, c.Want)
		}
	}
}

// checkOutcomes compares the outcomes that callers got with the runs at endpoints.
func checkOutcomes(r *Report, e Evidence, byKey map[string][]run) {
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
			if x.modelCall && x.digest != c.Digest {
				r.add(History, "call %s of %s ran with another conversation", c.Key, c.Program)
			}
		}
	}
}

// checkOrder checks that no call of an agent arrives at an endpoint before the last
// run of an earlier call arrived.
func checkOrder(r *Report, e Evidence, byKey map[string][]run) {
	type position struct {
		seq  uint64
		came time.Time
		key  string
	}
	queues := map[string][]position{}
	for _, c := range e.Records {
		for _, x := range byKey[c.Program+"/"+c.Key] {
			q := c.Program + "/" + c.Agent
			queues[q] = append(queues[q], position{seq: c.Seq, came: x.arrived, key: c.Key})
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

// checkBudgets compares the tokens that each program's runs used with its budget.
func checkBudgets(r *Report, e Evidence, runs []run) {
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

// checkLeaving counts the calls, run or refused, that arrived at a leaving endpoint
// after its grace period.
func checkLeaving(r *Report, e Evidence, runs []run) {
	arrivedLate := func(endpoint string, arrived time.Time) bool {
		leftAt, ok := e.Left[endpoint]
		returnedAt, returned := e.Back[endpoint]
		return ok && arrived.Sub(leftAt) > e.Grace && (!returned || arrived.Before(returnedAt))
	}
	for _, x := range runs {
		if arrivedLate(x.endpoint, x.arrived) {
			r.add(Leaving, "call %s came to %s", x.key, x.endpoint)
		}
	}
	for name, n := range e.Engines {
		for _, x := range n.Refused {
			if arrivedLate(name, x.Time) {
				r.add(Leaving, "call %s came to %s and was refused", x.Key, name)
			}
		}
	}
	for name, n := range e.Desks {
		for _, x := range n.Refused {
			if arrivedLate(name, x.Time) {
				r.add(Leaving, "call %s came to %s and was refused", x.Key, name)
			}
		}
	}
}

// checkMemory counts the ended programs for which an engine still holds memory.
func checkMemory(r *Report, e Evidence) {
	for name, n := range e.Engines {
		for p, tokens := range n.Held {
			if _, ended := e.Ended[p]; ended {
				r.add(Memory, "%s holds %d tokens for %s", name, tokens, p)
			}
		}
	}
}
