package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// metricName matches the creation of a metric in the code and captures its name.
var metricName = regexp.MustCompile("(?:New|GetOrCreate)(?:Counter|Histogram|Gauge)\\((?:fmt\\.Sprintf\\()?[\"`]([a-z_]+)")

// The table of metrics must list every metric that the code creates and no other.
func TestMetricsTableMatchesTheCode(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("operate", "metrics.md"))
	g.Expect(err).NotTo(HaveOccurred())
	documented := map[string]bool{}
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		for _, m := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(strings.Split(line, "|")[1], -1) {
			documented[m[1]] = true
		}
	}
	created := map[string]bool{}
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range metricName.FindAllStringSubmatch(string(data), -1) {
			created[m[1]] = true
		}
		return err
	})
	g.Expect(err).NotTo(HaveOccurred())
	for name := range created {
		g.Expect(documented).To(HaveKey(name), "not in the table")
	}
	for name := range documented {
		if strings.HasPrefix(name, "cowslipstage_") {
			g.Expect(created).To(HaveKey(name), "not in the code")
		}
	}
}
