package proof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"gopkg.in/ini.v1"

	"github.com/cowslipstage/cowslipstage/standin/fault"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// fault makes an endpoint misbehave.
func (e *endpoint) fault(p fault.Plan) { post("http://"+e.addr+"/fault", p) }

// questions plays programs of two questions each; all must be done.
func (f *fleet) questions(name string, programs int) {
	for i := range programs {
		p := f.log.person(name+string(rune('a'+i)), "booking")
		Expect(p.say("Space near the north shore?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		Expect(p.say("And the gate? [tokens=24]").Outcome).To(Equal(answer.Done), f.log.outcomes())
		p.end()
	}
}

var _ = Describe("an endpoint", func() {
	It("leaving by the lagging list, though it still takes calls: no new work after three seconds", func() {
		f := launch(options{nodes: 3})
		c := f.crowd(4)
		post("http://"+f.listAddr+"/hosts", struct {
			Name  string `json:"name"`
			State string `json:"state"`
		}{"agent-models-1", "leaving"})
		f.log.leave("agent-models-1")
		left := time.Now()
		Eventually(func() time.Duration { return time.Since(left) }, bound).Should(BeNumerically(">", leave+2*time.Second))
		c.end()
		f.log.check()
	})

	DescribeTable("that misbehaves: every caller gets the whole answer to its own question",
		func(plan fault.Plan) {
			f := launch(options{nodes: 3})
			f.endpoints["agent-models-1"].fault(plan)
			f.questions("p", 4)
			f.log.check()
		},
		Entry("refusing", fault.Plan{Refuse: true}),
		Entry("answering 200 with garbage", fault.Plan{Garbage: true}),
		Entry("cutting its answers mid-frame", fault.Plan{CutAfter: 700}),
		Entry("sending each part twice", fault.Plan{Duplicate: true}),
		Entry("late with each part", fault.Plan{ChunkDelay: 30}),
		Entry("hanging", fault.Plan{Hang: true}),
		Entry("slow", fault.Plan{Slowdown: 10}),
	)

	It("lost with all its connections under load: the answers go on elsewhere, whole", func() {
		f := launch(options{nodes: 3})
		c := f.crowd(4)
		Eventually(func() int { return f.log.count(answer.Done) }, bound).Should(BeNumerically(">", 4))
		// The process stays, so that its ledger can still be read.
		f.endpoints["agent-models-2"].leg.cut()
		n := f.log.count(answer.Done)
		Eventually(func() int { return f.log.count(answer.Done) }, bound).Should(BeNumerically(">", n+20))
		f.endpoints["agent-models-2"].leg.heal()
		c.end()
		Expect(f.log.count(answer.Unknown)+f.log.count("")).To(BeZero(), f.log.outcomes())
		f.log.check()
	})
})

var _ = Describe("a program", func() {
	It("whose tool hangs hears an honest outcome within the operation's time, and goes on", func() {
		f := launch(options{nodes: 3, edit: func(t *ini.File) {
			t.Section("operation yard/book").Key("timeout").SetValue("1s")
		}})
		for _, e := range f.endpoints {
			if e.kind == "desk" {
				e.fault(fault.Plan{DropAnswer: true})
			}
		}
		p := f.log.person("p1", "booking")
		Expect(p.say("Space near the north shore?").Outcome).To(Equal(answer.Done))
		r, key := p.run("book", `{"yard":"north"}`)
		Expect(r.Outcome).To(Equal(answer.Unknown), f.log.outcomes())
		Expect(f.effects(key)).To(Equal(1))
		Expect(p.say("Is it booked?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		p.end()
		f.log.check()
	})

	It("without end stops at its turn cap, and concurrent sub-agents within the budget", func() {
		const budget = 3000
		f := launch(options{nodes: 3, edit: func(t *ini.File) {
			t.Section("service booking").Key("turns").SetValue("6")
			t.Section("service gate").Key("tokens").SetValue("3000")
		}})
		f.log.limits["gate"] = budget
		p := f.log.person("loop", "booking")
		stopped := ""
		for range 10 {
			if r := p.say("Again."); r.Outcome == answer.NotRun {
				stopped = r.Reason
				break
			}
		}
		Expect(stopped).To(Equal("turns"))
		done := make(chan struct{}, 4)
		for _, name := range []string{"a", "b", "c", "d"} {
			go func() {
				defer GinkgoRecover()
				defer func() { done <- struct{}{} }()
				s := f.log.person("spend", "gate").sub(name)
				for range 20 {
					if r := s.say("More, please."); r.Outcome != answer.Done {
						return
					}
				}
			}()
		}
		for range 4 {
			Eventually(done, patience).Should(Receive())
		}
		f.log.check()
	})
})
