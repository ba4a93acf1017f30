package keys_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/keys"
)

func customer(name string, apiKeys ...string) keys.Customer {
	return keys.NewCustomer(name, apiKeys, nil, 0, 0)
}

// An operator who mends one fault at a time would put several unusable versions out, so
// every problem must be in the one error. No key may be in it.
func TestEveryProblemIsReportedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	k, err := keys.New([]keys.Customer{
		customer(""), customer("twin", "secret-1"), customer("twin"), customer("thief", "secret-1", ""), customer("line\nfeed"),
		keys.NewCustomer("slow", nil, nil, -1, 0), keys.NewCustomer("odd", nil, nil, 0, 5),
	})
	g.Expect(k).To(gomega.BeNil())
	g.Expect(errors.Is(err, keys.ErrCustomers)).To(gomega.BeTrue())
	for _, problem := range []string{
		"customer 1 has no name", `two customers have the name "twin"`, `a key of customer "thief" is also one of "twin"`,
		`"thief" has an empty key`, "control character", `"slow" has a negative rate`, `"odd" has a burst without a rate`,
	} {
		g.Expect(err.Error()).To(gomega.ContainSubstring(problem))
	}
	g.Expect(err.Error()).NotTo(gomega.ContainSubstring("secret-1"))
}

func TestAKeyFindsItsCustomer(t *testing.T) {
	g := gomega.NewWithT(t)
	rank := 0
	k, err := keys.New([]keys.Customer{
		customer("a", "a1", "a2"), keys.NewCustomer("b", []string{"b1"}, &rank, 2, 3), customer("keyless"),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(k.Size()).To(gomega.Equal(3))
	for key, name := range map[string]string{"a1": "a", "a2": "a", "b1": "b"} {
		c, ok := k.Find(key)
		g.Expect(ok).To(gomega.BeTrue(), key)
		g.Expect(c.Name()).To(gomega.Equal(name))
	}
	for _, key := range []string{"", "a", "a1 ", "A1", "a1a2", "keyless"} {
		_, ok := k.Find(key)
		g.Expect(ok).To(gomega.BeFalse(), "%q", key)
	}
	a, _ := k.Find("a1")
	_, set := a.Priority()
	g.Expect(set).To(gomega.BeFalse())
	b, _ := k.Find("b1")
	first, set := b.Priority()
	g.Expect(set).To(gomega.BeTrue(), "rank 0 is set, not absent")
	g.Expect([]float64{float64(first), b.Rate(), b.Burst()}).To(gomega.Equal([]float64{0, 2, 3}))
}
