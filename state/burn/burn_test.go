package burn_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/burn"
	"github.com/cowslipstage/cowslipstage/state/config"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	gate  = &config.Service{Objective: time.Second, Target: 0.9}
)

func sample(at time.Time, whole time.Duration, key string) burn.Sample {
	return burn.Sample{
		Customer: "acme", Service: "gate", Program: "p", Key: key, Outcome: answer.Done, Began: at, Latency: whole,
	}
}

func TestWhatCounts(t *testing.T) {
	for _, c := range []struct {
		outcome        answer.Outcome
		reason         string
		whole          time.Duration
		counts, missed bool
	}{
		{answer.Done, "", time.Second, true, false},
		{answer.Done, "", 1001 * time.Millisecond, true, true},
		{answer.Unknown, "owner", 0, true, true},
		{answer.NotRun, "overload", 0, true, true},
		{answer.NotRun, "budget", 0, false, true},
		{answer.NotRun, "limit", 0, false, true},
		{answer.Unknown, "limit", 0, false, true},
		{"", "left", 0, false, true},
	} {
		s := burn.Sample{Outcome: c.outcome, Reason: c.reason, Latency: c.whole}
		NewWithT(t).Expect(s.Eligible()).To(Equal(c.counts), "%v", c)
		NewWithT(t).Expect(s.Misses(time.Second)).To(Equal(c.missed), "%v", c)
	}
}

func TestWindows(t *testing.T) {
	g := NewWithT(t)
	b := burn.New("a")
	// Two days ago 90 good calls, three hours ago 5 late ones, now 5 good ones.
	for i := range 90 {
		at := start.Add(time.Duration(i) * time.Second)
		b.Add(at, sample(at, time.Millisecond, "good"), gate)
	}
	late := start.Add(45 * time.Hour)
	for i := range 5 {
		b.Add(late, sample(late, time.Duration(2+i)*time.Second, fmt.Sprintf("late-%d", i)), gate)
	}
	now := start.Add(48 * time.Hour)
	for range 5 {
		b.Add(now, sample(now, time.Millisecond, "good"), gate)
	}
	l := b.Report(now).Lines[0]
	g.Expect(l.Windows).To(Equal([]burn.Window{
		{Span: 300, Total: 5, Bad: 0, Burn: 0},
		{Span: 3600, Total: 5, Bad: 0, Burn: 0},
		{Span: 21600, Total: 10, Bad: 5, Burn: l.Windows[2].Burn},
		{Span: 259200, Total: 100, Bad: 5, Burn: l.Windows[3].Burn},
	}))
	g.Expect(l.Windows[2].Burn).To(BeNumerically("~", 5, 1e-9))
	g.Expect(l.Remaining).To(BeNumerically("~", 0.5, 1e-9))
	g.Expect(l.Alert).To(BeEmpty())
	g.Expect(l.Examples).To(HaveLen(3))
	g.Expect(l.Examples[0].Key).To(Equal("late-4"))
	empty := b.Report(start.Add(200 * time.Hour)).Lines[0]
	g.Expect(empty.Windows[3].Total).To(BeZero())
}

func TestAlerts(t *testing.T) {
	g := NewWithT(t)
	tight := &config.Service{Objective: time.Second, Target: 0.99}
	b := burn.New("a")
	for i := range 100 {
		whole := time.Millisecond
		if i%5 == 0 {
			whole = time.Minute
		}
		b.Add(start, sample(start, whole, "k"), tight)
	}
	g.Expect(b.Report(start).Lines[0].Alert).To(Equal(burn.Fast))
	g.Expect(b.Report(start.Add(2 * time.Hour)).Lines[0].Alert).To(Equal(burn.Slow))
	few := burn.New("a")
	few.Add(start, sample(start, time.Minute, "k"), tight)
	g.Expect(few.Report(start).Lines[0].Alert).To(BeEmpty(), "one call is no alert")
}

func TestMergedEqualsTogether(t *testing.T) {
	g := NewWithT(t)
	together, apart := burn.New("a"), []*burn.Recorder{burn.New("b"), burn.New("c")}
	for i := range 300 {
		at := start.Add(time.Duration(i) * time.Minute)
		s := sample(at, time.Duration(i*10)*time.Millisecond, fmt.Sprintf("k%d", i))
		s.Customer = fmt.Sprintf("c%d", i%3)
		together.Add(at, s, gate)
		apart[i%2].Add(at, s, gate)
	}
	now := start.Add(300 * time.Minute)
	merged, err := burn.Merge(apart[0].Report(now), apart[1].Report(now))
	g.Expect(err).NotTo(HaveOccurred())
	want := together.Report(now)
	g.Expect(merged.Nodes).To(Equal([]string{"b", "c"}))
	g.Expect(merged.Lines).To(Equal(want.Lines))
	g.Expect(merged.Latencies[0].P95).To(Equal(want.Latencies[0].P95))

	saved, err := json.Marshal(merged)
	g.Expect(err).NotTo(HaveOccurred())
	var again burn.Report
	g.Expect(json.Unmarshal(saved, &again)).To(Succeed())
	g.Expect(again).To(Equal(merged))
}

func TestMergeRefusesGarbage(t *testing.T) {
	_, err := burn.Merge(burn.Report{Lines: []burn.Line{{}}})
	NewWithT(t).Expect(err).To(HaveOccurred())
	_, err = burn.Merge(burn.Report{Latencies: []burn.Latency{{Histogram: []byte("no")}}})
	NewWithT(t).Expect(err).To(HaveOccurred())
}

func TestCustomersBeyondTheBoundShareALine(t *testing.T) {
	g := NewWithT(t)
	b := burn.New("a")
	for i := range 17000 {
		s := sample(start, time.Millisecond, "k")
		s.Customer = fmt.Sprint(i)
		b.Add(start, s, gate)
	}
	r := b.Report(start)
	g.Expect(len(r.Lines)).To(BeNumerically("<=", 16385))
	g.Expect(r.Lines[0].Customer).To(Equal(burn.OtherCustomers))
	g.Expect(r.Lines[0].Windows[0].Total).To(BeEquivalentTo(17000 - 16384))
}

// BenchmarkAddNew shows the memory of one customer of one service.
func BenchmarkAddNew(b *testing.B) {
	b.ReportAllocs()
	recorder, i := burn.New("a"), 0
	for b.Loop() {
		if i++; i%12800 == 0 {
			recorder = burn.New("a")
		}
		s := sample(start, time.Millisecond, "k")
		s.Customer = fmt.Sprint(i)
		recorder.Add(start, s, gate)
	}
}

func BenchmarkAdd(b *testing.B) {
	recorder, s := burn.New("a"), sample(start, time.Millisecond, "k")
	for b.Loop() {
		recorder.Add(start, s, gate)
	}
}
