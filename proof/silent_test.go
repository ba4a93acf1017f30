package proof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// midStream begins a long answer, breaks something, and expects it whole.
func midStream(breaks func(f *fleet, owner *host)) {
	f := launch(options{nodes: 3})
	p := f.log.person("p1", "booking")
	Expect(p.say("Space near the north shore?").Outcome).To(Equal(answer.Done))
	o := f.owner("p1")
	p.client = f.log.through(f.others(o)...)
	done := async(func() client.Result { return p.say(long(60)) })
	Eventually(func() bool { return f.running("p1") }, bound, "10ms").Should(BeTrue())
	breaks(f, o)
	var r client.Result
	Eventually(done, bound).Should(Receive(&r))
	Expect(r.Outcome).To(Equal(answer.Done), f.log.outcomes())
	Expect(p.say("And the gate?").Outcome).To(Equal(answer.Done), f.log.outcomes())
	p.end()
	f.log.check()
}

var _ = Describe("connections that go silent for good, while new ones work", func() {
	It("between nodes: the answer goes on, whole", func() {
		midStream(func(f *fleet, _ *host) {
			for _, h := range f.hosts {
				h.link.silence()
			}
		})
	})

	It("to the endpoints: the answer goes on, whole", func() {
		midStream(func(f *fleet, _ *host) {
			for _, e := range f.endpoints {
				e.leg.silence()
			}
		})
	})

	It("to the store: the answer goes on, whole, and no shard is lost", func() {
		midStream(func(f *fleet, _ *host) {
			for _, h := range f.hosts {
				h.store.silence()
			}
		})
	})

	It("to the caller: it asks again by key and gets the whole answer", func() {
		midStream(func(f *fleet, o *host) {
			for _, h := range f.others(o) {
				h.edge.silence()
			}
		})
	})
})

var _ = Describe("an owner whose peers and store can't be reached both ways", func() {
	It("and healed: the rest goes on, and its callers are served again", func() {
		f := launch(options{nodes: 3})
		p := f.log.person("p1", "booking")
		Expect(p.say("Space near the north shore?").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.log.through(f.others(o)...)
		o.link.cut()
		o.store.cut()
		cut := time.Now()
		Expect(p.say("Near the gate?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		AddReportEntry("answered after the cut", time.Since(cut).String())
		r, key := p.run("book", `{"yard":"north"}`)
		Expect(r.Outcome).To(Equal(answer.Done), f.log.outcomes())
		o.link.heal()
		o.store.heal()
		p.client = f.log.through(o)
		Expect(p.say("Is it booked?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		Expect(f.effects(key)).To(Equal(1))
		p.end()
		f.log.check()
	})
})
