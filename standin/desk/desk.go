// Package desk (stand-in) serves a plain service whose operations have effects,
// and keeps a ledger of the effects.
package desk

import (
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cowslipstage/cowslipstage/standin/fault"
)

// Options configure a desk.
type Options struct {
	// Latency is the median duration of an operation.
	Latency time.Duration `ini:"latency"`
	// Spread is the standard deviation of the latency's logarithm; 0 means a fixed latency.
	Spread float64 `ini:"spread"`
	// Fencing makes the desk refuse an epoch lower than the highest that the program has sent.
	Fencing bool `ini:"fencing"`
	// Seed seeds the random latencies.
	Seed uint64 `ini:"seed"`
}

// Server is one desk with its ledger. It is an http.Handler.
type Server struct {
	handler http.Handler
	options Options
	fault   *fault.Injector

	mu      sync.Mutex
	leaving bool
	random  *rand.Rand
	// epochs holds the highest epoch by program.
	epochs   map[string]uint64
	ledger   []Entry
	refusals []Refusal
}

// Entry is one effect in the ledger.
type Entry struct {
	Operation string    `json:"operation"`
	Key       string    `json:"key"`
	Program   string    `json:"program"`
	Epoch     string    `json:"epoch"`
	Body      string    `json:"body"`
	Arrived   time.Time `json:"came"`
	// Ended is when the answer was ready. The effect exists from Arrived on.
	Ended time.Time `json:"ended"`
}

// Refusal is a call that the desk refused to run.
type Refusal struct {
	Program string    `json:"program"`
	Key     string    `json:"key"`
	Reason  string    `json:"reason"`
	Time    time.Time `json:"time"`
}

// New returns a desk with an empty ledger.
func New(o Options) *Server {
	s := &Server{
		options: o, fault: fault.New(), epochs: map[string]uint64{},
		random: rand.New(rand.NewPCG(o.Seed, 2)),
	}
	r := chi.NewRouter()
	r.Post("/v1/{operation}", s.runOperation)
	r.Get("/v1/outcome/{key}", s.getOutcome)
	r.Get("/ledger", s.getLedger)
	r.Get("/load", s.getLoad)
	s.handler = s.fault.Wrap(r)
	return s
}

// Fault returns the desk's fault injector.
func (s *Server) Fault() *fault.Injector { return s.fault }

// ServeHTTP answers one call, and names its attempt.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Attempt"); id != "" {
		w.Header().Set("X-Attempt", id)
	}
	s.handler.ServeHTTP(w, r)
}

func (s *Server) runOperation(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e := Entry{
		Operation: chi.URLParam(r, "operation"), Key: r.Header.Get("Idempotency-Key"),
		Program: r.Header.Get("X-Program"), Epoch: r.Header.Get("X-Epoch"), Body: string(body),
		Arrived: time.Now(),
	}
	number, duration, reason := s.record(e)
	switch reason {
	case "":
	case "fenced":
		http.Error(w, reason, http.StatusPreconditionFailed)
		return
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	time.Sleep(duration)
	s.mu.Lock()
	s.ledger[number-1].Ended = time.Now()
	s.mu.Unlock()
	reply(w, struct {
		Number    int    `json:"number"`
		Operation string `json:"operation"`
	}{number, e.Operation})
}

// record adds an effect to the ledger and returns its number and duration, or the
// reason for refusing it.
func (s *Server) record(e Entry) (int, time.Duration, string) {
	epoch, _ := strconv.ParseUint(e.Epoch, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := ""
	switch {
	case s.leaving:
		reason = "leaving"
	case s.options.Fencing && epoch < s.epochs[e.Program]:
		reason = "fenced"
	}
	if reason != "" {
		s.refusals = append(s.refusals, Refusal{Program: e.Program, Key: e.Key, Reason: reason, Time: e.Arrived})
		return 0, 0, reason
	}
	s.epochs[e.Program] = max(epoch, s.epochs[e.Program])
	s.ledger = append(s.ledger, e)
	duration := float64(s.options.Latency) * s.fault.Slowdown()
	if s.options.Spread > 0 {
		duration *= math.Exp(s.options.Spread * s.random.NormFloat64())
	}
	return len(s.ledger), time.Duration(duration), ""
}

// getOutcome answers with the effect that an idempotency key has had, or with 404.
func (s *Server) getOutcome(w http.ResponseWriter, r *http.Request) {
	key, program := chi.URLParam(r, "key"), r.Header.Get("X-Program")
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.ledger {
		if e.Key == key && e.Program == program {
			reply(w, struct {
				Number    int    `json:"number"`
				Operation string `json:"operation"`
			}{i + 1, e.Operation})
			return
		}
	}
	http.Error(w, "unknown key", http.StatusNotFound)
}

// SetLeaving makes the desk refuse new calls, or accept them again.
func (s *Server) SetLeaving(leaving bool) {
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

// Refusals returns the refused calls.
func (s *Server) Refusals() []Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Refusal(nil), s.refusals...)
}

func (s *Server) getLedger(w http.ResponseWriter, _ *http.Request) { reply(w, s.Ledger()) }

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
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
