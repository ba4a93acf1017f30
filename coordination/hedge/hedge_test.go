package hedge_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/hedge"
)

func TestHedgesNeedAFullWindowAndStayWithinTheirShare(t *testing.T) {
	g := NewWithT(t)
	h := hedge.New(true)
	_, known := h.Delay(time.Second)
	g.Expect(known).To(BeFalse())
	for i := range 200 {
		h.Observe(time.Duration(i+1)*time.Second/100, time.Second)
	}
	after, known := h.Delay(time.Second)
	g.Expect(known).To(BeTrue())
	g.Expect(after).To(BeNumerically(">", 2*time.Second))
	allowed := 0
	for range 1000 {
		h.AddCall()
		if h.Take() {
			allowed++
		}
	}
	g.Expect(allowed).To(BeNumerically("~", 30, 1))
}
