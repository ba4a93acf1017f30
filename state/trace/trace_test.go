package trace_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/trace"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestOldestEventsAreOverwritten(t *testing.T) {
	g := NewWithT(t)
	l := trace.New(4)
	for i := range 6 {
		l.Add(trace.Event{Time: start.Add(time.Duration(i)), Program: "p", Key: fmt.Sprintf("k%d", i)})
	}
	found := l.Find("p")
	g.Expect(found).To(HaveLen(4))
	g.Expect(found[0].Key).To(Equal("k2"))
	g.Expect(found[3].Key).To(Equal("k5"))
	g.Expect(l.Find("k4")).To(HaveLen(1))
	g.Expect(l.Find("k0")).To(BeEmpty())
}

func TestMergeByTime(t *testing.T) {
	a := []trace.Event{{Time: start, Node: "b"}, {Time: start.Add(2), Node: "b"}}
	b := []trace.Event{{Time: start.Add(1), Node: "a"}, {Time: start, Node: "a"}}
	nodes := ""
	for _, e := range trace.Merge(a, b) {
		nodes += e.Node
	}
	NewWithT(t).Expect(nodes).To(Equal("abab"))
}
