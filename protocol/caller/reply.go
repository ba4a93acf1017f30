package caller

import (
	"encoding/json"
	"net/http"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// statuses maps refusal reasons to HTTP statuses. Other reasons get 502 if the
// call may have run, else 503.
var statuses = map[string]int{
	"service":   http.StatusNotFound,
	"operation": http.StatusNotFound,
	"key":       http.StatusNotFound,
	"budget":    http.StatusPaymentRequired,
	"turns":     http.StatusPaymentRequired,
	"ended":     http.StatusConflict,
	"order":     http.StatusConflict,
	"mismatch":  http.StatusUnprocessableEntity,
	"limit":     http.StatusTooManyRequests,
	"token":     http.StatusUnauthorized,
	"customer":  http.StatusForbidden,
	"tool":      http.StatusForbidden,
	"size":      http.StatusRequestEntityTooLarge,
	"bad":       http.StatusBadRequest,
}

// Status returns the HTTP status of an answer. A refusal gets the status of its
// reason whether or not an earlier attempt may have run.
func Status(a *answer.Answer) int {
	switch {
	case a.Outcome == answer.Done && a.Status != 0:
		return a.Status
	case a.Outcome == answer.Done:
		return http.StatusOK
	case statuses[a.Reason] != 0:
		return statuses[a.Reason]
	case a.Outcome == answer.Unknown:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// EncodeError encodes an answer that is not Done in the common error format.
func EncodeError(a *answer.Answer, key string) []byte {
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

// usage holds token counts in this system's format and in that of
// chat-completions.
type usage struct {
	answer.Usage
	Total   int `json:"total_tokens"`
	Details struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func newUsage(u answer.Usage) usage {
	c := usage{Usage: u, Total: u.Prompt + u.Output}
	c.Details.Cached = u.Cached
	return c
}

// finishReason returns why an answer of at most bound tokens ended; 0 means no
// bound.
func finishReason(u answer.Usage, bound int) string {
	if bound > 0 && u.Output >= bound {
		return "length"
	}
	return "stop"
}

// EncodeChunk encodes the data of one event of a streamed answer.
func EncodeChunk(key, model, text string, created int64) []byte {
	type delta struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index  int     `json:"index"`
		Delta  delta   `json:"delta"`
		Finish *string `json:"finish_reason"`
	}
	data, _ := json.Marshal(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
	}{key, "chat.completion.chunk", created, model, []choice{{Delta: delta{"assistant", text}}}})
	return data
}

// EncodeCompletion encodes the complete answer to a model call of at most bound
// tokens. As the last event of a stream it repeats the full text in "message", so
// that callers can check that nothing is missing.
func EncodeCompletion(key, model string, a *answer.Answer, bound int, created int64, stream bool) []byte {
	type choice struct {
		Index   int          `json:"index"`
		Delta   *struct{}    `json:"delta,omitempty"`
		Message call.Message `json:"message"`
		Finish  string       `json:"finish_reason"`
	}
	c := choice{Message: call.Message{Role: "assistant", Content: a.Text}, Finish: finishReason(a.Usage, bound)}
	object := "chat.completion"
	if stream {
		object, c.Delta = "chat.completion.chunk", &struct{}{}
	}
	data, _ := json.Marshal(struct {
		ID      string         `json:"id"`
		Object  string         `json:"object"`
		Created int64          `json:"created"`
		Model   string         `json:"model,omitempty"`
		Outcome answer.Outcome `json:"outcome"`
		Choices []choice       `json:"choices"`
		Usage   usage          `json:"usage"`
	}{key, object, created, model, a.Outcome, []choice{c}, newUsage(a.Usage)})
	return data
}
