package chains_test

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/cowslipstage/cowslipstage/standin/sample"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

// Records on a vault's disk are written as before, and those that the build in production
// wrote are read without loss. As long as this holds, production reads what this build
// writes.
func TestRecordsAreWrittenAndReadAsInProduction(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, r := range []chains.Record{&chains.Turn{}, &chains.Hold{}, &chains.Spent{}} {
		name := reflect.TypeOf(r).Elem().Name()
		sample.Fill(r)
		data, err := chains.Encode(nil, r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		written := hex.EncodeToString(data) + "\n"
		goldie.New(t).Assert(t, name, []byte(written))
		before, err := os.ReadFile(filepath.Join("testdata", "production", name+".golden"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(written).To(gomega.Equal(string(before)))
		data, err = hex.DecodeString(strings.TrimSpace(string(before)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		read, err := chains.Decode(data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(read).To(gomega.Equal(r))
	}
}
