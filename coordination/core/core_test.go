package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/coordination/queue"
	"github.com/cowslipstage/cowslipstage/coordination/route"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/load"
	"github.com/cowslipstage/cowslipstage/state/record"
)

func TestCore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core")
}

// harness drives one core and collects its actions.
type harness struct {
	core    *core.Core
	now     time.Time
	journal []record.Record
	// appends holds the appends that are not confirmed yet.
	appends    []core.Append
	dispatches []core.Dispatch
	replies    []core.Reply
	aborts     []core.Abort
	releases   []core.Release
	handOvers  []core.HandOver
	inquiries  []core.Inquire
	orders     []core.Order
}

func testConfig() *config.Config {
	c := config.New()
	c.Revision = 1
	c.Services["chat"] = &config.Service{Kind: "model", Pool: "engines", Tokens: 4000, Money: 100, Turns: 5, Output: 50, Class: 1, Tools: []string{"desk/book"}}
	c.Services["desk"] = &config.Service{Kind: "plain", Pool: "desks", Operations: map[string]*config.Operation{
		"book": {Money: 40}, "look": {Idempotent: true},
	}}
	for i := range 3 {
		c.Endpoints[fmt.Sprintf("engine-%d", i)] = &config.Endpoint{Pool: "engines", Kind: "engine", Slots: 4}
		c.Endpoints[fmt.Sprintf("desk-%d", i)] = &config.Endpoint{Pool: "desks", Kind: "desk", Slots: 4, Tells: true}
	}
	return c
}

func newHarness() *harness {
	r := &harness{now: time.Unix(1000, 0)}
	r.core = core.New(core.Options{Shards: 1, Queue: queue.Attained, Route: route.EarliestFinish, Seed: 1})
	r.step(core.Configured{Config: testConfig()})
	r.step(core.ShardAcquired{Shard: 0, Epoch: 1})
	return r
}

// successor returns a harness with a new core that replays the committed journal.
func (r *harness) successor(epoch uint64) *harness {
	next := &harness{now: r.now, journal: r.journal}
	next.core = core.New(core.Options{Shards: 1, Queue: queue.Attained, Route: route.EarliestFinish, Seed: 2})
	next.step(core.Configured{Config: testConfig()})
	next.step(core.ShardAcquired{Shard: 0, Epoch: epoch, Records: append([]record.Record(nil), r.journal...)})
	return next
}

func (r *harness) step(e core.Event) {
	for _, a := range r.core.Step(r.now, e) {
		switch a := a.(type) {
		case core.Append:
			r.appends = append(r.appends, a)
		case core.Dispatch:
			r.dispatches = append(r.dispatches, a)
		case core.Reply:
			r.replies = append(r.replies, a)
		case core.Abort:
			r.aborts = append(r.aborts, a)
		case core.Release:
			r.releases = append(r.releases, a)
		case core.HandOver:
			r.handOvers = append(r.handOvers, a)
		case core.Order:
			r.orders = append(r.orders, a)
		case core.Inquire:
			r.inquiries = append(r.inquiries, a)
		}
	}
}

// commitAll confirms all appends.
func (r *harness) commitAll() {
	for len(r.appends) > 0 {
		a := r.appends[0]
		r.appends = r.appends[1:]
		r.journal = append(r.journal, a.Records...)
		r.step(core.Committed{Ref: a.Ref})
	}
}

func (r *harness) submit(k call.Call) {
	k.Customer = "c"
	k.Digest = k.ComputeDigest()
	r.step(core.Submitted{Call: &k, From: core.Route{Node: "n", Stream: k.Key}})
	r.commitAll()
}

func chat(key string, seq uint64) call.Call {
	return call.Call{Key: key, Program: "p", Seq: seq, Kind: call.Chat, Service: "chat", Messages: []call.Message{{Role: "user", Content: "Hello " + key}}}
}

func book(key string) call.Call {
	return call.Call{Key: key, Program: "p", Kind: call.Plain, Service: "desk", Operation: "book"}
}

func (r *harness) finish(i int, text string) {
	r.step(core.AttemptFinished{Attempt: r.dispatches[i].Attempt, Text: text, Status: 0, Usage: answer.Usage{Prompt: 10, Output: 5}})
}

func (r *harness) lastAnswer() *answer.Answer {
	Expect(r.replies).NotTo(BeEmpty())
	return r.replies[len(r.replies)-1].Final
}

var _ = Describe("the core", func() {
	var r *harness
	BeforeEach(func() { r = newHarness() })

	It("reserves budget only for the new messages when a caller sends the whole conversation", func() {
		long := call.Message{Role: "user", Content: strings.Repeat("x", 3900)}
		k := chat("a", 1)
		k.Messages = []call.Message{long}
		r.submit(k)
		r.finish(0, "hi")
		r.commitAll()
		k = chat("b", 2)
		k.Messages = append([]call.Message{long, {Role: "assistant", Content: "hi"}}, k.Messages...)
		r.submit(k)
		Expect(r.dispatches).To(HaveLen(2), "counted twice, the first message would exceed the budget")
		Expect(r.dispatches[1].History).To(HaveLen(2))
		Expect(r.dispatches[1].Call.Messages).To(Equal([]call.Message{{Role: "user", Content: "Hello b"}}))
	})

	It("withholds the final reply until the turn is recorded", func() {
		r.submit(chat("a", 1))
		r.finish(0, "hi")
		Expect(r.replies).To(BeEmpty())
		r.commitAll()
		Expect(r.lastAnswer().Text).To(Equal("hi"))
	})

	It("runs an agent's calls in order, whatever order they arrive in", func() {
		r.submit(chat("b", 2))
		Expect(r.dispatches).To(BeEmpty())
		r.submit(chat("a", 1))
		Expect(r.dispatches).To(HaveLen(1))
		Expect(r.dispatches[0].Call.Key).To(Equal("a"))
		r.finish(0, "hi")
		r.commitAll()
		Expect(r.dispatches).To(HaveLen(2))
		Expect(r.dispatches[1].History).To(HaveLen(2))
		r.submit(chat("late", 1))
		Expect(r.lastAnswer().Reason).To(Equal("order"))
	})

	It("never dispatches a non-idempotent call before its intent is recorded", func() {
		k := book("a")
		k.Customer = "c"
		r.step(core.Submitted{Call: &k})
		Expect(r.dispatches).To(BeEmpty())
		r.commitAll()
		Expect(r.dispatches).To(HaveLen(1))
	})

	It("answers unknown after a takeover, and does not run the call again", func() {
		r.submit(book("a"))
		n := r.successor(2)
		n.submit(book("a"))
		Expect(n.dispatches).To(BeEmpty())
		Expect(n.lastAnswer().Outcome).To(Equal(answer.Unknown))
		n.step(core.InquiryAnswered{Inquiry: n.inquiries[0].Inquiry, Found: true, Status: 200, Body: []byte("booked")})
		n.commitAll()
		n.submit(book("a"))
		Expect(n.dispatches).To(BeEmpty())
		Expect(n.lastAnswer().Body).To(Equal([]byte("booked")))
	})

	It("asks the endpoint for the outcome of a booking whose attempt failed", func() {
		r.submit(book("a"))
		r.step(core.AttemptFailed{Attempt: r.dispatches[0].Attempt, Reason: "cut"})
		Expect(r.replies).To(BeEmpty())
		r.step(core.InquiryAnswered{Inquiry: r.inquiries[0].Inquiry})
		r.commitAll()
		Expect(r.lastAnswer().Outcome).To(Equal(answer.Unknown))
		Expect(r.dispatches).To(HaveLen(1))
	})

	It("counts an outstanding grant as spent only once over two takeovers", func() {
		r.submit(chat("a", 0))
		first := r.successor(2)
		first.commitAll()
		second := first.successor(3)
		second.commitAll()
		for i := range 200 {
			second.submit(chat(fmt.Sprint("x", i), 0))
			if len(second.replies) > 0 && second.lastAnswer() != nil && second.lastAnswer().Reason == "turns" {
				break
			}
			second.step(core.AttemptFailed{Attempt: second.dispatches[len(second.dispatches)-1].Attempt, Reason: "cut"})
			second.commitAll()
		}
		spent := 0
		for _, d := range append(r.dispatches, second.dispatches...) {
			spent += 10 + d.MaxTokens
		}
		Expect(spent).To(BeNumerically("<=", 4000))
	})

	It("never lets concurrent sub-agents spend more than the budget", func() {
		r.submit(chat("root", 0))
		r.finish(0, "hi")
		r.commitAll()
		for i := range 3 {
			k := book(fmt.Sprint("k", i))
			k.Agent = fmt.Sprint("agent", i)
			r.submit(k)
		}
		Expect(r.dispatches).To(HaveLen(3))
		Expect(r.lastAnswer().Reason).To(Equal("budget"))
	})

	It("answers a late duplicate of a refused call with the refusal", func() {
		k := chat("a", 0)
		k.Service = "nowhere"
		r.submit(k)
		Expect(r.lastAnswer().Outcome).To(Equal(answer.NotRun))
		k.Service = "chat"
		r.submit(k)
		Expect(r.dispatches).To(BeEmpty())
		Expect(r.replies).To(HaveLen(2))
	})

	It("answers unknown, not notrun, when every attempt was cut off", func() {
		r.submit(chat("a", 0))
		for i := range 4 {
			r.step(core.AttemptFailed{Attempt: r.dispatches[i].Attempt, Reason: "cut"})
			r.commitAll()
		}
		Expect(r.lastAnswer().Outcome).To(Equal(answer.Unknown))
		Expect(r.dispatches).To(HaveLen(4))
	})

	It("resumes an interrupted answer after the text that its caller has", func() {
		r.submit(chat("a", 0))
		r.step(core.Piece{Attempt: r.dispatches[0].Attempt, Text: "one "})
		r.step(core.AttemptFailed{Attempt: r.dispatches[0].Attempt, Reason: "cut"})
		r.commitAll()
		Expect(r.dispatches).To(HaveLen(2))
		Expect(r.dispatches[1].Partial).To(Equal("one "))
		r.finish(1, "one two")
		r.commitAll()
		Expect(r.lastAnswer().Text).To(Equal("one two"))
	})

	It("settles a refused booking as not run, and lets its key be tried again", func() {
		r.submit(book("a"))
		r.now = r.now.Add(2 * time.Minute)
		r.step(core.AttemptFailed{Attempt: r.dispatches[0].Attempt, NotRun: true, Reason: "refused"})
		r.commitAll()
		Expect(r.lastAnswer().Outcome).To(Equal(answer.NotRun))
		k := book("a")
		k.Customer, k.Digest = "c", k.ComputeDigest()
		r.step(core.Submitted{Call: &k, From: core.Route{Stream: "again"}})
		r.commitAll()
		Expect(r.dispatches).To(HaveLen(2))
	})

	It("hands a shard over without aborting a booking, and moves model calls with their text", func() {
		r.submit(chat("a", 0))
		r.step(core.Piece{Attempt: r.dispatches[0].Attempt, Text: "one "})
		k := book("b")
		k.Agent = "sub"
		r.submit(k)
		r.step(core.DrainRequested{})
		r.now = r.now.Add(time.Second)
		r.step(core.Ticked{})
		Expect(r.aborts).To(HaveLen(1))
		Expect(r.replies[len(r.replies)-1].MayHaveRun).To(BeTrue())
		Expect(r.handOvers).To(BeEmpty())
		r.step(core.AttemptFinished{Attempt: r.dispatches[1].Attempt, Body: []byte("ok"), Status: 200})
		r.commitAll()
		Expect(r.handOvers).To(HaveLen(1))
		Expect(r.lastAnswer().Outcome).To(Equal(answer.Done))
	})

	It("repeats the release of an ended program's memory until it is confirmed", func() {
		r.submit(chat("a", 0))
		r.finish(0, "hi")
		r.commitAll()
		r.step(core.CloseRequested{Customer: "c", Program: "p"})
		r.commitAll()
		Expect(r.releases).To(HaveLen(1))
		for range 3 {
			r.now = r.now.Add(40 * time.Second)
			r.step(core.Ticked{})
		}
		Expect(r.releases).To(HaveLen(4))
		r.step(core.Released{Endpoint: r.releases[0].Endpoint, Customer: "c", Program: "p"})
		r.commitAll()
		r.now = r.now.Add(time.Minute)
		r.step(core.Ticked{})
		Expect(r.releases).To(HaveLen(4))
	})

	It("loads a new version on every engine before it unloads the old one, one engine at a time", func() {
		d := testConfig()
		d.Revision = 2
		d.Services["chat"].Model, d.Services["chat"].Version = "m", "2"
		r.step(core.Configured{Config: d})
		for i := range 3 {
			r.step(core.LoadReported{Endpoint: fmt.Sprint("engine-", i), Report: load.Report{Models: []string{"m//1"}, MeasuredAt: r.now}})
		}
		r.now = r.now.Add(time.Minute)
		r.step(core.Ticked{})
		for i := 0; i < len(r.orders); i++ {
			r.step(core.OrderEnded{Endpoint: r.orders[i].Endpoint})
		}
		var kinds []string
		for _, o := range r.orders {
			kinds = append(kinds, o.Kind+" "+o.Model)
			Expect(o.Epoch).To(BeEquivalentTo(1))
		}
		Expect(kinds).To(ConsistOf("load m//2", "load m//2", "load m//2", "unload m//1", "unload m//1", "unload m//1"))
		Expect(kinds[0]).To(Equal("load m//2"))
		r.submit(chat("a", 0))
		Expect(r.dispatches).To(HaveLen(1))
	})

	It("proves by a journal write that it still owns the shard once its lease may have lapsed", func() {
		r.submit(chat("a", 0))
		r.finish(0, "hi")
		r.commitAll()
		r.step(core.LeaseRenewed{Until: r.now.Add(time.Second)})
		k := chat("b", 0)
		k.Customer = "c"
		r.step(core.Submitted{Call: &k})
		Expect(r.dispatches).To(HaveLen(2))
		r.finish(1, "ho")
		r.commitAll()
		r.now = r.now.Add(2 * time.Second)
		l := chat("d", 0)
		l.Customer = "c"
		r.step(core.Submitted{Call: &l})
		Expect(r.dispatches).To(HaveLen(2))
		r.step(core.Committed{Ref: r.appends[0].Ref, Err: errors.New("deposed")})
		Expect(r.dispatches).To(HaveLen(2))
		Expect(r.replies[len(r.replies)-1].Moved).To(BeTrue())
	})

	It("ends idle programs, and remembers the keys of bookings after their answers have expired", func() {
		r.submit(book("a"))
		r.step(core.AttemptFinished{Attempt: r.dispatches[0].Attempt, Body: []byte("ok"), Status: 200})
		r.commitAll()
		r.now = r.now.Add(31 * time.Minute)
		r.step(core.Ticked{})
		r.commitAll()
		Expect(r.journal[len(r.journal)-1].Swept).NotTo(BeNil())
		for _, wait := range []time.Duration{2 * time.Hour, time.Hour} {
			r.now = r.now.Add(wait)
			r.step(core.Ticked{})
			r.submit(book("a"))
			Expect(r.lastAnswer().Outcome).To(Equal(answer.Done))
		}
		r.now = r.now.Add(25 * time.Hour)
		r.step(core.Ticked{})
		r.step(core.AnswerRequested{Customer: "c", Program: "p", Key: "a"})
		Expect(r.lastAnswer().Reason).To(Equal("key"))
		Expect(r.dispatches).To(HaveLen(1))
	})

	Describe("with a bound on the memory of programs", func() {
		const bound = 120_000
		call := func(operation, key string) call.Call {
			return call.Call{Key: key, Program: key, End: true, Kind: call.Plain, Service: "desk", Operation: operation}
		}
		// run submits a call and answers it, if it is dispatched.
		run := func(operation, key string) {
			before := len(r.dispatches)
			r.submit(call(operation, key))
			if len(r.dispatches) > before {
				r.step(core.AttemptFinished{Attempt: r.dispatches[before].Attempt, Body: []byte(key), Status: 200})
				r.commitAll()
			}
			r.now = r.now.Add(100 * time.Millisecond)
			r.step(core.Ticked{})
			r.commitAll()
		}
		fetch := func(key string) *answer.Answer {
			r.step(core.AnswerRequested{Customer: "c", Program: key, Key: key})
			return r.lastAnswer()
		}
		BeforeEach(func() {
			r = &harness{now: time.Unix(1000, 0)}
			r.core = core.New(core.Options{Shards: 1, Queue: queue.Attained, Route: route.EarliestFinish, Seed: 1, KeptBytes: bound})
			r.step(core.Configured{Config: testConfig()})
			r.step(core.ShardAcquired{Shard: 0, Epoch: 1})
		})

		It("lets the answers of programs that ended first expire early, and takes all calls", func() {
			for i := range 500 {
				run("look", fmt.Sprint("k", i))
				Expect(r.lastAnswer().Outcome).To(Equal(answer.Done), "call %d: %s", i, r.lastAnswer().Reason)
			}
			Expect(string(fetch("k499").Body)).To(Equal("k499"))
			Expect(fetch("k0").Reason).To(Equal("key"))
		})

		It("keeps the keys of calls that may not be repeated, and refuses new programs as not run", func() {
			taken := 0
			for i := range 45 {
				before := len(r.dispatches)
				run("book", fmt.Sprint("k", i))
				if len(r.dispatches) > before {
					taken++
					continue
				}
				Expect(r.lastAnswer().Outcome).To(Equal(answer.NotRun))
				Expect(r.lastAnswer().Reason).To(Equal("overload"))
			}
			Expect(taken).To(And(BeNumerically(">", 10), BeNumerically("<", 40)))
			dispatched := len(r.dispatches)
			for i := range taken {
				run("book", fmt.Sprint("k", i))
				Expect(string(r.lastAnswer().Body)).To(Equal(fmt.Sprint("k", i)))
			}
			Expect(r.dispatches).To(HaveLen(dispatched), "no booking runs twice")
		})

		It("says that a call has not run only as long as it can remember that", func() {
			refused := map[answer.Outcome]int{}
			for i := range 100 {
				r.submit(call("none", fmt.Sprint("k", i)))
				refused[r.lastAnswer().Outcome]++
			}
			remembered := refused[answer.NotRun]
			Expect(remembered).To(And(BeNumerically(">", 10), BeNumerically("<", 60)))
			Expect(refused[answer.Unknown]).To(Equal(100 - remembered))
			duplicate := call("look", "k0")
			duplicate.Digest = 1
			r.submit(duplicate)
			Expect(r.dispatches).To(BeEmpty(), "a delayed duplicate of a refused call")
			r.now = r.now.Add(31 * time.Second)
			r.submit(call("none", "later"))
			Expect(r.lastAnswer().Outcome).To(Equal(answer.NotRun))
		})
	})

	It("counts failed attempts against the budget although no endpoint reports their cost", func() {
		const attemptTokens = 10 + 50
		for i := range 200 {
			before := len(r.dispatches)
			r.submit(chat(fmt.Sprint("x", i), 0))
			for before < len(r.dispatches) {
				before++
				r.step(core.AttemptFailed{Attempt: r.dispatches[before-1].Attempt, Reason: "cut"})
				r.commitAll()
			}
			if r.lastAnswer().Reason == "budget" {
				break
			}
		}
		Expect(r.lastAnswer().Reason).To(Equal("budget"))
		Expect(attemptTokens * len(r.dispatches)).To(BeNumerically("<=", 4000))
	})
})
