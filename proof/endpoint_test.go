package proof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gopkg.in/ini.v1"

	"github.com/cowslipstage/cowslipstage/standin/fault"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// setFault replaces the faults that an endpoint injects.
func (e *endpoint) setFault(p fault.Plan) { postJSON("http://"+e.addr+"/fault", p) }

// runQuestions runs programs of two questions each and expects every call done.
func (f *fleet) runQuestions(name string, programs int) {
	for i := range programs {
		p := f.recorder.newCaller(name+string(rune('a'+i)), "booking")
		Expect(p.ask("Space near the north shore?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		Expect(p.ask("And the gate? [tokens=24]").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		p.endProgram()
	}
}

var _ = Describe("an endpoint", func() {
	It("listed as leaving while it still accepts calls: gets no new calls after three seconds", func() {
		f := launch(options{nodes: 3})
		c := f.startLoad(4)
		postJSON("http://"+f.hostListAddr+"/hosts", struct {
			Name  string `json:"name"`
			State string `json:"state"`
		}{"agent-models-1", "leaving"})
		f.recorder.markLeaving("agent-models-1")
		leftAt := time.Now()
		Eventually(func() time.Duration { return time.Since(leftAt) }, maxWait).Should(BeNumerically(">", leaveTarget+2*time.Second))
		c.finish()
		f.recorder.verify()
	})

	DescribeTable("that is faulty: every caller gets the whole answer to its own question",
		func(plan fault.Plan) {
			f := launch(options{nodes: 3})
			f.endpoints["agent-models-1"].setFault(plan)
			f.runQuestions("p", 4)
			f.recorder.verify()
		},
		Entry("refusing", fault.Plan{Refuse: true}),
		Entry("answering 200 with garbage", fault.Plan{Garbage: true}),
		Entry("cutting its answers mid-frame", fault.Plan{CutAfter: 700}),
		Entry("sending each part twice", fault.Plan{Duplicate: true}),
		Entry("delaying each part", fault.Plan{ChunkDelay: 30}),
		Entry("hanging", fault.Plan{Hang: true}),
		Entry("slow", fault.Plan{Slowdown: 10}),
	)

	It("that loses all its connections under load: every answer is completed elsewhere", func() {
		f := launch(options{nodes: 3})
		c := f.startLoad(4)
		Eventually(func() int { return f.recorder.countOutcome(answer.Done) }, maxWait).Should(BeNumerically(">", 4))
		// The process keeps running, so that its ledger can still be read.
		f.endpoints["agent-models-2"].proxy.cut()
		n := f.recorder.countOutcome(answer.Done)
		Eventually(func() int { return f.recorder.countOutcome(answer.Done) }, maxWait).Should(BeNumerically(">", n+20))
		f.endpoints["agent-models-2"].proxy.heal()
		c.finish()
		Expect(f.recorder.countOutcome(answer.Unknown)+f.recorder.countOutcome("")).To(BeZero(), f.recorder.describeFailures())
		f.recorder.verify()
	})
})

var _ = Describe("a program", func() {
	It("whose tool hangs gets the true outcome within the operation's timeout, and continues", func() {
		f := launch(options{nodes: 3, editTicket: func(t *ini.File) {
			t.Section("operation yard/book").Key("timeout").SetValue("1s")
		}})
		for _, e := range f.endpoints {
			if e.kind == "desk" {
				e.setFault(fault.Plan{DropAnswer: true})
			}
		}
		p := f.recorder.newCaller("p1", "booking")
		Expect(p.ask("Space near the north shore?").Outcome).To(Equal(answer.Done))
		r, key := p.callOperation("book", `{"yard":"north"}`)
		Expect(r.Outcome).To(Equal(answer.Unknown), f.recorder.describeFailures())
		Expect(f.countEffects(key)).To(Equal(1))
		Expect(p.ask("Is it booked?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		p.endProgram()
		f.recorder.verify()
	})

	It("that never ends stops at its turn limit, and concurrent sub-agents stay within the budget", func() {
		const budget = 3000
		f := launch(options{nodes: 3, editTicket: func(t *ini.File) {
			t.Section("service booking").Key("turns").SetValue("6")
			t.Section("service gate").Key("tokens").SetValue("3000")
		}})
		f.recorder.tokenLimits["gate"] = budget
		p := f.recorder.newCaller("loop", "booking")
		reason := ""
		for range 10 {
			if r := p.ask("Again."); r.Outcome == answer.NotRun {
				reason = r.Reason
				break
			}
		}
		Expect(reason).To(Equal("turns"))
		done := make(chan struct{}, 4)
		for _, name := range []string{"a", "b", "c", "d"} {
			go func() {
				defer GinkgoRecover()
				defer func() { done <- struct{}{} }()
				s := f.recorder.newCaller("spend", "gate").subAgent(name)
				for range 20 {
					if r := s.ask("More, please."); r.Outcome != answer.Done {
						return
					}
				}
			}()
		}
		for range 4 {
			Eventually(done, callTimeout).Should(Receive())
		}
		f.recorder.verify()
	})
})
