package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/standin/weight"
)

// orderBody is any order that the engine takes.
type orderBody struct {
	// Kind is "release", "cancel", "load", "unload", "role", "export" or "import".
	Kind    string `json:"kind"`
	Program string `json:"program"`
	// Agents limits a release or an export to some conversations; nil means all.
	Agents  []string `json:"agents"`
	Epoch   uint64   `json:"epoch"`
	Key     string   `json:"key"`
	Role    string   `json:"role"`
	Model   string   `json:"model"`
	Adapter string   `json:"adapter"`
	Version string   `json:"version"`
	// Talks are what an export gave.
	Talks []exported `json:"talks"`
}

// exported is the cached prefix of one agent's conversation.
type exported struct {
	Agent string   `json:"agent"`
	Chain []uint64 `json:"chain"`
	// Shared is how many blocks at its beginning are the service's.
	Shared int `json:"shared"`
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var q orderBody
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.lawful(&q) {
		http.Error(w, "fenced", http.StatusPreconditionFailed)
		return
	}
	switch q.Kind {
	case "release":
		s.release(time.Now(), q.Program, q.Agents)
	case "cancel":
		s.cancelKey(time.Now(), q.Program, q.Key)
	case "load":
		if err := s.load(r.Context(), &q); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	case "unload":
		s.unload(&q)
	case "role":
		s.setRole(q.Role)
	case "export":
		reply(w, struct {
			Talks []exported `json:"talks"`
		}{s.export(q.Program, q.Agents)})
		return
	case "import":
		s.take(r.Context(), &q)
	default:
		http.Error(w, "unknown order "+q.Kind, http.StatusBadRequest)
		return
	}
	reply(w, struct{}{})
}

func (s *Server) lawful(q *orderBody) bool {
	if q.Program == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence(q.Program, q.Epoch)
}

func (s *Server) release(now time.Time, program string, agents []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.release(now, program, agents)
	s.publish(now)
}

func (s *Server) cancelKey(now time.Time, program, key string) {
	s.mu.Lock()
	var gone []*run
	for _, r := range append(append([]*run(nil), s.running...), s.waiting...) {
		if r.body.Program == program && r.body.Key == key {
			gone = append(gone, r)
		}
	}
	s.mu.Unlock()
	for _, r := range gone {
		s.cancel(now, r)
	}
}

func (s *Server) load(ctx context.Context, q *orderBody) error {
	name := weight.ModelName(q.Model, q.Adapter, q.Version)
	s.mu.Lock()
	whole, known := s.loaded[name]
	if !known {
		s.loaded[name] = false
	}
	s.mu.Unlock()
	if whole {
		return nil
	}
	err := s.weights.Fetch(ctx, q.Model, q.Adapter, s.options.Speed)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		delete(s.loaded, name)
		return err
	}
	s.loaded[name] = true
	s.note(time.Now())
	return nil
}

func (s *Server) unload(q *orderBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.loaded, weight.ModelName(q.Model, q.Adapter, q.Version))
	s.note(time.Now())
}

func (s *Server) setRole(role string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role = role
	s.note(time.Now())
}

// export lists what is cached for a program, or for some of its agents.
func (s *Server) export(program string, agents []string) []exported {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := []exported{}
	for _, t := range s.cache.talks[program] {
		if len(agents) > 0 && !slices.Contains(agents, t.agent) {
			continue
		}
		e := exported{Agent: t.agent, Chain: t.chain[:s.cache.length(t)/s.options.BlockTokens]}
		for _, h := range e.Chain {
			if b, ok := s.cache.blocks.Peek(h); !ok || !b.shared {
				break
			}
			e.Shared++
		}
		e.Chain = append([]uint64{}, e.Chain...)
		all = append(all, e)
	}
	return all
}

// take imports what another engine exported. The transfer takes its time
// before the blocks can be used.
func (s *Server) take(ctx context.Context, q *orderBody) {
	tokens := 0
	for _, e := range q.Talks {
		tokens += len(e.Chain) * s.options.BlockTokens
	}
	cost := time.Duration(tokens) * time.Second / time.Duration(s.options.ImportRate)
	select {
	case <-time.After(s.options.wall(cost)):
	case <-ctx.Done():
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range q.Talks {
		links := make([]link, 0, len(e.Chain))
		for i, h := range e.Chain {
			links = append(links, link{hash: h, shared: i < e.Shared})
		}
		if s.cache.room(now, len(links)) {
			s.cache.unpin(s.cache.keep(now, q.Program, e.Agent, links))
		}
	}
	s.publish(now)
}
