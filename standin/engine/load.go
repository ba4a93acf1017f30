package engine

import (
	"net/http"
	"sort"
	"time"
)

// loadReport is the engine's load at one time.
type loadReport struct {
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	Pending int       `json:"pending"`
	Cached  int       `json:"cached"`
	Leaving bool      `json:"leaving"`
	Role    string    `json:"role,omitempty"`
	Models  []string  `json:"models,omitempty"`
	Taken   time.Time `json:"taken"`
}

// maxReports bounds the reports that are kept to be published late.
const maxReports = 4096

// recordLoad keeps the load of now, to be published after the lag.
func (s *Server) recordLoad(now time.Time) {
	q := loadReport{
		Running: len(s.running), Waiting: len(s.waiting), Cached: s.cache.blocks.Len() * s.options.BlockTokens,
		Leaving: s.leaving, Role: s.role, Taken: now,
	}
	for _, j := range s.running {
		q.Pending += j.prefillLeft
	}
	for _, j := range s.waiting {
		q.Pending += j.promptTokens
	}
	for name, ready := range s.loaded {
		if ready {
			q.Models = append(q.Models, name)
		}
	}
	sort.Strings(q.Models)
	s.loadReports = append(s.loadReports, q)
	// All but the newest report that is old enough can go.
	published := s.newestPublished(now)
	if published > 0 {
		s.loadReports = s.loadReports[published:]
	}
	if len(s.loadReports) > maxReports {
		s.loadReports = s.loadReports[len(s.loadReports)-maxReports:]
	}
}

// newestPublished returns the index of the newest report that is as old as the lag.
func (s *Server) newestPublished(now time.Time) int {
	limit := now.Add(-s.options.wallTime(s.options.ReportLag))
	return sort.Search(len(s.loadReports), func(i int) bool { return s.loadReports[i].Taken.After(limit) }) - 1
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.mu.Lock()
	var q loadReport
	if i := s.newestPublished(now); i >= 0 {
		q = s.loadReports[i]
	}
	// The report is as old as the lag even when nothing has changed since.
	q.Taken = now.Add(-s.options.wallTime(s.options.ReportLag))
	s.mu.Unlock()
	reply(w, q)
}
