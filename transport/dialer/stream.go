package dialer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// The errors of a broken stream. Each text is a reason in AttemptFailed.
var (
	errCut     = errors.New("cut")
	errGarbage = errors.New("garbage")
	errMixed   = errors.New("mixed")
	errSize    = errors.New("size")
)

// stream reads one streamed answer.
type stream struct {
	dispatch core.Dispatch
	options  Options
	cancel   context.CancelFunc
	// text starts as the dispatch's partial text and only grows.
	text  string
	usage answer.Usage
	// usageReceived is set once the endpoint has sent the answer's usage.
	usageReceived bool
	idleTimer     *time.Timer
	idleExpired   atomic.Bool
	err           error
}

func newStream(a core.Dispatch, o Options, cancel context.CancelFunc) *stream {
	return &stream{dispatch: a, options: o, cancel: cancel, text: a.Partial}
}

// firstPartFactor multiplies the idle timeout for the first part, which waits for
// the engine's queue and the processing of the prompt.
const firstPartFactor = 2

// resetIdleTimer starts or restarts the timeout for the next part.
func (s *stream) resetIdleTimer() {
	switch {
	case s.options.IdleTimeout <= 0:
	case s.idleTimer != nil:
		s.idleTimer.Reset(s.options.IdleTimeout)
	default:
		s.idleTimer = time.AfterFunc(firstPartFactor*s.options.IdleTimeout, func() {
			s.idleExpired.Store(true)
			s.cancel()
		})
	}
}

func (s *stream) stopIdleTimer() {
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
}

// reason returns the failure reason of a broken stream.
func (s *stream) reason() string {
	if s.idleExpired.Load() {
		return "silent"
	}
	for _, e := range []error{errGarbage, errMixed, errSize} {
		if errors.Is(s.err, e) {
			return e.Error()
		}
	}
	return errCut.Error()
}

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// read processes the stream's events. The answer is complete only with its usage
// and its end mark.
func (s *stream) read(body io.Reader, emit func(core.Event)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	lines.Split(scanWholeLines)
	for lines.Scan() {
		s.resetIdleTimer()
		line := lines.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case line == "" || strings.HasPrefix(line, ":"):
			continue
		case !ok:
			return s.fail(errGarbage, "dialer: a line that is no event")
		case data == "[DONE]":
			return s.checkComplete()
		}
		if err := s.addEvent(data, emit); err != nil {
			return err
		}
	}
	return s.fail(errCut, "dialer: the stream ended without its end mark")
}

// scanWholeLines splits into lines and drops a last line without a newline, since
// it may be truncated.
func scanWholeLines(data []byte, atEOF bool) (int, []byte, error) {
	if atEOF && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

func (s *stream) fail(kind error, text string) error {
	s.err = errors.Mark(errors.Mark(errors.New(text), kind), ErrEndpoint)
	return s.err
}

func (s *stream) checkComplete() error {
	if !s.usageReceived || len(s.text) == 0 {
		return s.fail(errGarbage, "dialer: an end mark without an answer")
	}
	return nil
}

// chunk is one event of a stream.
type chunk struct {
	// ID is the call's key, if the endpoint sends it.
	ID string `json:"id"`
	// Offset is the byte position of the text, if the endpoint sends it.
	Offset  *int `json:"offset"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *answer.Usage `json:"usage"`
}

func (s *stream) addEvent(data string, emit func(core.Event)) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return s.fail(errGarbage, "dialer: an event that is no JSON")
	}
	if c.ID != "" && c.ID != s.dispatch.Call.Key {
		return s.fail(errMixed, "dialer: an event of another call")
	}
	if u := c.Usage; u != nil {
		s.usage, s.usageReceived = *u, true
	}
	for _, x := range c.Choices {
		if err := s.appendText(c.Offset, x.Delta.Content, emit); err != nil {
			return err
		}
	}
	return nil
}

// appendText appends a part of the text, without bytes received before.
func (s *stream) appendText(offset *int, text string, emit func(core.Event)) error {
	if offset != nil {
		switch {
		case *offset > len(s.text):
			return s.fail(errCut, "dialer: a part of the text is missing")
		case *offset+len(text) <= len(s.text):
			return nil
		}
		text = text[len(s.text)-*offset:]
	}
	if int64(len(s.text)+len(text)) > s.options.MaxAnswerBytes {
		return s.fail(errSize, "dialer: the answer is too long")
	}
	emit(core.Piece{Attempt: s.dispatch.Attempt, Offset: len(s.text), Text: text})
	s.text += text
	return nil
}
