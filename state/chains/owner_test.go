package chains_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/chains"
)

func owned(id, previous, owner string) *chains.Turn {
	t := turn(id, previous, 0)
	t.Owner = owner
	return t
}

// A turn of another owner must look like one that is not stored, whether or not its ID is
// also that of an own turn. A turn without an owner belongs to whoever names it.
func TestAChainHoldsNoTurnsOfOtherOwners(t *testing.T) {
	g := gomega.NewWithT(t)
	c := chains.New()
	for _, k := range []*chains.Turn{
		turn("old", "", 0), owned("x1", "old", "x"), owned("x2", "x1", "x"), owned("same", "x2", "x"), owned("same", "", "y"), owned("y2", "x1", "y"),
	} {
		g.Expect(c.Add(k)).To(gomega.BeTrue(), k.ID)
	}
	g.Expect(c.Add(owned("same", "other", "y"))).To(gomega.BeFalse(), "held already")
	for _, v := range []struct {
		id, owner string
		length    int
		complete  bool
	}{
		{"same", "x", 4, true},
		{"same", "y", 1, true},
		{"same", "", 0, false},
		{"x1", "x", 2, true},
		{"x1", "y", 0, false},
		{"x1", "", 0, false},
		{"old", "", 1, true},
		{"old", "y", 1, true},
		{"never", "y", 0, false},
		{"y2", "y", 1, false}, // its caller was told that x1 does not exist
	} {
		turns, complete := c.Chain(v.id, v.owner)
		g.Expect(turns).To(gomega.HaveLen(v.length), "%s of %q", v.id, v.owner)
		g.Expect(complete).To(gomega.Equal(v.complete), "%s of %q", v.id, v.owner)
	}
	g.Expect(c.Turn("same")).To(gomega.HaveLen(2), "copied to other vaults")
	expire(c, epoch.Add(2*time.Minute))
	g.Expect(c.Size()).To(gomega.BeZero())
}

// A vault that starts reads its records without their texts. It must know the owners then.
func TestTheFactsOfATurnHaveItsOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	data, err := chains.Encode(nil, owned("a", "", "x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r, err := chains.DecodeFacts(data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.(*chains.Turn).Owner).To(gomega.Equal("x"))
}

// Two customers choose the same program ID. Neither may use up the other's budget. What
// was spent without an owner, before there were customers, counts for whoever names it.
func TestAccountsOfTwoOwnersAreApart(t *testing.T) {
	g := gomega.NewWithT(t)
	c := chains.New()
	spend := func(owner, turn string, used int) {
		c.Add(&chains.Spent{Program: chains.AccountKey(owner, "p"), Turn: turn, Used: used, Retention: time.Minute, Written: epoch.UnixMilli()})
	}
	g.Expect(c.Account(chains.AccountKey("x", "p"))).To(gomega.BeNil())
	spend("x", "t1", 10)
	spend("y", "t1", 20)
	spent := func(owner string) int { return c.Account(chains.AccountKey(owner, "p")).Summarize("").Spent }
	g.Expect([]int{spent("x"), spent("y")}).To(gomega.Equal([]int{10, 20}))
	spend("", "t0", 5)
	g.Expect([]int{spent("x"), spent("y"), spent("z"), spent("")}).To(gomega.Equal([]int{15, 25, 5, 5}))
	spend("", "t1", 10)
	g.Expect(spent("x")).To(gomega.Equal(15), "the same turn counts once")
	g.Expect(chains.AccountKey("", "p")).To(gomega.Equal("p"), "as the build in production writes it")
}
