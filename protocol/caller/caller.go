// Package caller (protocol layer) decodes callers' requests and encodes the
// replies: chat-completions JSON, its event stream and the common error format.
package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/call"
)

// The headers that callers set.
const (
	HeaderProgram  = "X-Program"
	HeaderAgent    = "X-Agent"
	HeaderSeq      = "X-Seq"
	HeaderKey      = "Idempotency-Key"
	HeaderDeadline = "X-Deadline-Ms"
	HeaderCustomer = "X-Customer"
	HeaderTries    = "X-Tries"
	HeaderEnd      = "X-End"
)

// HeaderOutcome carries the outcome of an answer that is not streamed.
const HeaderOutcome = "X-Outcome"

// The limits of callers' requests.
const (
	// MaxIDBytes bounds each id and key in bytes.
	MaxIDBytes = 128
	// MaxDeadline bounds how long a caller may wait.
	MaxDeadline = time.Hour
	// MaxMessages bounds the messages of one call, and the parts of one message.
	MaxMessages = 4096
	// MaxOutputTokens bounds max_tokens.
	MaxOutputTokens = 1 << 20
)

// ErrBadRequest marks errors of malformed requests; their text names the field.
var ErrBadRequest = errors.New("caller: bad request")

// Chat is a decoded chat-completions request.
type Chat struct {
	Model     string
	Messages  []call.Message
	MaxTokens int
	Stream    bool
	// Program is metadata.program; the header overrides it.
	Program string
}

// ParseChat decodes a chat-completions body. Unknown fields are ignored because
// callers' libraries send many.
func ParseChat(data []byte) (*Chat, error) {
	var b struct {
		Model     string   `json:"model"`
		Messages  messages `json:"messages"`
		MaxTokens *int     `json:"max_tokens"`
		// MaxCompletionTokens is the newer name of max_tokens.
		MaxCompletionTokens *int `json:"max_completion_tokens"`
		N                   *int `json:"n"`
		Stream              bool `json:"stream"`
		Metadata            struct {
			Program string `json:"program"`
		} `json:"metadata"`
	}
	err := json.Unmarshal(data, &b)
	switch {
	case errors.Is(err, errMessages):
		return nil, badRequest("%s", errMessages)
	case err != nil:
		return nil, badRequest("body: %s", describeJSONError(err))
	}
	c := &Chat{Model: b.Model, Stream: b.Stream, Program: b.Metadata.Program}
	for _, bound := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if bound == nil {
			continue
		}
		if *bound < 1 || *bound > MaxOutputTokens {
			return nil, badRequest("max_tokens: must be from 1 to %d", MaxOutputTokens)
		}
		c.MaxTokens = *bound
	}
	switch {
	case !validID(b.Model):
		return nil, badRequest("model: must name a service in up to %d printable characters", MaxIDBytes)
	case len(b.Messages) == 0:
		return nil, badRequest("%s", errMessages)
	case b.N != nil && *b.N != 1:
		return nil, badRequest("n: only 1 answer is given")
	}
	for i, m := range b.Messages {
		text, err := m.text()
		if err != nil {
			return nil, badRequest("messages[%d].%s", i, err)
		}
		c.Messages = append(c.Messages, call.Message{Role: m.Role, Content: text})
	}
	return c, nil
}

// messages are those of a call. Their number is checked before they are decoded.
type messages []message

var errMessages = errors.Newf("messages: must be from 1 to %d", MaxMessages)

// UnmarshalJSON decodes the messages.
func (l *messages) UnmarshalJSON(data []byte) error {
	if countElements(data, MaxMessages) > MaxMessages {
		return errMessages
	}
	return json.Unmarshal(data, (*[]message)(l))
}

// countElements returns how many elements a valid JSON array has, or any number over most if it has more. An
// element of a few bytes takes many times as much once it is decoded.
func countElements(array []byte, most int) int {
	depth, commas, inText := 0, 0, false
	for i := 0; i < len(array) && commas < most; i++ {
		switch c := array[i]; {
		case inText && c == '\\':
			i++
		case c == '"':
			inText = !inText
		case inText:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 1:
			commas++
		}
	}
	return commas + 1
}

// message is a chat message whose content is text or a list of text parts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text checks a message's role and returns its content as one text.
func (m message) text() (string, error) {
	switch m.Role {
	case "system", "user", "assistant", "tool":
	default:
		return "", fmt.Errorf("role: must be system, user, assistant or tool")
	}
	raw := strings.TrimSpace(string(m.Content))
	if raw == "" || raw == "null" {
		return "", nil
	}
	var content string
	if json.Unmarshal(m.Content, &content) == nil {
		return content, nil
	}
	if countElements(m.Content, MaxMessages) > MaxMessages {
		return "", fmt.Errorf("content: must have at most %d parts", MaxMessages)
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(m.Content, &parts) != nil {
		return "", fmt.Errorf("content: must be text or a list of text parts")
	}
	var b strings.Builder
	for i, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("content[%d].type: must be text", i)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// describeJSONError returns the field and fault of a decoding error without the
// names of Go types.
func describeJSONError(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fmt.Sprintf("%s: a JSON %s is not allowed here", typeError.Field, typeError.Value)
	}
	return "not valid JSON: " + err.Error()
}

func badRequest(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrBadRequest)
}

// validID reports whether s is a valid id: printable ASCII without a slash.
func validID(s string) bool {
	return s != "" && printableASCII(s) && !strings.Contains(s, "/")
}

// printableASCII reports whether s is at most MaxIDBytes of printable ASCII without
// spaces.
func printableASCII(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(s) <= MaxIDBytes
}

// CheckID returns an error unless an id is valid; name identifies it in the error.
func CheckID(name, id string) error {
	if !validID(id) {
		return badRequest("%s: must be 1 to %d printable characters without space or slash", name, MaxIDBytes)
	}
	return nil
}

// ApplyHeaders sets the fields of a call that are given by headers; optional ids
// may stay empty.
func ApplyHeaders(c *call.Call, h http.Header, now time.Time) error {
	c.Received = now
	c.Agent, c.Key = h.Get(HeaderAgent), h.Get(HeaderKey)
	if p := h.Get(HeaderProgram); p != "" {
		c.Program = p
	}
	for _, id := range []struct{ name, value string }{{HeaderProgram, c.Program}, {HeaderKey, c.Key}} {
		if id.value == "" {
			continue
		}
		if err := CheckID(id.name, id.value); err != nil {
			return err
		}
	}
	if !printableASCII(c.Agent) {
		return badRequest("%s: must be up to %d printable characters without space", HeaderAgent, MaxIDBytes)
	}
	return applyNumbers(c, h, now)
}

func applyNumbers(c *call.Call, h http.Header, now time.Time) error {
	var err error
	switch v := h.Get(HeaderEnd); v {
	case "", "false":
	case "true":
		c.End = true
	default:
		return badRequest("%s: must be true or false", HeaderEnd)
	}
	if v := h.Get(HeaderSeq); v != "" {
		if c.Seq, err = strconv.ParseUint(v, 10, 62); err != nil || c.Seq == 0 {
			return badRequest("%s: must be a whole number from 1", HeaderSeq)
		}
	}
	if v := h.Get(HeaderTries); v != "" {
		if c.Tries, err = strconv.Atoi(v); err != nil || c.Tries < 1 {
			return badRequest("%s: must be a whole number from 1", HeaderTries)
		}
	}
	if v := h.Get(HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 1 || ms > MaxDeadline.Milliseconds() {
			return badRequest("%s: must be from 1 to %d milliseconds", HeaderDeadline, MaxDeadline.Milliseconds())
		}
		c.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return nil
}
