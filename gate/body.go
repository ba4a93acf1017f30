package gate

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/transport/intake"
)

const (
	// defaultBodyBytes bounds a request body if the operators set no limit.
	defaultBodyBytes = 4 << 20
	// firstBodyBytes is what is held of a body at first. It doubles as the body arrives.
	firstBodyBytes = 4 << 10
)

// errNoRoom means that this gate has no memory for a request now.
var errNoRoom = errors.New("gate: no memory for the request now")

// readBody reads the whole body, because it may be sent to several endpoints
// and kept by the vaults. It reports whether it succeeded; if not, the caller
// has been refused.
func (g *Gate) readBody(q *request, limits table.Limits) bool {
	limit := limits.Body
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := q.readWithin(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		q.body = body
		return true
	case errors.As(err, &tooLarge):
		g.refuseUnread(q, http.StatusRequestEntityTooLarge, "body over the limit")
	case errors.Is(err, errNoRoom):
		g.refuseUnread(q, http.StatusServiceUnavailable, "this gate has no room for its body now; it has not run")
	case errors.IsAny(err, os.ErrDeadlineExceeded, intake.ErrEnded):
		g.refuseUnread(q, http.StatusRequestTimeout, "its body did not arrive in time; it has not run")
	default:
		g.refuseUnread(q, http.StatusBadRequest, "body not read: "+err.Error())
	}
	return false
}

// readWithin reads the body, at most limit bytes and until the request's deadline.
func (q *request) readWithin(limit int64) ([]byte, error) {
	length := q.httpRequest.ContentLength
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if length == 0 {
		return nil, nil
	}
	control := http.NewResponseController(q.writer)
	if err := control.SetReadDeadline(q.deadline); err != nil {
		return nil, err
	}
	body, err := readBooked(http.MaxBytesReader(q.writer, q.httpRequest.Body, limit), length, limit, q.holder)
	if err == nil {
		err = control.SetReadDeadline(time.Time{}) // the caller's leaving is noticed without one
	}
	return body, err
}

// readBooked reads to the end of a body of some length, -1 if it is not known, and at most limit
// bytes. Each buffer is booked before it is made. A large body gets the room for all of it or is
// refused: of many that come at once, some are then read to their ends.
func readBooked(r io.Reader, length, limit int64, h *memory.Holder) ([]byte, error) {
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
			if !take(h, grown) {
				give(h, int64(cap(body)))
				return nil, errNoRoom
			}
			larger := append(make([]byte, 0, grown), body...)
			give(h, int64(cap(body)))
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

// take books bytes at a holder, which may be nil.
func take(h *memory.Holder, n int64) bool { return h == nil || h.Take(time.Now(), n) }

// give gives bytes back that were booked.
func give(h *memory.Holder, n int64) {
	if h != nil {
		h.Give(n)
	}
}

// refuseUnread refuses a request that was not read to its end, or for which there is no room. Such
// requests may be many at once.
func (g *Gate) refuseUnread(q *request, status int, reason string) {
	q.log = &g.unread
	q.writer.Header().Set("Connection", "close")
	g.refuse(q, status, reason)
}
