package core

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/prog"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// request is a call without a final answer.
type request struct {
	call    *call.Call
	shard   *shard
	program *prog.Program
	service *config.Service
	// operation is nil for model calls.
	operation *config.Operation
	arrived   time.Time
	deadline  time.Time
	stage     stage
	waiters   []waiter
	// text is what was generated so far; offsets never go back.
	text string
	// tokens and money are reserved while stage is running.
	tokens int64
	money  int64
	tries  int
	// spent sums what failed attempts used.
	spent answer.Usage
}

// stage is how far a request has come; it only rises, but for a retry.
type stage uint8

const (
	// queued waits behind earlier calls of its agent.
	queued stage = iota
	// ready waits for an endpoint.
	ready
	// writing waits for the journal before its dispatch.
	writing
	// running is at an endpoint.
	running
	// settling waits for the journal to record the answer.
	settling
)

// waiter is a caller that gets the answer.
type waiter struct {
	route Route
	// offset is how much of the text the caller has.
	offset int
}

func (c *Core) submit(now time.Time, e Submitted) {
	k := e.Call
	s := c.shardOf(k.Customer, k.Program)
	if s == nil {
		c.do(Reply{To: e.From, Moved: true})
		return
	}
	w := waiter{route: e.From, offset: len(e.Partial)}
	if r, ok := c.requests[k.ID()]; ok {
		c.attach(r, w, e.Partial)
		return
	}
	p := s.programs[k.Owner()]
	if p != nil && c.known(p, k.Key, w) {
		return
	}
	if c.drained {
		c.do(Reply{To: e.From, Moved: true})
		return
	}
	r, refusal := c.admit(now, s, p, k)
	if refusal != nil {
		c.do(Reply{To: e.From, Final: refusal})
		return
	}
	r.waiters = []waiter{w}
	r.text = e.Partial
	c.requests[k.ID()] = r
	c.advance(now, k.Queue())
}

// known answers a call that was settled, or tried by an earlier owner.
func (c *Core) known(p *prog.Program, key string, w waiter) bool {
	if t := p.Settled(key); t != nil {
		c.final(w, t.Answer)
		return true
	}
	if p.Intent(key) == nil {
		return false
	}
	c.final(w, &answer.Answer{
		Outcome: answer.Unknown,
		Reason:  "takeover",
		Detail:  "the call may have run before its node was lost; it will not run again",
	})
	return true
}

// attach adds a caller to a call under way; a route stands there once.
func (c *Core) attach(r *request, w waiter, partial string) {
	if !compatible(r.text, partial) {
		c.final(w, diverged())
		return
	}
	kept := r.waiters[:0]
	for _, x := range r.waiters {
		if x.route != w.route {
			kept = append(kept, x)
		}
	}
	if len(r.text) > w.offset {
		c.do(Reply{To: w.route, Offset: w.offset, Text: r.text[w.offset:]})
		w.offset = len(r.text)
	}
	r.waiters = append(kept, w)
}

// compatible tells whether one text is the beginning of the other.
func compatible(a, b string) bool {
	n := min(len(a), len(b))
	return a[:n] == b[:n]
}

// diverged answers a caller who already has the beginning of an answer that
// was lost with its node, while another caller's retry began a new one.
func diverged() *answer.Answer {
	return &answer.Answer{
		Outcome: answer.Unknown, Reason: "diverged", RetryAfter: time.Second,
		Detail: "the answer was begun anew; fetch it whole by its key",
	}
}

// final sends an answer, with the text that the caller does not have yet.
func (c *Core) final(w waiter, a *answer.Answer) {
	text := ""
	if len(a.Text) > w.offset {
		text = a.Text[w.offset:]
	}
	c.do(Reply{To: w.route, Offset: w.offset, Text: text, Final: a})
}

func refuse(reason, detail string, after time.Duration) *answer.Answer {
	return &answer.Answer{Outcome: answer.NotRun, Reason: reason, Detail: detail, RetryAfter: after}
}

// admit checks a new call against the configuration and its program.
func (c *Core) admit(now time.Time, s *shard, p *prog.Program, k *call.Call) (*request, *answer.Answer) {
	v := c.config.Services[k.Service]
	if v == nil {
		return nil, refuse("service", "no service is named "+k.Service, 0)
	}
	r := &request{call: k, shard: s, service: v, arrived: now, deadline: k.Deadline}
	if k.Kind == call.Plain {
		if r.operation = v.Operations[k.Operation]; r.operation == nil {
			return nil, refuse("operation", "the service has no operation "+k.Operation, 0)
		}
	}
	if r.deadline.IsZero() {
		r.deadline = now.Add(timeout(v, r.operation))
	}
	if p == nil {
		o := &record.Opened{Customer: k.Customer, Program: k.Program, Service: k.Service, Time: now}
		c.journal(s, []record.Record{{Opened: o}}, nil)
		p = s.programs[k.Owner()]
	}
	r.program = p
	return r, c.admitProgram(r)
}

func (c *Core) admitProgram(r *request) *answer.Answer {
	p, k := r.program, r.call
	if p.Ended() {
		return refuse("ended", "the program has ended", 0)
	}
	if root := c.config.Services[p.Service()]; root != nil && root.Turns > 0 && p.Turns() >= root.Turns {
		return refuse("turns", "the program has used all its turns", 0)
	}
	if k.Seq != 0 && k.Seq <= p.Last(k.Agent) {
		return refuse("order", "a later call of this agent was already answered", 0)
	}
	return nil
}

// defaultTimeout bounds calls of services that declare no timeout.
const defaultTimeout = 60 * time.Second

func timeout(v *config.Service, o *config.Operation) time.Duration {
	if o != nil && o.Timeout > 0 {
		return o.Timeout
	}
	if v.Timeout > 0 {
		return v.Timeout
	}
	return defaultTimeout
}

// advance makes the first call of an agent's queue ready.
func (c *Core) advance(now time.Time, name string) {
	var first *request
	for _, r := range c.requests {
		if r.call.Queue() != name {
			continue
		}
		if r.stage != queued {
			return
		}
		if first == nil || earlier(r, first) {
			first = r
		}
	}
	if first == nil || first.call.Seq > first.program.Last(first.call.Agent)+1 {
		return
	}
	first.stage = ready
	c.enqueue(now, first)
}

func earlier(a, b *request) bool {
	if a.call.Seq != b.call.Seq {
		return a.call.Seq < b.call.Seq
	}
	if !a.arrived.Equal(b.arrived) {
		return a.arrived.Before(b.arrived)
	}
	return a.call.Key < b.call.Key
}

func (c *Core) ask(_ time.Time, e Asked) {
	s := c.shardOf(e.Customer, e.Program)
	if s == nil {
		c.do(Reply{To: e.From, Moved: true})
		return
	}
	w := waiter{route: e.From, offset: len(e.Partial)}
	if r, ok := c.requests[e.Customer+"/"+e.Key]; ok {
		c.attach(r, w, e.Partial)
		return
	}
	p := s.programs[e.Customer+"/"+e.Program]
	if p != nil && c.known(p, e.Key, w) {
		return
	}
	c.do(Reply{To: e.From, Final: refuse("key", "no call with this key is known", 0)})
}

// leave forgets a route. A call that nobody waits for is cancelled if it may
// be repeated; one with an effect goes on.
func (c *Core) leave(e Left) {
	for _, r := range c.requests {
		kept := r.waiters[:0]
		for _, w := range r.waiters {
			if w.route != e.From {
				kept = append(kept, w)
			}
		}
		r.waiters = kept
	}
}
