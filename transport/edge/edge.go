// Package edge (transport layer) serves callers over HTTP.
package edge

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/caller"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/burn"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// Owner is a node at one epoch of a shard; the zero Owner is none.
type Owner struct {
	Node  string
	Epoch uint64
}

// Backend takes the edge's requests to the owner of their program. The owner
// that a request was sent to is returned, or none if nothing was sent.
type Backend interface {
	// Submit sends a call to its owner; sending it again attaches to it.
	Submit(s frame.Submit) Owner
	Ask(a frame.Ask) Owner
	Close(c frame.Close) Owner
	Leave(stream, customer, program string)
}

// Options are the settings of an edge.
type Options struct {
	// ResendAfter is how long an edge waits for the owner's next word before it asks again.
	ResendAfter time.Duration
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
	// DefaultTimeout bounds a request without a deadline of its own.
	DefaultTimeout time.Duration
	// KeepaliveInterval is the time between two comments to a streaming caller who waits.
	KeepaliveInterval time.Duration
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	// Config returns the configuration in force.
	Config func() *config.Config
	// Admit refuses a call that is over a limit by an answer, or returns what
	// to do when the call is over.
	Admit func(now time.Time, k *call.Call) (done func(), refusal *answer.Answer)
	// Observe hears of each finished call.
	Observe func(burn.Sample)
}

// Edge serves callers. It is an http.Handler, safe for concurrent use.
type Edge struct {
	options Options
	backend Backend
	log     zerolog.Logger
	mux     http.Handler

	// active counts the requests whose answers are not wholly written.
	active atomic.Int64

	mu sync.Mutex
	// streams holds the requests that wait for replies, by stream id.
	streams map[string]chan reply
}

// reply is a frame with the node that it came from.
type reply struct {
	frame.Reply
	from string
}

// New returns an edge before the given backend.
func New(o Options, b Backend, log zerolog.Logger) *Edge {
	e := &Edge{options: o, backend: b, log: log, streams: map[string]chan reply{}}
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.chat)
	r.Post("/v1/services/{service}/{operation}", e.plain)
	r.Get("/v1/requests/{key}", e.fetchAnswer)
	r.Delete("/v1/programs/{program}", e.endProgram)
	e.mux = r
	return e
}

// ServeHTTP answers one caller.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	e.mux.ServeHTTP(w, r)
}

// Deliver hands a node's reply to the request that waits for it.
func (e *Edge) Deliver(from string, r frame.Reply) {
	e.mu.Lock()
	stream := e.streams[r.Stream]
	e.mu.Unlock()
	if stream == nil {
		return
	}
	select {
	case stream <- reply{r, from}:
	default:
		// The request asks again for what it misses.
	}
}

// ActiveRequests returns how many requests are being served; each counts until its
// answer is written.
func (e *Edge) ActiveRequests() int { return int(e.active.Load()) }

// maxQueuedReplies bounds the replies that wait for one request.
const maxQueuedReplies = 256

func (e *Edge) openStream() (string, chan reply) {
	id := uuid.NewString()
	c := make(chan reply, maxQueuedReplies)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[id] = c
	return id, c
}

func (e *Edge) closeStream(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
}

func (e *Edge) chat(w http.ResponseWriter, r *http.Request) {
	k := &call.Call{Kind: call.Chat}
	body, refusal := e.readRequest(w, r, k)
	if refusal != nil {
		e.refuse(w, k.Key, refusal)
		return
	}
	chat, err := caller.ParseChat(body)
	if err == nil {
		k.Service, k.Messages, k.MaxTokens, k.Program = chat.Model, chat.Messages, chat.MaxTokens, chat.Program
		err = caller.Fill(k, r.Header, time.Now())
	}
	if err != nil {
		e.refuse(w, k.Key, malformed(err))
		return
	}
	e.serveCall(w, r, k, chat.Stream)
}

func (e *Edge) plain(w http.ResponseWriter, r *http.Request) {
	k := &call.Call{Kind: call.Plain, Service: chi.URLParam(r, "service"), Operation: chi.URLParam(r, "operation")}
	body, refusal := e.readRequest(w, r, k)
	if refusal != nil {
		e.refuse(w, k.Key, refusal)
		return
	}
	k.Body = body
	if err := caller.Fill(k, r.Header, time.Now()); err != nil {
		e.refuse(w, k.Key, malformed(err))
		return
	}
	e.serveCall(w, r, k, false)
}

// readRequest finds out who calls, and reads the body.
func (e *Edge) readRequest(w http.ResponseWriter, r *http.Request, k *call.Call) ([]byte, *answer.Answer) {
	var refusal *answer.Answer
	if k.Customer, refusal = e.identifyCustomer(r); refusal != nil {
		return nil, refusal
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(e.options.DefaultTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.options.MaxBody))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, notRun("size", "the body is larger than "+formatBytes(tooLarge.Limit))
	case err != nil:
		return nil, notRun("bad", "the body did not arrive whole")
	}
	return body, nil
}

// serveCall submits a call and passes its answer on.
func (e *Edge) serveCall(w http.ResponseWriter, r *http.Request, k *call.Call, stream bool) {
	if k.Key == "" {
		// Nobody can have sent a key before that is made up here.
		k.Key, k.Tries = uuid.NewString(), 1
	}
	if k.Program == "" {
		// A retry with the same key must reach the same program.
		k.Program = k.Key
		k.End = true
	}
	w.Header().Set(caller.HeaderProgram, k.Program)
	w.Header().Set(caller.HeaderKey, k.Key)
	done, refusal := e.admit(k)
	if refusal != nil {
		refusal = adjustForRetry(k, refusal)
		e.refuse(w, k.Key, refusal)
		e.observe(k, refusal, nil)
		return
	}
	defer done()
	p := e.newAnswerWriter(w, k.Key, stream)
	p.model, p.maxTokens = k.Service, k.MaxTokens
	a := e.follow(r.Context(), p, e.deadline(k), ownerRequest{
		send: func(id string) Owner {
			return e.backend.Submit(frame.Submit{Call: k, Stream: id, Partial: string(p.text)})
		},
		detach: func(id string) { e.backend.Leave(id, k.Customer, k.Program) },
	})
	if a != nil && a.Outcome == answer.NotRun && e.mayNotKnowEarlierTries(k, a) {
		a = adjustForRetry(k, a)
	}
	e.observe(k, a, p)
	p.writeAnswer(a)
}

// mayNotKnowEarlierTries tells whether a refusal can come from a node that doesn't know what
// became of earlier attempts with the key. Only calls with an effect are in the
// journal before they are dispatched; an owner who refuses one knows of all.
func (e *Edge) mayNotKnowEarlierTries(k *call.Call, a *answer.Answer) bool {
	if k.Kind == call.Chat || a.Reason == reasonNoOwner {
		return true
	}
	v := e.config().Services[k.Service]
	if v == nil {
		return false
	}
	o := v.Operations[k.Operation]
	return o != nil && o.Idempotent
}

// deadline is when the edge stops waiting for a call's answer.
func (e *Edge) deadline(k *call.Call) time.Time {
	if !k.Deadline.IsZero() {
		return k.Deadline
	}
	timeout := e.options.DefaultTimeout
	if v := e.config().Services[k.Service]; v != nil {
		timeout = max(timeout, v.Timeout)
		if o := v.Operations[k.Operation]; o != nil {
			timeout = max(timeout, o.Timeout)
		}
	}
	return k.Received.Add(timeout)
}

func (e *Edge) admit(k *call.Call) (func(), *answer.Answer) {
	if e.options.Admit == nil {
		return func() {}, nil
	}
	return e.options.Admit(k.Received, k)
}

// adjustForRetry turns a refusal into "unknown" where an earlier attempt with the key
// may have run the call.
func adjustForRetry(k *call.Call, a *answer.Answer) *answer.Answer {
	if k.Tries == 1 {
		return a
	}
	return withUnknownOutcome(a)
}

// withUnknownOutcome says of a refusal that it speaks only of this attempt.
func withUnknownOutcome(a *answer.Answer) *answer.Answer {
	b := *a
	b.Outcome = answer.Unknown
	b.Detail += "; this attempt did not run, an earlier one with the key may have"
	return &b
}

// observe reports a finished call; a is nil when its caller has gone.
func (e *Edge) observe(k *call.Call, a *answer.Answer, p *answerWriter) {
	if e.options.Observe == nil {
		return
	}
	s := burn.Sample{
		Customer: k.Customer, Service: k.Service, Program: k.Program, Key: k.Key,
		Reason: "left", Began: k.Received, Latency: time.Since(k.Received),
	}
	if a != nil {
		s.Outcome, s.Reason, s.Tokens = a.Outcome, a.Reason, a.Usage.Output
	}
	if p != nil {
		s.TimeToFirst, s.Gap = p.timing(k.Received)
	}
	e.options.Observe(s)
}

// fetchAnswer gives the answer of an earlier call, or follows it while it runs.
func (e *Edge) fetchAnswer(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "key")
	customer, refusal := e.identifyCustomer(r)
	program := r.Header.Get(caller.HeaderProgram)
	if program == "" {
		// Calls without a program are programs of their own, named for their key.
		program = key
	}
	err := errors.CombineErrors(caller.CheckID("key", key), caller.CheckID(caller.HeaderProgram, program))
	if refusal == nil && err != nil {
		refusal = malformed(err)
	}
	if refusal != nil {
		e.refuse(w, key, refusal)
		return
	}
	w.Header().Set(caller.HeaderProgram, program)
	p := e.newAnswerWriter(w, key, r.URL.Query().Get("stream") == "true")
	a := e.follow(r.Context(), p, time.Time{}, ownerRequest{
		send: func(id string) Owner {
			return e.backend.Ask(frame.Ask{Customer: customer, Program: program, Key: key, Stream: id, Partial: string(p.text)})
		},
		detach:   func(id string) { e.backend.Leave(id, customer, program) },
		readOnly: true,
	})
	if a != nil && a.Outcome == answer.NotRun {
		a = unknownKeyAnswer(a)
	}
	p.writeAnswer(a)
}

// unknownKeyAnswer says of a key without an answer that this tells nothing of the call:
// it may belong to another program, or its owner's memory may be gone.
func unknownKeyAnswer(a *answer.Answer) *answer.Answer {
	b := *a
	b.Outcome = answer.Unknown
	b.Detail += "; this does not say that the call did not run"
	return &b
}

// endProgram ends a program.
func (e *Edge) endProgram(w http.ResponseWriter, r *http.Request) {
	program := chi.URLParam(r, "program")
	customer, refusal := e.identifyCustomer(r)
	if err := caller.CheckID("program", program); refusal == nil && err != nil {
		refusal = malformed(err)
	}
	if refusal != nil {
		e.refuse(w, "", refusal)
		return
	}
	p := e.newAnswerWriter(w, "", false)
	a := e.follow(r.Context(), p, time.Time{}, ownerRequest{
		send: func(id string) Owner {
			return e.backend.Close(frame.Close{Customer: customer, Program: program, Stream: id})
		},
		detach: func(string) {},
	})
	p.writeAnswer(a)
}

func (e *Edge) newAnswerWriter(w http.ResponseWriter, key string, stream bool) *answerWriter {
	return &answerWriter{w: w, key: key, streaming: stream, writeTimeout: e.options.WriteTimeout, created: time.Now().Unix()}
}

func (e *Edge) refuse(w http.ResponseWriter, key string, a *answer.Answer) {
	e.newAnswerWriter(w, key, false).writeAnswer(a)
}

func notRun(reason, detail string) *answer.Answer {
	return &answer.Answer{Outcome: answer.NotRun, Reason: reason, Detail: detail}
}

func malformed(err error) *answer.Answer { return notRun("bad", err.Error()) }
