package work_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/bench/work"
	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/protocol/ticket"
	"github.com/cowslipstage/cowslipstage/state/config"
)

func experiment(t *testing.T, name string) *work.Experiment {
	t.Helper()
	g := gomega.NewWithT(t)
	data, err := examples.Files.ReadFile("experiments/" + name + ".ini")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	e, err := work.Parse(name, data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return e
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"brennecke", "acoepele"} {
		g := gomega.NewWithT(t)
		e := experiment(t, name)
		g.Expect(e.Capacity()).To(gomega.BeNumerically(">", 1))
		k, err := ticket.Parse(name, e.Ticket())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		c, err := k.Apply(config.New())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(c.Endpoints).To(gomega.HaveLen(e.Engines + e.Desks))
	}
}

func TestArrivals(t *testing.T) {
	g := gomega.NewWithT(t)
	e := experiment(t, "brennecke")
	first := work.Arrivals(e, 1, "s1", 40, 60*time.Second)
	g.Expect(work.Arrivals(e, 1, "s1", 40, 60*time.Second)).To(gomega.Equal(first))
	g.Expect(work.Arrivals(e, 2, "s2", 40, 60*time.Second)).NotTo(gomega.Equal(first))
	g.Expect(len(first)).To(gomega.BeNumerically("~", 2400, 250))
	burst, tools, agents := 0, 0, 0
	for _, a := range first {
		if a.At%e.Period < time.Duration(float64(e.Period)*e.Duty) {
			burst++
		}
		for _, x := range a.Program.Tasks {
			for _, s := range x.Steps {
				agents += len(s.Agents)
				if s.Tool != nil {
					tools++
				}
			}
		}
	}
	g.Expect(float64(burst) / float64(len(first))).To(gomega.BeNumerically("~", e.Burst*e.Duty, 0.05))
	g.Expect(tools).To(gomega.BeNumerically(">", 1000))
	g.Expect(agents).To(gomega.BeNumerically(">", 100))
}

func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		"[experiment]\nengines = 1": "x: [experiment] customer: must be set",
		"[surprise]\na = 1":         "x: [surprise]: no such section",
		"[engine]\nslots = many":    "x: [engine]",
		"[experiment]\ncustomer = c\nengines = 1\ndesks = 1\ntime = 1s\nburst = 5\nduty = 0.5": "burst × duty must be below 1",
	} {
		_, err := work.Parse("x", []byte(text))
		gomega.NewWithT(t).Expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)))
	}
}
