// Package caller (protocol layer) reads and writes what callers say and hear:
// chat-completions JSON, its event stream, and the one shape of errors.
package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/answer"
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

// ErrBad means that a request is malformed; its text names the field.
var ErrBad = errors.New("caller: bad request")

// Chat is a decoded chat-completions request.
type Chat struct {
	Model     string         `json:"model"`
	Messages  []call.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

// ParseChat decodes a chat-completions body.
func ParseChat(data []byte) (*Chat, error) {
	var c Chat
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&c); err != nil {
		return nil, bad("body: %s", err)
	}
	switch {
	case c.Model == "":
		return nil, bad("model: must name a service")
	case len(c.Messages) == 0:
		return nil, bad("messages: must not be empty")
	case c.MaxTokens < 0:
		return nil, bad("max_tokens: must not be negative")
	}
	return &c, nil
}

func bad(format string, args ...any) error {
	return errors.Mark(errors.Newf("caller: "+format, args...), ErrBad)
}

// Fill sets what a request's headers say about a call.
func Fill(c *call.Call, h http.Header, now time.Time) error {
	c.Received = now
	c.Customer = h.Get(HeaderCustomer)
	c.Program = h.Get(HeaderProgram)
	c.Agent = h.Get(HeaderAgent)
	c.Key = h.Get(HeaderKey)
	c.End = h.Get(HeaderEnd) == "true"
	var err error
	if v := h.Get(HeaderSeq); v != "" {
		if c.Seq, err = strconv.ParseUint(v, 10, 63); err != nil {
			return bad("%s: %q is no number", HeaderSeq, v)
		}
	}
	if v := h.Get(HeaderTries); v != "" {
		if c.Tries, err = strconv.Atoi(v); err != nil || c.Tries < 1 {
			return bad("%s: %q is no number from 1", HeaderTries, v)
		}
	}
	if v := h.Get(HeaderDeadline); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms < 1 {
			return bad("%s: %q is no number of milliseconds", HeaderDeadline, v)
		}
		c.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return nil
}

// Status maps an answer to the HTTP status that callers get.
func Status(a *answer.Answer) int {
	switch {
	case a.Outcome == answer.Done && a.Status != 0:
		return a.Status
	case a.Outcome == answer.Done:
		return http.StatusOK
	case a.Outcome == answer.Unknown:
		return http.StatusBadGateway
	}
	switch a.Reason {
	case "service", "operation", "key":
		return http.StatusNotFound
	case "budget", "turns":
		return http.StatusPaymentRequired
	case "ended", "order":
		return http.StatusConflict
	case "limit":
		return http.StatusTooManyRequests
	case "bad":
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// Problem encodes an answer that is not Done, in the one shape of errors.
func Problem(a *answer.Answer, key string) []byte {
	type problem struct {
		Outcome    answer.Outcome `json:"outcome"`
		Reason     string         `json:"reason"`
		Message    string         `json:"message"`
		Key        string         `json:"key"`
		RetryAfter int64          `json:"retry_after_ms,omitempty"`
	}
	data, _ := json.Marshal(struct {
		Error problem `json:"error"`
	}{problem{a.Outcome, a.Reason, a.Detail, key, a.RetryAfter.Milliseconds()}})
	return data
}

// Piece encodes one event of a streamed answer.
func Piece(key, model, text string) []byte {
	type delta struct {
		Content string `json:"content"`
	}
	type choice struct {
		Index int   `json:"index"`
		Delta delta `json:"delta"`
	}
	data, _ := json.Marshal(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
	}{key, "chat.completion.chunk", model, []choice{{Delta: delta{text}}}})
	return data
}

// Whole encodes a complete answer to a model call.
func Whole(key, model string, a *answer.Answer) []byte {
	type choice struct {
		Index   int          `json:"index"`
		Message call.Message `json:"message"`
		Finish  string       `json:"finish_reason"`
	}
	data, _ := json.Marshal(struct {
		ID      string         `json:"id"`
		Object  string         `json:"object"`
		Model   string         `json:"model"`
		Outcome answer.Outcome `json:"outcome"`
		Choices []choice       `json:"choices"`
		Usage   answer.Usage   `json:"usage"`
	}{
		key, "chat.completion", model, a.Outcome,
		[]choice{{Message: call.Message{Role: "assistant", Content: a.Text}, Finish: "stop"}},
		a.Usage,
	})
	return data
}
