package whole_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/cowslipstage/cowslipstage/transport/whole"
)

// read reads answers to GET from a connection until one fails, and returns a line for each.
func read(conn io.Reader) string {
	var lines strings.Builder
	for r := whole.NewReader(conn); ; {
		response, err := r.Next(http.MethodGet)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			fmt.Fprintln(&lines, "  end")
			return lines.String()
		}
		if err != nil {
			fmt.Fprintf(&lines, "  no answer: %v, malformed: %t\n", err, errors.Is(err, whole.ErrMalformed))
			return lines.String()
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		fmt.Fprintf(&lines, "  %d, A: %q, length %d, %v, close %t, body %q, %v\n", response.StatusCode, response.Header["A"],
			response.ContentLength, response.TransferEncoding, response.Close, body, err)
	}
}

// The golden file shows what counts as an answer, also where its bytes come one by one.
func TestWhatCountsAsAnAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	const ok, end = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n\r\nbody"
	var shown strings.Builder
	for _, text := range []string{
		ok + end, ok + "\r\nbody", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.0 200 OK\r\n" + end, "HTTP/1.1 200\r\n" + end,
		"HTTP/1.1 200 \r\n" + end, "HTTP/1.1 404 Nicht gef\xfcnden\r\n" + end, "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" + ok + end,
		"HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", ok + end + ok + end, ok + "A:  x\ty \r\nA:\r\na: \xc3\xa4\r\n" + end, "HTTP/1.1 599 Last\r\n" + end,
		"", "no answer\r\n\r\n", "HTTP/1.1 000 None\r\n" + end, "HTTP/1.1 099 None\r\n" + end, "HTTP/1.1 600 None\r\n" + end, "HTTP/1.1 +20 OK\r\n" + end,
		"HTTP/1.1 2000 OK\r\n" + end, "HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/2.0 200 OK\r\n" + end, "HTTP/1.1 200 O\x00K\r\n" + end, "\r\n" + ok + end,
		ok + "A b: x\r\n" + end, ok + "A : x\r\n" + end, ok + "Content-Length : 4\r\n\r\nbody", ok + "A: x\r\n Content-Length: 4\r\n\r\nbody", ok + "\tA: x\r\n" + end,
		ok + ": x\r\n" + end, ok + "A\r\n" + end, ok + "A\x01: x\r\n" + end, ok + "A: x\rB: y\r\n" + end, ok + "A: \x00\r\n" + end, ok + "A: x\r\r\n" + end,
		ok + strings.Repeat("n", 100) + " : x\r\n" + end, ok + "Content-Length: 5\r\n" + end, ok + "Transfer-Encoding: gzip\r\n\r\nbody",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ok + "Transfer-Encoding: chunked\r\n" + "Content-Length: 9\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		ok + "Content-Length: 4\r\n\r\nbo", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", ok + "A: x\r\n",
	} {
		result := read(strings.NewReader(text))
		g.Expect(read(iotest.OneByteReader(strings.NewReader(text)))).To(gomega.Equal(result), "%q", text)
		fmt.Fprintf(&shown, "%q\n%s", text, result)
	}
	goldie.New(t).Assert(t, "answers", []byte(shown.String()))
}

// A head may be longer than what a reader usually holds, up to a bound.
func TestALongHeadIsReadWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 4 << 10
	for _, n := range []int{size - 64, size - 1, size, size + 1, 63 << 10, 64 << 10, 1 << 20} {
		long := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", n) + "\r\nContent-Length: 4\r\n\r\nbody"
		r := whole.NewReader(strings.NewReader(long + long))
		for range 2 {
			response, err := r.Next(http.MethodGet)
			if n >= 64<<10 {
				g.Expect(errors.Is(err, whole.ErrMalformed)).To(gomega.BeTrue(), "%d: %v", n, err)
				break
			}
			g.Expect(err).NotTo(gomega.HaveOccurred(), "%d", n)
			g.Expect(response.Header.Get("A")).To(gomega.HaveLen(n))
			body, err := io.ReadAll(response.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred(), "%d", n)
			g.Expect(string(body)).To(gomega.Equal("body"))
			g.Expect(response.Body.Close()).To(gomega.Succeed())
		}
	}
}
