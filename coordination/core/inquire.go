package core

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/prog"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// inquiry is an unanswered question to an endpoint about the outcome of a call
// that is not repeatable.
type inquiry struct {
	shard    *shard
	program  *prog.Program
	call     *call.Call
	endpoint string
	// request waits for the outcome. It is nil after a takeover, since the callers
	// already got the answer that the outcome is unknown.
	request *request
	reason  string
	// money is the price of the call if it ran.
	money int64
}

// resolveOutcome settles a call that is not repeatable and whose attempt failed. It
// asks the endpoint for the outcome if the endpoint supports that, and otherwise
// settles the call as unknown.
func (c *Core) resolveOutcome(now time.Time, a *attempt, reason string) {
	r := a.request
	target := c.config.Endpoints[a.endpoint]
	if target == nil || !target.Tells {
		c.settle(now, r, unknownAnswer(reason))
		return
	}
	r.stage = settling
	c.inquire(inquiry{
		shard: r.shard, program: r.program, call: r.call, endpoint: a.endpoint,
		request: r, reason: reason, money: a.reserved.money,
	})
}

func unknownAnswer(reason string) *answer.Answer {
	return &answer.Answer{
		Outcome: answer.Unknown, Reason: reason,
		Detail: "the endpoint gave no answer; the call may have run and will not run again",
	}
}

func (c *Core) inquire(q inquiry) {
	id := c.nextID()
	c.inquiries[id] = q
	c.emit(Inquire{
		Inquiry: id, Endpoint: q.endpoint, Target: c.config.Endpoints[q.endpoint],
		Call: q.call, Epoch: q.shard.epoch,
	})
}

// inquireIntents asks the endpoints about the calls that an earlier owner may have
// dispatched.
func (c *Core) inquireIntents(s *shard, p *prog.Program) {
	for _, key := range slices.Sorted(maps.Keys(p.Intents())) {
		i := p.Intent(key)
		target := c.config.Endpoints[i.Endpoint]
		if target == nil || !target.Tells {
			continue
		}
		c.inquire(inquiry{shard: s, program: p, call: i.Call, endpoint: i.Endpoint, reason: "takeover"})
	}
}

// inquiryAnswered handles the result of an inquiry. An endpoint that has not seen a
// call proves nothing, since the call may still be on its way.
func (c *Core) inquiryAnswered(now time.Time, e InquiryAnswered) {
	q, ok := c.inquiries[e.Inquiry]
	if !ok {
		return
	}
	delete(c.inquiries, e.Inquiry)
	if c.shards[q.shard.number] != q.shard {
		return
	}
	a := unknownAnswer(q.reason)
	if e.Found {
		a = &answer.Answer{Outcome: answer.Done, Status: e.Status, Body: e.Body, Endpoint: q.endpoint}
	}
	switch {
	case q.request != nil:
		c.settleInquiry(now, q, a)
	case e.Found && !q.shard.handingOver:
		tokens, money := q.program.Budget().Granted()
		turn := &record.Turn{Call: q.call, Answer: a, Tokens: tokens, Money: money, Time: now}
		// Until the record is durable, callers still get the unknown outcome.
		c.journalThenApply(q.shard, record.Record{Turn: turn})
	}
}

func (c *Core) settleInquiry(now time.Time, q inquiry, a *answer.Answer) {
	r := q.request
	if c.requests[r.call.ID()] != r {
		return
	}
	if a.Outcome == answer.Done {
		// The reservation is charged as the cost of the call instead.
		a.Usage.Money = q.money
		r.program.Budget().Release(r.possiblySpent.tokens, r.possiblySpent.money)
		r.possiblySpent = amount{}
	}
	c.settle(now, r, a)
}
