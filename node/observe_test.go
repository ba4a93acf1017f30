package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/burn"
	"github.com/cowslipstage/cowslipstage/state/config"
)

func TestAlertsAreLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	s := setup.Default()
	s.Node.Name = "node-1"
	n := New(&s, zerolog.New(&out))
	defer func() { _ = n.links.Close() }()
	v := &config.Service{Objective: time.Second, Target: 0.99}
	now := time.Now()
	for i := range 20 {
		n.observer.calls.Add(now, burn.Sample{
			Customer: "acme", Service: "gate", Key: fmt.Sprintf("k%02d", i), Outcome: answer.Done,
			Began: now, TotalLatency: time.Duration(i) * time.Second,
		}, v)
	}
	last := map[[2]string]burn.Alert{}
	n.checkObjectives(now, last)
	n.checkObjectives(now, last)
	n.checkObjectives(now.Add(100*time.Hour), last)
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	g.Expect(lines).To(HaveLen(2), out.String())
	var line map[string]any
	g.Expect(json.Unmarshal(lines[0], &line)).To(Succeed())
	g.Expect(line).To(And(
		HaveKeyWithValue("level", "warn"), HaveKeyWithValue("message", "service-level budget burns"),
		HaveKeyWithValue("node", "node-1"), HaveKeyWithValue("service", "gate"), HaveKeyWithValue("customer", "acme"),
		HaveKeyWithValue("alert", "fast"), HaveKeyWithValue("worst", "k19"),
		HaveKeyWithValue("burn_5m0s", BeNumerically("~", 90, 1e-9)), HaveKey("burn_72h0m0s"), HaveKey("left")))
	g.Expect(string(lines[1])).To(ContainSubstring("no longer burns"))
}

// Operators see which endpoint sends what is no answer.
func TestABrokenAnswerIsCountedAndLogged(t *testing.T) {
	g := NewWithT(t)
	var out, served bytes.Buffer
	s := setup.Default()
	n := New(&s, zerolog.New(&out))
	defer func() { _ = n.links.Close() }()
	for attempt, reason := range []string{"garbage", "cut"} {
		n.loads.beginAttempt(uint64(attempt), "engine-1")
		n.emit(core.AttemptFailed{Attempt: uint64(attempt), Reason: reason})
	}
	n.metrics.WritePrometheus(&served)
	g.Expect(served.String()).To(And(ContainSubstring(`attempts_failed_total{reason="garbage"} 1`), ContainSubstring(`attempts_failed_total{reason="cut"} 1`)))
	g.Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(1), out.String())
	g.Expect(out.String()).To(And(ContainSubstring(`"endpoint":"engine-1","reason":"garbage"`), ContainSubstring("no answer")))
}
