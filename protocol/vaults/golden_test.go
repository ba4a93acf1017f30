package vaults_test

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

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/standin/sample"
)

// productionFolder holds the messages as the build in production writes them.
const productionFolder = "testdata/production"

// kinds holds an empty message of each kind.
var kinds = []vaults.Message{
	&vaults.Begin{}, &vaults.BeginReply{}, &vaults.End{}, &vaults.EndReply{}, &vaults.Fetch{}, &vaults.FetchReply{},
	&vaults.List{}, &vaults.ListReply{}, &vaults.Get{}, &vaults.GetReply{}, &vaults.Adopt{}, &vaults.AdoptReply{},
	&vaults.AwaitView{}, &vaults.AwaitViewReply{}, &vaults.Load{}, &vaults.LoadReply{},
}

func kindName(m vaults.Message) string { return reflect.TypeOf(m).Elem().Name() }

// encode returns a message with all fields set as hexadecimal text.
func encode(g *gomega.WithT, m vaults.Message) string {
	sample.Fill(m)
	data, err := vaults.Encode(m)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return hex.EncodeToString(data) + "\n"
}

// A change of what is sent shows up here, and whoever makes it thinks of builds that run
// side by side.
func TestMessagesAreWrittenAsBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, m := range kinds {
		goldie.New(t).Assert(t, kindName(m), []byte(encode(g, m)))
	}
}

// production returns a message as the build in production writes it.
func production(g *gomega.WithT, name string) []byte {
	text, err := os.ReadFile(filepath.Join(productionFolder, name+".golden"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	data, err := hex.DecodeString(strings.TrimSpace(string(text)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return data
}

// This build reads what production writes, and loses none of it.
func TestMessagesOfProductionAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, m := range kinds {
		written := production(g, kindName(m))
		read, err := vaults.Decode(written)
		g.Expect(err).NotTo(gomega.HaveOccurred(), kindName(m))
		again, err := vaults.Encode(read)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(hex.EncodeToString(again)).To(gomega.Equal(hex.EncodeToString(written)), kindName(m))
	}
}

// Production reads what this build writes: the fields that it knows have kept their
// numbers and types. It ignores further ones.
func TestProductionReadsWhatIsWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, m := range kinds {
		sample.Fill(m)
		now, err := vaults.Encode(m)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		before := production(g, kindName(m))
		g.Expect(now[0]).To(gomega.Equal(before[0]), "kind of %s", kindName(m))
		var known, written any
		g.Expect(cbor.Unmarshal(before[1:], &known)).To(gomega.Succeed())
		g.Expect(cbor.Unmarshal(now[1:], &written)).To(gomega.Succeed())
		g.Expect(sample.Changes(known, written, kindName(m))).To(gomega.BeEmpty())
	}
}
