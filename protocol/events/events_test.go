package events_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/protocol/events"
)

const stream = "id: 1\ndata: one\n\nversions: 3\nid: 2\ndata: two\ndata: lines\n\nid: 3\r\ndata:three\r\n\r\n: comment\n\nid: 4\ndata: cut"

// However the bytes are cut on their way, the same events come out, unchanged.
func TestCutsDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		var s events.Split
		passed, count := "", 0
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			whole, c := s.Add([]byte(rest[:n]))
			passed, count, rest = passed+string(whole), count+c, rest[n:]
		}
		g.Expect(passed).To(gomega.Equal(stream[:len(stream)-len("id: 4\ndata: cut")]))
		g.Expect(count).To(gomega.Equal(4))
		g.Expect(s.Rest()).To(gomega.Equal(len("id: 4\ndata: cut")))
		g.Expect(string(events.Data(nil, []byte(passed)))).To(gomega.Equal("one\ntwo\nlines\nthree\n"))
	})
}
