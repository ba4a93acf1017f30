// Package fault (stand-in) makes a stand-in misbehave on demand.
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

// Plan says how to misbehave. The zero plan is good behaviour.
type Plan struct {
	// Path is the beginning of the paths concerned; "" means "/v1/".
	Path string `json:"path"`
	// Times bounds the requests concerned; 0 means all.
	Times int `json:"times"`
	// Slow multiplies the time that work takes; 0 means 1.
	Slow float64 `json:"slow"`
	// Wait delays each request before it is looked at, in milliseconds.
	Wait int `json:"wait"`
	// Hang lets requests wait for an answer that never comes. The work is not done.
	Hang bool `json:"hang"`
	// Mute does the work and never answers.
	Mute bool `json:"mute"`
	// Refuse answers 503 without doing the work.
	Refuse bool `json:"refuse"`
	// Garbage answers 200 with bytes that are no answer, without doing the work.
	Garbage bool `json:"garbage"`
	// Cut closes the connection after so many bytes of the answer; 0 does not.
	Cut int `json:"cut"`
	// Twice writes each part of an answer two times.
	Twice bool `json:"twice"`
	// Delay holds each part of an answer back, in milliseconds.
	Delay int `json:"delay"`
	// Crash closes all connections at once.
	Crash bool `json:"crash"`
}

// Knob holds the plan of one stand-in. It is safe for concurrent use.
type Knob struct {
	mu    sync.Mutex
	plan  Plan
	left  int
	conns map[net.Conn]bool
	// lifted is closed when the plan changes.
	lifted chan struct{}
}

// New returns a knob with good behaviour.
func New() *Knob { return &Knob{conns: map[net.Conn]bool{}, lifted: make(chan struct{})} }

// Set replaces the plan. Requests that hang are cut off.
func (k *Knob) Set(p Plan) {
	if p.Path == "" {
		p.Path = "/v1/"
	}
	k.mu.Lock()
	close(k.lifted)
	k.lifted = make(chan struct{})
	k.plan, k.left = p, p.Times
	var conns []net.Conn
	if p.Crash {
		for c := range k.conns {
			conns = append(conns, c)
		}
	}
	k.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Slow returns by how much work is slowed.
func (k *Knob) Slow() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.plan.Slow > 0 {
		return k.plan.Slow
	}
	return 1
}

// Track lets the knob close the connections of a server.
func (k *Knob) Track(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		k.mu.Lock()
		defer k.mu.Unlock()
		switch state {
		case http.StateNew:
			k.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(k.conns, c)
		}
	}
}

// take returns the plan for one request and what ends it.
func (k *Knob) take(path string) (Plan, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.plan
	if !strings.HasPrefix(path, p.Path) || p.Times > 0 && k.left == 0 {
		return Plan{}, k.lifted
	}
	if p.Times > 0 {
		k.left--
	}
	return p, k.lifted
}

// Wrap puts the knob before a handler, and takes plans at POST /fault.
func (k *Knob) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fault" {
			k.post(w, r)
			return
		}
		p, lifted := k.take(r.URL.Path)
		pause(r, time.Duration(p.Wait)*time.Millisecond, lifted)
		switch {
		case p.Hang:
			hang(r, lifted)
			panic(http.ErrAbortHandler)
		case p.Refuse:
			http.Error(w, "refused", http.StatusServiceUnavailable)
		case p.Garbage:
			_, _ = w.Write([]byte("data: {\"choices\": [{]\n\n\x00\xff not an answer"))
		case p.Mute:
			next.ServeHTTP(&mute{header: http.Header{}}, r)
			hang(r, lifted)
			panic(http.ErrAbortHandler)
		case p.Cut > 0 || p.Twice || p.Delay > 0:
			next.ServeHTTP(&writer{ResponseWriter: w, plan: p}, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (k *Knob) post(w http.ResponseWriter, r *http.Request) {
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
	k.Set(p)
}

func hang(r *http.Request, lifted chan struct{}) {
	// The server notices that the caller has gone only after the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-lifted:
	}
}

func pause(r *http.Request, d time.Duration, lifted chan struct{}) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	case <-lifted:
	}
}

// mute swallows an answer.
type mute struct{ header http.Header }

// Header keeps what is never sent.
func (m *mute) Header() http.Header { return m.header }

// Write drops the answer.
func (m *mute) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (m *mute) WriteHeader(int) {}

// Flush has nothing to send.
func (m *mute) Flush() {}

// writer spoils an answer.
type writer struct {
	http.ResponseWriter
	plan Plan
	sent int
}

// Unwrap gives the response controller the writer beneath.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes a part of the answer as the plan wants it.
func (w *writer) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(w.plan.Delay) * time.Millisecond)
	if w.plan.Cut > 0 && w.sent+len(b) > w.plan.Cut {
		_, _ = w.ResponseWriter.Write(b[:w.plan.Cut-w.sent])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	w.sent += len(b)
	if w.plan.Twice {
		if n, err := w.ResponseWriter.Write(b); err != nil {
			return n, err
		}
	}
	return w.ResponseWriter.Write(b)
}
