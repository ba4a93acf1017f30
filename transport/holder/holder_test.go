package holder_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/hold"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/transport/holder"
)

func holdBatch(g Gomega, h *holder.Holder, epoch, number uint64, text string) (*frame.Held, error) {
	data, err := cbor.Marshal(hold.Batch{Number: number, Epoch: epoch, Data: []byte(text)})
	g.Expect(err).NotTo(HaveOccurred())
	return h.Hold(frame.Hold{Shard: 2, Epoch: epoch, Number: number, Data: data, Boot: h.Boot()})
}

func sealedTexts(g Gomega, h *holder.Holder, epoch uint64) []string {
	reply, err := h.Seal(frame.Seal{Shard: 2, Epoch: epoch, Boot: h.Boot()})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.MemoryLost || reply.More || reply.NewerEpoch > 0).To(BeFalse())
	var all []string
	for _, data := range reply.Batches {
		var b hold.Batch
		g.Expect(cbor.Unmarshal(data, &b)).To(Succeed())
		all = append(all, string(b.Data))
	}
	return all
}

func TestHolderWithFolderSurvivesRestart(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	h, err := holder.New(folder, 1000)
	g.Expect(err).NotTo(HaveOccurred())
	for i, text := range []string{"one", "two", "three"} {
		reply, err := holdBatch(g, h, 4, uint64(i+7), text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.SealedEpoch).To(BeZero())
	}
	_, err = h.Hold(frame.Hold{Shard: 2, Epoch: 4, DropBelow: 8, Boot: h.Boot()})
	g.Expect(err).NotTo(HaveOccurred())

	again, err := holder.New(folder, 1000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Boot()).To(Equal(h.Boot()))
	g.Expect(sealedTexts(g, again, 5)).To(Equal([]string{"two", "three"}))

	third, err := holder.New(folder, 1000)
	g.Expect(err).NotTo(HaveOccurred())
	reply, err := holdBatch(g, third, 4, 10, "late")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.SealedEpoch).To(Equal(uint64(5)), "the seal survives too")
	g.Expect(sealedTexts(g, third, 5)).To(Equal([]string{"two", "three"}))

	g.Expect(third.Supersede(2, 6)).To(Succeed())
	files, err := filepath.Glob(filepath.Join(folder, "hold", "2", "*"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(HaveLen(1), "only the file sealed remains")
}

func TestHolderWithoutFolderChangesBootAfterRestart(t *testing.T) {
	g := NewWithT(t)
	h, err := holder.New("", 1000)
	g.Expect(err).NotTo(HaveOccurred())
	again, err := holder.New("", 1000)
	g.Expect(err).NotTo(HaveOccurred())
	reply, err := again.Seal(frame.Seal{Shard: 2, Epoch: 5, Boot: h.Boot()})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.MemoryLost).To(BeTrue())
	_, err = again.Hold(frame.Hold{Shard: 2, Epoch: 5, Number: 1, Boot: h.Boot()})
	g.Expect(errors.Is(err, holder.ErrBadBatch)).To(BeTrue())
}

func TestHolderRefusesOversizedAndMalformedBatches(t *testing.T) {
	g := NewWithT(t)
	h, err := holder.New("", 5)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = holdBatch(g, h, 4, 7, "12345")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = holdBatch(g, h, 4, 8, "6")
	g.Expect(errors.Is(err, holder.ErrFull)).To(BeTrue())
	_, err = h.Hold(frame.Hold{Shard: 2, Epoch: 4, Number: 9, Data: []byte{0xff}, Boot: h.Boot()})
	g.Expect(errors.Is(err, holder.ErrBadBatch)).To(BeTrue())
}

func TestErrorNamesUnreadableBatchFile(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	h, err := holder.New(folder, 1000)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = holdBatch(g, h, 4, 7, "one")
	g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(folder, "hold", "2", "4-7")
	g.Expect(os.WriteFile(path, []byte{0xff}, 0o600)).To(Succeed())
	_, err = holder.New(folder, 1000)
	g.Expect(errors.Is(err, holder.ErrDisk)).To(BeTrue())
	g.Expect(err).To(MatchError(ContainSubstring(path)))
}

func TestHolderChangesBootWhenFolderFails(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	h, err := holder.New(folder, 1000)
	g.Expect(err).NotTo(HaveOccurred())
	boot := h.Boot()
	_, err = holdBatch(g, h, 4, 7, "one")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.RemoveAll(filepath.Join(folder, "hold"))).To(Succeed())
	g.Expect(os.WriteFile(filepath.Join(folder, "hold"), nil, 0o600)).To(Succeed())
	_, err = holdBatch(g, h, 4, 8, "two")
	g.Expect(errors.Is(err, holder.ErrDisk)).To(BeTrue())
	g.Expect(h.Boot()).NotTo(Equal(boot), "no further batch is acknowledged under the old boot")
	reply, err := h.Seal(frame.Seal{Shard: 2, Epoch: 5, Boot: boot})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.MemoryLost).To(BeTrue())
}
