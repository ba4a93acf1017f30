// Package prog (state layer) holds a program's state at its shard owner: its
// conversations, its budget and its answers.
package prog

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/budget"
	"github.com/cowslipstage/cowslipstage/state/call"
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
	// settled holds the final answer of every call, by key, without what the call said.
	settled map[string]*record.Turn
	// intents holds the non-idempotent calls that have no answer yet, by key.
	intents map[string]*record.Intent
	// holders are the endpoints that may hold memory for the program.
	holders map[string]bool
	budget  budget.Budget
	turns   int
	// lastChange never moves back.
	lastChange time.Time
	ended      bool
	swept      bool
	// stripped is set by Strip.
	stripped bool
	// single says that the program's only call has the program's name as its key: the caller named none.
	single bool
	// bytes is about the memory that the program takes.
	bytes int64
}

// programBytes, turnBytes and messageBytes are about what a program, a settled call and a message take
// beside their texts.
const (
	programBytes = 2500
	turnBytes    = 1500
	messageBytes = 40
)

// agent is one conversation.
type agent struct {
	history []call.Message
	// lastSeq is the highest Seq settled.
	lastSeq uint64
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
		holders:  map[string]bool{},
		budget:   budget.New(tokens, money),
		bytes:    programBytes + 2*int64(len(customer)+len(id)),
	}
}

// Apply applies one journal record.
func (p *Program) Apply(r *record.Record) {
	switch {
	case r.Opened != nil:
		p.advanceLastChange(r.Opened.Time)
	case r.Grant != nil:
		p.budget.SetGrant(r.Grant.Tokens, r.Grant.Money)
	case r.Intent != nil:
		p.intents[r.Intent.Call.Key] = r.Intent
	case r.Turn != nil:
		p.settle(r.Turn)
	case r.Ended != nil:
		p.ended = true
		p.advanceLastChange(r.Ended.Time)
	case r.Swept != nil:
		p.swept = true
	case r.Forfeit != nil:
		p.budget.Forfeit()
	}
}

// settle records a final answer. A call whose key may be tried again leaves only its cost
// and time.
func (p *Program) settle(t *record.Turn) {
	c := t.Call
	delete(p.intents, c.Key)
	if old, ok := p.settled[c.Key]; ok {
		p.resolveUnknown(old, t)
		return
	}
	p.budget.Settle(t)
	p.advanceLastChange(t.Time)
	if t.Retryable {
		return
	}
	p.settled[c.Key] = withoutTexts(t)
	p.bytes += settledBytes(t)
	p.single = len(p.settled) == 1 && c.Key == p.id
	a := p.agent(c.Agent)
	a.lastSeq = max(a.lastSeq, c.Seq)
	p.turns++
	if t.Answer.Endpoint != "" && c.Kind == call.Chat {
		p.holders[t.Answer.Endpoint] = true
	}
	if t.Answer.Outcome == answer.Done && c.Kind == call.Chat {
		for _, m := range c.Messages {
			p.bytes += messageBytes + int64(len(m.Role)+len(m.Content))
		}
		p.bytes += messageBytes // the answer's text is that of the turn
		a.history = append(a.history, c.Messages...)
		a.history = append(a.history, call.Message{Role: "assistant", Content: t.Answer.Text})
		a.tokens = t.Answer.Usage.Prompt + t.Answer.Usage.Output
	}
}

// resolveUnknown replaces an unknown outcome by the one that the endpoint reported later.
func (p *Program) resolveUnknown(old, t *record.Turn) {
	if old.Answer.Outcome == answer.Unknown && t.Answer.Outcome == answer.Done {
		p.settled[t.Call.Key] = withoutTexts(t)
		p.bytes += settledBytes(t) - settledBytes(old)
	}
}

// settledBytes returns about the memory that a settled call takes.
func settledBytes(t *record.Turn) int64 {
	return turnBytes + int64(len(t.Call.Key)+len(t.Answer.Text)+len(t.Answer.Body)+len(t.Answer.Detail))
}

// withoutTexts returns a copy of a turn without what its call said. The messages are in the
// conversation, and a repeated call is compared by its digest.
func withoutTexts(t *record.Turn) *record.Turn {
	kept, c := *t, *t.Call
	c.Messages, c.Body = nil, nil
	kept.Call = &c
	return &kept
}

// Strip drops what an ended program no longer needs: its conversations and its answers to
// calls that may be repeated. The keys of the other calls are kept.
func (p *Program) Strip(repeatable func(*call.Call) bool) {
	p.stripped = true
	p.agents = map[string]*agent{}
	p.bytes = programBytes + 2*int64(len(p.customer)+len(p.id))
	for k, t := range p.settled {
		if repeatable(t.Call) {
			delete(p.settled, k)
		} else {
			p.bytes += settledBytes(t)
		}
	}
}

// Bytes returns about the memory that the program takes.
func (p *Program) Bytes() int64 { return p.bytes }

// Forgettable reports whether nothing is lost with the program: its only call may be repeated and had no
// program named by its caller, and all endpoints have released its memory.
func (p *Program) Forgettable() bool {
	return p.stripped && p.swept && p.single && len(p.settled) == 0
}

// AddHolder records that an endpoint may hold memory for the program.
func (p *Program) AddHolder(endpoint string) { p.holders[endpoint] = true }

// Holders returns the endpoints that may hold memory for the program, sorted.
func (p *Program) Holders() []string { return slices.Sorted(maps.Keys(p.holders)) }

// Intents returns the open intents, by key.
func (p *Program) Intents() map[string]*record.Intent { return p.intents }

// NewMessages returns the messages that the agent's conversation does not have yet, for
// callers that send the whole conversation each time.
func (p *Program) NewMessages(agent string, messages []call.Message) []call.Message {
	history := p.agent(agent).history
	if len(history) == 0 || len(messages) <= len(history) {
		return messages
	}
	if slices.Equal(messages[:len(history)], history) {
		return messages[len(history):]
	}
	return messages
}

func (p *Program) advanceLastChange(t time.Time) {
	if t.After(p.lastChange) {
		p.lastChange = t
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

// LastSeq returns the highest sequence number settled for the agent.
func (p *Program) LastSeq(agent string) uint64 { return p.agent(agent).lastSeq }

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

// LastChange returns when the program last changed.
func (p *Program) LastChange() time.Time { return p.lastChange }

// Ended reports whether the program accepts no more calls.
func (p *Program) Ended() bool { return p.ended }

// Stripped reports whether the ended program has only its keys left.
func (p *Program) Stripped() bool { return p.stripped }

// Swept reports whether all endpoints have released the ended program's memory.
func (p *Program) Swept() bool { return p.swept }

// Budget returns the program's budget.
func (p *Program) Budget() *budget.Budget { return &p.budget }
