package wallog

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"
)

// Bytes are written in their order, whatever was added short or long, and after the buffer was cleared.
func TestABufferKeepsTheOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	var b buffer
	for range 3 {
		var want, got bytes.Buffer
		for i, n := range []int{8, 100, 8, longBytes, 8, longBytes - 1, longBytes + 1, longBytes, 8, 3} {
			data := bytes.Repeat([]byte{byte('a' + i)}, n)
			want.Write(data)
			b.add(data)
		}
		g.Expect(b.size).To(gomega.Equal(int64(want.Len())))
		g.Expect(b.writeTo(&got)).To(gomega.Succeed())
		g.Expect(bytes.Equal(got.Bytes(), want.Bytes())).To(gomega.BeTrue())
		b.clear()
		g.Expect(b.size).To(gomega.BeZero())
		got.Reset()
		g.Expect(b.writeTo(&got)).To(gomega.Succeed())
		g.Expect(got.Len()).To(gomega.BeZero())
	}
}
