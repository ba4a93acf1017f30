package commit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/commit"
)

// steps is the number of steps in one run of the model.
const steps = 120

func TestNoAcknowledgedBatchIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(none, func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) })
		for range steps {
			m.step()
		}
		if err := m.verify(); err != nil {
			t.Fatal(err)
		}
	})
}

// violation runs the model on fixed seeds until a guarantee is violated.
func violation(disabled guard, runs int) (uint64, error) {
	for seed := range uint64(runs) {
		r := rand.New(rand.NewPCG(seed, 1))
		m := newModel(disabled, func(n int, _ string) int { return r.IntN(n) })
		for range steps {
			m.step()
		}
		if err := m.verify(); err != nil {
			return seed, err
		}
	}
	return 0, nil
}

func TestModelHoldsOnFixedSeeds(t *testing.T) {
	seed, err := violation(none, 20000)
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
}

func TestEachGuardIsNeeded(t *testing.T) {
	for _, disabled := range guards {
		seed, err := violation(disabled, 200000)
		if err == nil {
			t.Errorf("without %q no guarantee is violated", disabled)
		}
		t.Logf("without %q: seed %d: %v", disabled, seed, err)
	}
}

func TestWriterUsesStandbysOnceTheStoreIsSlow(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	x, y := claim.Standby{Node: "x"}, claim.Standby{Node: "y"}
	options := commit.Options{StandbyDelay: 50 * time.Millisecond, ResendAfter: time.Second, MaxPendingBytes: 8}
	w := commit.New(options, 3, 10, []claim.Standby{x, y})
	w.Add(now, []byte("one"), false)
	g.Expect(w.Ready()).To(BeFalse(), "the first batch is not safe yet")
	g.Expect(w.Due(now, false)).To(BeEmpty())
	g.Expect(w.Due(now, true)).To(HaveLen(1), "writes to the store are throttled")
	w = commit.New(options, 3, 10, []claim.Standby{x, y})
	w.Add(now, []byte("one"), false)
	afterDelay := now.Add(50 * time.Millisecond)
	g.Expect(w.Due(afterDelay, false)).To(HaveLen(1))
	w.Acked(x, 10)
	g.Expect(w.Safe()).To(Equal(uint64(9)))
	w.Acked(y, 10)
	g.Expect(w.Safe()).To(Equal(uint64(10)))
	w.Add(afterDelay, []byte("three"), false)
	g.Expect(w.Due(afterDelay, false)).To(HaveLen(1), "the second batch does not wait again")
	g.Expect(w.BeginStandbyChange(nil)).To(BeFalse(), "the old standbys alone may hold a batch")
	w.Acked(x, 11)
	w.Acked(y, 11)
	g.Expect(w.Ready()).To(BeFalse(), "the bound is reached")
	g.Expect(w.Group(4)).To(HaveLen(1))
	w.Stored(11)
	g.Expect(w.Ready()).To(BeTrue())
	g.Expect(w.FirstUnstored()).To(Equal(uint64(12)))
}
