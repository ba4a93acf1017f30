package engine

import (
	"net/http"
	"strconv"
	"time"
)

// Event reports how much of an agent's conversation the engine has cached.
type Event struct {
	// Serial rises by one per event. A gap means that events were lost.
	Serial  uint64 `json:"serial"`
	Program string `json:"program"`
	Agent   string `json:"agent"`
	// Tokens is the cached length; 0 after eviction or release.
	Tokens int       `json:"tokens"`
	Time   time.Time `json:"time"`
}

// maxEvents bounds the events that are kept.
const maxEvents = 4096

// publishEvents emits an event for each conversation whose cached length has changed,
// except those that Options.EventLoss drops, and records the load.
func (s *Server) publishEvents(now time.Time) {
	for cv := range s.cache.dirty {
		delete(s.cache.dirty, cv)
		n := s.cache.cachedTokens(cv)
		if n == cv.publishedTokens {
			continue
		}
		cv.publishedTokens = n
		s.lastSerial++
		if s.random.Float64() < s.options.EventLoss {
			continue
		}
		s.events = append(s.events, Event{Serial: s.lastSerial, Program: cv.program, Agent: cv.agent, Tokens: n, Time: now})
	}
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
	s.recordLoad(now)
	close(s.changed)
	s.changed = make(chan struct{})
}

// maxWait bounds one long poll for events.
const maxWait = 5 * time.Second

// getEvents answers with the events after a serial number. It waits at most maxWait
// until one is old enough to be published.
func (s *Server) getEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	for {
		events, wait, changed := s.eventsAfter(time.Now(), since)
		if len(events) > 0 {
			s.replyEvents(w, events)
			return
		}
		var due <-chan time.Time
		if wait > 0 {
			due = time.After(wait)
		}
		select {
		case <-changed:
		case <-due:
		case <-timeout.C:
			s.replyEvents(w, []Event{})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the published events after a serial number, the time until the
// next one is published (0 if there is none), and a channel that is closed at the
// next change.
func (s *Server) eventsAfter(now time.Time, serial uint64) ([]Event, time.Duration, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []Event
	lag := s.options.wallTime(s.options.ReportLag)
	for _, e := range s.events {
		if e.Serial <= serial {
			continue
		}
		if remaining := lag - now.Sub(e.Time); remaining > 0 {
			return events, remaining, s.changed
		}
		events = append(events, e)
	}
	return events, 0, s.changed
}

// replyEvents answers with events and the newest serial number, which shows a reader
// that the engine has restarted if it is lower than one seen before.
func (s *Server) replyEvents(w http.ResponseWriter, events []Event) {
	s.mu.Lock()
	serial := s.lastSerial
	s.mu.Unlock()
	reply(w, struct {
		Serial uint64  `json:"serial"`
		Events []Event `json:"events"`
	}{serial, events})
}
