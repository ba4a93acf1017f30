// Package prog (state layer) keeps what one shard owner knows of a program:
// its conversations, its budget and the answers it was given.
package prog

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/purse"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// Program is the replayable state of one agent program. It changes only by
// Apply, so that an owner and its successor reach the same state.
type Program struct {
	customer string
	id       string
	service  string
	// agents holds one conversation per agent path; "" is the root's.
	agents map[string]*agent
	// settled holds the final answer of every call, by key.
	settled map[string]*record.Turn
	// intents holds the non-idempotent calls that have no answer yet, by key.
	intents map[string]*record.Intent
	purse   purse.Purse
	turns   int
	// touched never goes back.
	touched time.Time
	ended   bool
	swept   bool
}

// agent is one conversation.
type agent struct {
	history []call.Message
	// last is the highest Seq settled.
	last uint64
	// tokens is the length of history as counted by the endpoint.
	tokens int
}

// New returns an empty program.
func New(customer, id, service string, tokens, money int64) *Program {
	return &Program{
		customer: customer,
		id:       id,
		service:  service,
		agents:   map[string]*agent{},
		settled:  map[string]*record.Turn{},
		intents:  map[string]*record.Intent{},
		purse:    purse.New(tokens, money),
	}
}

// Apply replays one journal record.
func (p *Program) Apply(r *record.Record) {
	switch {
	case r.Opened != nil:
		p.touch(r.Opened.Time)
	case r.Grant != nil:
		p.purse.Grant(r.Grant.Tokens, r.Grant.Money)
	case r.Intent != nil:
		p.intents[r.Intent.Call.Key] = r.Intent
	case r.Turn != nil:
		p.settle(r.Turn)
	case r.Ended != nil:
		p.ended = true
		p.touch(r.Ended.Time)
	case r.Swept != nil:
		p.swept = true
	}
}

func (p *Program) settle(t *record.Turn) {
	c := t.Call
	delete(p.intents, c.Key)
	if _, ok := p.settled[c.Key]; ok {
		return
	}
	p.settled[c.Key] = t
	p.purse.Settle(t.Answer.Usage, t.Tokens, t.Money)
	p.touch(t.Time)
	a := p.agent(c.Agent)
	if c.Seq > a.last {
		a.last = c.Seq
	}
	if t.Answer.Outcome != answer.Done {
		return
	}
	p.turns++
	if c.Kind == call.Chat {
		a.history = append(a.history, c.Messages...)
		a.history = append(a.history, call.Message{Role: "assistant", Content: t.Answer.Text})
		a.tokens = t.Answer.Usage.Prompt + t.Answer.Usage.Output
	}
}

func (p *Program) touch(t time.Time) {
	if t.After(p.touched) {
		p.touched = t
	}
}

func (p *Program) agent(path string) *agent {
	a, ok := p.agents[path]
	if !ok {
		a = &agent{}
		p.agents[path] = a
	}
	return a
}

// History returns the agent's conversation; the caller must not change it.
func (p *Program) History(agent string) []call.Message { return p.agent(agent).history }

// Tokens returns the length of the agent's conversation.
func (p *Program) Tokens(agent string) int { return p.agent(agent).tokens }

// Last returns the highest sequence number settled for the agent.
func (p *Program) Last(agent string) uint64 { return p.agent(agent).last }

// Settled returns the final turn of the call with this key, nil if there is none.
func (p *Program) Settled(key string) *record.Turn { return p.settled[key] }

// Intent returns the open intent with this key, nil if there is none.
func (p *Program) Intent(key string) *record.Intent { return p.intents[key] }

// Customer returns the paying customer.
func (p *Program) Customer() string { return p.customer }

// ID returns the program's id.
func (p *Program) ID() string { return p.id }

// Service returns the root agent's service.
func (p *Program) Service() string { return p.service }

// Turns returns how many calls are done.
func (p *Program) Turns() int { return p.turns }

// Touched returns when the program last changed.
func (p *Program) Touched() time.Time { return p.touched }

// Ended tells whether the program takes no more calls.
func (p *Program) Ended() bool { return p.ended }

// Swept tells whether the endpoints hold nothing for the ended program.
func (p *Program) Swept() bool { return p.swept }

// Purse returns the program's budget.
func (p *Program) Purse() *purse.Purse { return &p.purse }
