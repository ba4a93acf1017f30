package report_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/cowslipstage/cowslipstage/bench/report"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/burn"
	"github.com/cowslipstage/cowslipstage/state/config"
)

func example() burn.Report {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	b := burn.New("node-1")
	for i := range 200 {
		s := burn.Sample{
			Customer: "brennecke", Service: "gate", Program: "p1", Key: fmt.Sprintf("k%d", i),
			Outcome: answer.Done, Began: start, TotalLatency: time.Duration(100+i*20) * time.Millisecond,
		}
		if i == 199 {
			s.Outcome, s.Reason = answer.Unknown, "<owner>"
		}
		b.Add(start, s, &config.Service{Objective: 3 * time.Second, Target: 0.9})
	}
	return b.Report(start)
}

func TestText(t *testing.T) {
	var b bytes.Buffer
	NewWithT(t).Expect(report.Text(&b, example())).To(Succeed())
	goldie.New(t).Assert(t, "text", b.Bytes())
}

func TestHTMLIsSelfContained(t *testing.T) {
	for name, r := range map[string]burn.Report{"example": example(), "empty": {}} {
		g := NewWithT(t)
		var b bytes.Buffer
		g.Expect(report.HTML(&b, r)).To(Succeed(), name)
		g.Expect(bytes.Count(b.Bytes(), []byte(`src="data:image/svg`))).To(Equal(2))
		g.Expect(b.String()).NotTo(ContainSubstring("http"))
		g.Expect(b.String()).NotTo(ContainSubstring("<owner>"))
	}
}
