package intake

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/memory"
)

// firstBodyBytes is what is held of a body at first. It doubles as the body arrives.
const firstBodyBytes = 4 << 10

// ErrNoRoom means that there is no memory for a body now.
var ErrNoRoom = errors.New("intake: no memory for the body now")

// ReadBody reads to the end of a body of some length, -1 if it is not known, and at most limit bytes
// and one more. Each buffer is booked at a holder before it is made; it may be nil. A large body gets
// the room for all of it or none: of many that come at once, some are then read to their ends.
func ReadBody(r io.Reader, length, limit int64, h *memory.Holder) ([]byte, error) {
	most := limit + 1 // so that a longer body is noticed
	if length >= 0 {
		most = length
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := min(max(firstBodyBytes, 2*int64(cap(body))), most)
			if length >= 0 && grown > memory.LargeBytes {
				grown = length
			}
			if h != nil && !h.Take(time.Now(), grown) {
				h.Give(int64(cap(body)))
				return nil, ErrNoRoom
			}
			larger := append(make([]byte, 0, grown), body...)
			if h != nil {
				h.Give(int64(cap(body)))
			}
			body = larger
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
