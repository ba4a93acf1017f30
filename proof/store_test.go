package proof

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/answer"
)

// storeFault is the set of faults that the key-value service injects.
type storeFault struct {
	Down       bool `json:"down"`
	Delay      int  `json:"delay"`
	LostWrites int  `json:"lose"`
}

func (f *fleet) setStoreFault(s storeFault) { postJSON("http://"+f.storeAddr+"/fault", s) }

// runBookings runs programs of two questions and a booking to their end and expects
// every call done.
func (f *fleet) runBookings(name string, programs int) {
	for i := range programs {
		p := f.recorder.newCaller(fmt.Sprintf("%s-%d", name, i), "booking")
		Expect(p.ask("Space near the north shore?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		r, key := p.callOperation("book", `{"yard":"north"}`)
		Expect(r.Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		Expect(f.countEffects(key)).To(Equal(1))
		Expect(p.ask("Is it booked?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		p.endProgram()
	}
}

var _ = Describe("the store", func() {
	It("down for longer than every lease: model calls and bookings continue, a node restarts, nothing is lost", func() {
		f := launch(options{nodes: 3})
		old := f.recorder.newCaller("old", "booking")
		Expect(old.ask("Space near the north shore?").Outcome).To(Equal(answer.Done))
		o := f.owner("old")
		f.setStoreFault(storeFault{Down: true})
		downSince := time.Now()
		f.runBookings("during", 4)
		Eventually(func() time.Duration { return time.Since(downSince) }, maxWait).Should(BeNumerically(">", 2*leaseTime))
		f.runBookings("after-lease", 4)
		Expect(old.ask("Still there?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		h := f.otherHosts(o)[0]
		h.kill()
		h.spawn()
		f.awaitReady(h)
		f.setStoreFault(storeFault{})
		Expect(old.ask("And now?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		f.runBookings("healed", 2)
		o.kill()
		old.client = f.recorder.clientFor(f.otherHosts(o)...)
		Expect(old.ask("After another owner?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		old.endProgram()
		f.recorder.verify()
	})

	It("slow by two seconds per call: callers are served", func() {
		f := launch(options{nodes: 3})
		f.runBookings("before", 1)
		f.setStoreFault(storeFault{Delay: 2000})
		f.runBookings("slow", 3)
		f.setStoreFault(storeFault{})
		f.runBookings("healed", 1)
		f.recorder.verify()
	})

	It("flapping and losing answers to writes: nothing runs twice, nothing is lost", func() {
		f := launch(options{nodes: 3})
		c := f.startLoad(4)
		for range 6 {
			f.setStoreFault(storeFault{Down: true})
			n := f.recorder.countOutcome(answer.Done)
			Eventually(func() int { return f.recorder.countOutcome(answer.Done) }, maxWait).Should(BeNumerically(">", n+2))
			f.setStoreFault(storeFault{LostWrites: 5})
			n = f.recorder.countOutcome(answer.Done)
			Eventually(func() int { return f.recorder.countOutcome(answer.Done) }, maxWait).Should(BeNumerically(">", n+8))
		}
		f.setStoreFault(storeFault{})
		c.finish()
		Expect(f.recorder.countOutcome(answer.Unknown)+f.recorder.countOutcome("")).To(BeZero(), f.recorder.describeFailures())
		f.recorder.verify()
	})

	It("down while a program's owner is killed: the program continues when the store is back", func() {
		f := launch(options{nodes: 3})
		p := f.recorder.newCaller("p1", "booking")
		Expect(p.ask("Space near the north shore?").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.recorder.clientFor(f.otherHosts(o)...)
		f.setStoreFault(storeFault{Down: true})
		Expect(p.ask("Near the gate?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		r, key := p.callOperation("book", `{"yard":"north"}`)
		Expect(r.Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		o.kill()
		f.setStoreFault(storeFault{})
		Expect(p.ask("Is it booked?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		Expect(f.countEffects(key)).To(Equal(1))
		p.endProgram()
		f.recorder.verify()
	})
})

var _ = Describe("tickets", func() {
	It("applied by four operators while answers are lost: one order on all nodes, never reverted", func() {
		f := launch(options{nodes: 4})
		ticket := func(n, turns int) string {
			return fmt.Sprintf("[ticket]\nnumber = %d\nauthor = proof\nreason = race\n[service gate]\nkind = model\npool = agent-models\n"+
				"model = yard-12b\nadapter = gate\nversion = 1\ntools = yard/unlock\ntokens = 50000\nturns = %d\noutput = 48\nprompt = x\n", n, turns)
		}
		f.setStoreFault(storeFault{LostWrites: 4})
		var racing []*process
		for n := 2; n <= 5; n++ {
			h := f.hosts[n-2]
			racing = append(racing, startProcess(fmt.Sprintf("ticket-%d", n), "ticket", "apply", f.writeFile(fmt.Sprintf("00%d.ini", n), ticket(n, 10+n)), "--store", h.storeProxy.addr()))
		}
		h := f.hosts[0]
		h.pause()
		for _, p := range racing {
			Eventually(p.done, maxWait).Should(BeClosed())
		}
		Expect(racing[3].cmd.ProcessState.ExitCode()).To(BeZero(), racing[3].log.lastLines(20))
		h.resume()
		accepted := 0
		for _, p := range racing {
			if p.cmd.ProcessState.ExitCode() == 0 {
				accepted++
			}
		}
		f.awaitRevision(uint64(1+accepted), spreadTarget)
		h.kill()
		h.spawn()
		f.awaitReady(h)
		f.awaitRevision(uint64(1+accepted), maxWait)
		f.recorder.verify()
	})
})

// awaitRevision waits until every node reports a revision of the configuration.
func (f *fleet) awaitRevision(revision uint64, within time.Duration) {
	for _, h := range f.hosts {
		Eventually(func() string { return metric(h.addr, "config_revision") }, within, "20ms").Should(Equal(fmt.Sprint(revision)), h.name)
	}
}

// metric returns a metric's value as a node reports it.
func metric(addr, name string) string {
	response, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	buffer := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
