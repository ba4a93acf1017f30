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

// modelProgram is a program with one chain as its caller knows it.
type modelProgram struct {
	name    string
	ids     []string
	endedAt time.Time
}

// replica is a Chains and the records on its disk.
type replica struct {
	*chains.Chains
	disk []*stored
}

// stored is a record on a disk.
type stored struct {
	source
	record chains.Record
}

func newReplica() *replica { return &replica{Chains: chains.New()} }

// store adds a record and writes it to the disk.
func (r *replica) store(record chains.Record) {
	r.Add(record)
	s := &stored{source: source{pins: 1}, record: record}
	r.disk = append(r.disk, s)
	r.SetSource(record, s)
}

// restart forgets what is not on the disk.
func (r *replica) restart() {
	old := r.disk
	*r = *newReplica()
	for _, s := range old {
		if s.pins > 0 {
			r.store(s.record)
		}
	}
}

// model is three replicas on a virtual clock, one of which may be away.
type model struct {
	g        *gomega.WithT
	random   *rand.Rand
	now      time.Time
	replicas [3]*replica
	// away is the replica that does not answer, or -1.
	away     int
	programs []*modelProgram
	turns    int
}

// present returns the replicas that answer, in random order.
func (m *model) present() []int {
	return slices.DeleteFunc(m.random.Perm(len(m.replicas)), func(i int) bool { return i == m.away })
}

// addTurn records the next turn of a program at a quorum.
func (m *model) addTurn(p *modelProgram) {
	m.turns++
	t := &chains.Turn{ID: fmt.Sprint(m.turns), Retention: modelRetention, Written: m.now.UnixMilli()}
	if n := len(p.ids); n > 0 {
		t.Previous, t.Root = p.ids[n-1], p.ids[0]
	}
	spent := &chains.Spent{Program: p.name, Turn: t.ID, Used: 1, Retention: 2 * modelRetention, Written: m.now.UnixMilli()}
	for _, record := range []chains.Record{t, spent} {
		for _, i := range m.present()[:modelQuorum] {
			m.replicas[i].store(record)
		}
	}
	p.ids, p.endedAt = append(p.ids, t.ID), m.now
}

// expire lets the replicas that answer drop what nobody keeps longer. With three of them, one
// further answer tells of every quorum.
func (m *model) expire() {
	for _, i := range m.present() {
		due := m.replicas[i].Due(m.now, 1<<20)
		answers := 0
		for _, j := range m.present() {
			if i != j {
				answers++
				m.replicas[i].Prolong(m.now, due, m.replicas[j].TimeLeft(m.now, due))
			}
		}
		if answers > 0 {
			m.replicas[i].Expire(m.now, due)
		}
	}
}

// wipe replaces a replica by an empty one that copies the accounts, and the turns of which the
// others hold fewer than a quorum.
func (m *model) wipe(lost int) {
	fresh := newReplica()
	for i, r := range m.replicas {
		records, _ := r.After(0, 1<<20)
		for _, record := range records {
			copies := 0
			if t, ok := record.(*chains.Turn); ok {
				for j, o := range m.replicas {
					if j != lost && o.Holds(t.ID, t.Owner) {
						copies++
					}
				}
			}
			if i != lost && copies < modelQuorum {
				fresh.store(record)
			}
		}
	}
	m.replicas[lost] = fresh
}

// check expects that what is kept survives the loss of any one replica, and that any quorum
// knows all that a program has spent.
func (m *model) check() {
	for _, p := range m.programs {
		idle := m.now.Sub(p.endedAt)
		for _, id := range p.ids {
			copies, counted := 0, 0
			for _, r := range m.replicas {
				if r.Holds(id, "") {
					copies++
				}
				if a := r.Account(p.name); a != nil {
					counted += a.Entries()[id].Used
				}
			}
			if idle < modelRetention {
				m.g.Expect(copies).To(gomega.BeNumerically(">=", modelQuorum), "turn %s of the chain %v, %s after its last turn", id, p.ids, idle)
			}
			m.g.Expect(counted).To(gomega.BeNumerically(">=", modelQuorum), "what turn %s of %v spent, %s after the last turn", id, p.ids, idle)
		}
	}
}

// disturb lets a replica go away, come back, restart or lose its disk, now and then.
func (m *model) disturb() {
	switch m.random.IntN(40) {
	case 0:
		m.away = m.random.IntN(3)
	case 1, 2:
		m.away = -1
	case 3:
		if m.away < 0 {
			m.wipe(m.random.IntN(3))
		}
	case 4, 5:
		m.replicas[m.random.IntN(3)].restart()
	}
}

// Programs go on for hours through any quorum, while replicas are away, restart and lose their
// disks. Each turn of a chain must have a quorum of copies until the retention of its last turn is
// over, and each turn's tokens until a program that was stopped cannot come back. All is dropped
// some time after that.
func TestChainsAndAccountsAreKeptForHours(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := &model{
				g: gomega.NewWithT(t), random: rand.New(rand.NewPCG(seed, 1)), now: epoch,
				replicas: [3]*replica{newReplica(), newReplica(), newReplica()}, away: -1,
			}
			for m.now.Before(epoch.Add(modelHours * time.Hour)) {
				m.now = m.now.Add(modelStep)
				m.disturb()
				if m.random.IntN(12) == 0 {
					m.programs = append(m.programs, &modelProgram{name: fmt.Sprint("program-", m.turns)})
				}
				m.programs = slices.DeleteFunc(m.programs, func(p *modelProgram) bool {
					return len(p.ids) > 0 && m.now.Sub(p.endedAt) >= 2*modelRetention
				})
				for _, p := range m.programs {
					if len(p.ids) == 0 || m.now.Sub(p.endedAt) < modelRetention && m.random.IntN(6) == 0 {
						m.addTurn(p)
					}
				}
				m.expire()
				m.check()
			}
			m.away = -1
			m.now = m.now.Add(3 * modelRetention)
			m.expire()
			for _, r := range m.replicas {
				m.g.Expect(r.Size()).To(gomega.BeZero())
				for _, s := range r.disk {
					m.g.Expect(s.pins).To(gomega.BeZero())
				}
			}
		})
	}
}
