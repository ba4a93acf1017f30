package edge

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/protocol/caller"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// answerWriter writes one answer to a caller, as JSON or as a stream of events.
type answerWriter struct {
	response http.ResponseWriter
	key      string
	model    string
	// maxTokens is the caller's token limit; 0 means none.
	maxTokens    int
	created      int64
	streaming    bool
	writeTimeout time.Duration
	// headersSent is set once a stream's headers are written.
	headersSent bool
	// disconnected is set when the caller has gone or a write failed.
	disconnected bool
	// text is the text received so far. A streaming caller has been sent all of it.
	text []byte
	// firstPiece and lastPiece are arrival times; pieces counts the arrivals.
	firstPiece, lastPiece time.Time
	pieces                int
}

// pieceFit tells how a piece of text relates to the text received so far.
type pieceFit uint8

const (
	// pieceFits means that the piece continues or repeats the text.
	pieceFits pieceFit = iota
	// pieceGap means that text before the piece is missing.
	pieceGap
	// pieceConflict means that the piece contradicts the text.
	pieceConflict
)

// addPiece adds a reply's text at its offset and drops the part already received.
func (w *answerWriter) addPiece(offset int, text string) pieceFit {
	if offset < 0 || offset > len(w.text) {
		return pieceGap
	}
	overlap := min(len(w.text)-offset, len(text))
	if string(w.text[offset:offset+overlap]) != text[:overlap] {
		return pieceConflict
	}
	if added := text[overlap:]; added != "" {
		w.appendText(added)
	}
	return pieceFits
}

func (w *answerWriter) appendText(added string) {
	w.text = append(w.text, added...)
	w.lastPiece = time.Now()
	if w.pieces == 0 {
		w.firstPiece = w.lastPiece
	}
	w.pieces++
	if w.streaming {
		w.writeEvent(caller.EncodeChunk(w.key, w.model, added, w.created))
	}
}

// timing returns the time to the first piece and the mean time between pieces, or
// zeros without pieces.
func (w *answerWriter) timing(began time.Time) (first, between time.Duration) {
	if w.pieces > 0 {
		first = w.firstPiece.Sub(began)
	}
	if w.pieces > 1 {
		between = w.lastPiece.Sub(w.firstPiece) / time.Duration(w.pieces-1)
	}
	return first, between
}

// completeText appends the rest of a final answer's text. A stream whose sent text
// is not a prefix of the answer ends with an unknown outcome.
func (w *answerWriter) completeText(a *answer.Answer) *answer.Answer {
	if a.Outcome != answer.Done || a.Status != 0 {
		return a
	}
	rest, ok := strings.CutPrefix(a.Text, string(w.text))
	switch {
	case ok && rest != "":
		w.appendText(rest)
	case !ok && w.streaming:
		return divergedAnswer()
	}
	return a
}

func (w *answerWriter) writeEvent(data []byte) { w.write("data: " + string(data) + "\n\n") }

// writeComment sends an SSE comment to keep an idle stream's connection alive.
func (w *answerWriter) writeComment() {
	if w.streaming {
		w.write(": waiting\n\n")
	}
}

func (w *answerWriter) write(text string) {
	if !w.headersSent {
		w.headersSent = true
		h := w.response.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
	}
	w.extendWriteDeadline()
	if _, err := w.response.Write([]byte(text)); err != nil {
		w.disconnected = true
		return
	}
	if err := http.NewResponseController(w.response).Flush(); err != nil {
		w.disconnected = true
	}
}

// extendWriteDeadline sets the deadline of the next write.
func (w *answerWriter) extendWriteDeadline() {
	_ = http.NewResponseController(w.response).SetWriteDeadline(time.Now().Add(w.writeTimeout))
}

// writeAnswer writes the final answer. It does nothing for nil (caller disconnected).
func (w *answerWriter) writeAnswer(a *answer.Answer) {
	if a == nil {
		return
	}
	if w.headersSent || w.streaming && a.Outcome == answer.Done && a.Status == 0 {
		w.writeFinalEvents(a)
		return
	}
	h := w.response.Header()
	h.Set("Content-Type", "application/json")
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((a.RetryAfter+time.Second-1)/time.Second)))
	}
	if a.Reason == "token" {
		h.Set("WWW-Authenticate", "Bearer")
	}
	h.Set(caller.HeaderOutcome, string(a.Outcome))
	w.extendWriteDeadline()
	w.response.WriteHeader(caller.Status(a))
	_, _ = w.response.Write(w.answerBody(a))
}

func (w *answerWriter) answerBody(a *answer.Answer) []byte {
	switch {
	case a.Outcome != answer.Done:
		return caller.EncodeError(a, w.key)
	case a.Status != 0:
		return a.Body
	}
	return caller.EncodeCompletion(w.key, w.model, a, w.maxTokens, w.created, false)
}

func (w *answerWriter) writeFinalEvents(a *answer.Answer) {
	switch {
	case a.Outcome != answer.Done:
		w.writeEvent(caller.EncodeError(a, w.key))
	case a.Status != 0:
		w.writeEvent(a.Body)
	default:
		w.writeEvent(caller.EncodeCompletion(w.key, w.model, a, w.maxTokens, w.created, true))
	}
	w.write("data: [DONE]\n\n")
}
