// Package hosts (stand-in) serves the platform's list of live and leaving hosts, which
// shows changes with a delay.
package hosts

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Server is one host list. It is an http.Handler.
type Server struct {
	lag time.Duration

	mu sync.Mutex
	// changes are in order of time. A change is visible once it is older than lag.
	changes []change
}

type change struct {
	at    time.Time
	name  string
	state string
}

// New returns an empty list that shows changes after lag.
func New(lag time.Duration) *Server { return &Server{lag: lag} }

// Set changes a host's state: "live", "leaving" or "gone".
func (s *Server) Set(now time.Time, name, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{at: now, name: name, state: state})
}

// Visible returns each host's state as the list shows it.
func (s *Server) Visible(now time.Time) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := map[string]string{}
	for _, c := range s.changes {
		if now.Sub(c.at) >= s.lag {
			states[c.name] = c.state
		}
	}
	return states
}

// ServeHTTP answers GET with the visible states, and POST with a new state.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if r.Method == http.MethodPost {
		var q struct {
			Name  string `json:"name"`
			State string `json:"state"`
		}
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(now, q.Name, q.State)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Visible(now))
}
