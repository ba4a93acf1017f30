package core_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// drawOne draws one of the items that fit. It returns false if no item fits.
func drawOne[T any](t *rapid.T, name string, all []T, fits func(T) bool) (T, bool) {
	var some []T
	for _, x := range all {
		if fits(x) {
			some = append(some, x)
		}
	}
	if len(some) == 0 {
		var none T
		return none, false
	}
	return some[evenIndex(t, name, len(some))], true
}

// newCaller registers a caller with a route of its own and builds its event.
func (w *simulation) newCaller(e func(core.Route) core.Event, k *callRecord) *caller {
	c := &caller{route: core.Route{Node: "edge", Stream: fmt.Sprint(len(w.callers))}, record: k, dispatchesBefore: map[*owner]int{}, unresolved: map[*owner]bool{}}
	c.event = e(c.route)
	w.callers = append(w.callers, c)
	return c
}

// owner draws a process. Deposed processes still receive messages.
func (w *simulation) owner(t *rapid.T) *owner {
	return w.owners[evenIndex(t, "owner", len(w.owners))]
}

// submit sends a new call, or a caller's retry of an earlier call.
func (w *simulation) submit(t *rapid.T) {
	w.t = t
	program := []string{"p", "q"}[evenIndex(t, "program", 2)]
	agent := []string{"", "sub"}[evenIndex(t, "agent", 2)]
	seq := w.nextSeq(t, program, agent)
	name := fmt.Sprintf("%s-%s-%d", program, agent, seq)
	k := w.calls[(&call.Call{Key: name, Customer: "c", Program: program}).ID()]
	if k == nil {
		c := &call.Call{Key: name, Customer: "c", Program: program, Agent: agent, Seq: seq, Kind: call.Chat, Service: "talk", Tries: 1}
		c.Messages = []call.Message{{Role: "user", Content: name + "?"}}
		if op := []string{"", "book", "look"}[evenIndex(t, "operation", 3)]; op != "" {
			c.Kind, c.Service, c.Operation, c.Messages = call.Plain, "shop", op, nil
		}
		k = &callRecord{call: c, mayHaveRun: map[*attempt]*owner{}}
		w.calls[c.ID()] = k
	} else {
		again := *k.call
		again.Tries++
		k.call = &again
	}
	k.allNotRun = false
	c := w.newCaller(func(r core.Route) core.Event { return core.Submitted{Call: k.call, From: r} }, k)
	w.send(w.owner(t), c, c.event)
}

// nextSeq returns mostly the next number of the agent, sometimes one above or below.
func (w *simulation) nextSeq(t *rapid.T, program, agent string) uint64 {
	next := 1
	for _, k := range w.calls {
		if k.call.Program == program && k.call.Agent == agent {
			next = max(next, int(k.call.Seq)+1)
		}
	}
	shift := []int{0, 0, 0, 1, -1, -2}[evenIndex(t, "shift", 6)]
	return uint64(max(1, next+shift))
}

// oneInFour is true in one of four draws.
func oneInFour(t *rapid.T) bool { return evenIndex(t, "rarely", 4) == 3 }

func (w *simulation) send(o *owner, c *caller, e core.Event) {
	if c.dispatchesBefore[o] == 0 {
		c.dispatchesBefore[o] = len(o.attempts) + 1
	}
	c.unresolved[o] = true
	w.step(o, e)
}

func (w *simulation) resend(o *owner, c *caller) {
	e := c.event
	switch x := e.(type) {
	case core.Submitted:
		x.Partial = c.text
		e = x
	case core.AnswerRequested:
		x.Partial = c.text
		e = x
	}
	w.send(o, c, e)
}

// resendPending is an edge that repeats its request because no reply arrived.
func (w *simulation) resendPending(t *rapid.T) {
	w.t = t
	c, ok := drawOne(t, "caller", w.callers, func(c *caller) bool { return c.final == nil && !c.gone })
	if !ok {
		return
	}
	w.resend(w.owner(t), c)
}

// resendAnswered is a duplicate that arrives after its caller has the answer or left.
func (w *simulation) resendAnswered(t *rapid.T) {
	w.t = t
	c, ok := drawOne(t, "caller", w.callers, func(c *caller) bool { return c.final != nil || c.gone })
	if !ok {
		return
	}
	if o := w.owner(t); c.dispatchesBefore[o] > 0 {
		w.resend(o, c)
	}
}

func (w *simulation) requestAnswer(t *rapid.T) {
	w.t = t
	if !oneInFour(t) {
		return
	}
	c, ok := drawOne(t, "caller", w.callers, func(c *caller) bool { return c.record != nil })
	if !ok {
		return
	}
	k := c.record
	asked := w.newCaller(func(r core.Route) core.Event {
		return core.AnswerRequested{Customer: "c", Program: k.call.Program, Key: k.call.Key, From: r}
	}, k)
	w.send(w.owner(t), asked, asked.event)
}

func (w *simulation) callerLeaves(t *rapid.T) {
	w.t = t
	if !oneInFour(t) {
		return
	}
	c, ok := drawOne(t, "caller", w.callers, func(c *caller) bool { return c.final == nil && !c.gone })
	if !ok {
		return
	}
	c.gone = true
	w.step(w.owner(t), core.CallerLeft{From: c.route})
}

func (w *simulation) closeProgram(t *rapid.T) {
	w.t = t
	if evenIndex(t, "closing", 16) > 0 {
		return
	}
	program := []string{"p", "q"}[evenIndex(t, "program", 2)]
	c := w.newCaller(func(r core.Route) core.Event {
		return core.CloseRequested{Customer: "c", Program: program, From: r}
	}, nil)
	w.send(w.owner(t), c, c.event)
}

// writeRandom lets the store execute one append. Its confirmation is still in transit.
func (w *simulation) writeRandom(t *rapid.T) {
	w.t = t
	if o, ok := drawOne(t, "owner", w.owners, func(o *owner) bool { return len(o.appends) > 0 }); ok {
		w.writeNext(o)
	}
}

func (w *simulation) writeNext(o *owner) {
	a := o.appends[0]
	o.appends = o.appends[1:]
	done := core.Committed{Ref: a.Ref}
	if a.Epoch == w.epoch {
		w.journal = append(w.journal, a.Records...)
	} else {
		done.Err = errDeposed
	}
	o.confirmations = append(o.confirmations, done)
}

func (w *simulation) deliverRandom(t *rapid.T) {
	w.t = t
	if o, ok := drawOne(t, "owner", w.owners, func(o *owner) bool { return len(o.confirmations) > 0 }); ok {
		w.deliverNext(o)
	}
}

func (w *simulation) deliverNext(o *owner) {
	e := o.confirmations[0]
	o.confirmations = o.confirmations[1:]
	w.step(o, e)
}

// drawAttempt draws an attempt that has not ended.
func (w *simulation) drawAttempt(t *rapid.T, fits func(*attempt) bool) (*owner, *attempt) {
	type pair struct {
		owner   *owner
		attempt *attempt
	}
	var all []pair
	for _, o := range w.owners {
		for _, a := range o.attempts {
			all = append(all, pair{o, a})
		}
	}
	p, _ := drawOne(t, "attempt", all, func(p pair) bool { return !p.attempt.ended && fits(p.attempt) })
	return p.owner, p.attempt
}

func (w *simulation) streamText(t *rapid.T) {
	w.t = t
	o, a := w.drawAttempt(t, func(a *attempt) bool { return a.Call.Kind == call.Chat && a.output < a.MaxTokens })
	if a == nil {
		return
	}
	at := len(a.text)
	a.text += fmt.Sprintf("%04d", a.Attempt%10000)
	a.output++
	w.tokens[a.Call.QualifiedProgram()]++
	w.checkBudget(a.Call.QualifiedProgram())
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	from := rapid.IntRange(0, at).Draw(t, "from")
	w.step(o, core.Piece{Attempt: a.Attempt, Offset: from, Text: a.text[from:]})
}

func (w *simulation) finishRandom(t *rapid.T) {
	w.t = t
	o, a := w.drawAttempt(t, func(*attempt) bool { return true })
	if a == nil {
		return
	}
	w.finishAttempt(o, a)
	if rapid.Bool().Draw(t, "twice") {
		w.step(o, core.AttemptFinished{Attempt: a.Attempt, Text: "late", Body: []byte("late")})
	}
}

func (w *simulation) finishAttempt(o *owner, a *attempt) {
	a.ended, a.ran = true, true
	e := core.AttemptFinished{Attempt: a.Attempt, Status: 200, Body: []byte(a.Call.Key)}
	if a.Call.Kind == call.Chat {
		e = core.AttemptFinished{Attempt: a.Attempt, Text: a.text, Usage: answer.Usage{Prompt: a.prompt, Output: a.output}}
	}
	w.step(o, e)
}

// refuseAttempt is an endpoint that refused a call, or that received no byte of it.
func (w *simulation) refuseAttempt(t *rapid.T) {
	w.t = t
	if !oneInFour(t) {
		return
	}
	o, a := w.drawAttempt(t, func(a *attempt) bool {
		return a.text == a.Partial || a.output == len(a.Call.ID()+":")/4 && a.Partial == ""
	})
	if a == nil {
		return
	}
	a.ended = true
	w.charge(a, -1)
	delete(w.calls[a.Call.ID()].mayHaveRun, a)
	w.step(o, core.AttemptFailed{Attempt: a.Attempt, NotRun: true, Reason: "refused"})
}

// failAttempt is an attempt whose outcome is unknown, with or without its usage.
func (w *simulation) failAttempt(t *rapid.T) {
	w.t = t
	o, a := w.drawAttempt(t, func(*attempt) bool { return true })
	if a == nil {
		return
	}
	a.ended, a.ran = true, a.ran || rapid.Bool().Draw(t, "ran")
	var u answer.Usage
	if rapid.Bool().Draw(t, "known") {
		u = answer.Usage{Prompt: a.prompt, Output: a.output}
	}
	w.step(o, core.AttemptFailed{Attempt: a.Attempt, Reason: "cut", Usage: u})
}

func (w *simulation) tick(t *rapid.T) {
	w.t = t
	w.now = w.now.Add(time.Duration(evenIndex(t, "seconds", 25)) * time.Second)
	w.step(w.owner(t), core.Ticked{})
}

// crash ends the owner's process. Some of its appends still reach the store.
func (w *simulation) crash(t *rapid.T) {
	w.t = t
	if !oneInFour(t) {
		return
	}
	w.writeSome(t)
	w.owners = w.owners[:len(w.owners)-1]
	w.takeover()
}

func (w *simulation) writeSome(t *rapid.T) {
	o := w.current()
	for range rapid.IntRange(0, len(o.appends)).Draw(t, "written") {
		w.writeNext(o)
	}
}

// pause lets another process take over while the owner assumes that it still owns
// the shard.
func (w *simulation) pause(t *rapid.T) {
	w.t = t
	if !oneInFour(t) {
		return
	}
	if len(w.owners) > 2 {
		return
	}
	w.writeSome(t)
	if w.now.Before(w.current().lease) {
		w.now = w.current().lease
	}
	// Other nodes wait some time after the last renewal before they take over.
	w.now = w.now.Add(time.Second)
	w.takeover()
}

func (w *simulation) renewLease(t *rapid.T) {
	w.t = t
	w.extendLease(w.owner(t))
}

func (w *simulation) handOver(t *rapid.T) {
	w.t = t
	if oneInFour(t) {
		w.step(w.current(), core.HandOverRequested{Shard: 0})
	}
}

// answerInquiry lets an endpoint report the outcome of a call. A call that it has
// not seen may still be on its way.
func (w *simulation) answerInquiry(t *rapid.T) {
	w.t = t
	o, ok := drawOne(t, "owner", w.owners, func(o *owner) bool { return len(o.inquiries) > 0 })
	if !ok {
		return
	}
	q := o.inquiries[0]
	o.inquiries = o.inquiries[1:]
	e := core.InquiryAnswered{Inquiry: q.Inquiry}
	for f := range w.calls[q.Call.ID()].mayHaveRun {
		if f.Endpoint == q.Endpoint && f.ran {
			e.Found, e.Status, e.Body = true, 200, []byte(f.Call.Key)
		}
	}
	w.step(o, e)
}

// reportLost tells a deposed owner that it lost the shard.
func (w *simulation) reportLost(t *rapid.T) {
	w.t = t
	if !oneInFour(t) {
		return
	}
	o, ok := drawOne(t, "owner", w.owners, func(o *owner) bool { return o != w.current() })
	if !ok {
		return
	}
	w.step(o, core.ShardLost{Shard: 0, Epoch: o.epoch})
}

// configureStale delivers an old or equal configuration again.
func (w *simulation) configureStale(t *rapid.T) {
	w.t = t
	old := deployment()
	old.Revision = rapid.Uint64Range(0, 1).Draw(t, "revision")
	old.Services = nil
	w.step(w.owner(t), core.Configured{Config: old})
}

func (w *simulation) listLeaving(t *rapid.T) {
	w.t = t
	leaving := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"engine-0", "engine-1", "desk-0", "desk-1"}), 0, 4, rapid.ID[string]).Draw(t, "leaving")
	w.step(w.owner(t), core.EndpointsLeaving{Leaving: leaving})
}

// quiesce lets everything finish and checks that every caller got a final answer.
func (w *simulation) quiesce() {
	for _, o := range w.owners[:len(w.owners)-1] {
		w.step(o, core.ShardLost{Shard: 0, Epoch: o.epoch})
	}
	w.step(w.current(), core.EndpointsLeaving{})
	for range 100 {
		o := w.current()
		w.owners = []*owner{o}
		w.extendLease(o)
		w.settleAll(o)
		open := 0
		for _, c := range w.callers {
			if c.final == nil && !c.gone {
				open++
				w.resend(o, c)
			}
		}
		if open == 0 {
			return
		}
		w.now = w.now.Add(time.Second)
		w.step(o, core.Ticked{})
	}
	for _, c := range w.callers {
		if c.final == nil && !c.gone {
			w.t.Fatalf("no final answer for %+v", c.event)
		}
	}
}

func (w *simulation) settleAll(o *owner) {
	for len(o.appends) > 0 {
		w.writeNext(o)
	}
	for len(o.confirmations) > 0 {
		w.deliverNext(o)
	}
	for len(o.inquiries) > 0 {
		e := core.InquiryAnswered{Inquiry: o.inquiries[0].Inquiry}
		o.inquiries = o.inquiries[1:]
		w.step(o, e)
	}
	for _, a := range append([]*attempt(nil), o.attempts...) {
		if !a.ended {
			w.finishAttempt(o, a)
		}
	}
}
