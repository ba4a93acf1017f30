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
	w     http.ResponseWriter
	key   string
	model string
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
func (p *answerWriter) addPiece(offset int, text string) pieceFit {
	if offset < 0 || offset > len(p.text) {
		return pieceGap
	}
	overlap := min(len(p.text)-offset, len(text))
	if string(p.text[offset:offset+overlap]) != text[:overlap] {
		return pieceConflict
	}
	if added := text[overlap:]; added != "" {
		p.appendText(added)
	}
	return pieceFits
}

func (p *answerWriter) appendText(added string) {
	p.text = append(p.text, added...)
	p.lastPiece = time.Now()
	if p.pieces == 0 {
		p.firstPiece = p.lastPiece
	}
	p.pieces++
	if p.streaming {
		p.writeEvent(caller.EncodeChunk(p.key, p.model, added, p.created))
	}
}

// timing returns the time to the first piece and the mean time between pieces, or
// zeros without pieces.
func (p *answerWriter) timing(began time.Time) (first, between time.Duration) {
	if p.pieces > 0 {
		first = p.firstPiece.Sub(began)
	}
	if p.pieces > 1 {
		between = p.lastPiece.Sub(p.firstPiece) / time.Duration(p.pieces-1)
	}
	return first, between
}

// completeText appends the rest of a final answer's text. A stream whose sent text
// is not a prefix of the answer ends with an unknown outcome.
func (p *answerWriter) completeText(a *answer.Answer) *answer.Answer {
	if a.Outcome != answer.Done || a.Status != 0 {
		return a
	}
	rest, ok := strings.CutPrefix(a.Text, string(p.text))
	switch {
	case ok && rest != "":
		p.appendText(rest)
	case !ok && p.streaming:
		return divergedAnswer()
	}
	return a
}

func (p *answerWriter) writeEvent(data []byte) { p.write("data: " + string(data) + "\n\n") }

// writeComment sends an SSE comment to keep an idle stream's connection alive.
func (p *answerWriter) writeComment() {
	if p.streaming {
		p.write(": waiting\n\n")
	}
}

func (p *answerWriter) write(text string) {
	if !p.headersSent {
		p.headersSent = true
		h := p.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
	}
	p.extendWriteDeadline()
	if _, err := p.w.Write([]byte(text)); err != nil {
		p.disconnected = true
		return
	}
	if err := http.NewResponseController(p.w).Flush(); err != nil {
		p.disconnected = true
	}
}

// extendWriteDeadline sets the deadline of the next write.
func (p *answerWriter) extendWriteDeadline() {
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(p.writeTimeout))
}

// writeAnswer writes the final answer. It does nothing for nil (caller disconnected).
func (p *answerWriter) writeAnswer(a *answer.Answer) {
	if a == nil {
		return
	}
	if p.headersSent || p.streaming && a.Outcome == answer.Done && a.Status == 0 {
		p.writeFinalEvents(a)
		return
	}
	h := p.w.Header()
	h.Set("Content-Type", "application/json")
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((a.RetryAfter+time.Second-1)/time.Second)))
	}
	if a.Reason == "token" {
		h.Set("WWW-Authenticate", "Bearer")
	}
	h.Set(caller.HeaderOutcome, string(a.Outcome))
	p.extendWriteDeadline()
	p.w.WriteHeader(caller.Status(a))
	_, _ = p.w.Write(p.answerBody(a))
}

func (p *answerWriter) answerBody(a *answer.Answer) []byte {
	switch {
	case a.Outcome != answer.Done:
		return caller.EncodeError(a, p.key)
	case a.Status != 0:
		return a.Body
	}
	return caller.EncodeCompletion(p.key, p.model, a, p.maxTokens, p.created, false)
}

func (p *answerWriter) writeFinalEvents(a *answer.Answer) {
	switch {
	case a.Outcome != answer.Done:
		p.writeEvent(caller.EncodeError(a, p.key))
	case a.Status != 0:
		p.writeEvent(a.Body)
	default:
		p.writeEvent(caller.EncodeCompletion(p.key, p.model, a, p.maxTokens, p.created, true))
	}
	p.write("data: [DONE]\n\n")
}
