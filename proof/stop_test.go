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

// load runs programs of three questions and a booking until stop is closed.
type load struct {
	stop chan struct{}
	wait sync.WaitGroup
}

func (f *fleet) startLoad(programs int) *load {
	c := &load{stop: make(chan struct{})}
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
					f.runProgram(fmt.Sprintf("crowd-%d-%d", i, round))
				}
			}
		}()
	}
	return c
}

// runProgram runs one program to its end.
func (f *fleet) runProgram(program string) {
	p := f.recorder.newCaller(program, "booking")
	p.ask("Space near the north shore?")
	p.callOperation("book", `{"yard":"north"}`)
	p.subAgent("compare").ask("Which yard is nearer?")
	p.ask("Is it booked? [tokens=20]")
	p.endProgram()
}

func (c *load) finish() {
	close(c.stop)
	c.wait.Wait()
}

var _ = Describe("a planned stop", func() {
	It("of all seven nodes in turn under load fails and cuts no call", func() {
		f := launch(options{nodes: 7})
		f.followReadiness()
		c := f.startLoad(8)
		for _, h := range f.hosts {
			startedAt := time.Now()
			h.stop()
			AddReportEntry("planned stop of "+h.name, time.Since(startedAt).String())
			h.spawn()
			f.awaitReady(h)
		}
		c.finish()
		Expect(f.recorder.client.FailedAttempts()).To(BeZero(), "attempts without an outcome")
		Expect(f.recorder.countOutcome(answer.NotRun)+f.recorder.countOutcome(answer.Unknown)+f.recorder.countOutcome("")).To(BeZero(), f.recorder.describeFailures())
		f.recorder.verify()
	})

	It("with requests to reload before and during it fails and cuts no call", func() {
		f := launch(options{nodes: 3})
		f.followReadiness()
		c := f.startLoad(6)
		for _, h := range f.hosts {
			h.signal(syscall.SIGHUP)
			n := f.recorder.countOutcome(answer.Done)
			Eventually(func() int { return f.recorder.countOutcome(answer.Done) }, maxWait).Should(BeNumerically(">", n+10))
			h.signal(syscall.SIGTERM)
			h.signal(syscall.SIGHUP)
			Eventually(h.done, maxWait).Should(BeClosed())
			Expect(h.cmd.ProcessState.String()).To(Equal("exit status 0"))
			h.spawn()
			f.awaitReady(h)
		}
		c.finish()
		Expect(f.recorder.client.FailedAttempts()).To(BeZero(), "attempts without an outcome")
		f.recorder.verify()
	})

	It("during a store outage ends within the grace period and loses nothing", func() {
		f := launch(options{nodes: 3})
		p := f.recorder.newCaller("p1", "booking")
		Expect(p.ask("Space near the north shore?").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.recorder.clientFor(f.otherHosts(o)...)
		f.setStoreFault(storeFault{Down: true})
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			o.stop()
		}()
		Eventually(done, maxWait).Should(BeClosed())
		f.setStoreFault(storeFault{})
		Expect(p.ask("And the south shore?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		p.endProgram()
		f.recorder.verify()
	})

	It("that waits for a hanging booking ends on a second signal, and logs what it abandons", func() {
		f := launch(options{nodes: 3, latency: "15s"})
		p := f.recorder.newCaller("p1", "booking")
		Expect(p.ask("Space near the north shore?").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.recorder.clientFor(f.otherHosts(o)...)
		outcome := make(chan answer.Outcome, 1)
		go func() {
			defer GinkgoRecover()
			r, key := p.callOperation("book", `{"yard":"north"}`)
			Expect(f.countEffects(key)).To(Equal(1))
			outcome <- r.Outcome
		}()
		Eventually(func() bool { return f.intentStored("p1") }, maxWait).Should(BeTrue())
		o.signal(syscall.SIGTERM)
		Eventually(func() string { return o.log.lastLines(40) }, maxWait).Should(ContainSubstring("planned stop"))
		Consistently(o.done).ShouldNot(BeClosed())
		o.signal(syscall.SIGTERM)
		Eventually(o.done, maxWait).Should(BeClosed())
		Expect(o.log.lastLines(40)).To(ContainSubstring("second signal"))
		Eventually(outcome, 2*maxWait).Should(Receive(Equal(answer.Unknown)))
		f.recorder.verify()
	})
})
