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

// trouble is one failure that is brought about and then ends.
type trouble struct {
	name  string
	begin func(f *fleet, owner *host)
	end   func(f *fleet, owner *host)
}

// troubles are what two of come at once.
var troubles = []trouble{
	{
		"the owner killed", func(_ *fleet, o *host) { o.kill() },
		func(f *fleet, o *host) {
			o.run()
			f.ready(o)
		},
	},
	{"the owner paused", func(_ *fleet, o *host) { o.pause() }, func(_ *fleet, o *host) { o.wake() }},
	{
		"the store down", func(f *fleet, _ *host) { f.storeFault(storeFault{Down: true}) },
		func(f *fleet, _ *host) { f.storeFault(storeFault{}) },
	},
	{
		"the store slow, losing answers", func(f *fleet, _ *host) { f.storeFault(storeFault{Delay: 500, Lose: 6}) },
		func(f *fleet, _ *host) { f.storeFault(storeFault{}) },
	},
	{
		"the owner's links silent", func(_ *fleet, o *host) { o.link.silence() },
		func(_ *fleet, o *host) { o.link.reset() },
	},
	{
		"an engine refusing", func(f *fleet, _ *host) { f.endpoints["agent-models-1"].fault(fault.Plan{Refuse: true}) },
		func(f *fleet, _ *host) { f.endpoints["agent-models-1"].fault(fault.Plan{}) },
	},
	{
		"an engine cutting its answers", func(f *fleet, _ *host) { f.endpoints["agent-models-2"].fault(fault.Plan{CutAfter: 500}) },
		func(f *fleet, _ *host) { f.endpoints["agent-models-2"].fault(fault.Plan{}) },
	},
}

const (
	// pairSeed fixes which pairs run, pairs how many.
	pairSeed = 4
	pairs    = 5
)

// pairEntries draws the pairs.
func pairEntries() []any {
	random := rand.New(rand.NewPCG(pairSeed, pairSeed))
	var entries []any
	var drawn []string
	for len(entries) < pairs {
		i, j := random.IntN(len(troubles)), random.IntN(len(troubles))
		name := troubles[min(i, j)].name + ", and " + troubles[max(i, j)].name
		if i == j || slices.Contains(drawn, name) {
			continue
		}
		drawn = append(drawn, name)
		label := Label()
		if strings.Contains(name, "paused") {
			// KNOWN-RED.txt: a woken owner that once did not answer.
			label = Label("red")
		}
		entries = append(entries, Entry(name, label, troubles[min(i, j)], troubles[max(i, j)]))
	}
	return entries
}

// attempts returns how many attempts of calls have ended, well or not.
func (c *callers) attempts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.records)
}

var _ = Describe("two failures at once", func() {
	DescribeTable("lose nothing and run nothing twice", append([]any{
		func(a, b trouble) {
			f := launch(options{nodes: 4})
			p := f.log.person("p1", "booking")
			Expect(p.say("Space near the north shore?").Outcome).To(Equal(answer.Done))
			o := f.owner("p1")
			p.client = f.log.through(f.others(o)...)
			a.begin(f, o)
			b.begin(f, o)
			key, n := "", f.log.attempts()
			done := async(func() (r client.Result) {
				p.say("Near the gate?")
				r, key = p.run("book", `{"yard":"north"}`)
				return r
			})
			Eventually(f.log.attempts, bound).Should(BeNumerically(">", n))
			a.end(f, o)
			b.end(f, o)
			var r client.Result
			Eventually(done, 3*bound).Should(Receive(&r))
			Expect(f.effects(key)).To(BeNumerically("<=", 1))
			if r.Outcome == answer.Done {
				Expect(f.effects(key)).To(Equal(1))
			}
			Expect(p.say("Is it booked?").Outcome).To(Equal(answer.Done), fmt.Sprint(f.log.outcomes()))
			p.end()
			f.log.check()
		},
	}, pairEntries()...)...)
})

var _ = Describe("all nodes but one lost at once", func() {
	It("the one left takes every program over, whole", func() {
		f := launch(options{nodes: 4})
		p := f.log.person("p1", "booking")
		Expect(p.say("Space near the north shore?").Outcome).To(Equal(answer.Done))
		r, key := p.run("book", `{"yard":"north"}`)
		Expect(r.Outcome).To(Equal(answer.Done))
		left := f.others(f.owner("p1"))[0]
		p.client = f.log.through(left)
		for _, h := range f.others(left) {
			h.kill()
		}
		Expect(p.say("Is it booked?").Outcome).To(Equal(answer.Done), f.log.outcomes())
		Expect(f.effects(key)).To(Equal(1))
		p.end()
		f.log.check()
	})
})
