package tenure_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/tenure"
)

// A disk that was lost says nothing of the seats that its host had before.
func TestOnlyAKeptDiskSpeaksOfASeat(t *testing.T) {
	g := gomega.NewWithT(t)
	lost := tenure.Tenure{}
	claimed := lost.Claim(4)
	counted := claimed.Count(4)
	g.Expect(lost.NeverCounted(4)).To(gomega.BeFalse())
	g.Expect(lost.HasCounted(4)).To(gomega.BeFalse())
	g.Expect(claimed.NeverCounted(4)).To(gomega.BeTrue())
	g.Expect(claimed.HasCounted(4)).To(gomega.BeFalse())
	g.Expect(counted.NeverCounted(4)).To(gomega.BeFalse())
	g.Expect(counted.HasCounted(4)).To(gomega.BeTrue())
	g.Expect(claimed.HasCounted(4)).To(gomega.BeFalse(), "a tenure does not change")
	g.Expect(counted.Claim(7).HasCounted(4)).To(gomega.BeTrue(), "a later seat does not change what is known of an earlier one")
	g.Expect(lost.Claim(0).Count(0)).To(gomega.Equal(lost), "no roster has version 0")
}

// A host that changes its seat again and again keeps the latest ones.
func TestOldSeatsAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	var known tenure.Tenure
	for since := uint64(1); since <= 100; since++ {
		known = known.Claim(since).Count(since)
	}
	g.Expect(known.HasCounted(100)).To(gomega.BeTrue())
	g.Expect(known.HasCounted(69)).To(gomega.BeTrue())
	g.Expect(known.HasCounted(68)).To(gomega.BeFalse())
	g.Expect(known.NeverCounted(68)).To(gomega.BeFalse())
}
