package core

import (
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/queue"
	"github.com/cowslipstage/cowslipstage/coordination/route"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// flight is one dispatch without an end.
type flight struct {
	id       uint64
	request  *request
	endpoint string
}

// charsPerToken estimates a prompt's length before the endpoint has counted it.
const charsPerToken = 4

// defaultOutput bounds the output of services that declare no bound, in tokens.
const defaultOutput = 512

func (c *Core) enqueue(now time.Time, r *request) {
	t, _ := r.program.Purse().Spent()
	c.ready.Push(queue.Item{ID: r.call.ID(), Class: r.service.Class, Attained: t, Arrived: now})
}

// schedule dispatches ready calls while endpoints have room.
func (c *Core) schedule(now time.Time) {
	if c.ready.Len() == 0 {
		return
	}
	for _, i := range c.ready.Sorted(now) {
		r := c.requests[i.ID]
		endpoint := c.place(now, r)
		if endpoint == "" {
			continue
		}
		c.ready.Remove(i.ID)
		c.launch(now, r, endpoint)
	}
}

func (c *Core) place(now time.Time, r *request) string {
	var choices []route.Choice
	for name, e := range c.config.Endpoints {
		if e.Pool != r.service.Pool || c.leaving[name] || !c.loads.Open(now, name) {
			continue
		}
		calls := c.loads.Calls(name)
		if e.Slots > 0 && calls >= e.Slots {
			continue
		}
		choices = append(choices, route.Choice{
			Name: name, Calls: calls, Slots: e.Slots, Pending: c.loads.Pending(name),
		})
	}
	sortChoices(choices)
	i := c.router.Pick(route.Need{Owner: r.call.Owner(), Prompt: r.prompt(), Output: r.output()}, choices)
	if i < 0 {
		return ""
	}
	return choices[i].Name
}

// prompt estimates the length of the whole prompt, in tokens.
func (r *request) prompt() int {
	n := len(r.service.Prompt)
	for _, m := range r.call.Messages {
		n += len(m.Content)
	}
	return r.program.Tokens(r.call.Agent) + n/charsPerToken + 8*(len(r.call.Messages)+1)
}

func (r *request) output() int {
	bound := r.service.Output
	if bound == 0 {
		bound = defaultOutput
	}
	if m := r.call.MaxTokens; m > 0 && m < bound {
		return m
	}
	return bound
}

// need is the most that one attempt can spend.
func (r *request) need() (tokens, money int64) {
	if r.operation != nil {
		return 0, r.operation.Money
	}
	return int64(r.prompt() + r.output()), 0
}

func (r *request) repeatable() bool { return r.operation == nil || r.operation.Idempotent }

// launch reserves the worst case, journals what must be known first, and dispatches.
func (c *Core) launch(now time.Time, r *request, endpoint string) {
	p := r.program.Purse()
	r.tokens, r.money = r.need()
	if !p.Fits(r.tokens, r.money) {
		c.refuse(now, r, refuse("budget", "the call could exceed the program's budget", 0))
		return
	}
	var records []record.Record
	if !p.Covered(r.tokens, r.money) {
		t, m := p.Raise(r.tokens, r.money)
		records = append(records, record.Record{Grant: &record.Grant{
			Customer: r.call.Customer, Program: r.call.Program, Tokens: t, Money: m,
		}})
	}
	if !r.repeatable() {
		records = append(records, record.Record{Intent: &record.Intent{
			Call: r.call, Endpoint: endpoint, Epoch: r.shard.epoch,
		}})
	}
	p.Reserve(r.tokens, r.money)
	if len(records) == 0 {
		c.dispatch(now, r, endpoint)
		return
	}
	r.stage = writing
	c.journal(r.shard, records, func(at time.Time) { c.dispatch(at, r, endpoint) })
}

func (c *Core) dispatch(now time.Time, r *request, endpoint string) {
	f := &flight{id: c.next(), request: r, endpoint: endpoint}
	c.flights[f.id] = f
	r.stage = running
	r.tries++
	c.loads.Send(now, endpoint, f.id, r.prompt())
	c.do(Dispatch{
		Flight: f.id, Call: r.call, Service: r.service,
		Endpoint: endpoint, Target: c.config.Endpoints[endpoint],
		History: r.program.History(r.call.Agent), Epoch: r.shard.epoch,
		Priority: -r.service.Class, MaxTokens: r.output(), Partial: r.text,
		Until: r.deadline, Timeout: r.deadline.Sub(now), Repeatable: r.repeatable(),
	})
}

func (c *Core) piece(e Piece) {
	f := c.flights[e.Flight]
	if f == nil {
		return
	}
	r := f.request
	if e.Offset > len(r.text) || e.Offset+len(e.Text) <= len(r.text) {
		return
	}
	fresh := e.Text[len(r.text)-e.Offset:]
	at := len(r.text)
	r.text += fresh
	for i := range r.waiters {
		c.do(Reply{To: r.waiters[i].route, Offset: at, Text: fresh})
		r.waiters[i].offset = len(r.text)
	}
}

// land takes a flight off the board.
func (c *Core) land(id uint64) *request {
	f := c.flights[id]
	if f == nil {
		return nil
	}
	delete(c.flights, id)
	c.loads.Finish(f.endpoint, id)
	if c.shards[f.request.shard.number] != f.request.shard {
		return nil
	}
	f.request.program.Purse().Release(f.request.tokens, f.request.money)
	return f.request
}

func (c *Core) finished(now time.Time, e Finished) {
	f := c.flights[e.Flight]
	r := c.land(e.Flight)
	if r == nil {
		return
	}
	c.settle(now, r, &answer.Answer{
		Outcome: answer.Done, Text: e.Text, Body: e.Body, Status: e.Status,
		Usage: add(r.spent, e.Usage), Endpoint: f.endpoint,
	})
}

func add(a, b answer.Usage) answer.Usage {
	return answer.Usage{
		Prompt: a.Prompt + b.Prompt, Cached: a.Cached + b.Cached,
		Output: a.Output + b.Output, Money: a.Money + b.Money,
	}
}

// settle records a final answer and releases it to the callers once it is safe.
func (c *Core) settle(now time.Time, r *request, a *answer.Answer) {
	r.stage = settling
	t, m := r.program.Purse().Reserved()
	turn := &record.Turn{Call: r.call, Answer: a, Tokens: t, Money: m, Time: now}
	records := []record.Record{{Turn: turn}}
	if r.call.End {
		records = append(records, ended(r.program, "caller", now))
	}
	c.journal(r.shard, records, func(at time.Time) { c.answered(at, r, a) })
}

func (c *Core) answered(now time.Time, r *request, a *answer.Answer) {
	delete(c.requests, r.call.ID())
	for _, w := range r.waiters {
		c.final(w, a)
	}
	c.advance(now, r.call.Queue())
	if r.program.Ended() {
		c.sweep(now, r.shard, r.program)
	}
	c.yieldIdle()
}

// refuse ends a request that surely did not run; nothing of it is journaled.
func (c *Core) refuse(now time.Time, r *request, a *answer.Answer) {
	c.ready.Remove(r.call.ID())
	c.answered(now, r, a)
}

func (c *Core) failed(now time.Time, e Failed) {
	r := c.land(e.Flight)
	if r == nil {
		return
	}
	r.spent = add(r.spent, e.Usage)
	switch {
	case e.Untouched && now.Before(r.deadline), r.repeatable() && r.tries < maxTries && now.Before(r.deadline):
		r.stage = ready
		c.enqueue(now, r)
	case e.Untouched:
		c.settle(now, r, refuse(e.Reason, "the endpoint did not take the call", time.Second))
	default:
		c.settle(now, r, &answer.Answer{
			Outcome: answer.Unknown, Reason: e.Reason, Usage: r.spent,
			Detail: "the endpoint gave no answer; the call may have run",
		})
	}
}

// maxTries bounds the attempts of one repeatable call.
const maxTries = 3
