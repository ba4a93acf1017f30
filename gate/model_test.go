package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/chains"
)

// model is what callers know of the vaults: the turns whose answers ended, and
// what each program must have been charged.
type model struct {
	*rig
	random *rand.Rand
	banks  []*bank
	// chain is each ended turn's chain, its own ID last.
	chain map[string][]string
	names []string
	// charged is what the program's settled turns have spent; doubtful what turns
	// may have spent whose end was not confirmed.
	charged, doubtful int
	down              map[int]bool
}

const (
	modelBudget = 1000
	modelMost   = 20
)

// end ends a turn through some gate. Only with its confirmation it must last.
func (m *model) end(n int) {
	id, previous := fmt.Sprint("t", n), ""
	if len(m.names) > 0 && m.random.IntN(4) > 0 {
		previous = m.names[m.random.IntN(len(m.names))]
	}
	t := turnOf(id, previous)
	t.Used = m.random.IntN(modelMost)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	if m.banks[m.random.IntN(len(m.banks))].record(ctx, t) != nil {
		m.doubtful += t.Used // it may have been noted somewhere
		return
	}
	m.names = append(m.names, id)
	m.chain[id] = append(append([]string(nil), m.chain[previous]...), id)
	m.charged += t.Used
}

// lose stops a vault, with half a record at the end of its log or without its disk.
func (m *model) lose(i int, wipe bool) {
	h := m.hosts[i]
	h.stop()
	h.site.FirstStart = false
	if wipe {
		m.g.Expect(os.RemoveAll(h.site.Data)).To(gomega.Succeed())
		m.g.Expect(os.MkdirAll(h.site.Data, 0o700)).To(gomega.Succeed())
	} else if logs, err := filepath.Glob(filepath.Join(h.site.Data, "log", "*")); err == nil && len(logs) > 0 {
		f, err := os.OpenFile(logs[len(logs)-1], os.O_WRONLY|os.O_APPEND, 0)
		m.g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = f.Write([]byte{40, 0, 0, 0, 1, 2, 3})
		m.g.Expect(errors.CombineErrors(err, f.Close())).To(gomega.Succeed())
	}
	m.down[i] = true
}

func (m *model) back() {
	for i := range m.hosts {
		if m.down[i] {
			m.start(m.hosts[i])
		}
	}
	m.down = map[int]bool{}
	m.settled()
}

// check asks through a gate that holds nothing yet.
func (m *model) check(n int) {
	fresh := m.newBank(1)
	m.g.Eventually(func() int { return len(fresh.current().Seats) }).WithTimeout(5 * time.Second).Should(gomega.Equal(3))
	m.bank = fresh
	for range min(4, len(m.names)) {
		id := m.names[m.random.IntN(len(m.names))]
		chain, err := m.open(id)
		m.g.Expect(err).NotTo(gomega.HaveOccurred(), id)
		m.g.Expect(ids(chain)).To(gomega.Equal(m.chain[id]))
	}
	_, err := m.open(fmt.Sprint("never-", n))
	m.g.Expect(errors.Is(err, errUnknown)).To(gomega.BeTrue(), "%v", err)
	// Exactly what was charged is charged, but for what is doubtful.
	m.settleOpened()
	m.g.Expect(m.spend(fmt.Sprint("within-", n), modelBudget-m.charged-m.doubtful, 0, modelBudget)).To(gomega.Succeed())
	err = m.spend(fmt.Sprint("beyond-", n), modelBudget-m.charged+1, 0, modelBudget)
	m.g.Expect(errors.Is(err, errSpent)).To(gomega.BeTrue(), "%d charged: %v", m.charged, err)
}

// settleOpened ends the turn with which open asks.
func (m *model) settleOpened() {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	spent := &chains.Spent{Program: "p", Turn: "new", Retention: time.Minute}
	m.g.Expect(m.bank.settle(ctx, spent)).To(gomega.Succeed())
}

// Vaults lose power in the middle of a write, lose their disks one at a time, and
// come back while turns of one program end through gates of three data centres:
// what was confirmed lasts, and the account is exact.
func TestVaultsKeepWhatWasConfirmed(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := &model{rig: newRig(t, 1), random: rand.New(rand.NewPCG(seed, 3)), chain: map[string][]string{}, down: map[int]bool{}}
			for i := range 3 {
				b := m.newBank(1)
				b.site.Centre = fmt.Sprint("centre-", i)
				m.g.Eventually(func() int { return len(b.current().Seats) }).Should(gomega.Equal(3))
				m.banks = append(m.banks, b)
			}
			for n := range 24 {
				switch m.random.IntN(5) {
				case 0:
					if i := m.random.IntN(3); !m.down[i] && len(m.down) < 2 {
						m.lose(i, len(m.down) == 0 && m.random.IntN(2) == 0)
					}
				case 1:
					m.back()
				default:
					m.end(n)
				}
			}
			m.back()
			m.check(0)
		})
	}
}
