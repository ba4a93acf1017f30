package scan_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/protocol/scan"
)

// requests holds connections whose requests are followed to their ends.
var requests = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\nHost: h\nA: b\n\n",
	"POST / HTTP/1.1\r\nHost: h\r\ncontent-LENGTH:  5 \r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 99\r\n\r\n5;x=y\r\nhello\r\n0A\r\n0123456789\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\nB: c\r\n\r\nGET",
	"POST /" + strings.Repeat("x", 300) + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST / HTTP/1.0\r\nContent-Length: 2\r\n\r\nhi",
	"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n",
}

// lost holds connections that are not followed.
var lost = []string{
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 5\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nhello\r\n",
	strings.Repeat("\r\n", 9) + "GET / HTTP/1.1\r\n\r\n",
}

// follow scans data in pieces of at most so many bytes, and returns where the first request ends,
// -1 if it does not, and whether the scanner lost it.
func follow(data []byte, piece int) (int, bool) {
	var s scan.Scanner
	for n := 0; n < len(data); {
		consumed, e := s.Scan(data[n:min(len(data), n+piece)])
		n += consumed
		switch e {
		case scan.End:
			return n, false
		case scan.Lost:
			return -1, true
		}
	}
	return -1, false
}

// readByServer returns where net/http finds the end of the first request, -1 if it reads none.
func readByServer(data []byte) int {
	source := bytes.NewReader(data)
	r := bufio.NewReader(source)
	q, err := http.ReadRequest(r)
	if err != nil {
		return -1
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return -1
	}
	return len(data) - source.Len() - r.Buffered()
}

func TestRequestsAreFollowedToTheirEnds(t *testing.T) {
	for _, text := range requests {
		for _, piece := range []int{1, 2, 7, 1 << 20} {
			g := gomega.NewWithT(t)
			end, gone := follow([]byte(text), piece)
			g.Expect(gone).To(gomega.BeFalse(), "%q", text)
			g.Expect(end).To(gomega.Equal(readByServer([]byte(text))), "%q", text)
		}
	}
	for _, text := range lost {
		for _, piece := range []int{1, 1 << 20} {
			_, gone := follow([]byte(text), piece)
			gomega.NewWithT(t).Expect(gone).To(gomega.BeTrue(), "%q", text)
		}
	}
}

func TestLinesAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	var s scan.Scanner
	text := "POST /x HTTP/1.1\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
	n, e := s.Scan([]byte(text + "1"))
	g.Expect(n).To(gomega.Equal(len(text)))
	g.Expect(e).To(gomega.Equal(scan.HeadEnd))
	g.Expect([]int{s.FirstBytes(), s.HeadBytes(), s.Lines()}).To(gomega.Equal([]int{18, 36, 3}))
	_, e = s.Scan([]byte("1\r\nx\r\n0\r\nB:\r\n\r\n"))
	g.Expect(e).To(gomega.Equal(scan.End))
	g.Expect([]int{s.HeadBytes(), s.Lines()}).To(gomega.Equal([]int{42, 5}), "with the trailer")
	g.Expect(s.Between()).To(gomega.BeTrue())
	_, _ = s.Scan([]byte("G"))
	g.Expect([]int{s.FirstBytes(), s.Lines()}).To(gomega.Equal([]int{1, 0}))
	g.Expect(s.Between()).To(gomega.BeFalse())
}

// Where net/http reads a whole request, the scanner finds the same end or is lost, however the
// bytes are cut.
func FuzzScanner(f *testing.F) {
	for _, text := range append(requests, lost...) {
		f.Add([]byte(text), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		piece = 1 + max(piece, -piece)%64
		end, gone := follow(data, piece)
		whole, goneWhole := follow(data, len(data)+1)
		if end != whole || gone != goneWhole {
			t.Fatalf("%d %t in pieces of %d, %d %t in one", end, gone, piece, whole, goneWhole)
		}
		if read := readByServer(data); read >= 0 && !gone && end != read {
			t.Fatalf("ends at %d, net/http reads up to %d", end, read)
		}
	})
}
