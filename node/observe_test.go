package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

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
			Began: now, Latency: time.Duration(i) * time.Second,
		}, v)
	}
	last := map[[2]string]burn.Alert{}
	n.judge(now, last)
	n.judge(now, last)
	n.judge(now.Add(100*time.Hour), last)
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
