package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/lease"
)

const duration = 3 * time.Second

func TestLeaseCountsFromWhenRenewalWasSent(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	l := lease.New(duration)
	g.Expect(l.Valid(start)).To(BeFalse(), "the lease was never renewed")
	l.Renewed(start)
	l.Renewed(start.Add(-time.Second))
	g.Expect(l.Valid(start.Add(2840 * time.Millisecond))).To(BeTrue())
	g.Expect(l.Valid(start.Add(2850*time.Millisecond))).To(BeFalse(), "the margin is subtracted")
}

func TestDetectorReportsNoSilenceDuringItsFirstLease(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	w := lease.NewDetector(start, duration)
	g.Expect(w.Silent(start.Add(2*time.Second), "a")).To(BeFalse())
	g.Expect(w.Silent(start.Add(duration), "a")).To(BeTrue())
	w.Heard(start.Add(time.Second), "a")
	g.Expect(w.Silent(start.Add(duration), "a")).To(BeFalse())
	w.Forget("a")
	g.Expect(w.Silent(start.Add(duration), "a")).To(BeTrue())
	w.Heard(start.Add(10*time.Second), "b")
	w.SetMaxSilence(5 * time.Second)
	g.Expect(w.Silent(start.Add(14*time.Second), "b")).To(BeFalse(), "the maximum silence exceeds the lease")
	g.Expect(w.Silent(start.Add(15*time.Second), "b")).To(BeTrue())
}
