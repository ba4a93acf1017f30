package proof

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// breakMidStream injects a failure during a long answer and expects the whole answer.
func breakMidStream(inject func(f *fleet, owner *host)) {
	f := launch(options{nodes: 3})
	p := f.recorder.newCaller("p1", "booking")
	Expect(p.ask("Space near the north shore?").Outcome).To(Equal(answer.Done))
	o := f.owner("p1")
	p.client = f.recorder.clientFor(f.otherHosts(o)...)
	done := async(func() client.Result { return p.ask(longQuestion(60)) })
	Eventually(func() bool { return f.callRunning("p1") }, maxWait, "10ms").Should(BeTrue())
	inject(f, o)
	var r client.Result
	Eventually(done, maxWait).Should(Receive(&r))
	Expect(r.Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
	Expect(p.ask("And the gate?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
	p.endProgram()
	f.recorder.verify()
}

var _ = Describe("open connections that drop all data, while new ones work", func() {
	It("between nodes: the answer is completed", func() {
		breakMidStream(func(f *fleet, _ *host) {
			for _, h := range f.hosts {
				h.peerProxy.muteOpenConnections()
			}
		})
	})

	It("to the endpoints: the answer is completed", func() {
		breakMidStream(func(f *fleet, _ *host) {
			for _, e := range f.endpoints {
				e.proxy.muteOpenConnections()
			}
		})
	})

	It("to the store: the answer is completed, and no shard is lost", func() {
		breakMidStream(func(f *fleet, _ *host) {
			for _, h := range f.hosts {
				h.storeProxy.muteOpenConnections()
			}
		})
	})

	It("to the caller: it retries with the key and gets the whole answer", func() {
		breakMidStream(func(f *fleet, o *host) {
			for _, h := range f.otherHosts(o) {
				h.callerProxy.muteOpenConnections()
			}
		})
	})
})

var _ = Describe("an owner cut off from its peers and the store in both directions", func() {
	It("and reconnected: the other nodes go on, and its callers are served again", func() {
		f := launch(options{nodes: 3})
		p := f.recorder.newCaller("p1", "booking")
		Expect(p.ask("Space near the north shore?").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.recorder.clientFor(f.otherHosts(o)...)
		o.peerProxy.cut()
		o.storeProxy.cut()
		cutAt := time.Now()
		Expect(p.ask("Near the gate?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		AddReportEntry("answered after the cut", time.Since(cutAt).String())
		r, key := p.callOperation("book", `{"yard":"north"}`)
		Expect(r.Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		o.peerProxy.heal()
		o.storeProxy.heal()
		p.client = f.recorder.clientFor(o)
		Expect(p.ask("Is it booked?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		Expect(f.countEffects(key)).To(Equal(1))
		p.endProgram()
		f.recorder.verify()
	})
})
