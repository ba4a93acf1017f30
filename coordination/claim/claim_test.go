package claim_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
)

func hosts(n int) map[string]claim.Host {
	all := map[string]claim.Host{}
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		all[name] = claim.Host{Name: name, Centre: fmt.Sprintf("c%d", i%3), Boot: "b" + name}
	}
	return all
}

func TestQuorumsIntersect(t *testing.T) {
	g := NewWithT(t)
	for n := 1; n <= 5; n++ {
		g.Expect(claim.Quorum(n)+claim.SealQuorum(n)).To(BeNumerically(">", n), "%d standbys", n)
	}
	g.Expect(claim.SealQuorum(0)).To(BeZero())
}

func TestChooseStandbysPrefersOtherCentresAndKeepsCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		all := hosts(rapid.IntRange(1, 12).Draw(t, "hosts"))
		shard := rapid.IntRange(0, 63).Draw(t, "shard")
		chosen := claim.ChooseStandbys(shard, "n0", nil, all)
		g.Expect(chosen).To(HaveLen(min(3, len(all)-1)))
		centres := map[string]bool{}
		for _, s := range chosen {
			g.Expect(s.Node).NotTo(Equal("n0"))
			centres[all[s.Node].Centre] = true
		}
		if len(all) >= 3 {
			g.Expect(centres).To(And(HaveKey("c1"), HaveKey("c2")))
		}
		g.Expect(claim.ChooseStandbys(shard, "n0", chosen, all)).To(Equal(chosen), "standbys that serve are kept")
		if len(chosen) > 0 {
			h := all[chosen[0].Node]
			h.Boot = "restarted"
			all[h.Name] = h
			g.Expect(claim.ChooseStandbys(shard, "n0", chosen, all)).NotTo(ContainElement(chosen[0]))
		}
	})
}

func TestOwnersAreBounded(t *testing.T) {
	g := NewWithT(t)
	all := hosts(350)
	owners := claim.Owners(all, 16)
	g.Expect(owners).To(HaveLen(16))
	for shard := range 64 {
		g.Expect(owners).To(HaveKey(claim.PreferredOwner(shard, owners)))
	}
	g.Expect(claim.Owners(all, 0)).To(HaveLen(350))
	g.Expect(claim.PreferredOwner(1, nil)).To(BeEmpty())
}

func TestTakeoverNeedsMissingLeaseAndSilentLinks(t *testing.T) {
	owned := claim.Claim{Node: "b", Epoch: 4}
	for name, c := range map[string]struct {
		claim claim.Claim
		view  claim.View
		free  bool
	}{
		"handed over":             {claim.Claim{Epoch: 4}, claim.View{OwnerLeased: true}, true},
		"store outage, links up":  {owned, claim.View{OwnerLeased: false, OwnerSilent: false}, false},
		"links cut, lease stands": {owned, claim.View{OwnerLeased: true, OwnerSilent: true}, false},
		"dead":                    {owned, claim.View{OwnerSilent: true}, true},
		"own, after a restart":    {claim.Claim{Node: "a", Epoch: 4}, claim.View{OwnerLeased: true}, true},
		"draining":                {claim.Claim{}, claim.View{Draining: true}, false},
		"open here already":       {claim.Claim{Node: "a"}, claim.View{JournalOpen: true}, false},
	} {
		c.view.Self, c.view.Preferred = "a", "a"
		NewWithT(t).Expect(c.view.ShouldTake(c.claim)).To(Equal(c.free), name)
	}
	other := claim.View{Self: "a", Preferred: "b"}
	NewWithT(t).Expect(other.ShouldTake(claim.Claim{})).To(BeFalse())
	NewWithT(t).Expect(other.ShouldTake(claim.Claim{Node: "a"})).To(BeTrue(), "the claim names its former incarnation")
}

func TestPartitionedOwnerLosesShardsOnlyWhileTheStoreAnswers(t *testing.T) {
	g := NewWithT(t)
	c := claim.Claim{Node: "a", Epoch: 1}
	v := claim.View{Self: "b", Preferred: "b", LeaseDuration: time.Second}
	g.Expect(v.ShouldTake(c)).To(BeFalse(), "the owner is heard and the store did not answer")
	v.LeaseMissing = 3 * time.Second
	g.Expect(v.ShouldTake(c)).To(BeTrue(), "the owner is heard, but the store answers and has no lease for it")
	v.OwnerLeased = true
	g.Expect(v.ShouldTake(c)).To(BeFalse())
}
