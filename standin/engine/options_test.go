package engine_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/standin/engine"
)

var _ = Describe("an engine's options", func() {
	It("are read from the example", func() {
		o, err := engine.LoadOptions("../../examples/engine.ini")
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Decode).To(Equal(20 * time.Millisecond))
		Expect(o.CacheTokens).To(Equal(60000))
	})

	It("fail to load with the file name and section in the error", func() {
		file := filepath.Join(GinkgoT().TempDir(), "wrong.ini")
		Expect(os.WriteFile(file, []byte("[engine]\nslots = many\n"), 0o600)).To(Succeed())
		_, err := engine.LoadOptions(file)
		Expect(err).To(MatchError(And(ContainSubstring(file), ContainSubstring("[engine]"))))
	})
})
