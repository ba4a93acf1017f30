package vet_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/vet"
	"github.com/cowslipstage/cowslipstage/state/table"
)

// draft returns a draft without problems, with one route.
func draft(r table.Route) *vet.Draft {
	r.Host, r.Prefix, r.Shares = "h", "/a/", []table.Share{{Service: "s", Weight: 1}}
	return &vet.Draft{
		Version: 1, Routes: []vet.Route{{Route: r, Line: 2}},
		Services: []vet.Service{{Service: table.Service{Name: "s"}, Line: 3}},
	}
}

// A check that reports what gates serve as meant would be switched off by its users.
func TestValuesAtTheBoundsAreNoProblems(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, r := range []table.Route{
		{Kind: table.Unsafe, Attempts: 1, Timeout: time.Second, FirstByteTarget: time.Second},
		{Kind: table.Unsafe, FirstByteTarget: time.Second},
		{Kind: table.Idempotent, Attempts: 3},
		{Kind: table.Stream, Attempts: 2, Resumable: true, GapTarget: time.Second},
		{Kind: table.Stream, Retention: time.Minute},
		{Kind: table.Stream, KeepsTurns: true, Retention: time.Minute},
	} {
		g.Expect(vet.Check(draft(r))).To(gomega.BeEmpty(), "%+v", r)
	}
	d := draft(table.Route{})
	d.Customers = []vet.Customer{{Name: "a", Rate: 2, Burst: 2}, {Name: "b", Rate: 2.4}, {Name: "c"}}
	g.Expect(vet.Check(d)).To(gomega.BeEmpty())
}

// Values just past a bound must be found; the golden files hold values far past it.
func TestValuesPastTheBoundsAreProblems(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, r := range []table.Route{
		{Timeout: time.Second - 1, FirstByteTarget: time.Second},
		{Kind: table.Unsafe, Attempts: 2},
		{Kind: table.Stream, Attempts: 2},
		{Kind: table.Idempotent, GapTarget: 1},
		{Kind: table.Unsafe, Retention: 1},
		{Kind: table.Stream, KeepsTurns: true},
		{Attempts: -1},
	} {
		g.Expect(vet.Check(draft(r))).To(gomega.HaveLen(1), "%+v", r)
	}
	d := draft(table.Route{})
	d.Customers = []vet.Customer{{Name: "a", Rate: 2, Burst: 1}, {Name: "b", Rate: 2.3}, {Name: "c", Burst: 1}}
	g.Expect(vet.Check(d)).To(gomega.HaveLen(3))
}

// A prefix that lacks either slash matches paths that it should not, or none.
func TestEitherMissingSlashIsAProblem(t *testing.T) {
	g := gomega.NewWithT(t)
	for prefix, problems := range map[string]int{"/": 0, "/a/b/": 0, "/a": 1, "a/": 1, "a": 1, "": 1} {
		d := draft(table.Route{})
		d.Routes[0].Prefix = prefix
		g.Expect(vet.Check(d)).To(gomega.HaveLen(problems), "%q", prefix)
	}
}

// Gates ignore a version that is not above theirs; sending the one in force again is fine.
func TestALowerVersionIsAProblem(t *testing.T) {
	g := gomega.NewWithT(t)
	version := func(n uint64, timeout time.Duration) *vet.Draft {
		d := draft(table.Route{Timeout: timeout})
		d.Version = n
		return d
	}
	inForce := version(5, time.Second)
	g.Expect(vet.CheckOrder(inForce, version(5, time.Second))).To(gomega.BeEmpty())
	g.Expect(vet.CheckOrder(inForce, version(6, time.Minute))).To(gomega.BeEmpty())
	g.Expect(vet.CheckOrder(inForce, version(5, time.Minute))).To(gomega.HaveLen(1))
	g.Expect(vet.CheckOrder(inForce, version(4, time.Second))).To(gomega.HaveLen(1))
}

// The first list of customers makes every route need a key, also if the list is empty.
func TestNeedingKeysIsADifference(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := draft(table.Route{}), draft(table.Route{})
	after.NeedsKeys = true
	g.Expect(vet.Compare(before, after)).To(gomega.Equal([]vet.Difference{
		{Object: "customers", Change: "changed", Field: "requests need a key", Before: "false", After: "true"},
	}))
}
