// Package dialer (transport layer) is the adapter to the endpoints: model
// engines and plain desks.
package dialer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/load"
)

// ErrEndpoint means that an endpoint did not do what it was asked.
var ErrEndpoint = errors.New("dialer: endpoint failed")

// Dialer runs dispatches. It is safe for concurrent use.
type Dialer struct {
	http *http.Client
	emit func(core.Event)

	mu sync.Mutex
	// cancels holds the dispatches under way.
	cancels map[uint64]context.CancelFunc
}

// New returns a dialer that reports through emit.
func New(emit func(core.Event)) *Dialer {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}
	return &Dialer{
		http:    &http.Client{Transport: transport},
		emit:    emit,
		cancels: map[uint64]context.CancelFunc{},
	}
}

// Run performs one dispatch and reports its end as Finished or Failed.
func (d *Dialer) Run(ctx context.Context, a core.Dispatch) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	d.mu.Lock()
	d.cancels[a.Flight] = cancel
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.cancels, a.Flight)
		d.mu.Unlock()
	}()
	if a.Call.Kind == call.Chat {
		d.chat(ctx, a)
		return
	}
	d.plain(ctx, a)
}

// Abort cancels a dispatch.
func (d *Dialer) Abort(flight uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel := d.cancels[flight]; cancel != nil {
		cancel()
	}
}

// send writes one request; wrote tells whether any byte may have reached the endpoint.
func (d *Dialer) send(ctx context.Context, a core.Dispatch, path string, body []byte) (response *http.Response, wrote bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Target.Addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, errors.Wrap(err, "dialer: request")
	}
	// Without GetBody the client library cannot send the body a second time by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", a.Call.Key)
	request.Header.Set("X-Program", a.Call.Owner())
	request.Header.Set("X-Epoch", strconv.FormatUint(a.Epoch, 10))
	response, err = d.http.Do(request)
	return response, wrote, err
}

func (d *Dialer) fail(a core.Dispatch, untouched bool, reason string) {
	d.emit(core.Failed{Flight: a.Flight, Untouched: untouched, Reason: reason})
}

func (d *Dialer) plain(ctx context.Context, a core.Dispatch) {
	response, wrote, err := d.send(ctx, a, "/v1/"+a.Call.Operation, a.Call.Body)
	if err != nil {
		d.fail(a, !wrote, "connection")
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable {
		d.fail(a, true, "refused")
		return
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, 4<<20))
	if err != nil {
		d.fail(a, false, "cut")
		return
	}
	d.emit(core.Finished{Flight: a.Flight, Body: body, Status: response.StatusCode})
}

func (d *Dialer) chat(ctx context.Context, a core.Dispatch) {
	body, err := json.Marshal(chatBody(a))
	if err != nil {
		d.fail(a, true, "encoding")
		return
	}
	response, wrote, err := d.send(ctx, a, "/v1/chat/completions", body)
	if err != nil {
		d.fail(a, !wrote, "connection")
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		d.fail(a, response.StatusCode == http.StatusServiceUnavailable, "refused")
		return
	}
	text, usage, err := d.read(a, response.Body)
	if err != nil {
		d.fail(a, false, "cut")
		return
	}
	d.emit(core.Finished{Flight: a.Flight, Text: text, Usage: usage})
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
		Messages  []call.Message `json:"messages"`
		MaxTokens int            `json:"max_tokens"`
		Stream    bool           `json:"stream"`
		Priority  int            `json:"priority"`
		Partial   string         `json:"partial,omitempty"`
		Program   string         `json:"program"`
		Agent     string         `json:"agent"`
		Key       string         `json:"key"`
	}{
		a.Service.Model, messages, a.MaxTokens, true, a.Priority, a.Partial,
		a.Call.Owner(), a.Call.Agent, a.Call.Key,
	}
}

// read takes an answer's event stream; it is whole only with its end mark.
func (d *Dialer) read(a core.Dispatch, body io.Reader) (string, answer.Usage, error) {
	var usage answer.Usage
	text := a.Partial
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 64<<10), 4<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, usage, nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Usage *struct {
				Prompt int `json:"prompt_tokens"`
				Cached int `json:"cached_tokens"`
				Output int `json:"completion_tokens"`
			} `json:"usage"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text, usage, errors.Mark(errors.Wrap(err, "dialer: chunk"), ErrEndpoint)
		}
		if u := chunk.Usage; u != nil {
			usage = answer.Usage{Prompt: u.Prompt, Cached: u.Cached, Output: u.Output}
		}
		for _, c := range chunk.Choices {
			d.emit(core.Piece{Flight: a.Flight, Offset: len(text), Text: c.Delta.Content})
			text += c.Delta.Content
		}
	}
	return text, usage, errors.Mark(errors.New("dialer: the stream ended without its end mark"), ErrEndpoint)
}

// inquiryTimeout bounds a question about an outcome.
const inquiryTimeout = 2 * time.Second

// Inquire asks an endpoint for the outcome of a call, and reports Told.
func (d *Dialer) Inquire(ctx context.Context, q core.Inquire) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	told := core.Told{Inquiry: q.Inquiry}
	if status, body, err := d.outcome(ctx, q); err == nil {
		told.Found, told.Status, told.Body = true, status, body
	}
	d.emit(told)
}

func (d *Dialer) outcome(ctx context.Context, q core.Inquire) (int, []byte, error) {
	address := "http://" + q.Target.Addr + "/v1/outcome/" + url.PathEscape(q.Call.Key)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, nil, errors.Wrap(err, "dialer: request")
	}
	request.Header.Set("X-Program", q.Call.Owner())
	response, err := d.http.Do(request)
	if err != nil {
		return 0, nil, errors.Mark(errors.Wrap(err, "dialer: outcome"), ErrEndpoint)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, nil, errors.Mark(errors.Newf("dialer: outcome: status %d", response.StatusCode), ErrEndpoint)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, 4<<20))
	return response.StatusCode, body, errors.Wrap(err, "dialer: outcome")
}

// Release asks an engine to drop a program's memory.
func (d *Dialer) Release(ctx context.Context, r core.Release) {
	body, _ := json.Marshal(struct {
		Kind    string   `json:"kind"`
		Program string   `json:"program"`
		Agents  []string `json:"agents,omitempty"`
		Epoch   uint64   `json:"epoch"`
	}{"release", r.Customer + "/" + r.Program, r.Agents, r.Epoch})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Target.Addr+"/orders", bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := d.http.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK {
		d.emit(core.Released{Endpoint: r.Endpoint, Customer: r.Customer, Program: r.Program})
	}
}

// Load fetches an endpoint's load.
func (d *Dialer) Load(ctx context.Context, addr string) (load.Report, error) {
	var report load.Report
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/load", nil)
	if err != nil {
		return report, errors.Wrap(err, "dialer: request")
	}
	response, err := d.http.Do(request)
	if err != nil {
		return report, errors.Mark(errors.Wrap(err, "dialer: load"), ErrEndpoint)
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(&report)
	return report, errors.Wrap(err, "dialer: load")
}
