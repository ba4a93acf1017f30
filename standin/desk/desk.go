// Package desk (stand-in) plays a plain service whose operations have effects,
// and keeps a ledger of every effect.
package desk

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Options are how the desk behaves.
type Options struct {
	// Latency is how long an operation takes.
	Latency time.Duration
	// Fencing makes the desk refuse fencing numbers lower than the highest seen.
	Fencing bool
}

// Server is one desk. It is an http.Handler.
type Server struct {
	mux     http.Handler
	options Options

	mu      sync.Mutex
	leaving bool
	ledger  []Entry
}

// Entry is one effect.
type Entry struct {
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Program   string `json:"program"`
	Epoch     string `json:"epoch"`
	Body      string `json:"body"`
}

// New returns a desk with an empty ledger.
func New(o Options) *Server {
	s := &Server{options: o}
	r := chi.NewRouter()
	r.Post("/v1/{operation}", s.run)
	r.Get("/ledger", s.getLedger)
	r.Get("/load", s.load)
	s.mux = r
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e := Entry{
		Operation: chi.URLParam(r, "operation"), Key: r.Header.Get("Idempotency-Key"),
		Program: r.Header.Get("X-Program"), Epoch: r.Header.Get("X-Epoch"), Body: string(body),
	}
	s.mu.Lock()
	if s.leaving {
		s.mu.Unlock()
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	s.ledger = append(s.ledger, e)
	number := len(s.ledger)
	s.mu.Unlock()
	time.Sleep(s.options.Latency)
	reply(w, struct {
		Number    int    `json:"number"`
		Operation string `json:"operation"`
	}{number, e.Operation})
}

// Leave makes the desk refuse new work.
func (s *Server) Leave(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Ledger returns every effect, in order.
func (s *Server) Ledger() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.ledger...)
}

func (s *Server) getLedger(w http.ResponseWriter, _ *http.Request) { reply(w, s.Ledger()) }

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, struct {
		Leaving bool      `json:"leaving"`
		Taken   time.Time `json:"taken"`
	}{s.leaving, time.Now()})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
