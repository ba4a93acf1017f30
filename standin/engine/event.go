package engine

import (
	"net/http"
	"strconv"
	"time"
)

// Event says how much of an agent's conversation the engine has cached.
type Event struct {
	// Serial rises by one; a gap means that events were lost.
	Serial  uint64 `json:"serial"`
	Program string `json:"program"`
	Agent   string `json:"agent"`
	// Tokens is the length now cached; 0 after eviction or release.
	Tokens int       `json:"tokens"`
	Time   time.Time `json:"time"`
}

// maxEvents bounds the events that are kept.
const maxEvents = 4096

// publish makes events of the talks whose cached length has changed, and notes
// the load.
func (s *Server) publish(now time.Time) {
	for t := range s.cache.dirty {
		delete(s.cache.dirty, t)
		n := s.cache.length(t)
		if n == t.told {
			continue
		}
		t.told = n
		s.serial++
		if s.random.Float64() < s.options.EventLoss {
			continue
		}
		s.events = append(s.events, Event{Serial: s.serial, Program: t.program, Agent: t.agent, Tokens: n, Time: now})
	}
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
	s.note(now)
	close(s.changed)
	s.changed = make(chan struct{})
}

// maxWait bounds one wait for events.
const maxWait = 5 * time.Second

// getEvents answers with the events after a serial number, as soon as one is
// old enough to be published.
func (s *Server) getEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	end := time.NewTimer(maxWait)
	defer end.Stop()
	for {
		events, next, changed := s.since(time.Now(), since)
		if len(events) > 0 {
			s.tell(w, events)
			return
		}
		var due <-chan time.Time
		if next > 0 {
			due = time.After(next)
		}
		select {
		case <-changed:
		case <-due:
		case <-end.C:
			s.tell(w, []Event{})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the published events after a serial number, or how long it
// takes until the next one is published.
func (s *Server) since(now time.Time, serial uint64) ([]Event, time.Duration, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []Event
	lag := s.options.wall(s.options.ReportLag)
	for _, e := range s.events {
		if e.Serial <= serial {
			continue
		}
		if left := lag - now.Sub(e.Time); left > 0 {
			return events, left, s.changed
		}
		events = append(events, e)
	}
	return events, 0, s.changed
}

// tell answers with events and the newest serial number, by which a reader
// notices that the engine began anew.
func (s *Server) tell(w http.ResponseWriter, events []Event) {
	s.mu.Lock()
	serial := s.serial
	s.mu.Unlock()
	reply(w, struct {
		Serial uint64  `json:"serial"`
		Events []Event `json:"events"`
	}{serial, events})
}
