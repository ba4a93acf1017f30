package recent_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/recent"
)

func TestOnlyTheLastSecondCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	r := recent.New()
	r.Add(now, "a")
	r.Add(now.Add(400*time.Millisecond), "a")
	r.Add(now.Add(700*time.Millisecond), "b")
	g.Expect(r.Counts(now.Add(900 * time.Millisecond))).To(gomega.Equal(map[string]int{"a": 2, "b": 1}))
	g.Expect(r.Counts(now.Add(1300 * time.Millisecond))).To(gomega.Equal(map[string]int{"b": 1}))
	g.Expect(r.Counts(now.Add(10 * time.Second))).To(gomega.BeEmpty())
}
