package halt_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/halt"
)

// A request that was begun late in the grace period was cut although a refusal would have cost
// its caller nothing.
func TestARequestBeginsOnlyIfItCanEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	p := halt.New(now, 10*time.Second)
	g.Expect(p.CutAt()).To(gomega.Equal(now.Add(9 * time.Second)))
	g.Expect(p.MayBegin(now.Add(9 * time.Second))).To(gomega.BeTrue())
	g.Expect(p.MayBegin(now.Add(9*time.Second + 1))).To(gomega.BeFalse())
	p = nil
	g.Expect(p.MayBegin(now.Add(time.Hour))).To(gomega.BeTrue(), "not being stopped")
}
