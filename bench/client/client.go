// Package client is an HTTP client that calls cowslipstage as an agent program does.
package client

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/cowslipstage/cowslipstage/protocol/caller"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// Client sends calls to the nodes in round-robin order. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	addrs atomic.Pointer[[]string]
	next  atomic.Uint64
	// failedAttempts counts the attempts that ended without an outcome.
	failedAttempts atomic.Int64
	// customer is the customer of all calls.
	customer string
}

// Result is the answer to a call.
type Result struct {
	Outcome answer.Outcome
	Reason  string
	Text    string
	Body    []byte
	Usage   answer.Usage
	// First is the time to the first piece of text, Whole the time to the end of the answer.
	First time.Duration
	Whole time.Duration
}

// New returns a client that calls the nodes at addrs (IP:port) for a customer.
func New(customer string, addrs []string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	c := &Client{http: &http.Client{Transport: transport}, customer: customer}
	c.Use(addrs)
	return c
}

// Use replaces the nodes' addresses, as a load balancer does when nodes join or leave.
func (c *Client) Use(addrs []string) { c.addrs.Store(&addrs) }

// FailedAttempts returns the number of attempts that ended without an outcome.
func (c *Client) FailedAttempts() int64 { return c.failedAttempts.Load() }

// nextAddr returns the address of the next node.
func (c *Client) nextAddr() string {
	addrs := *c.addrs.Load()
	return addrs[c.next.Add(1)%uint64(len(addrs))]
}

// Request is one call to make.
type Request struct {
	Program string
	Agent   string
	Seq     uint64
	// Key is the idempotency key. If it is empty, Do generates one.
	Key     string
	Service string
	// Operation is empty for a model call.
	Operation string
	// Role is the message's role; "" means "user".
	Role     string
	Text     string
	Deadline time.Duration
	End      bool
}

// NewKey returns a new idempotency key.
func NewKey() string { return uuid.NewString() }

// Do sends a request and waits for its complete answer. If the answer does not
// arrive, Do sends the call again with the same key through the next node.
func (c *Client) Do(ctx context.Context, r Request) (Result, error) {
	if r.Key == "" {
		r.Key = NewKey()
	}
	var lastErr error
	for tries := 1; tries <= maxTries; tries++ {
		result, err := c.send(ctx, r, tries)
		if err == nil {
			return result, nil
		}
		lastErr = err
		c.failedAttempts.Add(1)
		select {
		case <-ctx.Done():
			return Result{}, ctx.Err()
		case <-time.After(retryPause):
		}
	}
	return Result{}, lastErr
}

const (
	// maxTries bounds the attempts of one request.
	maxTries = 8
	// retryPause is the pause between two attempts.
	retryPause = 250 * time.Millisecond
)

// send makes one attempt of a call.
func (c *Client) send(ctx context.Context, r Request, tries int) (Result, error) {
	path, body := "/v1/services/"+r.Service+"/"+r.Operation, []byte(r.Text)
	if r.Operation == "" {
		path = "/v1/chat/completions"
		body, _ = json.Marshal(struct {
			Model    string         `json:"model"`
			Messages []call.Message `json:"messages"`
			Stream   bool           `json:"stream"`
		}{r.Service, []call.Message{{Role: cmp.Or(r.Role, "user"), Content: r.Text}}, true})
	}
	addr := c.nextAddr()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return Result{}, errors.Wrap(err, "client: request")
	}
	c.setHeaders(request.Header, r, tries)
	began := time.Now()
	response, err := c.http.Do(request)
	if err != nil {
		return Result{}, errors.Wrap(err, "client: send")
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("Content-Type") == "text/event-stream" {
		return readStream(response.Body, began)
	}
	return readBody(response, began)
}

func (c *Client) setHeaders(h http.Header, r Request, tries int) {
	h.Set(caller.HeaderCustomer, c.customer)
	h.Set(caller.HeaderProgram, r.Program)
	h.Set(caller.HeaderAgent, r.Agent)
	h.Set(caller.HeaderKey, r.Key)
	h.Set(caller.HeaderTries, strconv.Itoa(tries))
	if r.Seq > 0 {
		h.Set(caller.HeaderSeq, strconv.FormatUint(r.Seq, 10))
	}
	if r.Deadline > 0 {
		h.Set(caller.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if r.End {
		h.Set(caller.HeaderEnd, "true")
	}
}

// readBody reads an answer that is not streamed.
func readBody(response *http.Response, began time.Time) (Result, error) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Result{}, errors.Wrap(err, "client: body")
	}
	r := Result{Whole: time.Since(began), Body: data}
	r.Outcome = answer.Outcome(response.Header.Get("X-Outcome"))
	if r.Outcome == "" {
		return r, errors.Newf("client: status %d without an outcome", response.StatusCode)
	}
	r.Reason = errorReason(data)
	return r, nil
}

// errorReason returns the reason in an error body, or "" if there is none.
func errorReason(data []byte) string {
	var p struct {
		Error struct {
			Reason string `json:"reason"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &p)
	return p.Error.Reason
}

// streamEvent is any event of a streamed answer.
type streamEvent struct {
	Object  string `json:"object"`
	Choices []struct {
		Delta   call.Message `json:"delta"`
		Message call.Message `json:"message"`
	} `json:"choices"`
	Outcome answer.Outcome `json:"outcome"`
	Usage   answer.Usage   `json:"usage"`
	Error   *struct {
		Outcome answer.Outcome `json:"outcome"`
		Reason  string         `json:"reason"`
	} `json:"error"`
}

// readStream reads a streamed answer and checks that its pieces match the final message.
func readStream(body io.Reader, began time.Time) (Result, error) {
	var r Result
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 64<<10), 16<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return r, nil
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return r, errors.Wrap(err, "client: event")
		}
		if text.Len() == 0 {
			r.First = time.Since(began)
		}
		r.Whole = time.Since(began)
		switch {
		case e.Error != nil:
			r.Outcome, r.Reason = e.Error.Outcome, e.Error.Reason
			return r, nil
		case e.Outcome != "":
			r.Outcome, r.Usage, r.Text = e.Outcome, e.Usage, e.Choices[0].Message.Content
			if r.Text != text.String() {
				return r, errors.New("client: streamed text differs from the final message")
			}
		case len(e.Choices) > 0:
			text.WriteString(e.Choices[0].Delta.Content)
		}
	}
	return r, errors.New("client: stream ended without [DONE]")
}

// End ends a program. If the answer does not arrive, End sends the request again
// through the next node.
func (c *Client) End(ctx context.Context, program string) error {
	var lastErr error
	for tries := 1; tries <= maxTries; tries++ {
		if lastErr = c.sendEnd(ctx, program, tries); lastErr == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryPause):
		}
	}
	return lastErr
}

// sendEnd makes one attempt to end a program.
func (c *Client) sendEnd(ctx context.Context, program string, tries int) error {
	addr := c.nextAddr()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+addr+"/v1/programs/"+program, nil)
	if err != nil {
		return errors.Wrap(err, "client: request")
	}
	c.setHeaders(request.Header, Request{}, tries)
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "client: end")
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("X-Outcome") != string(answer.Done) {
		return errors.Newf("client: end: status %d", response.StatusCode)
	}
	return nil
}
