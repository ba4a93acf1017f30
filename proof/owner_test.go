package proof

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// long asks for an answer of so many tokens, at 10 ms each.
func long(tokens int) string { return fmt.Sprintf("Tell me all of it. [tokens=%d]", tokens) }

// async runs f and returns what it returned, once it has.
func async(f func() client.Result) chan client.Result {
	done := make(chan client.Result, 1)
	go func() {
		defer GinkgoRecover()
		done <- f()
	}()
	return done
}

var _ = Describe("an owner that is killed", func() {
	It("in mid-stream: its caller gets the whole answer through another node, within the target", func() {
		f := launch(options{nodes: 3})
		p := f.log.person("p1", "booking")
		Expect(p.say("Two flatbeds, please.").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.log.through(f.others(o)...)
		done := async(func() client.Result { return p.say(long(60)) })
		Eventually(func() bool { return f.running("p1") }, bound, "10ms").Should(BeTrue())
		o.kill()
		killed := time.Now()
		var r client.Result
		Eventually(done, bound).Should(Receive(&r))
		AddReportEntry("whole answer after the kill", time.Since(killed).String())
		Expect(r.Outcome).To(Equal(answer.Done), f.log.outcomes())
		Expect(time.Since(killed)).To(BeNumerically("<", takeover+time.Second))
		Expect(p.say("And the gate?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		p.end()
		f.log.check()
	})

	It("with a booking at the desk: it runs at most once and its caller hears an honest outcome", func() {
		f := launch(options{nodes: 3, latency: "700ms"})
		p := f.log.person("p1", "booking")
		Expect(p.say("Two flatbeds, please.").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.log.through(f.others(o)...)
		var key string
		done := async(func() (r client.Result) {
			r, key = p.run("book", `{"yard":"north"}`)
			return r
		})
		Eventually(func() int {
			n := 0
			for _, l := range f.desks() {
				n += len(l)
			}
			return n
		}, bound, "10ms").Should(Equal(1))
		o.kill()
		var r client.Result
		Eventually(done, bound).Should(Receive(&r))
		Expect(r.Outcome).To(Equal(answer.Unknown), f.log.outcomes())
		Expect(f.effects(key)).To(Equal(1))
		Expect(p.say("Is it booked?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		p.end()
		f.log.check()
	})
})
