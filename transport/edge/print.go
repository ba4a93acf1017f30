package edge

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/protocol/caller"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// printer writes one answer to a caller.
type printer struct {
	w     http.ResponseWriter
	key   string
	model string
	// bound is the most tokens asked for; 0 is none.
	bound   int
	created int64
	stream  bool
	stall   time.Duration
	// begun is set once a stream's headers are out.
	begun bool
	// broken is set when the caller has gone.
	broken bool
	// text is what was received; a streaming caller has been sent all of it.
	text []byte
	// first and last are when text came; pieces counts how often.
	first, last time.Time
	pieces      int
}

// taken says how a piece of text fits to what is here.
type taken uint8

const (
	// fits means that nothing is missing before the piece.
	fits taken = iota
	// gap means that text before the piece is missing.
	gap
	// conflict means that the piece differs from what is here.
	conflict
)

// take adds a reply's text at its offset.
func (p *printer) take(offset int, text string) taken {
	if offset < 0 || offset > len(p.text) {
		return gap
	}
	known := min(len(p.text)-offset, len(text))
	if string(p.text[offset:offset+known]) != text[:known] {
		return conflict
	}
	if fresh := text[known:]; fresh != "" {
		p.add(fresh)
	}
	return fits
}

func (p *printer) add(fresh string) {
	p.text = append(p.text, fresh...)
	p.last = time.Now()
	if p.pieces == 0 {
		p.first = p.last
	}
	p.pieces++
	if p.stream {
		p.event(caller.EncodeChunk(p.key, p.model, fresh, p.created))
	}
}

// timing returns the time to the first piece and the mean time between pieces.
func (p *printer) timing(began time.Time) (first, between time.Duration) {
	if p.pieces > 0 {
		first = p.first.Sub(began)
	}
	if p.pieces > 1 {
		between = p.last.Sub(p.first) / time.Duration(p.pieces-1)
	}
	return first, between
}

// complete adds the rest of a final answer's text. A stream that cannot become
// the whole answer ends as unknown.
func (p *printer) complete(a *answer.Answer) *answer.Answer {
	if a.Outcome != answer.Done || a.Status != 0 {
		return a
	}
	rest, ok := strings.CutPrefix(a.Text, string(p.text))
	switch {
	case ok && rest != "":
		p.add(rest)
	case !ok && p.stream:
		return diverged()
	}
	return a
}

func (p *printer) event(data []byte) { p.write("data: " + string(data) + "\n\n") }

// comment keeps a streaming caller's connection alive while nothing is to be said.
func (p *printer) comment() {
	if p.stream {
		p.write(": waiting\n\n")
	}
}

func (p *printer) write(text string) {
	if !p.begun {
		p.begun = true
		h := p.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
	}
	p.patient()
	if _, err := p.w.Write([]byte(text)); err != nil {
		p.broken = true
		return
	}
	if err := http.NewResponseController(p.w).Flush(); err != nil {
		p.broken = true
	}
}

// patient gives the next write its time.
func (p *printer) patient() {
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(p.stall))
}

// finish writes the final answer; nil means that the caller has gone.
func (p *printer) finish(a *answer.Answer) {
	if a == nil {
		return
	}
	if p.begun || p.stream && a.Outcome == answer.Done && a.Status == 0 {
		p.finishStream(a)
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
	p.patient()
	p.w.WriteHeader(caller.Status(a))
	_, _ = p.w.Write(p.body(a))
}

func (p *printer) body(a *answer.Answer) []byte {
	switch {
	case a.Outcome != answer.Done:
		return caller.EncodeError(a, p.key)
	case a.Status != 0:
		return a.Body
	}
	return caller.EncodeCompletion(p.key, p.model, a, p.bound, p.created, false)
}

func (p *printer) finishStream(a *answer.Answer) {
	switch {
	case a.Outcome != answer.Done:
		p.event(caller.EncodeError(a, p.key))
	case a.Status != 0:
		p.event(a.Body)
	default:
		p.event(caller.EncodeCompletion(p.key, p.model, a, p.bound, p.created, true))
	}
	p.write("data: [DONE]\n\n")
}
