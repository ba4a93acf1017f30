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

// made finds the names of metrics where the code makes them.
var made = regexp.MustCompile("(?:New|GetOrCreate)(?:Counter|Histogram|Gauge)\\((?:fmt\\.Sprintf\\()?[\"`]([a-z_]+)")

// The table of metrics names every one that the code makes, and no other.
func TestTheTableOfMetricsIsTheCodes(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(filepath.Join("operate", "metrics.md"))
	g.Expect(err).NotTo(HaveOccurred())
	told := map[string]bool{}
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		for _, m := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(strings.Split(line, "|")[1], -1) {
			told[m[1]] = true
		}
	}
	found := map[string]bool{}
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range made.FindAllStringSubmatch(string(data), -1) {
			found[m[1]] = true
		}
		return err
	})
	g.Expect(err).NotTo(HaveOccurred())
	for name := range found {
		g.Expect(told).To(HaveKey(name), "not in the table")
	}
	for name := range told {
		if strings.HasPrefix(name, "cowslipstage_") {
			g.Expect(found).To(HaveKey(name), "not in the code")
		}
	}
}
