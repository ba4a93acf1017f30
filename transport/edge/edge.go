// Package edge (transport layer) serves callers over HTTP.
package edge

import (
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
	"github.com/cowslipstage/cowslipstage/transport/intake"
)

// Owner is a node that owns a shard in one epoch. The zero Owner means no owner.
type Owner struct {
	Node  string
	Epoch uint64
}

// Backend sends the edge's requests to the owner of their program. Submit, Ask and
// Close return the owner that the request was sent to, or the zero Owner if nothing
// was sent.
type Backend interface {
	// Submit sends a call to its owner. A repeated submit attaches to the same call.
	Submit(s frame.Submit) Owner
	Ask(a frame.Ask) Owner
	Close(c frame.Close) Owner
	Leave(stream, customer, program string)
}

// Options are the settings of an edge.
type Options struct {
	// ResendAfter is how long the edge waits for a reply before it resends the request.
	ResendAfter time.Duration
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
	// DefaultTimeout bounds a request that has no deadline of its own.
	DefaultTimeout time.Duration
	// KeepaliveInterval is the time between SSE comments to a waiting streaming caller.
	KeepaliveInterval time.Duration
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	// Config returns the configuration in force.
	Config func() *config.Config
	// Admit returns a refusal for a call that exceeds a limit, or else a function
	// to run when the call has ended.
	Admit func(now time.Time, k *call.Call) (done func(), refusal *answer.Answer)
	// Observe receives a sample of each finished call.
	Observe func(burn.Sample)
}

// Edge serves callers. It is an http.Handler, safe for concurrent use.
type Edge struct {
	options Options
	backend Backend
	log     zerolog.Logger
	mux     http.Handler

	// active counts the requests whose answers are not fully written.
	active atomic.Int64

	mu sync.Mutex
	// streams holds the reply channels of waiting requests, by stream ID.
	streams map[string]chan reply
}

// reply is a reply frame and the node that sent it.
type reply struct {
	frame.Reply
	from string
}

// New returns an edge that forwards to the given backend.
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

// ServeHTTP serves one request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	e.mux.ServeHTTP(w, r)
}

// Deliver passes a node's reply to the request that waits for it.
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
		// The buffer is full. The request detects the gap and requests the missing text.
	}
}

// ActiveRequests returns how many requests are being served. A request counts
// until its answer is written.
func (e *Edge) ActiveRequests() int { return int(e.active.Load()) }

// maxQueuedReplies bounds the undelivered replies of one request.
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
		err = caller.ApplyHeaders(k, r.Header, time.Now())
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
	if err := caller.ApplyHeaders(k, r.Header, time.Now()); err != nil {
		e.refuse(w, k.Key, malformed(err))
		return
	}
	e.serveCall(w, r, k, false)
}

// readRequest identifies the customer and reads the body.
func (e *Edge) readRequest(w http.ResponseWriter, r *http.Request, k *call.Call) ([]byte, *answer.Answer) {
	var refusal *answer.Answer
	if k.Customer, refusal = e.identifyCustomer(r); refusal != nil {
		return nil, refusal
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(e.options.DefaultTimeout))
	holder := intake.Holder(r.Context())
	body, err := intake.ReadBody(http.MaxBytesReader(w, r.Body, e.options.MaxBody), r.ContentLength, e.options.MaxBody, holder)
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err == nil && holder != nil && !holder.Take(time.Now(), bodyCopies*int64(len(body))) {
		err = intake.ErrNoRoom
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, notRun("size", "the body is larger than "+formatBytes(tooLarge.Limit))
	case errors.Is(err, intake.ErrNoRoom):
		refusal := notRun("overload", "the node has no memory for the body now")
		refusal.RetryAfter = time.Second
		return nil, refusal
	case err != nil:
		return nil, notRun("bad", "the body did not arrive whole")
	}
	return body, nil
}

// bodyCopies is how often a body is held in addition until its call is answered: in the frame to the
// call's owner, in what its journal keeps, and in the request to the endpoint.
const bodyCopies = 4

// serveCall submits a call and writes its answer.
func (e *Edge) serveCall(w http.ResponseWriter, r *http.Request, k *call.Call, stream bool) {
	if k.Key == "" {
		// The key is new, so there can be no earlier attempt with it.
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
	writer := e.newAnswerWriter(w, k.Key, stream)
	writer.model, writer.maxTokens = k.Service, k.MaxTokens
	a := e.follow(r.Context(), writer, e.deadline(k), ownerRequest{
		send: func(id string) Owner {
			return e.backend.Submit(frame.Submit{Call: k, Stream: id, Partial: string(writer.text)})
		},
		detach: func(id string) { e.backend.Leave(id, k.Customer, k.Program) },
	})
	if a != nil && a.Outcome == answer.NotRun && e.mayNotKnowEarlierTries(k, a) {
		a = adjustForRetry(k, a)
	}
	e.observe(k, a, writer)
	writer.writeAnswer(a)
}

// mayNotKnowEarlierTries reports whether a refusal may come from a node that has
// no record of earlier attempts with the key. Only non-idempotent calls are
// journaled before dispatch, so only for these does the owner know all attempts.
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

// deadline returns the time at which the edge stops waiting for a call's answer.
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

// adjustForRetry changes a refusal's outcome to "unknown" if an earlier attempt
// with the key may have run the call.
func adjustForRetry(k *call.Call, a *answer.Answer) *answer.Answer {
	if k.Tries == 1 {
		return a
	}
	return withUnknownOutcome(a)
}

// withUnknownOutcome returns a copy of a refusal with an unknown outcome: the refusal
// says nothing about earlier attempts.
func withUnknownOutcome(a *answer.Answer) *answer.Answer {
	b := *a
	b.Outcome = answer.Unknown
	b.Detail += "; this attempt did not run, an earlier one with the key may have"
	return &b
}

// observe reports a finished call. a is nil if the caller has disconnected.
func (e *Edge) observe(k *call.Call, a *answer.Answer, writer *answerWriter) {
	if e.options.Observe == nil {
		return
	}
	s := burn.Sample{
		Customer: k.Customer, Service: k.Service, Program: k.Program, Key: k.Key,
		Reason: "left", Began: k.Received, TotalLatency: time.Since(k.Received),
	}
	if a != nil {
		s.Outcome, s.Reason, s.Tokens = a.Outcome, a.Reason, a.Usage.Output
	}
	if writer != nil {
		s.TimeToFirst, s.Gap = writer.timing(k.Received)
	}
	e.options.Observe(s)
}

// fetchAnswer returns the answer of an earlier call and waits for it while it runs.
func (e *Edge) fetchAnswer(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "key")
	customer, refusal := e.identifyCustomer(r)
	program := r.Header.Get(caller.HeaderProgram)
	if program == "" {
		// A call without a program forms its own program, named by its key.
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
	writer := e.newAnswerWriter(w, key, r.URL.Query().Get("stream") == "true")
	a := e.follow(r.Context(), writer, time.Time{}, ownerRequest{
		send: func(id string) Owner {
			return e.backend.Ask(frame.Ask{Customer: customer, Program: program, Key: key, Stream: id, Partial: string(writer.text)})
		},
		detach:   func(id string) { e.backend.Leave(id, customer, program) },
		readOnly: true,
	})
	if a != nil && a.Outcome == answer.NotRun {
		a = unknownKeyAnswer(a)
	}
	writer.writeAnswer(a)
}

// unknownKeyAnswer turns "no such key" into an unknown outcome. The key may belong
// to another program, or the owner may have lost its record of the call.
func unknownKeyAnswer(a *answer.Answer) *answer.Answer {
	b := *a
	b.Outcome = answer.Unknown
	b.Detail += "; this does not say that the call did not run"
	return &b
}

// endProgram serves the request to end a program.
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
	writer := e.newAnswerWriter(w, "", false)
	a := e.follow(r.Context(), writer, time.Time{}, ownerRequest{
		send: func(id string) Owner {
			return e.backend.Close(frame.Close{Customer: customer, Program: program, Stream: id})
		},
		detach: func(string) {},
	})
	writer.writeAnswer(a)
}

func (e *Edge) newAnswerWriter(w http.ResponseWriter, key string, stream bool) *answerWriter {
	return &answerWriter{response: w, key: key, streaming: stream, writeTimeout: e.options.WriteTimeout, created: time.Now().Unix()}
}

func (e *Edge) refuse(w http.ResponseWriter, key string, a *answer.Answer) {
	e.newAnswerWriter(w, key, false).writeAnswer(a)
}

func notRun(reason, detail string) *answer.Answer {
	return &answer.Answer{Outcome: answer.NotRun, Reason: reason, Detail: detail}
}

func malformed(err error) *answer.Answer { return notRun("bad", err.Error()) }
