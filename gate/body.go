package gate

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/transport/intake"
)

// defaultBodyBytes bounds a request body if the operators set no limit.
const defaultBodyBytes = 4 << 20

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
	case errors.Is(err, intake.ErrNoRoom):
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
	body, err := intake.ReadBody(http.MaxBytesReader(q.writer, q.httpRequest.Body, limit), length, limit, q.holder)
	if err == nil {
		err = control.SetReadDeadline(time.Time{}) // the caller's leaving is noticed without one
	}
	return body, err
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
