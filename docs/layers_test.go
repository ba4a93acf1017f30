// Package docs tests statements of the documentation about the code.
package docs

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// layers lists the layers, lowest first. A layer imports only itself and lower ones.
var layers = []string{"state", "coordination", "protocol", "transport"}

const module = "github.com/cowslipstage/cowslipstage/"

func layerIndex(path string) int {
	for i, l := range layers {
		if strings.HasPrefix(path, l+"/") {
			return i
		}
	}
	return len(layers)
}

func TestImportsPointDown(t *testing.T) {
	g := NewWithT(t)
	for i, l := range layers {
		err := filepath.WalkDir(filepath.Join("..", l), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, s := range f.Imports {
				name, internal := strings.CutPrefix(strings.Trim(s.Path.Value, `"`), module)
				if internal {
					g.Expect(layerIndex(name)).To(BeNumerically("<=", i), "%s imports %s", path, name)
				}
			}
			return nil
		})
		g.Expect(err).NotTo(HaveOccurred())
	}
}
