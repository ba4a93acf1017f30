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
	tokenLimit = 150
	moneyLimit = 100
	bookMoney  = 40
	outputMax  = 12
	timeout    = 20 * time.Second
)

// world is everything around the core: callers, journal and endpoints.
type world struct {
	now    time.Time
	t      *rapid.T
	config *config.Config
	// journal is what the store holds; only the current epoch adds to it.
	journal []record.Record
	epoch   uint64
	// owners are the processes that run; the last one holds the current epoch.
	owners []*owner
	// yielded is set when the current owner gave the shard up.
	yielded bool
	routes  []*caller
	keys    map[string]*key
	// tokens and money are what the endpoints charged, by program.
	tokens map[string]int
	money  map[string]int64
}

// owner is one process's term over the shard.
type owner struct {
	core  *core.Core
	epoch uint64
	// appends wait to be written, answers wait to be delivered, in order.
	appends []core.Append
	answers []core.Committed
	flights []*flight
	// inquiries wait for an endpoint's word.
	inquiries []core.Inquire
	// lease is until when the owner's lease surely stands.
	lease time.Time
	// highest is the highest sequence number dispatched, by queue.
	highest map[string]uint64
}

// flight is one dispatch at an endpoint.
type flight struct {
	core.Dispatch
	text   string
	output int
	prompt int
	landed bool
	// ran is set once the endpoint has done the call.
	ran     bool
	aborted bool
}

// caller is one attempt that waits for an answer.
type caller struct {
	route core.Route
	event core.Event
	key   *key
	text  string
	final *answer.Answer
	gone  bool
	// asked holds, for the owners that the attempt was sent to, how many
	// dispatches they had made before, plus one; doubtful are the owners
	// that have not said that they gave it away.
	asked    map[*owner]int
	doubtful map[*owner]bool
	// touched is set once an owner said that the call may have run there.
	touched bool
}

// key is one call of a program.
type key struct {
	call *call.Call
	// touched are the dispatches that may have run.
	touched map[*flight]*owner
	// told is true from the notrun to the last open attempt until a new one.
	told bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		now: time.Unix(1_700_000_000, 0), t: t, config: deployment(),
		keys: map[string]*key{}, tokens: map[string]int{}, money: map[string]int64{},
	}
	w.takeover()
	return w
}

func deployment() *config.Config {
	c := config.New()
	c.Revision = 1
	c.Services["talk"] = &config.Service{
		Kind: "model", Pool: "engines", Model: "m", Tokens: tokenLimit, Money: moneyLimit,
		Turns: 20, Output: outputMax, Timeout: timeout, Prompt: "Be brief.",
		Tools: []string{"shop/book", "shop/look"},
	}
	c.Services["shop"] = &config.Service{Kind: "plain", Pool: "desks", Timeout: timeout, Tokens: tokenLimit, Money: moneyLimit, Operations: map[string]*config.Operation{
		"book": {Money: bookMoney},
		"look": {Idempotent: true},
	}}
	for i := range 2 {
		c.Endpoints[fmt.Sprintf("engine-%d", i)] = &config.Endpoint{Pool: "engines", Kind: "engine", Addr: "e", Slots: 1}
		c.Endpoints[fmt.Sprintf("desk-%d", i)] = &config.Endpoint{Pool: "desks", Kind: "desk", Addr: "d", Slots: 1, Tells: i == 0}
	}
	return c
}

// takeover starts a new owner from what the store holds.
func (w *world) takeover() {
	w.epoch++
	o := &owner{core: core.New(core.Options{Shards: 1, Seed: w.epoch, Hedge: true}), epoch: w.epoch, highest: map[string]uint64{}}
	w.owners = append(w.owners, o)
	w.step(o, core.Configured{Config: w.config})
	w.renew(o)
	w.step(o, core.ShardAcquired{Shard: 0, Epoch: w.epoch, Records: append([]record.Record(nil), w.journal...)})
}

// leaseTime is how long a lease stands without a renewal.
const leaseTime = 10 * time.Second

func (w *world) renew(o *owner) {
	o.lease = w.now.Add(leaseTime)
	w.step(o, core.LeaseRenewed{Until: o.lease})
}

func (w *world) current() *owner { return w.owners[len(w.owners)-1] }

func (w *world) step(o *owner, e core.Event) {
	w.t.Logf("%s: owner %d: %T %+v", w.now.Format("05"), o.epoch, e, e)
	for _, a := range o.core.Step(w.now, e) {
		switch a := a.(type) {
		case core.Append:
			o.appends = append(o.appends, a)
		case core.Dispatch:
			w.checkLease(o, a)
			w.dispatched(o, a)
		case core.Reply:
			w.replied(o, a)
		case core.Abort:
			w.aborted(o, a)
		case core.Inquire:
			o.inquiries = append(o.inquiries, a)
		case core.HandOver:
			w.yielded = w.yielded || o == w.current()
		}
	}
	if w.yielded {
		w.yielded = false
		w.takeover()
	}
}

// checkLease holds that an owner sends nothing once another may have the shard.
func (w *world) checkLease(o *owner, d core.Dispatch) {
	if o != w.current() {
		w.t.Fatalf("%s was dispatched by an owner whose lease has lapsed", d.Call.ID())
	}
}

// dispatched holds a dispatch against the rules and lets it begin.
func (w *world) dispatched(o *owner, d core.Dispatch) {
	k := w.keys[d.Call.ID()]
	f := &flight{Dispatch: d, text: d.Partial}
	if k.told {
		w.t.Fatalf("%s was dispatched after its caller was told notrun", d.Call.ID())
	}
	if w.once(d.Call) && len(k.touched) > 0 {
		w.t.Fatalf("%s was dispatched twice", d.Call.ID())
	}
	w.checkOrder(o, d)
	k.touched[f] = o
	o.flights = append(o.flights, f)
	if d.Call.Kind == call.Chat {
		f.prompt = count(d)
		if f.text == "" {
			f.text = d.Call.ID() + ":"
			f.output = len(f.text) / 4
		}
	}
	w.charge(f, 1)
}

// once tells whether a call must run at most once.
func (w *world) once(c *call.Call) bool { return c.Operation == "book" }

// charge books what a dispatch costs, or takes it back with sign -1.
func (w *world) charge(f *flight, sign int) {
	p := f.Call.QualifiedProgram()
	w.tokens[p] += sign * (f.prompt + f.output)
	if f.Call.Operation == "book" {
		w.money[p] += int64(sign) * bookMoney
	}
	w.checkBudget(p)
}

func (w *world) checkBudget(p string) {
	if w.tokens[p] > tokenLimit {
		w.t.Fatalf("%s spent %d tokens of %d", p, w.tokens[p], tokenLimit)
	}
	if w.money[p] > moneyLimit {
		w.t.Fatalf("%s spent %d money of %d", p, w.money[p], moneyLimit)
	}
}

// count is the engine's own count of a prompt.
func count(d core.Dispatch) int {
	n := 4 + len(d.Service.Prompt)/4
	for _, m := range append(append([]call.Message(nil), d.History...), d.Call.Messages...) {
		n += 4 + len(m.Content)/4
	}
	return n
}

func (w *world) checkOrder(o *owner, d core.Dispatch) {
	queue := d.Call.QueueName()
	for _, f := range o.flights {
		if !f.landed && !f.aborted && f.Call.QueueName() == queue && f.Call.ID() != d.Call.ID() {
			w.t.Fatalf("%s dispatched while %s of the same agent runs", d.Call.ID(), f.Call.ID())
		}
	}
	if d.Call.Seq < o.highest[queue] {
		w.t.Fatalf("%s: sequence number %d dispatched after %d", queue, d.Call.Seq, o.highest[queue])
	}
	o.highest[queue] = d.Call.Seq
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

// replied holds a reply against the rules and hands it to its caller.
func (w *world) replied(o *owner, r core.Reply) {
	var c *caller
	for _, x := range w.routes {
		if x.route == r.To {
			c = x
		}
	}
	if c == nil {
		w.t.Fatalf("reply to a route that never asked: %v", r)
		return
	}
	if r.Moved {
		c.touched = c.touched || r.MayHaveRun
		delete(c.doubtful, o)
	}
	if r.Moved || c.final != nil || c.gone {
		return
	}
	if r.Offset <= len(c.text) && r.Offset+len(r.Text) > len(c.text) {
		c.text += r.Text[len(c.text)-r.Offset:]
	}
	if c.key != nil && c.text != "" && !strings.HasPrefix(c.text+":", c.key.call.ID()[:min(len(c.text), len(c.key.call.ID()))]) {
		w.t.Fatalf("%s got the text %q of another", c.key.call.ID(), c.text)
	}
	if a := r.Final; a != nil {
		w.ended(o, c, a)
	}
}

func (w *world) ended(o *owner, c *caller, a *answer.Answer) {
	c.final = a
	if c.key == nil {
		return
	}
	id := c.key.call.ID()
	switch a.Outcome {
	case answer.Done:
		t := w.recorded(id)
		if t == nil {
			w.t.Fatalf("%s answered before its turn was recorded", id)
			return
		}
		if t.Answer.Text != a.Text || string(t.Answer.Body) != string(a.Body) {
			w.t.Fatalf("%s answered %q, recorded is %q", id, a.Text, t.Answer.Text)
		}
		// Two owners may stream different beginnings; the edge compares the
		// whole answer with what it passed on, and says so when they differ.
		if c.text != a.Text && (len(c.asked) == 1 || strings.HasPrefix(a.Text, c.text)) {
			w.t.Fatalf("%s: the caller has %q, the answer is %q", id, c.text, a.Text)
		}
	case answer.NotRun:
		w.checkNotRun(o, c, a)
	}
}

// checkNotRun holds a notrun against what ran. The edge passes it on only if
// no other owner that it asked may have run the call.
func (w *world) checkNotRun(o *owner, c *caller, a *answer.Answer) {
	delete(c.doubtful, o)
	_, asked := c.event.(core.AnswerRequested)
	if !asked && (c.touched || c.text != "" || len(c.doubtful) > 0) {
		c.final = &answer.Answer{Outcome: answer.Unknown, Reason: "moved"}
		return
	}
	for f, by := range c.key.touched {
		if !asked && c.covers(by, f) || w.once(f.Call) && o == w.current() {
			w.t.Fatalf("%s told notrun (%s), but it may have run", f.Call.ID(), a.Reason)
		}
	}
	if !asked {
		c.key.told = w.refusedAll(c.key)
	}
}

// covers tells whether an owner dispatched f after it got the attempt.
func (c *caller) covers(o *owner, f *flight) bool {
	return c.asked[o] > 0 && slices.Index(o.flights, f) >= c.asked[o]-1
}

// refusedAll tells whether every attempt of a call was told notrun: one that
// is still open, or was given up, may yet run.
func (w *world) refusedAll(k *key) bool {
	for _, c := range w.routes {
		if _, own := c.event.(core.Submitted); !own || c.key != k {
			continue
		}
		if c.final == nil || c.final.Outcome != answer.NotRun {
			return false
		}
	}
	return true
}

// recorded returns the last turn with an answer to a call.
func (w *world) recorded(id string) *record.Turn {
	for i := len(w.journal) - 1; i >= 0; i-- {
		if t := w.journal[i].Turn; t != nil && t.Call.ID() == id && t.Answer.Outcome == answer.Done {
			return t
		}
	}
	return nil
}

func (w *world) aborted(o *owner, a core.Abort) {
	for _, f := range o.flights {
		if f.Attempt == a.Attempt && w.once(f.Call) {
			w.t.Fatalf("%s, which has an effect, was aborted", f.Call.ID())
		}
		f.aborted = f.aborted || f.Attempt == a.Attempt
	}
}

// errDeposed is what a store's compare-and-swap says to an old epoch.
var errDeposed = errors.New("another epoch owns the shard")
