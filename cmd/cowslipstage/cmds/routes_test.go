package cmds_test

import (
	"bytes"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/cowslipstage/cowslipstage/cmd/cowslipstage/cmds"
)

// runCheck runs check in the folder of drafts, and returns what it prints to standard output
// and standard error, and its exit code.
func runCheck(t *testing.T, args ...string) (out, problem string, exit int) {
	t.Chdir("../../../platform/testdata/drafts")
	var stdout, stderr bytes.Buffer
	root := cmds.New()
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	root.SetArgs(append([]string{"check"}, args...))
	if err := root.Execute(); err != nil {
		exit = cmds.ExitCode(err)
	}
	return stdout.String(), stderr.String(), exit
}

// Scripts depend on the output and the exit code, and no output may hold a key.
func TestCheckOfRoutes(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		exit int
	}{
		"fine":          {[]string{"--routes", "inforce.json"}, 0},
		"reordered":     {[]string{"--routes", "reordered.json", "--against", "inforce.json"}, 0},
		"changed":       {[]string{"--routes", "next.json", "--against", "inforce.json"}, 0},
		"changed-json":  {[]string{"--routes", "next.json", "--against", "inforce.json", "--output", "json"}, 0},
		"older":         {[]string{"--routes", "inforce.json", "--against", "next.json"}, 1},
		"wrong":         {[]string{"--routes", "wrong.json"}, 1},
		"wrong-json":    {[]string{"--routes", "wrong.json", "--against", "inforce.json", "--output", "json"}, 1},
		"syntax":        {[]string{"--routes", "syntax.json"}, 2},
		"mismatch":      {[]string{"--routes", "mismatch.json", "--output", "json"}, 2},
		"against-wrong": {[]string{"--routes", "inforce.json", "--against", "syntax.json"}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fixtures, err := os.Getwd()
			g.Expect(err).NotTo(HaveOccurred())
			out, problem, exit := runCheck(t, c.args...)
			g.Expect(exit).To(Equal(c.exit), out+problem)
			g.Expect(out + problem).NotTo(ContainSubstring("secret-"))
			if exit == 2 {
				g.Expect(out).To(BeEmpty())
				out = problem
			}
			goldie.New(t, goldie.WithFixtureDir(fixtures+"/testdata/routes")).Assert(t, name, []byte(out))
		})
	}
}

// Wrong usage must not look like a configuration with problems.
func TestUsageOfCheckOfRoutes(t *testing.T) {
	for name, args := range map[string][]string{
		"missing file":   {"--routes", "none.json"},
		"no file":        {"--against", "inforce.json"},
		"empty base":     {"--routes", "inforce.json", "--against", ""},
		"another file":   {"--routes", "inforce.json", "next.json"},
		"unknown output": {"--routes", "inforce.json", "--output", "xml"},
		"unknown flag":   {"--router", "inforce.json"},
		"settings":       {"--routes", "inforce.json", "--settings"},
	} {
		t.Run(name, func(t *testing.T) {
			out, problem, exit := runCheck(t, args...)
			NewWithT(t).Expect(exit).To(Equal(2), out+problem)
		})
	}
}
