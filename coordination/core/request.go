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
	arrivedAt time.Time
	// readyAt is when the call became the first of its agent's queue.
	readyAt  time.Time
	deadline time.Time
	stage    stage
	waiters  []waiter
	// unattendedSince is when the last caller left; zero while a caller waits.
	unattendedSince time.Time
	// text is the text generated so far; it only grows.
	text []byte
	// attempts holds the attempts that have not ended. winner is the one whose
	// text is sent to the callers.
	attempts []*attempt
	winner   *attempt
	// mayHaveRun is set once an endpoint may have begun to run the call.
	mayHaveRun bool
	tries      int
	// hedged is set once a second attempt was started because the first was late.
	hedged bool
	// possiblySpent is what failed attempts may have spent. It stays reserved until
	// the request ends.
	possiblySpent amount
}

// amount is a number of tokens and an amount of money.
type amount struct {
	tokens int64
	money  int64
}

func (n amount) plus(o amount) amount { return amount{n.tokens + o.tokens, n.money + o.money} }

// stage is the progress of a request. Only a retry moves it back.
type stage uint8

const (
	// queued requests wait for earlier calls of their agent.
	queued stage = iota
	// ready requests wait for an endpoint.
	ready
	// journaling requests wait for a journal write before the dispatch.
	journaling
	// running requests have been sent to an endpoint.
	running
	// settling requests wait for the outcome to be determined and journaled.
	settling
)

// waiter is a caller that waits for the answer.
type waiter struct {
	route Route
	// offset is the length of the text that the caller already has, in bytes.
	offset int
}

// refusal is the answer to a call that did not run.
type refusal struct {
	answer *answer.Answer
	at     time.Time
}

const (
	// refusalRetention is how long delayed duplicates of a refused call get the same
	// refusal, and minRefusalRetention how long if there are very many.
	refusalRetention    = 10 * time.Minute
	minRefusalRetention = 30 * time.Second
	// refusalBytes is about what a remembered refusal takes, refusalShare the part of the memory for programs
	// that all of them may take.
	refusalBytes = 600
	refusalShare = 0.25
)

// submit admits a call, or attaches its caller to the same call that is under way.
func (c *Core) submit(now time.Time, e Submitted) {
	k := e.Call
	s := c.shardOf(k.Customer, k.Program)
	if s == nil {
		c.emit(Reply{To: e.From, Moved: true})
		return
	}
	if f, ok := c.refusals[e.From]; ok {
		c.emit(Reply{To: e.From, Final: f.answer})
		return
	}
	w := waiter{route: e.From, offset: len(e.Partial)}
	p := s.programs[k.QualifiedProgram()]
	switch r := c.requests[k.ID()]; {
	case r != nil && r.call.Digest != k.Digest:
		c.refuseCaller(now, e.From, mismatchAnswer())
	case r != nil:
		c.attach(r, w, e.Partial)
	case p != nil && p.Settled(k.Key) != nil:
		c.replaySettled(now, p.Settled(k.Key), k, w)
	case s.handingOver:
		c.emit(Reply{To: e.From, Moved: true})
	default:
		c.begin(now, s, p, e, w)
	}
}

// begin admits a new call, or refuses it.
func (c *Core) begin(now time.Time, s *shard, p *prog.Program, e Submitted, w waiter) {
	r, refusal := c.admit(now, s, p, e.Call)
	if refusal != nil {
		c.refuseCaller(now, e.From, refusal)
		return
	}
	r.waiters = []waiter{w}
	r.text = []byte(e.Partial)
	// Text from an earlier owner means that an endpoint has begun the call.
	r.mayHaveRun = e.Partial != ""
	c.addRequest(now, r)
}

// refuseCaller tells a caller that the call did not run, and stores the refusal. If it cannot be
// remembered, a delayed duplicate of the call may still run, so its outcome is not known.
func (c *Core) refuseCaller(now time.Time, to Route, a *answer.Answer) {
	if most := int(refusalShare * float64(c.options.KeptBytes) / refusalBytes); c.options.KeptBytes > 0 && len(c.refusals) >= most {
		c.dropRefusals(now, minRefusalRetention, most-1)
		if len(c.refusals) >= most {
			b := *a
			b.Outcome, b.Detail = answer.Unknown, a.Detail+"; too many calls were refused to remember that this one was"
			c.emit(Reply{To: to, Final: &b})
			return
		}
	}
	c.refusals[to] = refusal{answer: a, at: now}
	c.refusalOrder = append(c.refusalOrder, to)
	c.emit(Reply{To: to, Final: a})
}

// dropRefusals forgets the oldest refusals until so many are left, but none that is younger than an age.
func (c *Core) dropRefusals(now time.Time, age time.Duration, most int) {
	for len(c.refusals) > most && now.Sub(c.refusals[c.refusalOrder[0]].at) >= age {
		delete(c.refusals, c.refusalOrder[0])
		c.refusalOrder = c.refusalOrder[1:]
	}
}

func mismatchAnswer() *answer.Answer {
	return refuse("mismatch", "the key was used for another request", 0)
}

// replaySettled answers a call that already has its final answer.
func (c *Core) replaySettled(now time.Time, t *record.Turn, k *call.Call, w waiter) {
	if t.Call.Digest != k.Digest {
		c.refuseCaller(now, w.route, mismatchAnswer())
		return
	}
	c.sendFinal(w, t.Answer)
}

// attach adds a caller to a call that is under way, replacing an earlier entry of
// the same route.
func (c *Core) attach(r *request, w waiter, partial string) {
	if !compatible(r.text, partial) {
		c.sendFinal(w, divergedAnswer())
		return
	}
	if len(partial) > len(r.text) && len(r.attempts) == 0 && r.stage <= ready {
		r.text = []byte(partial)
		r.mayHaveRun = true
	}
	c.removeWaiter(r, w.route)
	if len(r.text) > w.offset {
		c.emit(Reply{To: w.route, Offset: w.offset, Text: string(r.text[w.offset:])})
		w.offset = len(r.text)
	}
	r.waiters = append(r.waiters, w)
	r.unattendedSince = time.Time{}
	c.routes[w.route] = r
}

// removeWaiter removes the caller at a route from a request.
func (c *Core) removeWaiter(r *request, route Route) {
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.route != route {
			kept = append(kept, w)
		}
	}
	r.waiters = kept
	delete(c.routes, route)
}

// compatible reports whether one of the texts is a prefix of the other.
func compatible(a []byte, b string) bool {
	n := min(len(a), len(b))
	return string(a[:n]) == b[:n]
}

// divergedAnswer answers a caller that has part of an answer which was lost with
// its node, after a retry by another caller generated a different text.
func divergedAnswer() *answer.Answer {
	return &answer.Answer{
		Outcome: answer.Unknown, Reason: "diverged", RetryAfter: time.Second,
		Detail: "the answer was begun anew; fetch it whole by its key",
	}
}

// sendFinal sends an answer, including the text that the caller does not have yet.
func (c *Core) sendFinal(w waiter, a *answer.Answer) {
	text := ""
	if len(a.Text) > w.offset {
		text = a.Text[w.offset:]
	}
	c.emit(Reply{To: w.route, Offset: w.offset, Text: text, Final: a})
}

func refuse(reason, detail string, after time.Duration) *answer.Answer {
	return &answer.Answer{Outcome: answer.NotRun, Reason: reason, Detail: detail, RetryAfter: after}
}

func (c *Core) requestAnswer(e AnswerRequested) {
	s := c.shardOf(e.Customer, e.Program)
	if s == nil {
		c.emit(Reply{To: e.From, Moved: true})
		return
	}
	w := waiter{route: e.From, offset: len(e.Partial)}
	if r, ok := c.requests[requestID(e.Customer, e.Program, e.Key)]; ok {
		c.attach(r, w, e.Partial)
		return
	}
	if p := s.programs[e.Customer+"/"+e.Program]; p != nil && p.Settled(e.Key) != nil {
		c.sendFinal(w, p.Settled(e.Key).Answer)
		return
	}
	c.emit(Reply{To: e.From, Final: refuse("key", "no call with this key is known", 0)})
}

func requestID(customer, program, key string) string {
	k := call.Call{Customer: customer, Program: program, Key: key}
	return k.ID()
}

// detachCaller removes a caller. If no caller is left, a repeatable call is
// cancelled after unattendedTimeout; any other call continues.
func (c *Core) detachCaller(now time.Time, e CallerLeft) {
	r := c.routes[e.From]
	if r == nil {
		return
	}
	c.removeWaiter(r, e.From)
	if len(r.waiters) == 0 {
		r.unattendedSince = now
	}
}

// finishRequest sends the final answer to the callers and removes the request.
func (c *Core) finishRequest(now time.Time, r *request, a *answer.Answer) {
	for _, w := range r.waiters {
		switch {
		case a.Outcome == answer.NotRun && r.mayHaveRun:
			// The call was cancelled while it had no caller; this one attached later.
			c.emit(Reply{To: w.route, Moved: true, MayHaveRun: true})
		case a.Outcome == answer.NotRun:
			c.refuseCaller(now, w.route, a)
		default:
			c.sendFinal(w, a)
		}
	}
	c.removeRequest(r)
	c.advanceQueue(now, r.call.QueueName())
	if r.program.Ended() && !r.program.Swept() {
		c.sweep(r.shard, r.program)
	}
	c.finishHandOver(r.shard)
}

// giveUp ends a request without a result. The outcome is "not run" only if no
// endpoint can have begun the call.
func (c *Core) giveUp(now time.Time, r *request, reason, detail string, after time.Duration) {
	if r.mayHaveRun {
		c.settle(now, r, &answer.Answer{Outcome: answer.Unknown, Reason: reason, Detail: detail, RetryAfter: after})
		return
	}
	a := refuse(reason, detail, after)
	if r.program.Intent(r.call.Key) != nil {
		c.settle(now, r, a)
		return
	}
	c.finishRequest(now, r, a)
}
