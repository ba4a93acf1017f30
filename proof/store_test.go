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

// storeFault is what the key-value service does wrong.
type storeFault struct {
	Down  bool `json:"down"`
	Delay int  `json:"delay"`
	Lose  int  `json:"lose"`
}

func (f *fleet) storeFault(s storeFault) { post("http://"+f.storeAddr+"/fault", s) }

// settled plays programs to their end and expects every model call done.
func (f *fleet) settled(name string, programs int) {
	for i := range programs {
		p := f.log.person(fmt.Sprintf("%s-%d", name, i), "booking")
		Expect(p.say("Space near the north shore?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		r, key := p.run("book", `{"yard":"north"}`)
		Expect(r.Outcome).To(Equal(answer.Done), f.log.outcomes())
		Expect(f.effects(key)).To(Equal(1))
		Expect(p.say("Is it booked?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		p.end()
	}
}

var _ = Describe("the store", func() {
	It("down past every lease: model calls and bookings go on, a node restarts, nothing is lost", func() {
		f := launch(options{nodes: 3})
		old := f.log.person("old", "booking")
		Expect(old.say("Space near the north shore?").Outcome).To(Equal(answer.Done))
		o := f.owner("old")
		f.storeFault(storeFault{Down: true})
		down := time.Now()
		f.settled("during", 4)
		Eventually(func() time.Duration { return time.Since(down) }, bound).Should(BeNumerically(">", 2*lease))
		f.settled("after-lease", 4)
		Expect(old.say("Still there?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		h := f.others(o)[0]
		h.kill()
		h.run()
		f.ready(h)
		f.storeFault(storeFault{})
		Expect(old.say("And now?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		f.settled("healed", 2)
		o.kill()
		old.client = f.log.through(f.others(o)...)
		Expect(old.say("After another owner?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		old.end()
		f.log.check()
	})

	It("slow by two seconds a call: people are served", func() {
		f := launch(options{nodes: 3})
		f.settled("before", 1)
		f.storeFault(storeFault{Delay: 2000})
		f.settled("slow", 3)
		f.storeFault(storeFault{})
		f.settled("healed", 1)
		f.log.check()
	})

	It("flapping, with lost answers to its writes: nothing twice, nothing lost", func() {
		f := launch(options{nodes: 3})
		c := f.crowd(4)
		for range 6 {
			f.storeFault(storeFault{Down: true})
			n := f.log.count(answer.Done)
			Eventually(func() int { return f.log.count(answer.Done) }, bound).Should(BeNumerically(">", n+2))
			f.storeFault(storeFault{Lose: 5})
			n = f.log.count(answer.Done)
			Eventually(func() int { return f.log.count(answer.Done) }, bound).Should(BeNumerically(">", n+8))
		}
		f.storeFault(storeFault{})
		c.end()
		Expect(f.log.count(answer.Unknown)+f.log.count("")).To(BeZero(), f.log.outcomes())
		f.log.check()
	})

	It("down with the owner of a program: the program goes on when the store is back, whole", func() {
		f := launch(options{nodes: 3})
		p := f.log.person("p1", "booking")
		Expect(p.say("Space near the north shore?").Outcome).To(Equal(answer.Done))
		o := f.owner("p1")
		p.client = f.log.through(f.others(o)...)
		f.storeFault(storeFault{Down: true})
		Expect(p.say("Near the gate?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		r, key := p.run("book", `{"yard":"north"}`)
		Expect(r.Outcome).To(Equal(answer.Done), f.log.outcomes())
		o.kill()
		f.storeFault(storeFault{})
		Expect(p.say("Is it booked?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		Expect(f.effects(key)).To(Equal(1))
		p.end()
		f.log.check()
	})
})

var _ = Describe("tickets", func() {
	It("of four operators through lost answers: one order, the same on all nodes, no revert", func() {
		f := launch(options{nodes: 4})
		ticket := func(n, turns int) string {
			return fmt.Sprintf("[ticket]\nnumber = %d\nauthor = proof\nreason = race\n[service gate]\nkind = model\npool = agent-models\n"+
				"model = yard-12b\nadapter = gate\nversion = 1\ntools = yard/unlock\ntokens = 50000\nturns = %d\noutput = 48\nprompt = x\n", n, turns)
		}
		f.storeFault(storeFault{Lose: 4})
		var racing []*process
		for n := 2; n <= 5; n++ {
			h := f.hosts[n-2]
			racing = append(racing, start(fmt.Sprintf("ticket-%d", n), "ticket", "apply", f.write(fmt.Sprintf("00%d.ini", n), ticket(n, 10+n)), "--store", h.store.addr()))
		}
		h := f.hosts[0]
		h.pause()
		for _, p := range racing {
			Eventually(p.done, bound).Should(BeClosed())
		}
		Expect(racing[3].cmd.ProcessState.ExitCode()).To(BeZero(), racing[3].log.last(20))
		h.wake()
		accepted := 0
		for _, p := range racing {
			if p.cmd.ProcessState.ExitCode() == 0 {
				accepted++
			}
		}
		f.inForce(uint64(1+accepted), spread)
		h.kill()
		h.run()
		f.ready(h)
		f.inForce(uint64(1+accepted), bound)
		f.log.check()
	})
})

// inForce waits until every node shows a revision of the configuration.
func (f *fleet) inForce(revision uint64, within time.Duration) {
	for _, h := range f.hosts {
		Eventually(func() string { return metric(h.addr, "config_revision") }, within, "20ms").Should(Equal(fmt.Sprint(revision)), h.name)
	}
}

// metric returns a metric's value as a node shows it.
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
