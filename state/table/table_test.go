package table_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/keys"
	"github.com/cowslipstage/cowslipstage/state/table"
)

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	g := gomega.NewWithT(t)
	route := func(name, host, prefix string) *table.Route {
		return &table.Route{Name: name, Host: host, Prefix: prefix, Shares: []table.Share{{Service: name, Weight: 1}}}
	}
	tb := table.New(1, []*table.Route{
		route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "i", "/a/b/c/"),
	}, nil, nil, table.Limits{})
	g.Expect(tb.Find("h", "/a/b/c/d").Name).To(gomega.Equal("long"))
	g.Expect(tb.Find("h:80", "/a/x").Name).To(gomega.Equal("short"))
	g.Expect(tb.Find("h", "/ab/")).To(gomega.BeNil())
	g.Expect(tb.Find("none", "/a/")).To(gomega.BeNil())
}

func TestSharesFollowTheirWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &table.Route{Shares: []table.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	g.Expect(r.PickService(0)).To(gomega.Equal("a"))
	g.Expect(r.PickService(0.89)).To(gomega.Equal("a"))
	g.Expect(r.PickService(0.91)).To(gomega.Equal("b"))
	g.Expect(r.PickService(0.9999)).To(gomega.Equal("b"))
}

// The importance of a request is its place among those that can occur. The priority of a
// customer replaces the route's, on the same scale.
func TestImportanceFollowsTheCustomersPriorityThenTheRoutes(t *testing.T) {
	g := gomega.NewWithT(t)
	one := 1
	known, err := keys.New([]keys.Customer{keys.NewCustomer("one", []string{"k1"}, &one, 0, 0), keys.NewCustomer("unset", []string{"k2"}, nil, 0, 0)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c, _ := known.Find("k1")
	unset, _ := known.Find("k2")
	routes := []*table.Route{{Name: "a", Host: "h", Prefix: "/a/", Priority: 0}, {Name: "b", Host: "h", Prefix: "/b/", Priority: 2}}
	for _, r := range routes {
		r.Kind = table.Stream
	}
	tb := table.New(1, routes, nil, known, table.Limits{})
	var order []float64
	for _, i := range []struct {
		customer *keys.Customer
		route    *table.Route
	}{{unset, routes[0]}, {c, routes[0]}, {c, routes[1]}, {unset, routes[1]}} {
		order = append(order, tb.Importance(i.customer, i.route))
	}
	g.Expect(order).To(gomega.HaveExactElements(1.0, gomega.BeNumerically("~", 2.0/3, 0.01), gomega.BeNumerically("~", 1.0/3, 0.01), 0.0))
	known, err = keys.New([]keys.Customer{keys.NewCustomer("one", []string{"k1"}, &one, 0, 0)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	tb = table.New(1, routes[:1], nil, known, table.Limits{})
	g.Expect(tb.Importance(c, routes[0])).To(gomega.Equal(1.0), "requests without a customer cannot occur")
}
