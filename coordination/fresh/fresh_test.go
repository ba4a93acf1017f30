package fresh_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/fresh"
)

var start = time.UnixMilli(1_800_000_000_000)

// A gate that is cut off must not accept revoked keys beyond the limit, and a late
// confirmation as of an earlier time must not shorten or extend it.
func TestAConfigurationExpiresWithoutConfirmations(t *testing.T) {
	g := gomega.NewWithT(t)
	f := fresh.New(5 * time.Second)
	g.Expect(f.Expired(start)).To(gomega.BeTrue(), "never confirmed")
	f.Confirm(start)
	g.Expect(f.Expired(start.Add(4999 * time.Millisecond))).To(gomega.BeFalse())
	g.Expect(f.Expired(start.Add(5 * time.Second))).To(gomega.BeTrue())
	f.Confirm(start.Add(-time.Second))
	g.Expect(f.Expired(start.Add(4999 * time.Millisecond))).To(gomega.BeFalse())
	g.Expect(f.Expired(start.Add(5 * time.Second))).To(gomega.BeTrue())
	f.Confirm(start.Add(6 * time.Second))
	g.Expect(f.Expired(start.Add(7 * time.Second))).To(gomega.BeFalse())
}

func TestWithoutALimitNothingExpires(t *testing.T) {
	f := fresh.New(0)
	gomega.NewWithT(t).Expect(f.Expired(start)).To(gomega.BeFalse())
}
