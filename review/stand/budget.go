package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// budgetRetention is the route's retentionS.
	budgetRetention = 20 * time.Second
	budgetPrograms  = 30
	budgetMost      = 40
	// budgetTurns is how many turns the budget covers.
	budgetTurns = 12
	// earlyTurns are run at once, then one every turnPause.
	earlyTurns = 6
	slowTurns  = 5
	turnPause  = 10 * time.Second
	// killTime is how long the vault is down, as in the days of the users' site.
	killTime = 2800 * time.Millisecond
)

// program is an agent program with a budget.
type program struct {
	session
	// path is the route of its turns.
	path string
	// budget is in turns of budgetMost tokens each.
	budget int
	// tokens is what its client was handed, stopped that it was answered 402.
	tokens  int
	stopped bool
}

// newPrograms returns programs whose budget covers some turns.
func newPrograms(path string, budget int) []program {
	programs := make([]program, budgetPrograms)
	for i := range programs {
		programs[i].program, programs[i].path, programs[i].budget = fmt.Sprintf("%06x", rand.IntN(1<<24)), path, budget
	}
	return programs
}

// playBudget lets programs run some turns through one zone and go on through another for
// longer than an account is kept, and kills one vault.
func playBudget(folder string, r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(folder, r, options{gates: []int{0, 1}, vaults: []int{0, 1, 2}, retention: budgetRetention, engines: 4, tokens: budgetMost})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	programs := newPrograms(talkPath, budgetTurns)
	began := time.Now()
	all(len(programs), 4, func(i int) {
		for range earlyTurns {
			d.spendTurn(d.gates[0], &programs[i])
		}
	})
	for n := range slowTurns {
		sleepUntil(began.Add(time.Duration(n+1) * turnPause))
		all(len(programs), 4, func(i int) { d.spendTurn(d.gates[1], &programs[i]) })
	}
	if trouble {
		back := d.killFor(d.vaults[2], killTime)
		defer func() { <-back }() // before all processes are ended
	}
	d.spendRest(d.gates[1:], programs)
	return checkBudgets(r, programs), nil
}

// killFor kills a process and starts it again after a time. The channel is closed once it is
// started.
func (d *deployment) killFor(h *host, away time.Duration) <-chan struct{} {
	d.record.say("%s is killed", h.name)
	h.kill()
	back := make(chan struct{})
	time.AfterFunc(away, func() {
		defer close(back)
		d.record.say("%s is started again, error %v", h.name, h.start(false))
	})
	return back
}

// spendRest lets programs go on until their budget stops them, at most twice the budget.
func (d *deployment) spendRest(gates []*host, programs []program) {
	all(len(programs), 8, func(i int) {
		p := &programs[i]
		for n := 0; !p.stopped && n < 2*p.budget; n++ {
			d.spendTurn(gates[n%len(gates)], p)
		}
	})
}

// checkBudgets returns the programs that were handed more than their budget and one turn.
func checkBudgets(r *record, programs []program) []string {
	var broken []string
	for i := range programs {
		p := &programs[i]
		r.say("program %s: %d tokens handed out, budget %d, one turn %d, stopped %t", p.program, p.tokens, p.budget*budgetMost, budgetMost, p.stopped)
		if p.tokens > (p.budget+1)*budgetMost {
			broken = append(broken, fmt.Sprintf("BUDGET: program %s was handed %d tokens, budget %d and one turn of %d", p.program, p.tokens, p.budget*budgetMost, budgetMost))
		}
	}
	return broken
}

// spendTurn sends one turn of a program and counts what its client gets.
func (d *deployment) spendTurn(g *host, p *program) {
	if p.stopped {
		return
	}
	t := turn{
		path: p.path, id: nextID(), program: p.program, previous: p.last, input: p.program + " goes on\n",
		budget: p.budget * budgetMost, most: budgetMost, deadline: turnTime, aim: chainAim,
	}
	answer := d.send(g, t)
	if answer.status == 200 {
		p.tokens += answer.events() * tokensPerEvent
		if answer.whole && p.path == talkPath {
			p.last, p.text = t.id, p.text+t.input+outputOf(t.id, budgetMost)
		}
		return
	}
	p.stopped = answer.status == 402
	time.Sleep(max(answer.retryAfter, 100*time.Millisecond))
}
