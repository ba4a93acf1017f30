package chains_test

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/cowslipstage/cowslipstage/standin/sample"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

// addedFields names the fields that production does not know, by record. It ignores them,
// and a record without them is written as production writes it. Each has its case in
// docs/design/compat.md.
var addedFields = map[string][]uint64{"Turn": {10, 11}}

// Records that the build in production wrote are read without loss and written again byte
// for byte. What is written now has every field of them with its type, and no further
// field but those listed. As long as this holds, production reads what this build writes.
func TestRecordsAreWrittenAndReadAsInProduction(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, r := range []chains.Record{&chains.Turn{}, &chains.Hold{}, &chains.Spent{}} {
		name := reflect.TypeOf(r).Elem().Name()
		sample.Fill(r)
		written, err := chains.Encode(nil, r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		goldie.New(t).Assert(t, name, []byte(hex.EncodeToString(written)+"\n"))
		text, err := os.ReadFile(filepath.Join("testdata", "production", name+".golden"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		before, err := hex.DecodeString(strings.TrimSpace(string(text)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		read, err := chains.Decode(before)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		again, err := chains.Encode(nil, read)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again).To(gomega.Equal(before), name)
		g.Expect(written[0]).To(gomega.Equal(before[0]), "kind of %s", name)
		var known, now map[any]any
		g.Expect(cbor.Unmarshal(before[1:], &known)).To(gomega.Succeed())
		g.Expect(cbor.Unmarshal(written[1:], &now)).To(gomega.Succeed())
		g.Expect(sample.Changes(known, now, name)).To(gomega.BeEmpty())
		for _, n := range addedFields[name] {
			g.Expect(now).To(gomega.HaveKey(n), "added to %s", name)
			delete(now, n)
		}
		g.Expect(now).To(gomega.Equal(known), name)
	}
}
