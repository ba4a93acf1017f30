package chains_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/chains"
)

const (
	modelRetention = time.Minute
	modelStep      = 5 * time.Second
	modelHours     = 2
	// modelQuorum is that of three replicas.
	modelQuorum = 2
)

// modelChain is a chain as its caller knows it.
type modelChain struct {
	ids     []string
	endedAt time.Time
}

// model is three replicas on a virtual clock, one of which may be away.
type model struct {
	g        *gomega.WithT
	random   *rand.Rand
	now      time.Time
	replicas [3]*chains.Chains
	// away is the replica that does not answer, or -1.
	away   int
	chains []*modelChain
	turns  int
}

// present returns the replicas that answer, in random order.
func (m *model) present() []int {
	return slices.DeleteFunc(m.random.Perm(len(m.replicas)), func(i int) bool { return i == m.away })
}

// addTurn records the next turn of a chain at a quorum.
func (m *model) addTurn(c *modelChain) {
	m.turns++
	t := &chains.Turn{ID: fmt.Sprint(m.turns), Retention: modelRetention, Written: m.now.UnixMilli()}
	if n := len(c.ids); n > 0 {
		t.Previous, t.Root = c.ids[n-1], c.ids[0]
	}
	for _, i := range m.present()[:modelQuorum] {
		m.replicas[i].Add(t)
	}
	c.ids, c.endedAt = append(c.ids, t.ID), m.now
}

// expire lets the replicas that answer drop what nobody has extended. With three of them, one
// further answer tells of every quorum.
func (m *model) expire() {
	for _, i := range m.present() {
		due := m.replicas[i].Due(m.now, 1<<20)
		answers := 0
		for _, j := range m.present() {
			if i != j {
				answers++
				for _, root := range due {
					m.replicas[i].KeepFor(m.now, root, m.replicas[j].KeptFor(m.now, root))
				}
			}
		}
		if answers > 0 {
			m.replicas[i].Expire(m.now, due)
		}
	}
}

// wipe replaces a replica by an empty one that copies the turns of which the others hold fewer
// than a quorum.
func (m *model) wipe(lost int) {
	fresh := chains.New()
	for i, r := range m.replicas {
		records, _ := r.After(0, 1<<20)
		for _, record := range records {
			t := record.(*chains.Turn)
			copies := 0
			for j, o := range m.replicas {
				if j != lost && o.Holds(t.ID, t.Owner) {
					copies++
				}
			}
			if i != lost && copies < modelQuorum {
				fresh.Add(t)
			}
		}
	}
	m.replicas[lost] = fresh
}

// check expects that the chains that are kept survive the loss of any one replica.
func (m *model) check() {
	for _, c := range m.chains {
		if m.now.Sub(c.endedAt) >= modelRetention {
			continue
		}
		for _, id := range c.ids {
			copies := 0
			for _, r := range m.replicas {
				if r.Holds(id, "") {
					copies++
				}
			}
			m.g.Expect(copies).To(gomega.BeNumerically(">=", modelQuorum), "turn %s of the chain %v, %s after its last turn", id, c.ids, m.now.Sub(c.endedAt))
		}
	}
}

// Chains go on for hours through any quorum, while replicas are away and lose their disks. Each
// turn of a chain must have a quorum of copies until the retention of its last turn is over,
// and be dropped some time after that.
func TestChainsAreKeptForHours(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := &model{g: gomega.NewWithT(t), random: rand.New(rand.NewPCG(seed, 1)), now: epoch, replicas: [3]*chains.Chains{chains.New(), chains.New(), chains.New()}, away: -1}
			for m.now.Before(epoch.Add(modelHours * time.Hour)) {
				m.now = m.now.Add(modelStep)
				switch m.random.IntN(40) {
				case 0:
					m.away = m.random.IntN(3)
				case 1, 2:
					m.away = -1
				case 3:
					if m.away < 0 {
						m.wipe(m.random.IntN(3))
					}
				}
				if m.random.IntN(12) == 0 {
					m.chains = append(m.chains, &modelChain{})
				}
				m.chains = slices.DeleteFunc(m.chains, func(c *modelChain) bool {
					return len(c.ids) > 0 && m.now.Sub(c.endedAt) >= modelRetention
				})
				for _, c := range m.chains {
					if len(c.ids) == 0 || m.random.IntN(6) == 0 {
						m.addTurn(c)
					}
				}
				m.expire()
				m.check()
			}
			m.away = -1
			m.now = m.now.Add(2 * modelRetention)
			m.expire()
			for _, r := range m.replicas {
				g := gomega.NewWithT(t)
				g.Expect(r.Size()).To(gomega.BeZero())
			}
		})
	}
}
