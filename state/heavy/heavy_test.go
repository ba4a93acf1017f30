package heavy_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/heavy"
)

// However many customers there are, only the given number has labels at a time, the large
// ones are among them, and a customer that becomes large gets one.
func TestTheLargestCustomersAreLabelled(t *testing.T) {
	g := gomega.NewWithT(t)
	h := heavy.New(3)
	labelled := map[string]bool{}
	add := func(customer string) {
		label, replaced := h.Add(customer)
		if delete(labelled, replaced); label != heavy.Others {
			labelled[label] = true
		}
		g.Expect(len(labelled)).To(gomega.BeNumerically("<=", 3))
	}
	for i := range 20_000 {
		add(fmt.Sprint("small-", i%500))
		add("large")
		if i%2 == 0 {
			add("middle")
		}
	}
	g.Expect(labelled).To(gomega.And(gomega.HaveKey("large"), gomega.HaveKey("middle")))
	for range 20_000 {
		add("late")
	}
	g.Expect(labelled).To(gomega.HaveKey("late"))
}
