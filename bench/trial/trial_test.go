package trial_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/bench/trial"
	"github.com/cowslipstage/cowslipstage/bench/work"
	"github.com/cowslipstage/cowslipstage/examples"
)

// TestRun checks that in a short trial of the product's policy and of the sticky policy
// all messages are answered and no rule is violated.
func TestRun(t *testing.T) {
	g := gomega.NewWithT(t)
	data, err := examples.Files.ReadFile("experiments/brennecke.ini")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	e, err := work.Parse("brennecke", data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	e.Warm, e.Time = 200*time.Millisecond, time.Second
	for _, p := range []trial.Policy{trial.Policies()[0], trial.Policies()[3]} {
		r, err := trial.Run(t.Context(), trial.Options{
			Experiment: e, Policy: p, Seed: 1, Load: 0.2, Nodes: 2, Log: zerolog.Nop(),
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Violations).To(gomega.BeZero(), "%s: %v", p.Name, r.Details)
		g.Expect(r.Answered).To(gomega.BeNumerically(">", 0))
		g.Expect(r.Broken + r.Unfinished).To(gomega.BeZero())
		g.Expect(r.Hits).To(gomega.BeNumerically(">", 0.1))
	}
}

func TestFindPolicy(t *testing.T) {
	g := gomega.NewWithT(t)
	p, err := trial.FindPolicy("attained+least")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p).To(gomega.Equal(trial.Policy{Name: "attained+least", Queue: "attained", Route: "least"}))
	_, err = trial.FindPolicy("best")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("allowed are")))
}
