package proof

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/answer"
)

// crowd runs programs of three questions and a booking until stop is closed.
type crowd struct {
	stop chan struct{}
	wait sync.WaitGroup
}

func (f *fleet) crowd(programs int) *crowd {
	c := &crowd{stop: make(chan struct{})}
	for i := range programs {
		c.wait.Add(1)
		go func() {
			defer GinkgoRecover()
			defer c.wait.Done()
			for round := 0; ; round++ {
				select {
				case <-c.stop:
					return
				default:
					f.round(fmt.Sprintf("crowd-%d-%d", i, round))
				}
			}
		}()
	}
	return c
}

// round plays one whole program.
func (f *fleet) round(program string) {
	p := f.log.person(program, "booking")
	p.say("Space near the north shore?")
	p.run("book", `{"yard":"north"}`)
	p.sub("compare").say("Which yard is nearer?")
	p.say("Is it booked? [tokens=20]")
	p.end()
}

func (c *crowd) end() {
	close(c.stop)
	c.wait.Wait()
}

var _ = Describe("a planned stop", func() {
	It("of all seven nodes in turn under load fails and cuts no call", func() {
		f := launch(options{nodes: 7})
		f.balance()
		c := f.crowd(8)
		for _, h := range f.hosts {
			began := time.Now()
			h.stop()
			AddReportEntry("planned stop of "+h.name, time.Since(began).String())
			h.run()
			f.ready(h)
		}
		c.end()
		Expect(f.log.client.FailedAttempts()).To(BeZero(), "attempts without an outcome")
		Expect(f.log.count(answer.NotRun)+f.log.count(answer.Unknown)+f.log.count("")).To(BeZero(), f.log.outcomes())
		f.log.check()
	})

	It("during a store outage ends within the grace period and loses nothing", func() {
		f := launch(options{nodes: 3})
		p := f.log.person("p1", "booking")
		Expect(p.say("Space near the north shore?").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.log.through(f.others(o)...)
		f.storeFault(storeFault{Down: true})
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			o.stop()
		}()
		Eventually(done, bound).Should(BeClosed())
		f.storeFault(storeFault{})
		Expect(p.say("And the south shore?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		p.end()
		f.log.check()
	})

	It("that waits for a hanging booking ends at a second signal, and says what it abandons", func() {
		f := launch(options{nodes: 3, latency: "15s"})
		p := f.log.person("p1", "booking")
		Expect(p.say("Space near the north shore?").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.log.through(f.others(o)...)
		heard := make(chan answer.Outcome, 1)
		go func() {
			defer GinkgoRecover()
			r, key := p.run("book", `{"yard":"north"}`)
			Expect(f.effects(key)).To(Equal(1))
			heard <- r.Outcome
		}()
		Eventually(func() bool { return f.intended("p1") }, bound).Should(BeTrue())
		o.signal(syscall.SIGTERM)
		Eventually(func() string { return o.log.last(40) }, bound).Should(ContainSubstring("planned stop"))
		Consistently(o.done).ShouldNot(BeClosed())
		o.signal(syscall.SIGTERM)
		Eventually(o.done, bound).Should(BeClosed())
		Expect(o.log.last(40)).To(ContainSubstring("second signal"))
		Eventually(heard, 2*bound).Should(Receive(Equal(answer.Unknown)))
		f.log.check()
	})
})
