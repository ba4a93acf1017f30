package node

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/state/config"
)

func bare(t *testing.T, data string) *Node {
	t.Helper()
	s := setup.Default()
	s.Node.Name, s.Node.Data = "node-1", data
	n := New(&s, zerolog.Nop())
	t.Cleanup(func() { _ = n.links.Close() })
	return n
}

func encoded(t *testing.T, revision uint64) []byte {
	t.Helper()
	c := config.New()
	c.Revision = revision
	data, err := cbor.Marshal(c)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return data
}

func TestConfigurationOutlivesTheProcess(t *testing.T) {
	g := NewWithT(t)
	folder := filepath.Join(t.TempDir(), "data")
	n := bare(t, folder)
	n.recall()
	g.Expect(n.current().Revision).To(BeZero())
	n.learn(encoded(t, 7))
	n.learn(encoded(t, 6))
	g.Expect(n.current().Revision).To(Equal(uint64(7)), "it never reverts")
	again := bare(t, folder)
	again.recall()
	g.Expect(again.current().Revision).To(Equal(uint64(7)))
	g.Expect(os.WriteFile(filepath.Join(folder, configFile), []byte("garbage"), 0o600)).To(Succeed())
	broken := bare(t, folder)
	broken.recall()
	g.Expect(broken.current().Revision).To(BeZero(), "the node goes on without it")
}

func TestHostileConfigurationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	n := bare(t, "")
	n.learn(encoded(t, 7))
	squeezed, err := frame.Compress(encoded(t, 8))
	g.Expect(err).NotTo(HaveOccurred())
	bomb, err := frame.Compress(make([]byte, 32<<20))
	g.Expect(err).NotTo(HaveOccurred())
	for _, data := range [][]byte{nil, {0xff}, squeezed[:len(squeezed)-4], bomb} {
		n.given("evil", frame.Config{Data: data})
		g.Expect(n.current().Revision).To(Equal(uint64(7)))
	}
	n.given("peer", frame.Config{Data: squeezed})
	g.Expect(n.current().Revision).To(Equal(uint64(8)))
}
