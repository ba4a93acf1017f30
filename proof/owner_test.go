package proof

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// longQuestion asks for an answer of that many tokens, at 10 ms each.
func longQuestion(tokens int) string { return fmt.Sprintf("Tell me all of it. [tokens=%d]", tokens) }

// async runs f in a goroutine and returns a channel for its result.
func async(f func() client.Result) chan client.Result {
	done := make(chan client.Result, 1)
	go func() {
		defer GinkgoRecover()
		done <- f()
	}()
	return done
}

var _ = Describe("an owner that is killed", func() {
	It("during a stream: its caller gets the whole answer through another node, within the target", func() {
		f := launch(options{nodes: 3})
		p := f.recorder.newCaller("p1", "booking")
		Expect(p.ask("Two flatbeds, please.").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.recorder.clientFor(f.otherHosts(o)...)
		done := async(func() client.Result { return p.ask(longQuestion(60)) })
		Eventually(func() bool { return f.callRunning("p1") }, maxWait, "10ms").Should(BeTrue())
		o.kill()
		killedAt := time.Now()
		var r client.Result
		Eventually(done, maxWait).Should(Receive(&r))
		AddReportEntry("whole answer after the kill", time.Since(killedAt).String())
		Expect(r.Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		Expect(time.Since(killedAt)).To(BeNumerically("<", takeoverTarget+time.Second))
		Expect(p.ask("And the gate?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		p.endProgram()
		f.recorder.verify()
	})

	It("with a booking at the desk: it runs at most once and its caller gets the true outcome", func() {
		f := launch(options{nodes: 3, latency: "700ms"})
		p := f.recorder.newCaller("p1", "booking")
		Expect(p.ask("Two flatbeds, please.").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.recorder.clientFor(f.otherHosts(o)...)
		var key string
		done := async(func() (r client.Result) {
			r, key = p.callOperation("book", `{"yard":"north"}`)
			return r
		})
		Eventually(func() int {
			n := 0
			for _, l := range f.deskLedgers() {
				n += len(l)
			}
			return n
		}, maxWait, "10ms").Should(Equal(1))
		o.kill()
		var r client.Result
		Eventually(done, maxWait).Should(Receive(&r))
		Expect(r.Outcome).To(Equal(answer.Unknown), f.recorder.describeFailures())
		Expect(f.countEffects(key)).To(Equal(1))
		Expect(p.ask("Is it booked?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		p.endProgram()
		f.recorder.verify()
	})
})
