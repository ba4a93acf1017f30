package whole

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// bufferBytes is what a reader holds of a connection.
	bufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer. An endpoint in trouble may send bytes without end.
	maxHeadBytes = 64 << 10
)

// Reader reads answers from one connection.
type Reader struct {
	conn io.Reader
	// buffer holds the bytes that were read and not handed on. It is larger while a head is long.
	buffer *bufio.Reader
}

// NewReader returns a reader of a connection.
func NewReader(conn io.Reader) *Reader {
	return &Reader{conn: conn, buffer: bufio.NewReaderSize(conn, bufferBytes)}
}

// Buffered returns how many bytes were read that belong to no answer yet.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// Next reads the head of the next answer to a request with the given method. The body is read from the
// reader's connection. Errors of what is no answer are marked with ErrMalformed.
func (r *Reader) Next(method string) (*http.Response, error) {
	if r.buffer.Size() > bufferBytes && r.buffer.Buffered() == 0 {
		r.buffer = bufio.NewReaderSize(r.conn, bufferBytes)
	}
	if err := r.awaitHead(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(r.buffer, &http.Request{Method: method})
	if err != nil {
		return nil, errors.Mark(err, ErrMalformed)
	}
	return response, nil
}

// awaitHead returns once the buffer holds a whole head that is sound.
func (r *Reader) awaitHead() error {
	var h head
	for read := 0; ; {
		held, err := r.buffer.Peek(r.buffer.Buffered())
		if err != nil {
			return err
		}
		for n := bytes.IndexByte(held[read:], '\n'); n >= 0; n = bytes.IndexByte(held[read:], '\n') {
			line := bytes.TrimSuffix(held[read:read+n], []byte("\r"))
			read += n + 1
			if end, err := h.add(line); end || err != nil {
				return err
			}
		}
		if err := r.fill(held); err != nil {
			return err
		}
	}
}

// errLongHead means that a head does not end in time.
var errLongHead = malformed("the head is too long")

// fill reads more of a head of which held is in the buffer.
func (r *Reader) fill(held []byte) error {
	switch {
	case len(held) >= maxHeadBytes:
		return errLongHead
	case len(held) == r.buffer.Size():
		both := io.MultiReader(bytes.NewReader(bytes.Clone(held)), r.conn)
		r.buffer = bufio.NewReaderSize(both, maxHeadBytes)
	}
	_, err := r.buffer.Peek(len(held) + 1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
