package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/standin/weight"
)

// orderBody is the body of an order of any kind.
type orderBody struct {
	// Kind is "release", "cancel", "load", "unload", "role", "export" or "import".
	Kind    string `json:"kind"`
	Program string `json:"program"`
	// Agents limits a release or an export to these agents; nil means all.
	Agents  []string `json:"agents"`
	Epoch   uint64   `json:"epoch"`
	Key     string   `json:"key"`
	Role    string   `json:"role"`
	Model   string   `json:"model"`
	Adapter string   `json:"adapter"`
	Version string   `json:"version"`
	// Conversations are the prefixes to import, as an export returned them.
	Conversations []exportedPrefix `json:"talks"`
}

// exportedPrefix is the cached prefix of one agent's conversation.
type exportedPrefix struct {
	Agent  string   `json:"agent"`
	Hashes []uint64 `json:"chain"`
	// SharedBlocks is how many blocks at the beginning belong to the system prompt.
	SharedBlocks int `json:"shared"`
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var q orderBody
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.admitOrder(&q) {
		http.Error(w, "fenced", http.StatusPreconditionFailed)
		return
	}
	switch q.Kind {
	case "release":
		s.releaseProgram(time.Now(), q.Program, q.Agents)
	case "cancel":
		s.cancelKey(time.Now(), q.Program, q.Key)
	case "load":
		if err := s.loadModel(r.Context(), &q); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	case "unload":
		s.unloadModel(&q)
	case "role":
		s.setRole(q.Role)
	case "export":
		reply(w, struct {
			Conversations []exportedPrefix `json:"talks"`
		}{s.exportPrefixes(q.Program, q.Agents)})
		return
	case "import":
		s.importPrefixes(r.Context(), &q)
	default:
		http.Error(w, "unknown order "+q.Kind, http.StatusBadRequest)
		return
	}
	reply(w, struct{}{})
}

func (s *Server) admitOrder(q *orderBody) bool {
	if q.Program == "" {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admitEpoch(q.Program, q.Epoch)
}

func (s *Server) releaseProgram(now time.Time, program string, agents []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.releaseProgram(now, program, agents)
	s.publishEvents(now)
}

func (s *Server) cancelKey(now time.Time, program, key string) {
	s.mu.Lock()
	var matching []*job
	for _, j := range append(append([]*job(nil), s.running...), s.waiting...) {
		if j.body.Program == program && j.body.Key == key {
			matching = append(matching, j)
		}
	}
	s.mu.Unlock()
	for _, j := range matching {
		s.cancel(now, j)
	}
}

func (s *Server) loadModel(ctx context.Context, q *orderBody) error {
	name := weight.ModelName(q.Model, q.Adapter, q.Version)
	s.mu.Lock()
	ready, requested := s.loaded[name]
	if !requested {
		s.loaded[name] = false
	}
	s.mu.Unlock()
	if ready {
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
	s.recordLoad(time.Now())
	return nil
}

func (s *Server) unloadModel(q *orderBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.loaded, weight.ModelName(q.Model, q.Adapter, q.Version))
	s.recordLoad(time.Now())
}

func (s *Server) setRole(role string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role = role
	s.recordLoad(time.Now())
}

// exportPrefixes lists the cached prefixes of a program, or of some of its agents.
func (s *Server) exportPrefixes(program string, agents []string) []exportedPrefix {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := []exportedPrefix{}
	for _, cv := range s.cache.conversations[program] {
		if len(agents) > 0 && !slices.Contains(agents, cv.agent) {
			continue
		}
		e := exportedPrefix{Agent: cv.agent, Hashes: cv.hashes[:s.cache.cachedTokens(cv)/s.options.BlockTokens]}
		for _, h := range e.Hashes {
			if b, ok := s.cache.blocks.Peek(h); !ok || !b.shared {
				break
			}
			e.SharedBlocks++
		}
		e.Hashes = append([]uint64{}, e.Hashes...)
		all = append(all, e)
	}
	return all
}

// importPrefixes stores the prefixes that another engine exported, after the time that
// the transfer takes.
func (s *Server) importPrefixes(ctx context.Context, q *orderBody) {
	tokens := 0
	for _, e := range q.Conversations {
		tokens += len(e.Hashes) * s.options.BlockTokens
	}
	cost := time.Duration(tokens) * time.Second / time.Duration(s.options.ImportRate)
	select {
	case <-time.After(s.options.wallTime(cost)):
	case <-ctx.Done():
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range q.Conversations {
		keys := make([]blockKey, 0, len(e.Hashes))
		for i, h := range e.Hashes {
			keys = append(keys, blockKey{hash: h, shared: i < e.SharedBlocks})
		}
		if s.cache.makeRoom(now, len(keys)) {
			s.cache.unpin(s.cache.store(now, q.Program, e.Agent, keys))
		}
	}
	s.publishEvents(now)
}
