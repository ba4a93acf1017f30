package engine

import (
	"net/http"
	"sort"
	"time"
)

// report is the engine's load at one time.
type report struct {
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

// note keeps the load of now, to be published after the lag.
func (s *Server) note(now time.Time) {
	q := report{
		Running: len(s.running), Waiting: len(s.waiting), Cached: s.cache.blocks.Len() * s.options.BlockTokens,
		Leaving: s.leaving, Role: s.role, Taken: now,
	}
	for _, r := range s.running {
		q.Pending += r.left
	}
	for _, r := range s.waiting {
		q.Pending += r.prompt
	}
	for name, whole := range s.loaded {
		if whole {
			q.Models = append(q.Models, name)
		}
	}
	sort.Strings(q.Models)
	s.reports = append(s.reports, q)
	// All but the newest report that is old enough can go.
	due := s.due(now)
	if due > 0 {
		s.reports = s.reports[due:]
	}
	if len(s.reports) > maxReports {
		s.reports = s.reports[len(s.reports)-maxReports:]
	}
}

// due returns the index of the newest report that is as old as the lag.
func (s *Server) due(now time.Time) int {
	limit := now.Add(-s.options.wall(s.options.ReportLag))
	return sort.Search(len(s.reports), func(i int) bool { return s.reports[i].Taken.After(limit) }) - 1
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.mu.Lock()
	var q report
	if i := s.due(now); i >= 0 {
		q = s.reports[i]
	}
	// The report is as old as the lag even when nothing has changed since.
	q.Taken = now.Add(-s.options.wall(s.options.ReportLag))
	s.mu.Unlock()
	reply(w, q)
}
