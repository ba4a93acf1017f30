// Package edge (transport layer) serves callers over HTTP.
package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/caller"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// Backend takes the edge's requests to the owner of their program.
type Backend interface {
	// Submit sends a call to its owner; sending it again attaches to it.
	Submit(s frame.Submit)
	Ask(a frame.Ask)
	Close(c frame.Close)
	Leave(stream, customer, program string)
}

// Options are the settings of an edge.
type Options struct {
	// Silence is how long an edge waits for the owner's next word before it asks again.
	Silence time.Duration
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
	// Patience bounds a request without a deadline of its own.
	Patience time.Duration
}

// Edge serves callers. It is an http.Handler, safe for concurrent use.
type Edge struct {
	options Options
	backend Backend
	log     zerolog.Logger
	mux     http.Handler

	mu sync.Mutex
	// streams holds the requests that wait for replies, by stream id.
	streams map[string]chan frame.Reply
}

// New returns an edge before the given backend.
func New(o Options, b Backend, log zerolog.Logger) *Edge {
	e := &Edge{options: o, backend: b, log: log, streams: map[string]chan frame.Reply{}}
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.chat)
	r.Post("/v1/services/{service}/{operation}", e.plain)
	r.Get("/v1/requests/{key}", e.fetch)
	r.Delete("/v1/programs/{program}", e.end)
	e.mux = r
	return e
}

// ServeHTTP answers one caller.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Deliver hands a reply to the request that waits for it.
func (e *Edge) Deliver(r frame.Reply) {
	e.mu.Lock()
	stream := e.streams[r.Stream]
	e.mu.Unlock()
	if stream == nil {
		return
	}
	select {
	case stream <- r:
	default:
		// The request asks again for what it misses.
	}
}

// Waiting returns how many requests wait for replies.
func (e *Edge) Waiting() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

// streamLength bounds the replies that wait for one request.
const streamLength = 256

func (e *Edge) open() (string, chan frame.Reply) {
	id := uuid.NewString()
	c := make(chan frame.Reply, streamLength)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = c
	return id, c
}

func (e *Edge) shut(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
}

func (e *Edge) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.options.MaxBody))
	if err != nil {
		e.problem(w, "", &answer.Answer{Outcome: answer.NotRun, Reason: "bad", Detail: err.Error()})
		return
	}
	chat, err := caller.ParseChat(body)
	k := &call.Call{Kind: call.Chat}
	if err == nil {
		k.Service, k.Messages, k.MaxTokens = chat.Model, chat.Messages, chat.MaxTokens
		err = caller.Fill(k, r.Header, time.Now())
	}
	if err != nil {
		e.problem(w, "", &answer.Answer{Outcome: answer.NotRun, Reason: "bad", Detail: err.Error()})
		return
	}
	e.run(w, r, k, chat.Stream)
}

func (e *Edge) plain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.options.MaxBody))
	k := &call.Call{
		Kind: call.Plain, Service: chi.URLParam(r, "service"),
		Operation: chi.URLParam(r, "operation"), Body: body,
	}
	if err == nil {
		err = caller.Fill(k, r.Header, time.Now())
	}
	if err != nil {
		e.problem(w, "", &answer.Answer{Outcome: answer.NotRun, Reason: "bad", Detail: err.Error()})
		return
	}
	e.run(w, r, k, false)
}

// run submits a call and passes its answer on.
func (e *Edge) run(w http.ResponseWriter, r *http.Request, k *call.Call, stream bool) {
	if k.Key == "" {
		k.Key = uuid.NewString()
	}
	if k.Program == "" {
		// A retry with the same key must reach the same program.
		k.Program = k.Key
		k.End = true
	}
	w.Header().Set(caller.HeaderProgram, k.Program)
	w.Header().Set(caller.HeaderKey, k.Key)
	id, replies := e.open()
	defer e.shut(id)
	p := &printer{w: w, key: k.Key, model: k.Service, stream: stream}
	a := e.follow(r.Context(), replies, p, k.Deadline, func() {
		e.backend.Submit(frame.Submit{Call: k, Stream: id, Partial: p.text})
	})
	if a == nil {
		e.backend.Leave(id, k.Customer, k.Program)
		return
	}
	p.finish(a)
}

// follow asks for an answer, and asks again whenever its replies stop, until
// the answer is complete. It returns nil when the caller has gone.
func (e *Edge) follow(ctx context.Context, replies chan frame.Reply, p *printer, deadline time.Time, ask func()) *answer.Answer {
	if deadline.IsZero() {
		deadline = time.Now().Add(e.options.Patience)
	}
	// The owner answers at the deadline; the edge speaks for a lost owner after it.
	end := time.NewTimer(time.Until(deadline) + 2*e.options.Silence)
	defer end.Stop()
	again := time.NewTimer(e.options.Silence)
	defer again.Stop()
	ask()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-end.C:
			return &answer.Answer{
				Outcome: answer.Unknown, Reason: "owner", RetryAfter: time.Second,
				Detail: "the program's owner gave no answer; ask again with the same key",
			}
		case <-again.C:
			ask()
			again.Reset(e.options.Silence)
		case r := <-replies:
			if r.Moved {
				again.Reset(movedPause)
				continue
			}
			if !p.take(r) {
				ask()
			}
			if r.Final != nil && p.whole(r.Final) {
				return r.Final
			}
			again.Reset(e.options.Silence)
		}
	}
}

// movedPause lets the news of a shard's move arrive before the edge asks again.
const movedPause = 50 * time.Millisecond

func (e *Edge) fetch(w http.ResponseWriter, r *http.Request) {
	id, replies := e.open()
	defer e.shut(id)
	key := chi.URLParam(r, "key")
	customer, program := r.Header.Get(caller.HeaderCustomer), r.Header.Get(caller.HeaderProgram)
	p := &printer{w: w, key: key}
	a := e.follow(r.Context(), replies, p, time.Time{}, func() {
		e.backend.Ask(frame.Ask{Customer: customer, Program: program, Key: key, Stream: id, Partial: p.text})
	})
	if a == nil {
		e.backend.Leave(id, customer, program)
		return
	}
	p.finish(a)
}

func (e *Edge) end(w http.ResponseWriter, r *http.Request) {
	id, replies := e.open()
	defer e.shut(id)
	program := chi.URLParam(r, "program")
	p := &printer{w: w}
	a := e.follow(r.Context(), replies, p, time.Time{}, func() {
		e.backend.Close(frame.Close{Customer: r.Header.Get(caller.HeaderCustomer), Program: program, Stream: id})
	})
	if a != nil {
		p.finish(a)
	}
}

func (e *Edge) problem(w http.ResponseWriter, key string, a *answer.Answer) {
	p := &printer{w: w, key: key}
	p.finish(a)
}

// printer writes one answer to a caller.
type printer struct {
	w      http.ResponseWriter
	key    string
	model  string
	stream bool
	begun  bool
	// text is what was received; a streaming caller has been sent all of it.
	text string
}

// take adds a reply's text, and returns false if there is a gap before it.
func (p *printer) take(r frame.Reply) bool {
	if r.Offset > len(p.text) {
		return false
	}
	if r.Offset+len(r.Text) <= len(p.text) {
		return true
	}
	fresh := r.Text[len(p.text)-r.Offset:]
	p.text += fresh
	if p.stream {
		p.event(caller.Piece(p.key, p.model, fresh))
	}
	return true
}

// whole tells whether all the text of a final answer is here.
func (p *printer) whole(a *answer.Answer) bool {
	return a.Outcome != answer.Done || len(p.text) >= len(a.Text)
}

func (p *printer) event(data []byte) {
	if !p.begun {
		p.begun = true
		p.w.Header().Set("Content-Type", "text/event-stream")
	}
	_, _ = p.w.Write([]byte("data: " + string(data) + "\n\n"))
	_ = http.NewResponseController(p.w).Flush()
}

func (p *printer) finish(a *answer.Answer) {
	if p.stream && (p.begun || a.Outcome == answer.Done) {
		p.finishStream(a)
		return
	}
	h := p.w.Header()
	h.Set("Content-Type", "application/json")
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(a.RetryAfter.Seconds()+0.999)))
	}
	h.Set("X-Outcome", string(a.Outcome))
	p.w.WriteHeader(caller.Status(a))
	_, _ = p.w.Write(p.body(a))
}

func (p *printer) body(a *answer.Answer) []byte {
	switch {
	case a.Outcome != answer.Done:
		return caller.Problem(a, p.key)
	case a.Status != 0:
		return a.Body
	}
	return caller.Whole(p.key, p.model, a)
}

func (p *printer) finishStream(a *answer.Answer) {
	if a.Outcome != answer.Done {
		p.event(caller.Problem(a, p.key))
		return
	}
	p.event(caller.Whole(p.key, p.model, a))
	_, _ = p.w.Write([]byte("data: [DONE]\n\n"))
}
