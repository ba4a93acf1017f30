package core_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// pick draws one of the items that fit, and returns false if there is none.
func pick[T any](t *rapid.T, name string, all []T, fits func(T) bool) (T, bool) {
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
	return some[even(t, name, len(some))], true
}

func (w *world) open(e func(core.Route) core.Event, k *key) *caller {
	c := &caller{route: core.Route{Node: "edge", Stream: fmt.Sprint(len(w.routes))}, key: k, asked: map[*owner]int{}, doubtful: map[*owner]bool{}}
	c.event = e(c.route)
	w.routes = append(w.routes, c)
	return c
}

// owner draws a process; deposed ones still take what is sent to them.
func (w *world) owner(t *rapid.T) *owner {
	return w.owners[even(t, "owner", len(w.owners))]
}

// submit is a caller's own new attempt.
func (w *world) submit(t *rapid.T) {
	w.t = t
	program := []string{"p", "q"}[even(t, "program", 2)]
	agent := []string{"", "sub"}[even(t, "agent", 2)]
	seq := w.nextSeq(t, program, agent)
	name := fmt.Sprintf("%s-%s-%d", program, agent, seq)
	k := w.keys[(&call.Call{Key: name, Customer: "c", Program: program}).ID()]
	if k == nil {
		c := &call.Call{Key: name, Customer: "c", Program: program, Agent: agent, Seq: seq, Kind: call.Chat, Service: "talk", Tries: 1}
		c.Messages = []call.Message{{Role: "user", Content: name + "?"}}
		if op := []string{"", "book", "look"}[even(t, "operation", 3)]; op != "" {
			c.Kind, c.Service, c.Operation, c.Messages = call.Plain, "shop", op, nil
		}
		k = &key{call: c, touched: map[*flight]*owner{}}
		w.keys[c.ID()] = k
	} else {
		again := *k.call
		again.Tries++
		k.call = &again
	}
	k.told = false
	c := w.open(func(r core.Route) core.Event { return core.Submitted{Call: k.call, From: r} }, k)
	w.send(w.owner(t), c, c.event)
}

// nextSeq is mostly the next number of the agent, sometimes one before or after.
func (w *world) nextSeq(t *rapid.T, program, agent string) uint64 {
	next := 1
	for _, k := range w.keys {
		if k.call.Program == program && k.call.Agent == agent {
			next = max(next, int(k.call.Seq)+1)
		}
	}
	shift := []int{0, 0, 0, 1, -1, -2}[even(t, "shift", 6)]
	return uint64(max(1, next+shift))
}

// rarely is true one time in four.
func rarely(t *rapid.T) bool { return even(t, "rarely", 4) == 3 }

func (w *world) send(o *owner, c *caller, e core.Event) {
	if c.asked[o] == 0 {
		c.asked[o] = len(o.flights) + 1
	}
	c.doubtful[o] = true
	w.step(o, e)
}

func (w *world) resend(o *owner, c *caller) {
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

// again is an edge that asks once more, since nothing came.
func (w *world) again(t *rapid.T) {
	w.t = t
	c, ok := pick(t, "caller", w.routes, func(c *caller) bool { return c.final == nil && !c.gone })
	if !ok {
		return
	}
	w.resend(w.owner(t), c)
}

// late is a duplicate that arrives after its caller has the answer.
func (w *world) late(t *rapid.T) {
	w.t = t
	c, ok := pick(t, "caller", w.routes, func(c *caller) bool { return c.final != nil || c.gone })
	if !ok {
		return
	}
	if o := w.owner(t); c.asked[o] > 0 {
		w.resend(o, c)
	}
}

func (w *world) ask(t *rapid.T) {
	w.t = t
	if !rarely(t) {
		return
	}
	c, ok := pick(t, "caller", w.routes, func(c *caller) bool { return c.key != nil })
	if !ok {
		return
	}
	k := c.key
	asked := w.open(func(r core.Route) core.Event {
		return core.AnswerRequested{Customer: "c", Program: k.call.Program, Key: k.call.Key, From: r}
	}, k)
	w.send(w.owner(t), asked, asked.event)
}

func (w *world) leave(t *rapid.T) {
	w.t = t
	if !rarely(t) {
		return
	}
	c, ok := pick(t, "caller", w.routes, func(c *caller) bool { return c.final == nil && !c.gone })
	if !ok {
		return
	}
	c.gone = true
	w.step(w.owner(t), core.CallerLeft{From: c.route})
}

func (w *world) closeProgram(t *rapid.T) {
	w.t = t
	if even(t, "closing", 16) > 0 {
		return
	}
	program := []string{"p", "q"}[even(t, "program", 2)]
	c := w.open(func(r core.Route) core.Event {
		return core.CloseRequested{Customer: "c", Program: program, From: r}
	}, nil)
	w.send(w.owner(t), c, c.event)
}

// write lets the store take one append; the answer is still on its way.
func (w *world) write(t *rapid.T) {
	w.t = t
	if o, ok := pick(t, "owner", w.owners, func(o *owner) bool { return len(o.appends) > 0 }); ok {
		w.commit(o)
	}
}

func (w *world) commit(o *owner) {
	a := o.appends[0]
	o.appends = o.appends[1:]
	done := core.Committed{Ref: a.Ref}
	if a.Epoch == w.epoch {
		w.journal = append(w.journal, a.Records...)
	} else {
		done.Err = errDeposed
	}
	o.answers = append(o.answers, done)
}

func (w *world) deliver(t *rapid.T) {
	w.t = t
	if o, ok := pick(t, "owner", w.owners, func(o *owner) bool { return len(o.answers) > 0 }); ok {
		w.confirm(o)
	}
}

func (w *world) confirm(o *owner) {
	e := o.answers[0]
	o.answers = o.answers[1:]
	w.step(o, e)
}

// flying draws a dispatch that has no end yet.
func (w *world) flying(t *rapid.T, fits func(*flight) bool) (*owner, *flight) {
	type pair struct {
		owner  *owner
		flight *flight
	}
	var all []pair
	for _, o := range w.owners {
		for _, f := range o.flights {
			all = append(all, pair{o, f})
		}
	}
	p, _ := pick(t, "flight", all, func(p pair) bool { return !p.flight.landed && fits(p.flight) })
	return p.owner, p.flight
}

func (w *world) piece(t *rapid.T) {
	w.t = t
	o, f := w.flying(t, func(f *flight) bool { return f.Call.Kind == call.Chat && f.output < f.MaxTokens })
	if f == nil {
		return
	}
	at := len(f.text)
	f.text += fmt.Sprintf("%04d", f.Attempt%10000)
	f.output++
	w.tokens[f.Call.QualifiedProgram()]++
	w.checkBudget(f.Call.QualifiedProgram())
	if rapid.Bool().Draw(t, "lost") {
		return
	}
	from := rapid.IntRange(0, at).Draw(t, "from")
	w.step(o, core.Piece{Attempt: f.Attempt, Offset: from, Text: f.text[from:]})
}

func (w *world) finish(t *rapid.T) {
	w.t = t
	o, f := w.flying(t, func(*flight) bool { return true })
	if f == nil {
		return
	}
	w.land(o, f)
	if rapid.Bool().Draw(t, "twice") {
		w.step(o, core.AttemptFinished{Attempt: f.Attempt, Text: "late", Body: []byte("late")})
	}
}

func (w *world) land(o *owner, f *flight) {
	f.landed, f.ran = true, true
	e := core.AttemptFinished{Attempt: f.Attempt, Status: 200, Body: []byte(f.Call.Key)}
	if f.Call.Kind == call.Chat {
		e = core.AttemptFinished{Attempt: f.Attempt, Text: f.text, Usage: answer.Usage{Prompt: f.prompt, Output: f.output}}
	}
	w.step(o, e)
}

// untouched is an endpoint that refused, or that no byte reached.
func (w *world) untouched(t *rapid.T) {
	w.t = t
	if !rarely(t) {
		return
	}
	o, f := w.flying(t, func(f *flight) bool {
		return f.text == f.Partial || f.output == len(f.Call.ID()+":")/4 && f.Partial == ""
	})
	if f == nil {
		return
	}
	f.landed = true
	w.charge(f, -1)
	delete(w.keys[f.Call.ID()].touched, f)
	w.step(o, core.AttemptFailed{Attempt: f.Attempt, NotRun: true, Reason: "refused"})
}

// breakOff is a dispatch whose end is not known, with or without its usage.
func (w *world) breakOff(t *rapid.T) {
	w.t = t
	o, f := w.flying(t, func(*flight) bool { return true })
	if f == nil {
		return
	}
	f.landed, f.ran = true, f.ran || rapid.Bool().Draw(t, "ran")
	var u answer.Usage
	if rapid.Bool().Draw(t, "known") {
		u = answer.Usage{Prompt: f.prompt, Output: f.output}
	}
	w.step(o, core.AttemptFailed{Attempt: f.Attempt, Reason: "cut", Usage: u})
}

func (w *world) tick(t *rapid.T) {
	w.t = t
	w.now = w.now.Add(time.Duration(even(t, "seconds", 25)) * time.Second)
	w.step(w.owner(t), core.Ticked{})
}

// crash ends the owner; some of its appends still reach the store.
func (w *world) crash(t *rapid.T) {
	w.t = t
	if !rarely(t) {
		return
	}
	w.partWay(t)
	w.owners = w.owners[:len(w.owners)-1]
	w.takeover()
}

func (w *world) partWay(t *rapid.T) {
	o := w.current()
	for range rapid.IntRange(0, len(o.appends)).Draw(t, "written") {
		w.commit(o)
	}
}

// pause lets another process take over while the owner believes it still owns.
func (w *world) pause(t *rapid.T) {
	w.t = t
	if !rarely(t) {
		return
	}
	if len(w.owners) > 2 {
		return
	}
	w.partWay(t)
	if w.now.Before(w.current().lease) {
		w.now = w.current().lease
	}
	// Others take over only some time after the last sign of life.
	w.now = w.now.Add(time.Second)
	w.takeover()
}

func (w *world) renewal(t *rapid.T) {
	w.t = t
	w.renew(w.owner(t))
}

func (w *world) surrender(t *rapid.T) {
	w.t = t
	if rarely(t) {
		w.step(w.current(), core.HandOverRequested{Shard: 0})
	}
}

// tell lets an endpoint say what became of a call. What it has not seen may
// still be on its way.
func (w *world) tell(t *rapid.T) {
	w.t = t
	o, ok := pick(t, "owner", w.owners, func(o *owner) bool { return len(o.inquiries) > 0 })
	if !ok {
		return
	}
	q := o.inquiries[0]
	o.inquiries = o.inquiries[1:]
	e := core.InquiryAnswered{Inquiry: q.Inquiry}
	for f := range w.keys[q.Call.ID()].touched {
		if f.Endpoint == q.Endpoint && f.ran {
			e.Found, e.Status, e.Body = true, 200, []byte(f.Call.Key)
		}
	}
	w.step(o, e)
}

// lose tells a deposed owner.
func (w *world) lose(t *rapid.T) {
	w.t = t
	if !rarely(t) {
		return
	}
	o, ok := pick(t, "owner", w.owners, func(o *owner) bool { return o != w.current() })
	if !ok {
		return
	}
	w.step(o, core.ShardLost{Shard: 0, Epoch: o.epoch})
}

// declare brings an old or equal configuration again.
func (w *world) declare(t *rapid.T) {
	w.t = t
	old := deployment()
	old.Revision = rapid.Uint64Range(0, 1).Draw(t, "revision")
	old.Services = nil
	w.step(w.owner(t), core.Configured{Config: old})
}

func (w *world) list(t *rapid.T) {
	w.t = t
	leaving := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"engine-0", "engine-1", "desk-0", "desk-1"}), 0, 4, rapid.ID[string]).Draw(t, "leaving")
	w.step(w.owner(t), core.EndpointsLeaving{Leaving: leaving})
}

// quiesce lets everything come to its end and holds that every caller had one.
func (w *world) quiesce() {
	for _, o := range w.owners[:len(w.owners)-1] {
		w.step(o, core.ShardLost{Shard: 0, Epoch: o.epoch})
	}
	w.step(w.current(), core.EndpointsLeaving{})
	for range 100 {
		o := w.current()
		w.owners = []*owner{o}
		w.renew(o)
		w.settle(o)
		open := 0
		for _, c := range w.routes {
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
	for _, c := range w.routes {
		if c.final == nil && !c.gone {
			w.t.Fatalf("no end for %+v", c.event)
		}
	}
}

func (w *world) settle(o *owner) {
	for len(o.appends) > 0 {
		w.commit(o)
	}
	for len(o.answers) > 0 {
		w.confirm(o)
	}
	for len(o.inquiries) > 0 {
		e := core.InquiryAnswered{Inquiry: o.inquiries[0].Inquiry}
		o.inquiries = o.inquiries[1:]
		w.step(o, e)
	}
	for _, f := range append([]*flight(nil), o.flights...) {
		if !f.landed {
			w.land(o, f)
		}
	}
}
