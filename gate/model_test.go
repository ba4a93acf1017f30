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
// what the program must have been charged.
type model struct {
	*vaultCluster
	random  *rand.Rand
	clients []*vaultClient
	// chainIDs holds the chain of each confirmed turn, its own ID last.
	chainIDs   map[string][]string
	endedTurns []string
	// charged is what confirmed turns have spent, maybeCharged what turns
	// without a confirmation may have spent.
	charged, maybeCharged int
	down                  map[int]bool
}

const (
	modelBudget    = 1000
	modelMaxTokens = 20
)

// endTurn ends a turn through a random gate. The turn must be kept only if that
// is confirmed.
func (m *model) endTurn(n int) {
	id, previous := fmt.Sprint("t", n), ""
	if len(m.endedTurns) > 0 && m.random.IntN(4) > 0 {
		previous = m.endedTurns[m.random.IntN(len(m.endedTurns))]
	}
	t := newTurn(id, previous)
	t.Used = m.random.IntN(modelMaxTokens)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	if m.clients[m.random.IntN(len(m.clients))].recordTurn(ctx, t) != nil {
		m.maybeCharged += t.Used // some vault may have recorded it
		return
	}
	m.endedTurns = append(m.endedTurns, id)
	m.chainIDs[id] = append(append([]string(nil), m.chainIDs[previous]...), id)
	m.charged += t.Used
}

// crash stops a vault and leaves half a record at the end of its log, or wipes
// its disk.
func (m *model) crash(i int, wipe bool) {
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

func (m *model) restartAll() {
	for i := range m.hosts {
		if m.down[i] {
			m.start(m.hosts[i])
		}
	}
	m.down = map[int]bool{}
	m.waitCaughtUp()
}

// check compares the vaults with the model through a gate that has nothing
// cached.
func (m *model) check(n int) {
	fresh := m.newClient(1)
	m.g.Eventually(func() int { return len(fresh.currentRoster().Seats) }).WithTimeout(5 * time.Second).Should(gomega.Equal(3))
	m.client = fresh
	for _, id := range m.endedTurns {
		chain, err := m.openOnceCertain(id)
		m.g.Expect(err).NotTo(gomega.HaveOccurred(), id)
		m.g.Expect(ids(chain)).To(gomega.Equal(m.chainIDs[id]))
	}
	_, err := m.openOnceCertain(fmt.Sprint("never-", n))
	m.g.Expect(errors.Is(err, errUnknown)).To(gomega.BeTrue(), "%v", err)
	// The account must hold exactly what was charged, apart from maybeCharged.
	m.settleOpened()
	m.g.Expect(m.spendTokens(fmt.Sprint("within-", n), modelBudget-m.charged-m.maybeCharged, 0, modelBudget)).To(gomega.Succeed())
	err = m.spendTokens(fmt.Sprint("beyond-", n), modelBudget-m.charged+1, 0, modelBudget)
	m.g.Expect(errors.Is(err, errSpent)).To(gomega.BeTrue(), "%d charged: %v", m.charged, err)
}

// openOnceCertain opens a turn like a caller, who sends it again if too few vaults have answered: a dial fails
// if this process stands still meanwhile.
func (m *model) openOnceCertain(previous string) ([]*chains.Turn, error) {
	for range 4 {
		if chain, err := m.openTurn(previous); !errors.Is(err, errUncertain) {
			return chain, err
		}
		time.Sleep(maxRetryPause)
	}
	return m.openTurn(previous)
}

// settleOpened settles the turn that openTurn begins.
func (m *model) settleOpened() {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	spent := &chains.Spent{Program: "p", Turn: "new", Retention: time.Minute}
	m.g.Expect(m.client.settle(ctx, spent, nil)).To(gomega.Succeed())
}

// Vaults lose power in the middle of a write, lose their disks one at a time,
// and restart while turns of one program end through gates of three data
// centres. Confirmed turns must be kept and the account must be exact.
func TestVaultsKeepWhatWasConfirmed(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := &model{vaultCluster: newVaultCluster(t, 1), random: rand.New(rand.NewPCG(seed, 3)), chainIDs: map[string][]string{}, down: map[int]bool{}}
			for i := range 3 {
				b := m.newClient(1)
				b.site.Centre = fmt.Sprint("centre-", i)
				m.g.Eventually(func() int { return len(b.currentRoster().Seats) }).Should(gomega.Equal(3))
				m.clients = append(m.clients, b)
			}
			for n := range 24 {
				switch m.random.IntN(5) {
				case 0:
					if i := m.random.IntN(3); !m.down[i] && len(m.down) < 2 {
						m.crash(i, len(m.down) == 0 && m.random.IntN(2) == 0)
					}
				case 1:
					m.restartAll()
				default:
					m.endTurn(n)
				}
			}
			m.restartAll()
			m.check(0)
		})
	}
}
