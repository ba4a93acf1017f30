package core

import (
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// flight is one dispatch without an end.
type flight struct {
	id      uint64
	request *request
	// reserved is held in the program's purse until the flight ends.
	reserved need
	// proven is when the last journal write for the attempt began; once it is
	// safe, this node owned the shard then.
	proven time.Time
	sent   time.Time
	// site is where the attempt goes.
	site
	// base is the length of the text that the attempt continues, in bytes.
	base int
	// begun is set by the first text.
	begun bool
	// aborted is set once the attempt was cancelled.
	aborted bool
}

// worst is the most that one attempt can spend.
func (r *request) worst() need {
	if r.operation != nil {
		return need{money: r.operation.Money}
	}
	return need{tokens: int64(r.longest() + r.output())}
}

func (r *request) repeatable() bool { return r.operation == nil || r.operation.Idempotent }

// launch reserves the worst case, journals what a successor must know first,
// and dispatches.
func (c *Core) launch(now time.Time, r *request, at site) {
	p := r.program.Budget()
	n := r.worst()
	if !p.Fits(n.tokens, n.money) {
		c.giveUp(now, r, "budget", "the call could exceed the program's budget", 0)
		return
	}
	records := c.before(now, r, at.endpoint, n)
	p.Reserve(n.tokens, n.money)
	f := &flight{id: c.next(), request: r, site: at, reserved: n}
	r.flights = append(r.flights, f)
	r.program.AddHolder(at.endpoint)
	c.loads.RecordDispatch(now, at.endpoint, f.id, at.missing)
	if len(records) == 0 {
		c.dispatch(now, f)
		return
	}
	if r.stage < writing {
		r.stage = writing
	}
	f.proven = now
	c.journal(r.shard, records, func(then time.Time) { c.dispatch(then, f) })
}

// before returns what must be in the journal before an attempt.
func (c *Core) before(now time.Time, r *request, endpoint string, n need) []record.Record {
	var records []record.Record
	p := r.program.Budget()
	unproven := !c.lease.IsZero() && !now.Before(c.stands(r.shard))
	if unproven || !p.Covers(n.tokens, n.money) {
		tokens, money := p.RequiredGrant(n.tokens, n.money)
		records = append(records, record.Record{Grant: &record.Grant{
			Customer: r.call.Customer, Program: r.call.Program, Tokens: tokens, Money: money,
		}})
	}
	if !r.repeatable() {
		records = append(records, record.Record{Intent: &record.Intent{
			Call: r.call, Endpoint: endpoint, Epoch: r.shard.epoch,
		}})
	}
	return records
}

// dispatch sends an attempt, unless its time has passed meanwhile.
func (c *Core) dispatch(now time.Time, f *flight) {
	r := f.request
	if c.requests[r.call.ID()] != r || !slices.Contains(r.flights, f) {
		return
	}
	if !now.Before(r.deadline) {
		c.ground(now, f)
		c.giveUp(now, r, "deadline", "the deadline passed before the call could be sent", time.Second)
		return
	}
	until := c.until(f)
	if !now.Before(until) {
		c.prove(now, f)
		return
	}
	c.flights[f.id] = f
	f.sent = now
	f.base = len(r.text)
	r.stage = running
	r.tries++
	r.touched = true
	c.do(Dispatch{
		Attempt: f.id, Call: r.call, Service: r.service,
		Endpoint: f.endpoint, Target: c.config.Endpoints[f.endpoint],
		History: r.program.History(r.call.Agent), Epoch: r.shard.epoch,
		Source: c.config.Endpoints[f.source], Priority: -r.service.Class, MaxTokens: r.output(), Partial: string(r.text),
		SendDeadline: until, Timeout: r.patience(now), Repeatable: r.repeatable(),
	})
}

// proofLife is how long a journal write stands for a lease that has lapsed. A
// node that takes over from a silent owner waits for longer than that.
const proofLife = 500 * time.Millisecond

// until returns until when an attempt may be written to its endpoint.
func (c *Core) until(f *flight) time.Time {
	end := f.request.deadline
	if c.lease.IsZero() {
		return end
	}
	proof := f.proven.Add(proofLife)
	if stands := c.stands(f.request.shard); stands.After(proof) {
		proof = stands
	}
	if proof.Before(end) {
		return proof
	}
	return end
}

// stands returns until when the lease covers a shard; the zero time if the
// shard was not proven owned since the last lease lapsed.
func (c *Core) stands(s *shard) time.Time {
	if s.term != c.term {
		return time.Time{}
	}
	return c.lease
}

// prove shows by another journal write that the shard is still owned: this
// process may have been paused since the last one.
func (c *Core) prove(now time.Time, f *flight) {
	f.proven = now
	r := f.request
	tokens, money := r.program.Budget().Granted()
	grant := &record.Grant{Customer: r.call.Customer, Program: r.call.Program, Tokens: tokens, Money: money}
	c.journal(r.shard, []record.Record{{Grant: grant}}, func(at time.Time) { c.dispatch(at, f) })
}

// freshen drops the messages that the call's conversation already has, before
// the call's need is reckoned.
func (r *request) freshen() {
	messages := r.program.NewMessages(r.call.Agent, r.call.Messages)
	if len(messages) == len(r.call.Messages) {
		return
	}
	k := *r.call
	k.Messages = messages
	r.call = &k
}

// defaultDispatch bounds one dispatch of an operation that declares no timeout.
const defaultDispatch = 10 * time.Second

// patience bounds one attempt.
func (r *request) patience(now time.Time) time.Duration {
	left := r.deadline.Sub(now)
	if r.operation == nil {
		return left
	}
	if r.operation.Timeout > 0 {
		return min(left, r.operation.Timeout)
	}
	return min(left, defaultDispatch)
}

// ground takes an attempt that was never sent off the board.
func (c *Core) ground(now time.Time, f *flight) {
	r := f.request
	r.flights = slices.DeleteFunc(r.flights, func(x *flight) bool { return x == f })
	r.program.Budget().Release(f.reserved.tokens, f.reserved.money)
	c.loads.RecordEnd(now, f.endpoint, f.id)
	c.touchPool(f.endpoint)
}

// land takes a sent attempt off the board. It returns nil if nobody wants its
// end any more.
func (c *Core) land(now time.Time, id uint64) *flight {
	f := c.flights[id]
	if f == nil {
		return nil
	}
	delete(c.flights, id)
	c.loads.RecordEnd(now, f.endpoint, id)
	c.touchPool(f.endpoint)
	r := f.request
	r.flights = slices.DeleteFunc(r.flights, func(x *flight) bool { return x == f })
	if c.requests[r.call.ID()] != r || r.stage == settling {
		return nil
	}
	return f
}

// piece takes generated text; the first attempt to give any wins.
func (c *Core) piece(now time.Time, e Piece) {
	f := c.flights[e.Attempt]
	if f == nil || e.Text == "" {
		return
	}
	r := f.request
	if c.requests[r.call.ID()] != r || r.stage == settling {
		return
	}
	if !f.begun {
		f.begun = true
		c.began(now, f)
	}
	if r.winner == nil {
		c.win(f)
	}
	if r.winner != f || e.Offset > len(r.text) || e.Offset+len(e.Text) <= len(r.text) {
		return
	}
	fresh := e.Text[len(r.text)-e.Offset:]
	at := len(r.text)
	r.text = append(r.text, fresh...)
	for i := range r.waiters {
		c.do(Reply{To: r.waiters[i].route, Offset: at, Text: fresh})
		r.waiters[i].offset = len(r.text)
	}
}

// began learns from the time to the first token.
func (c *Core) began(now time.Time, f *flight) {
	took := now.Sub(f.sent)
	p := c.first(f.request.service.Pool)
	if expected := p.Estimate(f.cost); expected > 0 {
		c.hedger.Observe(took, expected)
	}
	p.Observe(f.cost, took)
}

// win makes an attempt the one whose text counts and cancels the others.
func (c *Core) win(f *flight) {
	r := f.request
	r.winner = f
	for _, other := range r.flights {
		if other != f {
			c.abort(other)
		}
	}
}

// abort cancels an attempt that was sent.
func (c *Core) abort(f *flight) {
	if f.sent.IsZero() || f.aborted {
		return
	}
	f.aborted = true
	c.do(Abort{Attempt: f.id})
}

// finished takes an endpoint's whole answer.
func (c *Core) finished(now time.Time, e AttemptFinished) {
	f := c.land(now, e.Attempt)
	if f == nil {
		return
	}
	r := f.request
	c.judge.Succeed(f.endpoint)
	c.whole(r.service.Pool).Observe(1, now.Sub(f.sent))
	if r.operation == nil && !fits(r, f, e.Text) {
		c.lost(now, f, "garbage", 0)
		return
	}
	c.remember(now, f, e.Usage)
	r.shard.serve(now, f)
	r.program.Budget().Release(f.reserved.tokens, f.reserved.money)
	used := e.Usage
	used.Money = max(used.Money, f.reserved.money)
	c.settle(now, r, &answer.Answer{
		Outcome: answer.Done, Text: e.Text, Body: e.Body, Status: e.Status,
		Usage: used, Endpoint: f.endpoint,
	})
}

// fits tells whether a whole text continues what the callers already have.
func fits(r *request, f *flight, text string) bool {
	if r.winner != nil && r.winner != f {
		return false
	}
	return len(text) >= len(r.text) && compatible(r.text, text)
}

// settle records a final answer and releases it to the callers once it is
// safe. What failed and cancelled attempts may have spent counts as spent.
func (c *Core) settle(now time.Time, r *request, a *answer.Answer) {
	c.unqueue(r)
	r.stage = settling
	c.burn(now, r)
	p := r.program.Budget()
	p.Release(r.burnt.tokens, r.burnt.money)
	turn := &record.Turn{
		Call: r.call, Answer: a, Time: now, LostTokens: r.burnt.tokens, LostMoney: r.burnt.money,
		Retryable: a.Outcome == answer.NotRun || a.Outcome == answer.Unknown && r.repeatable(),
	}
	turn.Tokens, turn.Money = p.GrantAfter(turn, c.headroom(r, a))
	records := []record.Record{{Turn: turn}}
	if r.call.End && r.call.Agent == "" && !turn.Retryable {
		records = append(records, ended(r.program, "caller", now))
	}
	c.journal(r.shard, records, func(at time.Time) { c.answered(at, r, a) })
}

// burn ends the attempts that are still under way.
func (c *Core) burn(now time.Time, r *request) {
	for _, f := range slices.Clone(r.flights) {
		if f.sent.IsZero() {
			c.ground(now, f)
			continue
		}
		r.burnt = r.burnt.plus(f.reserved)
		if r.repeatable() {
			c.abort(f)
		}
	}
}

// headroom estimates what the agent's next call may spend, so that it need not
// wait for the journal.
func (c *Core) headroom(r *request, a *answer.Answer) int64 {
	if r.operation != nil || r.call.End {
		return 0
	}
	return int64(a.Usage.Prompt + a.Usage.Output + r.output() + len(r.service.Prompt) + headroomTokens)
}

// headroomTokens is the room for the next call's new messages.
const headroomTokens = 512

// failed takes the end of an attempt without an answer.
func (c *Core) failed(now time.Time, e AttemptFailed) {
	f := c.land(now, e.Attempt)
	if f == nil {
		return
	}
	r := f.request
	if !e.NotRun {
		c.lost(now, f, e.Reason, e.RetryAfter)
		return
	}
	r.program.Budget().Release(f.reserved.tokens, f.reserved.money)
	c.loads.BlockUntil(f.endpoint, now.Add(max(e.RetryAfter, refusedPause)))
	if r.tries--; r.tries == 0 && len(r.text) == 0 {
		r.touched = r.touched && len(r.flights) > 0
	}
	c.again(now, r, e.Reason)
}

// refusedPause is how long an endpoint that refused a call gets no new work.
const refusedPause = 250 * time.Millisecond

// lost ends an attempt that may have run. What it reserved counts as spent.
func (c *Core) lost(now time.Time, f *flight, reason string, after time.Duration) {
	r := f.request
	r.burnt = r.burnt.plus(f.reserved)
	if r.winner == f {
		r.winner = nil
	}
	if !f.aborted {
		c.judge.Fail(now, f.endpoint, c.pools[r.service.Pool])
	}
	if after > 0 {
		c.loads.BlockUntil(f.endpoint, now.Add(after))
	}
	if len(r.flights) > 0 {
		return
	}
	if !r.repeatable() {
		c.resolve(now, f, reason)
		return
	}
	if r.tries >= maxTries || !c.retries.Take(now) {
		c.giveUp(now, r, reason, "the endpoints gave no whole answer; ask again with the same key", time.Second)
		return
	}
	c.again(now, r, reason)
}

// again puts a request back to wait for an endpoint.
func (c *Core) again(now time.Time, r *request, reason string) {
	if len(r.flights) > 0 {
		return
	}
	if !now.Before(r.deadline) {
		c.giveUp(now, r, reason, "no endpoint took the call in time", time.Second)
		return
	}
	if r.shard.leaving {
		c.evict(r)
		c.yield(r.shard)
		return
	}
	c.enqueue(r)
}

// maxTries bounds the attempts of one repeatable call.
const maxTries = 4
