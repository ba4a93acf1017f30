package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

func TestTraceOrdersLinesFromSeveralLogs(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
		return path
	}
	gateLog := write("one", "12.5 edge-1 {\"request\":\"r1\",\"time\":\"2026-01-01T00:00:02Z\",\"message\":\"refused\"}\nno object\n{\"request\":\"r2\"}\n")
	vaultLog := write("two", "{\"program\":\"r1\",\"time\":\"2026-01-01T00:00:01Z\",\"message\":\"placed\"}\n{torn r1\n")
	var out bytes.Buffer
	c := New()
	c.SetOut(&out)
	c.SetArgs([]string{"trace", "r1", "--logs", gateLog + "," + vaultLog})
	g.Expect(c.Execute()).To(gomega.Succeed())
	g.Expect(out.String()).To(gomega.MatchRegexp("(?s)placed.*refused"))
	g.Expect(out.String()).NotTo(gomega.ContainSubstring("r2"))
}
