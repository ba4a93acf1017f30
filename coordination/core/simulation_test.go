package core_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/record"
)

const (
	tokenLimit  = 150
	moneyLimit  = 100
	bookMoney   = 40
	outputMax   = 12
	callTimeout = 20 * time.Second
)

// simulation is the environment of the core: callers, journal and endpoints.
type simulation struct {
	now    time.Time
	t      *rapid.T
	config *config.Config
	// journal is the content of the store. Only the current epoch can append to it.
	journal []record.Record
	epoch   uint64
	// owners are the running processes. The last one holds the current epoch.
	owners []*owner
	// handedOver is set when the current owner has handed the shard over.
	handedOver bool
	callers    []*caller
	calls      map[string]*callRecord
	// tokens and money are what the endpoints charged, by program.
	tokens map[string]int
	money  map[string]int64
}

// owner is a process that owns or owned the shard, in one epoch.
type owner struct {
	core  *core.Core
	epoch uint64
	// appends are not written yet, confirmations are not delivered yet, both in order.
	appends       []core.Append
	confirmations []core.Committed
	attempts      []*attempt
	// inquiries are not answered yet.
	inquiries []core.Inquire
	// lease is the time until which the owner's lease is certainly valid.
	lease time.Time
	// highestSeq is the highest sequence number dispatched, by queue.
	highestSeq map[string]uint64
}

// attempt is one dispatch of a call to an endpoint.
type attempt struct {
	core.Dispatch
	text   string
	output int
	prompt int
	ended  bool
	// ran is set once the endpoint has run the call.
	ran     bool
	aborted bool
}

// caller is one request by a client that waits for an answer.
type caller struct {
	route  core.Route
	event  core.Event
	record *callRecord
	text   string
	final  *answer.Answer
	gone   bool
	// dispatchesBefore holds, for each owner that received the request, one plus
	// the number of dispatches it had made before. unresolved holds the owners
	// that have not replied that the request moved.
	dispatchesBefore map[*owner]int
	unresolved       map[*owner]bool
	// mayHaveRun is set once an owner replied that the call may have run there.
	mayHaveRun bool
}

// callRecord tracks one call of a program over all its callers.
type callRecord struct {
	call *call.Call
	// mayHaveRun holds the attempts that may have run, with their owners.
	mayHaveRun map[*attempt]*owner
	// allNotRun is set once every request for the call was answered notrun, until
	// there is a new request.
	allNotRun bool
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		now: time.Unix(1_700_000_000, 0), t: t, config: deployment(),
		calls: map[string]*callRecord{}, tokens: map[string]int{}, money: map[string]int64{},
	}
	w.takeover()
	return w
}

func deployment() *config.Config {
	c := config.New()
	c.Revision = 1
	c.Services["talk"] = &config.Service{
		Kind: "model", Pool: "engines", Model: "m", Tokens: tokenLimit, Money: moneyLimit,
		Turns: 20, Output: outputMax, Timeout: callTimeout, Prompt: "Be brief.",
		Tools: []string{"shop/book", "shop/look"},
	}
	c.Services["shop"] = &config.Service{Kind: "plain", Pool: "desks", Timeout: callTimeout, Tokens: tokenLimit, Money: moneyLimit, Operations: map[string]*config.Operation{
		"book": {Money: bookMoney},
		"look": {Idempotent: true},
	}}
	for i := range 2 {
		c.Endpoints[fmt.Sprintf("engine-%d", i)] = &config.Endpoint{Pool: "engines", Kind: "engine", Addr: "e", Slots: 1}
		c.Endpoints[fmt.Sprintf("desk-%d", i)] = &config.Endpoint{Pool: "desks", Kind: "desk", Addr: "d", Slots: 1, Tells: i == 0}
	}
	return c
}

// takeover starts a new owner from the content of the store.
func (w *simulation) takeover() {
	w.epoch++
	o := &owner{core: core.New(core.Options{Shards: 1, Seed: w.epoch, Hedge: true}), epoch: w.epoch, highestSeq: map[string]uint64{}}
	w.owners = append(w.owners, o)
	w.step(o, core.Configured{Config: w.config})
	w.extendLease(o)
	w.step(o, core.ShardAcquired{Shard: 0, Epoch: w.epoch, Records: append([]record.Record(nil), w.journal...)})
}

// leaseTime is how long a lease is valid without a renewal.
const leaseTime = 10 * time.Second

func (w *simulation) extendLease(o *owner) {
	o.lease = w.now.Add(leaseTime)
	w.step(o, core.LeaseRenewed{Until: o.lease})
}

func (w *simulation) current() *owner { return w.owners[len(w.owners)-1] }

func (w *simulation) step(o *owner, e core.Event) {
	w.t.Logf("%s: owner %d: %T %+v", w.now.Format("05"), o.epoch, e, e)
	for _, a := range o.core.Step(w.now, e) {
		switch a := a.(type) {
		case core.Append:
			o.appends = append(o.appends, a)
		case core.Dispatch:
			w.checkLease(o, a)
			w.checkDispatch(o, a)
		case core.Reply:
			w.checkReply(o, a)
		case core.Abort:
			w.checkAbort(o, a)
		case core.Inquire:
			o.inquiries = append(o.inquiries, a)
		case core.HandOver:
			w.handedOver = w.handedOver || o == w.current()
		}
	}
	if w.handedOver {
		w.handedOver = false
		w.takeover()
	}
}

// checkLease checks that an owner dispatches nothing once another may own the shard.
func (w *simulation) checkLease(o *owner, d core.Dispatch) {
	if o != w.current() {
		w.t.Fatalf("%s was dispatched by an owner whose lease has lapsed", d.Call.ID())
	}
}

// checkDispatch checks a dispatch against the rules and starts the attempt.
func (w *simulation) checkDispatch(o *owner, d core.Dispatch) {
	k := w.calls[d.Call.ID()]
	a := &attempt{Dispatch: d, text: d.Partial}
	if k.allNotRun {
		w.t.Fatalf("%s was dispatched after its caller was told notrun", d.Call.ID())
	}
	if w.mustRunOnce(d.Call) && len(k.mayHaveRun) > 0 {
		w.t.Fatalf("%s was dispatched twice", d.Call.ID())
	}
	w.checkOrder(o, d)
	k.mayHaveRun[a] = o
	o.attempts = append(o.attempts, a)
	if d.Call.Kind == call.Chat {
		a.prompt = promptTokens(d)
		if a.text == "" {
			a.text = d.Call.ID() + ":"
			a.output = len(a.text) / 4
		}
	}
	w.charge(a, 1)
}

// mustRunOnce reports whether a call must run at most once.
func (w *simulation) mustRunOnce(c *call.Call) bool { return c.Operation == "book" }

// charge adds the cost of an attempt, or takes it back with sign -1.
func (w *simulation) charge(a *attempt, sign int) {
	p := a.Call.QualifiedProgram()
	w.tokens[p] += sign * (a.prompt + a.output)
	if a.Call.Operation == "book" {
		w.money[p] += int64(sign) * bookMoney
	}
	w.checkBudget(p)
}

func (w *simulation) checkBudget(p string) {
	if w.tokens[p] > tokenLimit {
		w.t.Fatalf("%s spent %d tokens of %d", p, w.tokens[p], tokenLimit)
	}
	if w.money[p] > moneyLimit {
		w.t.Fatalf("%s spent %d money of %d", p, w.money[p], moneyLimit)
	}
}

// promptTokens is the engine's own count of the prompt tokens.
func promptTokens(d core.Dispatch) int {
	n := 4 + len(d.Service.Prompt)/4
	for _, m := range append(append([]call.Message(nil), d.History...), d.Call.Messages...) {
		n += 4 + len(m.Content)/4
	}
	return n
}

func (w *simulation) checkOrder(o *owner, d core.Dispatch) {
	queue := d.Call.QueueName()
	for _, a := range o.attempts {
		if !a.ended && !a.aborted && a.Call.QueueName() == queue && a.Call.ID() != d.Call.ID() {
			w.t.Fatalf("%s dispatched while %s of the same agent runs", d.Call.ID(), a.Call.ID())
		}
	}
	if d.Call.Seq < o.highestSeq[queue] {
		w.t.Fatalf("%s: sequence number %d dispatched after %d", queue, d.Call.Seq, o.highestSeq[queue])
	}
	o.highestSeq[queue] = d.Call.Seq
	settled := map[uint64]bool{}
	var history []call.Message
	for _, r := range w.journal {
		// A successor settles what an earlier owner may have dispatched.
		if i := r.Intent; i != nil && i.Call.QueueName() == queue && i.Epoch < o.epoch {
			settled[i.Call.Seq] = true
		}
		if t := r.Turn; t != nil && t.Call.QueueName() == queue && !t.Retryable {
			settled[t.Call.Seq] = true
			if t.Answer.Outcome == answer.Done && t.Call.Kind == call.Chat {
				history = append(history, t.Call.Messages...)
				history = append(history, call.Message{Role: "assistant", Content: t.Answer.Text})
			}
		}
	}
	for n := uint64(1); n < d.Call.Seq; n++ {
		if !settled[n] {
			w.t.Fatalf("%s: %d dispatched before %d was recorded", queue, d.Call.Seq, n)
		}
	}
	if o == w.current() && d.Call.Kind == call.Chat && fmt.Sprint(history) != fmt.Sprint(d.History) {
		w.t.Fatalf("%s: history is %v, recorded is %v", queue, d.History, history)
	}
}

// checkReply checks a reply against the rules and delivers it to its caller.
func (w *simulation) checkReply(o *owner, r core.Reply) {
	var c *caller
	for _, x := range w.callers {
		if x.route == r.To {
			c = x
		}
	}
	if c == nil {
		w.t.Fatalf("reply to a route that never asked: %v", r)
		return
	}
	if r.Moved {
		c.mayHaveRun = c.mayHaveRun || r.MayHaveRun
		delete(c.unresolved, o)
	}
	if r.Moved || c.final != nil || c.gone {
		return
	}
	if r.Offset <= len(c.text) && r.Offset+len(r.Text) > len(c.text) {
		c.text += r.Text[len(c.text)-r.Offset:]
	}
	if c.record != nil && c.text != "" && !strings.HasPrefix(c.text+":", c.record.call.ID()[:min(len(c.text), len(c.record.call.ID()))]) {
		w.t.Fatalf("%s got the text %q of another call", c.record.call.ID(), c.text)
	}
	if a := r.Final; a != nil {
		w.checkFinal(o, c, a)
	}
}

func (w *simulation) checkFinal(o *owner, c *caller, a *answer.Answer) {
	c.final = a
	if c.record == nil {
		return
	}
	id := c.record.call.ID()
	switch a.Outcome {
	case answer.Done:
		t := w.recordedTurn(id)
		if t == nil {
			w.t.Fatalf("%s answered before its turn was recorded", id)
			return
		}
		if t.Answer.Text != a.Text || string(t.Answer.Body) != string(a.Body) {
			w.t.Fatalf("%s answered %q, recorded is %q", id, a.Text, t.Answer.Text)
		}
		// Two owners may stream different texts. The edge compares the complete
		// answer with the text it passed on and reports a difference.
		if c.text != a.Text && (len(c.dispatchesBefore) == 1 || strings.HasPrefix(a.Text, c.text)) {
			w.t.Fatalf("%s: the caller has %q, the answer is %q", id, c.text, a.Text)
		}
	case answer.NotRun:
		w.checkNotRun(o, c, a)
	}
}

// checkNotRun checks that a call that was answered notrun did not run. The edge
// passes a notrun on only if no other owner that it asked may have run the call.
func (w *simulation) checkNotRun(o *owner, c *caller, a *answer.Answer) {
	delete(c.unresolved, o)
	_, asked := c.event.(core.AnswerRequested)
	if !asked && (c.mayHaveRun || c.text != "" || len(c.unresolved) > 0) {
		c.final = &answer.Answer{Outcome: answer.Unknown, Reason: "moved"}
		return
	}
	for f, by := range c.record.mayHaveRun {
		if !asked && c.dispatchedAfter(by, f) || w.mustRunOnce(f.Call) && o == w.current() {
			w.t.Fatalf("%s told notrun (%s), but it may have run", f.Call.ID(), a.Reason)
		}
	}
	if !asked {
		c.record.allNotRun = w.allRefused(c.record)
	}
}

// dispatchedAfter reports whether an owner dispatched a after it got the request.
func (c *caller) dispatchedAfter(o *owner, a *attempt) bool {
	return c.dispatchesBefore[o] > 0 && slices.Index(o.attempts, a) >= c.dispatchesBefore[o]-1
}

// allRefused reports whether every request for a call was answered notrun. A call with
// an open or abandoned request may still run.
func (w *simulation) allRefused(k *callRecord) bool {
	for _, c := range w.callers {
		if _, own := c.event.(core.Submitted); !own || c.record != k {
			continue
		}
		if c.final == nil || c.final.Outcome != answer.NotRun {
			return false
		}
	}
	return true
}

// recordedTurn returns the last journaled turn that answered a call.
func (w *simulation) recordedTurn(id string) *record.Turn {
	for i := len(w.journal) - 1; i >= 0; i-- {
		if t := w.journal[i].Turn; t != nil && t.Call.ID() == id && t.Answer.Outcome == answer.Done {
			return t
		}
	}
	return nil
}

func (w *simulation) checkAbort(o *owner, abort core.Abort) {
	for _, a := range o.attempts {
		if a.Attempt == abort.Attempt && w.mustRunOnce(a.Call) {
			w.t.Fatalf("%s, which has an effect, was aborted", a.Call.ID())
		}
		a.aborted = a.aborted || a.Attempt == abort.Attempt
	}
}

// errDeposed is the store's error for a write in an old epoch.
var errDeposed = errors.New("another epoch owns the shard")
