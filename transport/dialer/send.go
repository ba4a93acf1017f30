package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/transport/whole"
)

// nonRewindableBody hides a body's type from net/http, which otherwise retries a
// request by itself if it has an idempotency key and an empty or rewindable body.
type nonRewindableBody struct{ io.Reader }

// Close does nothing; the body is in memory.
func (nonRewindableBody) Close() error { return nil }

// send sends one request. On failure, notRun reports that no byte of the request
// was written or will be, so the endpoint can't have run it.
func (d *Dialer) send(ctx context.Context, a core.Dispatch, path string, body []byte) (response *http.Response, notRun bool, reason string) {
	tracker := &requestConns{sendDeadline: a.SendDeadline, conns: map[*trackedConn]int{}}
	if tracker.deadlinePassed() {
		return nil, true, "late"
	}
	address := "http://" + a.Target.Addr + path
	request, err := http.NewRequestWithContext(tracker.withTrace(ctx), http.MethodPost, address, nonRewindableBody{bytes.NewReader(body)})
	if err != nil {
		return nil, true, "request"
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", a.Call.Key)
	request.Header.Set("X-Program", a.Call.QualifiedProgram())
	request.Header.Set("X-Epoch", strconv.FormatUint(a.Epoch, 10))
	id := strconv.FormatUint(a.Attempt, 10)
	request.Header.Set(headerAttempt, id)
	pooled := a.Repeatable && d.isNaming(a.Target.Addr)
	c := d.singleUse
	if pooled {
		c = d.pooled
	}
	response, err = c.Do(request)
	switch {
	case err == nil:
		named := response.Header.Get(headerAttempt)
		if named != id && (pooled || named != "") {
			_ = response.Body.Close() // it answers another attempt
			c.CloseIdleConnections()  // what follows on its connection may do so as well
			return nil, false, errMixed.Error()
		}
		d.setNaming(a.Target.Addr, named != "")
		return response, false, ""
	case errors.Is(err, whole.ErrMalformed):
		tracker.stopWrites()
		return nil, false, errGarbage.Error()
	case !tracker.stopWrites():
		return nil, false, "connection"
	case tracker.deadlinePassed():
		return nil, true, "late"
	}
	return nil, true, "connect"
}

// headerAttempt identifies an attempt. An endpoint that repeats it in its answers and refusals
// shows whose they are: one that writes an answer twice on a connection would else have it taken
// for the answer to the next attempt.
const headerAttempt = "X-Attempt"

// isNaming reports whether an endpoint's last answer named its attempt.
func (d *Dialer) isNaming(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.naming[addr]
}

func (d *Dialer) setNaming(addr string, naming bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if naming {
		d.naming[addr] = true
	} else {
		delete(d.naming, addr)
	}
}

// refusalReason returns the reason if a status means that the endpoint refused the
// call without running it.
func refusalReason(status int) (string, bool) {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return "refused", true
	case http.StatusPreconditionFailed:
		return "fenced", true
	}
	return "", false
}

// maxRetryAfter bounds the Retry-After of an endpoint.
const maxRetryAfter = time.Minute

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// reportRefusal emits AttemptFailed if the response is a refusal, and reports whether
// it is one.
func (d *Dialer) reportRefusal(a core.Dispatch, r *http.Response) bool {
	reason, ok := refusalReason(r.StatusCode)
	if ok {
		d.emit(core.AttemptFailed{Attempt: a.Attempt, NotRun: true, Reason: reason, RetryAfter: retryAfter(r.Header)})
	}
	return ok
}

func (d *Dialer) runPlain(ctx context.Context, a core.Dispatch) {
	response, notRun, reason := d.send(ctx, a, "/v1/"+a.Call.Operation, a.Call.Body)
	if reason != "" {
		d.fail(a, notRun, reason)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if d.reportRefusal(a, response) {
		return
	}
	body, err := d.readWhole(response)
	switch {
	case err != nil:
		d.fail(a, false, "cut")
	case response.StatusCode >= http.StatusInternalServerError && a.Repeatable:
		d.fail(a, false, "status")
	case response.StatusCode == http.StatusOK && !json.Valid(body):
		d.fail(a, false, "garbage")
	default:
		d.emit(core.AttemptFinished{Attempt: a.Attempt, Body: body, Status: response.StatusCode})
	}
}

// readWhole reads a body of declared length or with chunked encoding. Other bodies
// end with the connection, so a truncated one could not be detected.
func (d *Dialer) readWhole(r *http.Response) ([]byte, error) {
	chunked := len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
	if r.ContentLength < 0 && !chunked {
		return nil, errors.Mark(errors.New("dialer: the answer has no declared length"), ErrEndpoint)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, d.options.MaxAnswerBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "dialer: body"), ErrEndpoint)
	}
	if int64(len(body)) > d.options.MaxAnswerBytes {
		return nil, errors.Mark(errors.Newf("dialer: the answer is longer than %d bytes", d.options.MaxAnswerBytes), ErrEndpoint)
	}
	return body, nil
}

func (d *Dialer) runChat(ctx context.Context, cancel context.CancelFunc, a core.Dispatch) {
	body, err := json.Marshal(chatBody(a))
	if err != nil {
		d.fail(a, true, "encoding")
		return
	}
	if a.Source != nil {
		d.copyCache(ctx, a)
	}
	s := newStream(a, d.options, cancel)
	defer s.stopIdleTimer()
	s.resetIdleTimer()
	response, notRun, reason := d.send(ctx, a, "/v1/chat/completions", body)
	if reason != "" {
		d.fail(a, notRun, reason)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if d.reportRefusal(a, response) {
		return
	}
	if response.StatusCode != http.StatusOK {
		d.fail(a, false, "status")
		return
	}
	if err := s.read(response.Body, d.emit); err != nil {
		d.fail(a, false, s.reason())
		return
	}
	d.emit(core.AttemptFinished{Attempt: a.Attempt, Text: s.text, Usage: s.usage})
}

func chatBody(a core.Dispatch) any {
	var messages []call.Message
	if a.Service.Prompt != "" {
		messages = append(messages, call.Message{Role: "system", Content: a.Service.Prompt})
	}
	messages = append(messages, a.History...)
	messages = append(messages, a.Call.Messages...)
	return struct {
		Model     string         `json:"model"`
		Adapter   string         `json:"adapter,omitempty"`
		Version   string         `json:"version,omitempty"`
		Messages  []call.Message `json:"messages"`
		MaxTokens int            `json:"max_tokens"`
		Stream    bool           `json:"stream"`
		Priority  int            `json:"priority"`
		Partial   string         `json:"partial,omitempty"`
		Program   string         `json:"program"`
		Agent     string         `json:"agent"`
		Key       string         `json:"key"`
	}{
		a.Service.Model, a.Service.Adapter, a.Service.Version, messages, a.MaxTokens, true, a.Priority, a.Partial,
		a.Call.QualifiedProgram(), a.Call.Agent, a.Call.Key,
	}
}
