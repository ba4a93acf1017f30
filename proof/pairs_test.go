package proof

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/standin/fault"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// failure is a fault that is injected and then ends.
type failure struct {
	name  string
	begin func(f *fleet, owner *host)
	end   func(f *fleet, owner *host)
}

// failures are the faults from which pairs are drawn.
var failures = []failure{
	{
		"the owner killed", func(_ *fleet, o *host) { o.kill() },
		func(f *fleet, o *host) {
			o.spawn()
			f.awaitReady(o)
		},
	},
	{"the owner paused", func(_ *fleet, o *host) { o.pause() }, func(_ *fleet, o *host) { o.resume() }},
	{
		"the store down", func(f *fleet, _ *host) { f.setStoreFault(storeFault{Down: true}) },
		func(f *fleet, _ *host) { f.setStoreFault(storeFault{}) },
	},
	{
		"the store slow, losing answers", func(f *fleet, _ *host) { f.setStoreFault(storeFault{Delay: 500, LostWrites: 6}) },
		func(f *fleet, _ *host) { f.setStoreFault(storeFault{}) },
	},
	{
		"the owner's links silent", func(_ *fleet, o *host) { o.peerProxy.muteOpenConnections() },
		func(_ *fleet, o *host) { o.peerProxy.removeToxics() },
	},
	{
		"an engine refusing", func(f *fleet, _ *host) { f.endpoints["agent-models-1"].setFault(fault.Plan{Refuse: true}) },
		func(f *fleet, _ *host) { f.endpoints["agent-models-1"].setFault(fault.Plan{}) },
	},
	{
		"an engine cutting its answers", func(f *fleet, _ *host) { f.endpoints["agent-models-2"].setFault(fault.Plan{CutAfter: 500}) },
		func(f *fleet, _ *host) { f.endpoints["agent-models-2"].setFault(fault.Plan{}) },
	},
}

const (
	// pairSeed determines which pairs run, pairCount how many.
	pairSeed  = 4
	pairCount = 5
)

// drawPairs returns the table entries of the drawn pairs.
func drawPairs() []any {
	random := rand.New(rand.NewPCG(pairSeed, pairSeed))
	var entries []any
	var names []string
	for len(entries) < pairCount {
		i, j := random.IntN(len(failures)), random.IntN(len(failures))
		name := failures[min(i, j)].name + ", and " + failures[max(i, j)].name
		if i == j || slices.Contains(names, name) {
			continue
		}
		names = append(names, name)
		label := Label()
		if strings.Contains(name, "paused") {
			// KNOWN-RED.txt: a resumed owner that did not answer.
			label = Label("red")
		}
		entries = append(entries, Entry(name, label, failures[min(i, j)], failures[max(i, j)]))
	}
	return entries
}

// endedAttempts returns how many attempts have ended, with any outcome.
func (c *callRecorder) endedAttempts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.records)
}

var _ = Describe("two failures at once", func() {
	DescribeTable("lose nothing and run nothing twice", append([]any{
		func(a, b failure) {
			f := launch(options{nodes: 4})
			p := f.recorder.newCaller("p1", "booking")
			Expect(p.ask("Space near the north shore?").Outcome).To(Equal(answer.Done))
			o := f.owner("p1")
			p.client = f.recorder.clientFor(f.otherHosts(o)...)
			a.begin(f, o)
			b.begin(f, o)
			key, n := "", f.recorder.endedAttempts()
			done := async(func() (r client.Result) {
				p.ask("Near the gate?")
				r, key = p.callOperation("book", `{"yard":"north"}`)
				return r
			})
			Eventually(f.recorder.endedAttempts, maxWait).Should(BeNumerically(">", n))
			a.end(f, o)
			b.end(f, o)
			var r client.Result
			Eventually(done, 3*maxWait).Should(Receive(&r))
			Expect(f.countEffects(key)).To(BeNumerically("<=", 1))
			if r.Outcome == answer.Done {
				Expect(f.countEffects(key)).To(Equal(1))
			}
			Expect(p.ask("Is it booked?").Outcome).To(Equal(answer.Done), fmt.Sprint(f.recorder.describeFailures()))
			p.endProgram()
			f.recorder.verify()
		},
	}, drawPairs()...)...)
})

var _ = Describe("all nodes but one lost at once", func() {
	It("the remaining node takes over every program", func() {
		f := launch(options{nodes: 4})
		p := f.recorder.newCaller("p1", "booking")
		Expect(p.ask("Space near the north shore?").Outcome).To(Equal(answer.Done))
		r, key := p.callOperation("book", `{"yard":"north"}`)
		Expect(r.Outcome).To(Equal(answer.Done))
		survivor := f.otherHosts(f.owner("p1"))[0]
		p.client = f.recorder.clientFor(survivor)
		for _, h := range f.otherHosts(survivor) {
			h.kill()
		}
		Expect(p.ask("Is it booked?").Outcome).To(Equal(answer.Done), f.recorder.describeFailures())
		Expect(f.countEffects(key)).To(Equal(1))
		p.endProgram()
		f.recorder.verify()
	})
})
