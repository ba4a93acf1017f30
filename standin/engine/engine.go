// Package engine (stand-in) plays a model engine: it streams answers, caches
// prompt prefixes and reports its load.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cowslipstage/cowslipstage/standin/speech"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// Options are the engine's costs.
type Options struct {
	// Prefill is prompt tokens per second.
	Prefill int
	// Decode is the time between two tokens of one stream.
	Decode time.Duration
	// Slots bounds the calls running at once.
	Slots int
}

// Server is one engine. It is an http.Handler.
type Server struct {
	mux     http.Handler
	options Options

	mu      sync.Mutex
	running int
	leaving bool
	// held is the cached tokens by program.
	held   map[string]int
	ledger []Entry
}

// Entry is one line of the engine's ledger: a call that ran.
type Entry struct {
	Program string `json:"program"`
	Agent   string `json:"agent"`
	Key     string `json:"key"`
	Epoch   string `json:"epoch"`
	Digest  uint64 `json:"digest"`
	Output  int    `json:"output"`
	Done    bool   `json:"done"`
}

// New returns an idle engine.
func New(o Options) *Server {
	s := &Server{options: o, held: map[string]int{}}
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", s.chat)
	r.Get("/load", s.load)
	r.Post("/orders", s.order)
	r.Get("/cache", s.cache)
	r.Get("/ledger", s.getLedger)
	s.mux = r
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// chatBody is the usual chat-completions request with the engine's extensions.
type chatBody struct {
	Model     string         `json:"model"`
	Messages  []call.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Priority  int            `json:"priority"`
	// Partial is text already generated, to be continued.
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
	if !s.enter() {
		http.Error(w, "leaving or full", http.StatusServiceUnavailable)
		return
	}
	defer s.exit()
	s.stream(w, r, &q)
}

func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.running >= s.options.Slots {
		return false
	}
	s.running++
	return true
}

func (s *Server) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, q *chatBody) {
	prompt := speech.Count(q.Messages)
	cached := s.touch(q.Program, prompt)
	time.Sleep(time.Second * time.Duration(prompt-cached) / time.Duration(s.options.Prefill))
	w.Header().Set("Content-Type", "text/event-stream")
	count := min(q.MaxTokens, 16+int(speech.Digest(q.Messages)%32))
	sent, output := 0, 0
	for _, t := range speech.Tokens(q.Messages, count) {
		sent += len(t)
		if sent <= len(q.Partial) {
			continue
		}
		select {
		case <-time.After(s.options.Decode):
		case <-r.Context().Done():
			s.note(q, output, false)
			return
		}
		output++
		s.chunk(w, t)
	}
	s.note(q, output, true)
	s.usage(w, prompt, cached, output)
}

func (s *Server) chunk(w http.ResponseWriter, text string) {
	data, _ := json.Marshal(struct {
		Choices []any `json:"choices"`
	}{[]any{struct {
		Delta any `json:"delta"`
	}{struct {
		Content string `json:"content"`
	}{text}}}})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

func (s *Server) usage(w http.ResponseWriter, prompt, cached, output int) {
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,"+
		"\"cached_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", prompt, cached, output)
}

func (s *Server) touch(program string, prompt int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	cached := min(s.held[program], prompt)
	s.held[program] = prompt
	return cached
}

func (s *Server) note(q *chatBody, output int, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = append(s.ledger, Entry{
		Program: q.Program, Agent: q.Agent, Key: q.Key,
		Digest: speech.Digest(q.Messages), Output: output, Done: done,
	})
}

// Leave makes the engine refuse new work.
func (s *Server) Leave(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Ledger returns the calls that ran.
func (s *Server) Ledger() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.ledger...)
}

func (s *Server) getLedger(w http.ResponseWriter, _ *http.Request) { reply(w, s.Ledger()) }

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cached := 0
	for _, n := range s.held {
		cached += n
	}
	reply(w, struct {
		Running int       `json:"running"`
		Cached  int       `json:"cached"`
		Leaving bool      `json:"leaving"`
		Taken   time.Time `json:"taken"`
	}{s.running, cached, s.leaving, time.Now()})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Kind    string `json:"kind"`
		Program string `json:"program"`
		Epoch   uint64 `json:"epoch"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Kind == "release" {
		delete(s.held, q.Program)
	}
	reply(w, struct{}{})
}

func (s *Server) cache(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, s.held)
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
