package store_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/standin/broken"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// A status says something of the key only if it comes with an answer. Otherwise a write may have taken effect.
func TestABrokenAnswerSaysNothingOfTheKey(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		end    broken.End
	}{
		"status 000":     {"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}", broken.CloseThenReset},
		"blank, found":   {"HTTP/1.1 200 OK\r\nA b: x\r\nContent-Length: 2\r\n\r\n{}", broken.CloseThenReset},
		"blank, missing": {"HTTP/1.1 404 Not Found\r\nA b: x\r\nContent-Length: 2\r\n\r\n{}", broken.CloseThenReset},
		"blank, other":   {"HTTP/1.1 409 Conflict\r\nContent-Length : 2\r\n\r\n{}", broken.CloseThenReset},
		"reset, missing": {"HTTP/1.1 404 Not Found\r\n\r\n{", broken.Reset}, "reset, other": {"HTTP/1.1 409 Conflict\r\n\r\n{", broken.Reset},
		"short":    {"HTTP/1.1 409 Conflict\r\nContent-Length: 3\r\n\r\n{}", broken.CloseThenReset},
		"no bytes": {"", broken.CloseThenReset},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e, err := broken.Listen(c.answer, c.end, 0)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = e.Close() })
			s := store.New(e.Addr(), 5*time.Second)
			_, err = s.Get(t.Context(), "key")
			g.Expect(errors.Is(err, store.ErrUnknown)).To(gomega.BeTrue(), "%v", err)
			for range 20 {
				for _, size := range []int{1, 6 << 20} {
					_, err := s.Put(t.Context(), "key", make([]byte, size), 1, "")
					g.Expect(errors.Is(err, store.ErrUnknown)).To(gomega.BeTrue(), "%d bytes: %v", size, err)
				}
			}
		})
	}
}
