// Package engine (stand-in) simulates a model engine: it batches calls step by step,
// caches prompt prefixes in limited memory, and publishes its load with a delay.
package engine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cowslipstage/cowslipstage/standin/fault"
	"github.com/cowslipstage/cowslipstage/standin/weight"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// Server is one engine. It is an http.Handler.
type Server struct {
	options Options
	fault   *fault.Injector
	weights *weight.Store
	handler http.Handler

	mu sync.Mutex
	// loopRunning is set while runLoop runs.
	loopRunning bool
	running     []*job
	waiting     []*job
	leaving     bool
	role        string
	cache       *cache
	// epochs holds the highest epoch by program.
	epochs map[string]uint64
	// loaded holds the models in memory; false while one is being loaded.
	loaded      map[string]bool
	ledger      []Entry
	refusals    []Refusal
	loadReports []loadReport
	events      []Event
	lastSerial  uint64
	changed     chan struct{}
	random      *rand.Rand
	// busyTime is the duration of all steps, streamTime the same weighted by the batch
	// size, and delayTime the time by which a busy machine delayed them.
	busyTime   time.Duration
	streamTime time.Duration
	delayTime  time.Duration
}

// Entry is one line of the engine's ledger: a call that was started.
type Entry struct {
	Program string `json:"program"`
	Agent   string `json:"agent"`
	Key     string `json:"key"`
	Epoch   string `json:"epoch"`
	// Digest identifies the conversation that the engine received.
	Digest       uint64 `json:"digest"`
	PromptTokens int    `json:"prompt"`
	CachedTokens int    `json:"cached"`
	OutputTokens int    `json:"output"`
	Done         bool   `json:"done"`
	// Arrived is when the call arrived, Started when it entered the batch.
	Arrived time.Time `json:"came"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
}

// Refusal is a call that the engine refused.
type Refusal struct {
	Program string    `json:"program"`
	Key     string    `json:"key"`
	Reason  string    `json:"reason"`
	Time    time.Time `json:"time"`
}

// New returns an idle engine.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		options: o, fault: fault.New(), weights: weight.New(weight.Options{}),
		cache: newCache(o), epochs: map[string]uint64{}, loaded: map[string]bool{},
		changed: make(chan struct{}), random: rand.New(rand.NewPCG(o.Seed, 1)),
	}
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", s.chat)
	r.Get("/load", s.getLoad)
	r.Post("/orders", s.postOrder)
	r.Get("/cache", s.getCache)
	r.Get("/events", s.getEvents)
	r.Get("/ledger", s.getLedger)
	r.Post("/ended", s.postEnded)
	s.handler = s.fault.Wrap(r)
	return s
}

// SetWeightStore makes the engine load its models from a store that other engines
// share.
func (s *Server) SetWeightStore(w *weight.Store) *Server {
	s.weights = w
	return s
}

// Fault returns the engine's fault injector.
func (s *Server) Fault() *fault.Injector { return s.fault }

// ServeHTTP answers one call, and names its attempt.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Attempt"); id != "" {
		w.Header().Set("X-Attempt", id)
	}
	s.handler.ServeHTTP(w, r)
}

// chatBody is a chat-completions request with the engine's extensions.
type chatBody struct {
	Model     string         `json:"model"`
	Adapter   string         `json:"adapter"`
	Version   string         `json:"version"`
	Messages  []call.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Priority  int            `json:"priority"`
	// Partial is text that was already generated and is to be continued.
	Partial string `json:"partial"`
	Program string `json:"program"`
	Agent   string `json:"agent"`
	Key     string `json:"key"`
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var q chatBody
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	j := s.newJob(now, &q, r.Header.Get("X-Epoch"))
	if status, reason := s.enqueue(now, j); reason != "" {
		w.Header().Set("Retry-After", "1")
		http.Error(w, reason, status)
		return
	}
	s.streamAnswer(w, r, j)
}

// enqueue adds a job to the waiting queue, or returns the status and reason of its
// refusal.
func (s *Server) enqueue(now time.Time, j *job) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status, reason := s.refusal(j); reason != "" {
		s.refusals = append(s.refusals, Refusal{Program: j.body.Program, Key: j.body.Key, Reason: reason, Time: now})
		return status, reason
	}
	j.blockKeys = s.cache.blockKeys(j.body.Messages)
	s.waiting = append(s.waiting, j)
	s.recordLoad(now)
	if !s.loopRunning {
		s.loopRunning = true
		go s.runLoop()
	}
	return 0, ""
}

func (s *Server) refusal(j *job) (int, string) {
	switch {
	case s.leaving:
		return http.StatusServiceUnavailable, "leaving"
	case s.role == "none":
		return http.StatusServiceUnavailable, "role"
	case len(s.waiting) >= s.options.MaxWaiting:
		return http.StatusServiceUnavailable, "full"
	case s.options.RequireLoaded && !s.loaded[weight.ModelName(j.body.Model, j.body.Adapter, j.body.Version)]:
		return http.StatusServiceUnavailable, "unloaded"
	}
	epoch, _ := strconv.ParseUint(j.epoch, 10, 64)
	if !s.admitEpoch(j.body.Program, epoch) {
		return http.StatusPreconditionFailed, "fenced"
	}
	return 0, ""
}

// admitEpoch records a program's epoch and reports whether the engine accepts it.
func (s *Server) admitEpoch(program string, epoch uint64) bool {
	if s.options.Fencing && epoch < s.epochs[program] {
		return false
	}
	s.epochs[program] = max(epoch, s.epochs[program])
	return true
}

func (s *Server) streamAnswer(w http.ResponseWriter, r *http.Request, j *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	offset := len(j.body.Partial)
	for {
		select {
		case text, ok := <-j.chunks:
			if !ok {
				writeEnd(w, j)
				return
			}
			writeChunk(w, j.body.Key, offset, text)
			offset += len(text)
		case <-r.Context().Done():
			s.cancel(time.Now(), j)
			return
		}
	}
}

// writeChunk writes a part of an answer; offset is its position in bytes.
func writeChunk(w http.ResponseWriter, key string, offset int, text string) {
	data, _ := json.Marshal(struct {
		ID      string `json:"id"`
		Offset  int    `json:"offset"`
		Choices []any  `json:"choices"`
	}{key, offset, []any{struct {
		Delta any `json:"delta"`
	}{struct {
		Content string `json:"content"`
	}{text}}}})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

// writeEnd writes the end of an answer. It aborts the connection of a cancelled job,
// so that its caller sees no end mark.
func writeEnd(w http.ResponseWriter, j *job) {
	if !j.done {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,"+
		"\"cached_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", j.body.Key, j.promptTokens, j.cachedTokens, j.outputTokens)
}

// SetLeaving makes the engine refuse new calls, or accept them again.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
	s.recordLoad(time.Now())
}

// Ledger returns the calls that were started.
func (s *Server) Ledger() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.ledger...)
}

// Refusals returns the refused calls.
func (s *Server) Refusals() []Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Refusal(nil), s.refusals...)
}

func (s *Server) getLedger(w http.ResponseWriter, _ *http.Request) { reply(w, s.Ledger()) }

func (s *Server) getCache(w http.ResponseWriter, _ *http.Request) { reply(w, s.HeldTokens()) }

func (s *Server) postEnded(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Programs []string `json:"programs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.EndPrograms(time.Now(), q.Programs...)
	reply(w, s.Usage(time.Now()))
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
