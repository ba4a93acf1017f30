package table_test

import (
	"testing"

	"github.com/onsi/gomega"

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
