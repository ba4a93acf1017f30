// Package fault (stand-in) injects faults into the HTTP answers of a stand-in.
package fault

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Plan says which faults to inject. The zero plan injects none.
type Plan struct {
	// PathPrefix selects the requests concerned; "" means "/v1/".
	PathPrefix string `json:"path"`
	// MaxRequests bounds the number of requests concerned; 0 means all.
	MaxRequests int `json:"times"`
	// Slowdown multiplies the time that work takes; 0 means 1.
	Slowdown float64 `json:"slow"`
	// RequestDelay delays each request before it is handled, in milliseconds.
	RequestDelay int `json:"wait"`
	// Hang leaves requests without an answer. The work is not done.
	Hang bool `json:"hang"`
	// DropAnswer does the work and never answers.
	DropAnswer bool `json:"mute"`
	// Refuse answers 503 without doing the work.
	Refuse bool `json:"refuse"`
	// Garbage answers 200 with malformed data, without doing the work.
	Garbage bool `json:"garbage"`
	// CutAfter closes the connection after that many bytes of the answer; 0 does not.
	CutAfter int `json:"cut"`
	// Duplicate writes each part of an answer twice.
	Duplicate bool `json:"twice"`
	// ChunkDelay delays each part of an answer, in milliseconds.
	ChunkDelay int `json:"delay"`
	// Crash closes all connections immediately.
	Crash bool `json:"crash"`
}

// Injector holds the plan of one stand-in. It is safe for concurrent use.
type Injector struct {
	mu           sync.Mutex
	plan         Plan
	requestsLeft int
	conns        map[net.Conn]bool
	// planChanged is closed and replaced when the plan changes.
	planChanged chan struct{}
}

// New returns an injector without faults.
func New() *Injector { return &Injector{conns: map[net.Conn]bool{}, planChanged: make(chan struct{})} }

// Set replaces the plan and aborts the requests that hang.
func (i *Injector) Set(p Plan) {
	if p.PathPrefix == "" {
		p.PathPrefix = "/v1/"
	}
	i.mu.Lock()
	close(i.planChanged)
	i.planChanged = make(chan struct{})
	i.plan, i.requestsLeft = p, p.MaxRequests
	var conns []net.Conn
	if p.Crash {
		for c := range i.conns {
			conns = append(conns, c)
		}
	}
	i.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Slowdown returns the factor by which work is slowed down.
func (i *Injector) Slowdown() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.plan.Slowdown > 0 {
		return i.plan.Slowdown
	}
	return 1
}

// Track lets the injector close the connections of a server.
func (i *Injector) Track(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		i.mu.Lock()
		defer i.mu.Unlock()
		switch state {
		case http.StateNew:
			i.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(i.conns, c)
		}
	}
}

// planFor returns the plan for one request, and a channel that is closed when the plan
// changes.
func (i *Injector) planFor(path string) (Plan, chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := i.plan
	if !strings.HasPrefix(path, p.PathPrefix) || p.MaxRequests > 0 && i.requestsLeft == 0 {
		return Plan{}, i.planChanged
	}
	if p.MaxRequests > 0 {
		i.requestsLeft--
	}
	return p, i.planChanged
}

// Wrap applies the plan to the requests of a handler, and accepts new plans at POST
// /fault.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fault" {
			i.postPlan(w, r)
			return
		}
		p, planChanged := i.planFor(r.URL.Path)
		delay(r, time.Duration(p.RequestDelay)*time.Millisecond, planChanged)
		switch {
		case p.Hang:
			hang(r, planChanged)
			panic(http.ErrAbortHandler)
		case p.Refuse:
			http.Error(w, "refused", http.StatusServiceUnavailable)
		case p.Garbage:
			_, _ = w.Write([]byte("data: {\"choices\": [{]\n\n\x00\xff not an answer"))
		case p.DropAnswer:
			next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			hang(r, planChanged)
			panic(http.ErrAbortHandler)
		case p.CutAfter > 0 || p.Duplicate || p.ChunkDelay > 0:
			next.ServeHTTP(&faultyWriter{ResponseWriter: w, plan: p}, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (i *Injector) postPlan(w http.ResponseWriter, r *http.Request) {
	var p Plan
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}\n"))
	if p.Crash {
		_ = http.NewResponseController(w).Flush()
	}
	i.Set(p)
}

func hang(r *http.Request, planChanged chan struct{}) {
	// The server detects a closed connection only after the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-planChanged:
	}
}

func delay(r *http.Request, d time.Duration, planChanged chan struct{}) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	case <-planChanged:
	}
}

// discardWriter discards an answer.
type discardWriter struct{ header http.Header }

// Header returns a header that is never sent.
func (w *discardWriter) Header() http.Header { return w.header }

// Write discards a part of the answer.
func (w *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader discards the status.
func (w *discardWriter) WriteHeader(int) {}

// Flush does nothing.
func (w *discardWriter) Flush() {}

// faultyWriter applies a plan to an answer.
type faultyWriter struct {
	http.ResponseWriter
	plan Plan
	sent int
}

// Unwrap returns the underlying writer, for the response controller.
func (w *faultyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes a part of the answer as the plan says.
func (w *faultyWriter) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(w.plan.ChunkDelay) * time.Millisecond)
	if w.plan.CutAfter > 0 && w.sent+len(b) > w.plan.CutAfter {
		_, _ = w.ResponseWriter.Write(b[:w.plan.CutAfter-w.sent])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	w.sent += len(b)
	if w.plan.Duplicate {
		if n, err := w.ResponseWriter.Write(b); err != nil {
			return n, err
		}
	}
	return w.ResponseWriter.Write(b)
}
