package core

import (
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// attempt is one dispatch of a call to an endpoint, until its end.
type attempt struct {
	id      uint64
	request *request
	// reserved is held in the program's budget until the attempt ends.
	reserved amount
	// provenAt is when the last journal write for the attempt began. Once that
	// write is durable, it proves that this node owned the shard at that time.
	provenAt time.Time
	sentAt   time.Time
	placement
	// textOffset is the length of the text that the attempt continues, in bytes.
	textOffset int
	// firstTokenSeen is set when the first text arrives.
	firstTokenSeen bool
	// aborted is set once the attempt was cancelled.
	aborted bool
}

// maxCost returns the most that one attempt can spend.
func (r *request) maxCost() amount {
	if r.operation != nil {
		return amount{money: r.operation.Money}
	}
	return amount{tokens: int64(r.maxPromptTokens() + r.maxOutputTokens())}
}

// repeatable reports whether the call may run more than once.
func (r *request) repeatable() bool { return r.operation == nil || r.operation.Idempotent }

// startAttempt reserves the maximum cost, journals the records that a successor
// needs and then dispatches the call.
func (c *Core) startAttempt(now time.Time, r *request, at placement) {
	p := r.program.Budget()
	n := r.maxCost()
	if !p.Fits(n.tokens, n.money) {
		c.giveUp(now, r, "budget", "the call could exceed the program's budget", 0)
		return
	}
	records := c.preDispatchRecords(now, r, at.endpoint, n)
	p.Reserve(n.tokens, n.money)
	a := &attempt{id: c.nextID(), request: r, placement: at, reserved: n}
	r.attempts = append(r.attempts, a)
	r.program.AddHolder(at.endpoint)
	c.loads.RecordDispatch(now, at.endpoint, a.id, at.prefillTokens)
	if len(records) == 0 {
		c.dispatch(now, a)
		return
	}
	if r.stage < journaling {
		r.stage = journaling
	}
	a.provenAt = now
	c.journal(r.shard, records, func(then time.Time) { c.dispatch(then, a) })
}

// preDispatchRecords returns the records that must be durable before an attempt:
// a grant if the budget or the ownership is not covered, and an intent if the
// call is not repeatable.
func (c *Core) preDispatchRecords(now time.Time, r *request, endpoint string, n amount) []record.Record {
	var records []record.Record
	p := r.program.Budget()
	unproven := !c.leaseEnd.IsZero() && !now.Before(c.leaseUntil(r.shard))
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

// dispatch sends an attempt unless the request ended, its deadline passed or the
// proof of ownership expired in the meantime.
func (c *Core) dispatch(now time.Time, a *attempt) {
	r := a.request
	if c.requests[r.call.ID()] != r || !slices.Contains(r.attempts, a) {
		return
	}
	if !now.Before(r.deadline) {
		c.dropUnsent(now, a)
		c.giveUp(now, r, "deadline", "the deadline passed before the call could be sent", time.Second)
		return
	}
	until := c.sendDeadline(a)
	if !now.Before(until) {
		c.proveOwnership(now, a)
		return
	}
	c.attempts[a.id] = a
	a.sentAt = now
	a.textOffset = len(r.text)
	r.stage = running
	r.tries++
	r.mayHaveRun = true
	c.emit(Dispatch{
		Attempt: a.id, Call: r.call, Service: r.service,
		Endpoint: a.endpoint, Target: c.config.Endpoints[a.endpoint],
		History: r.program.History(r.call.Agent), Epoch: r.shard.epoch,
		Source: c.config.Endpoints[a.source], Priority: -r.service.Class, MaxTokens: r.maxOutputTokens(), Partial: string(r.text),
		SendDeadline: until, Timeout: r.attemptTimeout(now), Repeatable: r.repeatable(),
	})
}

// proofValidity is how long a journal write replaces a lapsed lease as a proof of
// ownership. A node that takes over from a silent owner waits longer than that.
const proofValidity = 500 * time.Millisecond

// sendDeadline returns the time until which an attempt may be written to its endpoint.
func (c *Core) sendDeadline(a *attempt) time.Time {
	end := a.request.deadline
	if c.leaseEnd.IsZero() {
		return end
	}
	proof := a.provenAt.Add(proofValidity)
	if until := c.leaseUntil(a.request.shard); until.After(proof) {
		proof = until
	}
	if proof.Before(end) {
		return proof
	}
	return end
}

// leaseUntil returns the time until which the lease covers a shard. It is zero if
// the shard was not proven owned since the last lease lapsed.
func (c *Core) leaseUntil(s *shard) time.Time {
	if s.leaseTerm != c.leaseTerm {
		return time.Time{}
	}
	return c.leaseEnd
}

// proveOwnership repeats the journal write before a dispatch: the process may have
// been paused since the last one and may have lost the shard.
func (c *Core) proveOwnership(now time.Time, a *attempt) {
	a.provenAt = now
	r := a.request
	tokens, money := r.program.Budget().Granted()
	grant := &record.Grant{Customer: r.call.Customer, Program: r.call.Program, Tokens: tokens, Money: money}
	c.journal(r.shard, []record.Record{{Grant: grant}}, func(at time.Time) { c.dispatch(at, a) })
}

// dropKnownMessages drops the messages that the conversation already contains, so
// that they are not counted twice in the call's cost.
func (r *request) dropKnownMessages() {
	messages := r.program.NewMessages(r.call.Agent, r.call.Messages)
	if len(messages) == len(r.call.Messages) {
		return
	}
	k := *r.call
	k.Messages = messages
	r.call = &k
}

// defaultAttemptTimeout bounds one attempt of an operation without a timeout.
const defaultAttemptTimeout = 10 * time.Second

// attemptTimeout returns the time limit of one attempt.
func (r *request) attemptTimeout(now time.Time) time.Duration {
	remaining := r.deadline.Sub(now)
	if r.operation == nil {
		return remaining
	}
	if r.operation.Timeout > 0 {
		return min(remaining, r.operation.Timeout)
	}
	return min(remaining, defaultAttemptTimeout)
}

// dropUnsent removes an attempt that was never sent and releases its reservation.
func (c *Core) dropUnsent(now time.Time, a *attempt) {
	r := a.request
	r.attempts = slices.DeleteFunc(r.attempts, func(x *attempt) bool { return x == a })
	r.program.Budget().Release(a.reserved.tokens, a.reserved.money)
	c.loads.RecordEnd(now, a.endpoint, a.id)
	c.markDirty(a.endpoint)
}

// endAttempt removes a sent attempt. It returns nil if the attempt is unknown or
// its request has ended or is being settled.
func (c *Core) endAttempt(now time.Time, id uint64) *attempt {
	a := c.attempts[id]
	if a == nil {
		return nil
	}
	delete(c.attempts, id)
	c.loads.RecordEnd(now, a.endpoint, id)
	c.markDirty(a.endpoint)
	r := a.request
	r.attempts = slices.DeleteFunc(r.attempts, func(x *attempt) bool { return x == a })
	if c.requests[r.call.ID()] != r || r.stage == settling {
		return nil
	}
	return a
}

// receiveText forwards generated text to the callers. The first attempt that
// produces text becomes the winner; the text of others is ignored.
func (c *Core) receiveText(now time.Time, e Piece) {
	a := c.attempts[e.Attempt]
	if a == nil || e.Text == "" {
		return
	}
	r := a.request
	if c.requests[r.call.ID()] != r || r.stage == settling {
		return
	}
	if !a.firstTokenSeen {
		a.firstTokenSeen = true
		c.observeFirstToken(now, a)
	}
	if r.winner == nil {
		c.selectWinner(a)
	}
	if r.winner != a || e.Offset > len(r.text) || e.Offset+len(e.Text) <= len(r.text) {
		return
	}
	added := e.Text[len(r.text)-e.Offset:]
	at := len(r.text)
	r.text = append(r.text, added...)
	for i := range r.waiters {
		c.emit(Reply{To: r.waiters[i].route, Offset: at, Text: added})
		r.waiters[i].offset = len(r.text)
	}
}

// observeFirstToken records the time to the first token.
func (c *Core) observeFirstToken(now time.Time, a *attempt) {
	took := now.Sub(a.sentAt)
	p := c.firstTokenTime(a.request.service.Pool)
	if expected := p.Estimate(a.cost); expected > 0 {
		c.hedger.Observe(now, modelCalls, took, expected)
	}
	p.Observe(a.cost, took)
}

// selectWinner makes the callers receive this attempt's text and cancels the others.
func (c *Core) selectWinner(a *attempt) {
	r := a.request
	r.winner = a
	for _, other := range r.attempts {
		if other != a {
			c.abort(other)
		}
	}
}

// abort cancels an attempt that was sent.
func (c *Core) abort(a *attempt) {
	if a.sentAt.IsZero() || a.aborted {
		return
	}
	a.aborted = true
	c.emit(Abort{Attempt: a.id})
}

// attemptFinished handles an endpoint's complete answer.
func (c *Core) attemptFinished(now time.Time, e AttemptFinished) {
	a := c.endAttempt(now, e.Attempt)
	if a == nil {
		return
	}
	r := a.request
	c.outliers.Succeed(a.endpoint)
	c.callTime(r.service.Pool).Observe(1, now.Sub(a.sentAt))
	if r.operation == nil && !extendsText(r, a, e.Text) {
		c.attemptLost(now, a, "garbage", 0)
		return
	}
	c.noteCached(now, a, e.Usage)
	r.shard.addServiceTime(now, a)
	r.program.Budget().Release(a.reserved.tokens, a.reserved.money)
	used := e.Usage
	used.Money = max(used.Money, a.reserved.money)
	c.settle(now, r, &answer.Answer{
		Outcome: answer.Done, Text: e.Text, Body: e.Body, Status: e.Status,
		Usage: used, Endpoint: a.endpoint,
	})
}

// extendsText reports whether a complete text begins with the text that the
// callers already have.
func extendsText(r *request, a *attempt, text string) bool {
	if r.winner != nil && r.winner != a {
		return false
	}
	return len(text) >= len(r.text) && compatible(r.text, text)
}

// settle journals a final answer and sends it to the callers once it is durable.
// The maximum cost of failed and cancelled attempts counts as spent.
func (c *Core) settle(now time.Time, r *request, a *answer.Answer) {
	c.unqueue(r)
	r.stage = settling
	c.closeAttempts(now, r)
	p := r.program.Budget()
	p.Release(r.possiblySpent.tokens, r.possiblySpent.money)
	turn := &record.Turn{
		Call: r.call, Answer: a, Time: now, LostTokens: r.possiblySpent.tokens, LostMoney: r.possiblySpent.money,
		Retryable: a.Outcome == answer.NotRun || a.Outcome == answer.Unknown && r.repeatable(),
	}
	turn.Tokens, turn.Money = p.GrantAfter(turn, c.headroom(r, a))
	records := []record.Record{{Turn: turn}}
	if r.call.End && r.call.Agent == "" && !turn.Retryable {
		records = append(records, endedRecord(r.program, "caller", now))
	}
	c.journal(r.shard, records, func(at time.Time) { c.finishRequest(at, r, a) })
}

// closeAttempts ends a request's remaining attempts. Attempts that were sent count
// as possibly spent.
func (c *Core) closeAttempts(now time.Time, r *request) {
	for _, a := range slices.Clone(r.attempts) {
		if a.sentAt.IsZero() {
			c.dropUnsent(now, a)
			continue
		}
		r.possiblySpent = r.possiblySpent.plus(a.reserved)
		if r.repeatable() {
			c.abort(a)
		}
	}
}

// headroom estimates the cost of the agent's next call. It is granted in advance
// so that the next call need not wait for the journal.
func (c *Core) headroom(r *request, a *answer.Answer) int64 {
	if r.operation != nil || r.call.End {
		return 0
	}
	return int64(a.Usage.Prompt + a.Usage.Output + r.maxOutputTokens() + len(r.service.Prompt) + headroomTokens)
}

// headroomTokens is the allowance for the next call's new messages.
const headroomTokens = 512

// attemptFailed handles an attempt that ended without an answer.
func (c *Core) attemptFailed(now time.Time, e AttemptFailed) {
	a := c.endAttempt(now, e.Attempt)
	if a == nil {
		return
	}
	r := a.request
	if !e.NotRun {
		c.attemptLost(now, a, e.Reason, e.RetryAfter)
		return
	}
	r.program.Budget().Release(a.reserved.tokens, a.reserved.money)
	c.loads.BlockUntil(a.endpoint, now.Add(max(e.RetryAfter, refusedPause)))
	if r.tries--; r.tries == 0 && len(r.text) == 0 {
		r.mayHaveRun = r.mayHaveRun && len(r.attempts) > 0
	}
	c.requeue(now, r, e.Reason)
}

// refusedPause is how long an endpoint that refused a call gets no new calls.
const refusedPause = 250 * time.Millisecond

// attemptLost handles a failed attempt that may have run. Its reservation counts
// as spent.
func (c *Core) attemptLost(now time.Time, a *attempt, reason string, after time.Duration) {
	r := a.request
	r.possiblySpent = r.possiblySpent.plus(a.reserved)
	if r.winner == a {
		r.winner = nil
	}
	if !a.aborted {
		c.outliers.Fail(now, a.endpoint, c.pools[r.service.Pool])
	}
	if after > 0 {
		c.loads.BlockUntil(a.endpoint, now.Add(after))
	}
	if len(r.attempts) > 0 {
		return
	}
	if !r.repeatable() {
		c.resolveOutcome(now, a, reason)
		return
	}
	if r.tries >= maxTries || !c.retries.Take(now) {
		c.giveUp(now, r, reason, "the endpoints gave no whole answer; ask again with the same key", time.Second)
		return
	}
	c.requeue(now, r, reason)
}

// requeue makes a request without running attempts wait for an endpoint again.
func (c *Core) requeue(now time.Time, r *request, reason string) {
	if len(r.attempts) > 0 {
		return
	}
	if !now.Before(r.deadline) {
		c.giveUp(now, r, reason, "no endpoint took the call in time", time.Second)
		return
	}
	if r.shard.handingOver {
		c.evict(r)
		c.finishHandOver(r.shard)
		return
	}
	c.enqueue(r)
}

// maxTries bounds the attempts of one repeatable call.
const maxTries = 4
