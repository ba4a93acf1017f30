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

func newBareNode(t *testing.T, data string) *Node {
	t.Helper()
	s := setup.Default()
	s.Node.Name, s.Node.Data = "node-1", data
	n := New(&s, zerolog.Nop())
	t.Cleanup(func() { _ = n.links.Close() })
	return n
}

func encodeConfig(t *testing.T, revision uint64) []byte {
	t.Helper()
	c := config.New()
	c.Revision = revision
	data, err := cbor.Marshal(c)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return data
}

func TestConfigurationSurvivesARestart(t *testing.T) {
	g := NewWithT(t)
	folder := filepath.Join(t.TempDir(), "data")
	n := newBareNode(t, folder)
	n.loadConfig()
	g.Expect(n.currentConfig().Revision).To(BeZero())
	n.applyConfig(encodeConfig(t, 7))
	n.applyConfig(encodeConfig(t, 6))
	g.Expect(n.currentConfig().Revision).To(Equal(uint64(7)), "it never reverts")
	restarted := newBareNode(t, folder)
	restarted.loadConfig()
	g.Expect(restarted.currentConfig().Revision).To(Equal(uint64(7)))
	g.Expect(os.WriteFile(filepath.Join(folder, configFile), []byte("garbage"), 0o600)).To(Succeed())
	corrupted := newBareNode(t, folder)
	corrupted.loadConfig()
	g.Expect(corrupted.currentConfig().Revision).To(BeZero(), "the node goes on without it")
}

func TestHostileConfigurationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	n := newBareNode(t, "")
	n.applyConfig(encodeConfig(t, 7))
	compressed, err := frame.Compress(encodeConfig(t, 8))
	g.Expect(err).NotTo(HaveOccurred())
	bomb, err := frame.Compress(make([]byte, 32<<20))
	g.Expect(err).NotTo(HaveOccurred())
	for _, data := range [][]byte{nil, {0xff}, compressed[:len(compressed)-4], bomb} {
		n.receiveConfig("evil", frame.Config{Data: data})
		g.Expect(n.currentConfig().Revision).To(Equal(uint64(7)))
	}
	n.receiveConfig("peer", frame.Config{Data: compressed})
	g.Expect(n.currentConfig().Revision).To(Equal(uint64(8)))
}
