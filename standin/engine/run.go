package engine

import (
	"sort"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/standin/model"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// run is one call at the engine.
type run struct {
	body   *chatBody
	epoch  string
	links  []link
	prompt int
	// words are the answer; those before next have been generated.
	words []string
	next  int
	came  time.Time
	// left is the prompt tokens that still have to be computed.
	left   int
	cached int
	pinned []*block
	// reserved is the blocks set aside for the run.
	reserved int
	entry    int
	running  bool
	// out carries text to the caller; it is closed when the run is over.
	out     chan string
	pending strings.Builder
	flushed time.Time
	output  int
	done    bool
}

func (s *Server) newRun(now time.Time, q *chatBody, epoch string) *run {
	count := model.AnswerLength(q.Messages, q.MaxTokens)
	r := &run{body: q, epoch: epoch, came: now, out: make(chan string, count+1), entry: -1}
	r.prompt = model.PromptTokens(q.Messages)
	r.words = model.AnswerTokens(q.Messages, count)
	for sent := 0; r.next < len(r.words) && sent+len(r.words[r.next]) <= len(q.Partial); r.next++ {
		sent += len(r.words[r.next])
	}
	return r
}

// start moves a waiting run into the batch if there is memory for it.
func (s *Server) start(now time.Time, r *run) bool {
	r.pinned = s.cache.match(r.links)
	need := len(r.links) - len(r.pinned) + len(r.words)/s.options.BlockTokens + 1
	if !s.cache.room(now, need) && len(s.running) > 0 {
		s.cache.unpin(r.pinned)
		r.pinned = nil
		return false
	}
	s.cache.reserved += need
	r.reserved = need
	r.cached = min(len(r.pinned)*s.options.BlockTokens, r.prompt)
	r.left = r.prompt - r.cached
	r.running = true
	r.entry = len(s.ledger)
	s.ledger = append(s.ledger, Entry{
		Program: r.body.Program, Agent: r.body.Agent, Key: r.body.Key, Epoch: r.epoch,
		Digest: model.Digest(r.body.Messages), PromptTokens: r.prompt, CachedTokens: r.cached,
		Arrived: r.came, Started: now,
	})
	s.running = append(s.running, r)
	return true
}

// admit fills the batch from the waiting calls, the most urgent first.
func (s *Server) admit(now time.Time) {
	sort.SliceStable(s.waiting, func(a, b int) bool {
		return s.waiting[a].body.Priority > s.waiting[b].body.Priority
	})
	started := 0
	for len(s.waiting) > 0 && len(s.running) < s.options.Slots && s.start(now, s.waiting[0]) {
		s.waiting = s.waiting[1:]
		started++
	}
	if started > 0 {
		s.note(now)
	}
}

// step computes one step of the batch and returns how long it takes.
func (s *Server) step(now time.Time) time.Duration {
	s.admit(now)
	budget, computed, streams := s.options.MaxStepTokens, 0, 0
	for _, r := range s.running {
		if r.left > 0 {
			n := min(r.left, budget-computed)
			computed += n
			r.left -= n
			if r.left == 0 {
				s.prefilled(now, r)
			}
			continue
		}
		streams++
		r.pending.WriteString(r.words[r.next])
		r.next++
		r.output++
	}
	o := s.options
	d := o.Decode + time.Duration(streams)*o.TimePerStream + time.Duration(computed)*time.Second/time.Duration(o.PrefillRate)
	return o.wall(time.Duration(float64(d) * s.fault.Slowdown()))
}

// prefilled stores the prompt's blocks once they are computed.
func (s *Server) prefilled(now time.Time, r *run) {
	kept := s.cache.keep(now, r.body.Program, r.body.Agent, r.links)
	s.cache.unpin(r.pinned)
	r.pinned = kept
	rest := len(r.words)/s.options.BlockTokens + 1
	s.cache.reserved -= r.reserved - rest
	r.reserved = rest
}

// collect passes on what the step generated and takes finished runs out.
func (s *Server) collect(now time.Time) {
	kept := s.running[:0]
	for _, r := range s.running {
		over := r.next >= len(r.words) && r.left == 0
		if r.pending.Len() > 0 && (over || r.flushed.IsZero() || now.Sub(r.flushed) >= s.options.wall(s.options.Flush)) {
			r.out <- r.pending.String()
			r.pending.Reset()
			r.flushed = now
		}
		if !over {
			kept = append(kept, r)
			continue
		}
		r.done = true
		s.finish(now, r)
	}
	clear(s.running[len(kept):])
	s.running = kept
	s.publish(now)
}

// finish ends a run that is out of the batch.
func (s *Server) finish(now time.Time, r *run) {
	s.cache.reserved -= r.reserved
	r.reserved = 0
	s.cache.unpin(r.pinned)
	r.pinned = nil
	if r.done {
		text := strings.Join(r.words, "")
		whole := append(r.body.Messages[:len(r.body.Messages):len(r.body.Messages)], call.Message{Role: "assistant", Content: text})
		s.cache.unpin(s.cache.keep(now, r.body.Program, r.body.Agent, s.cache.links(whole)))
	}
	if r.entry >= 0 {
		e := &s.ledger[r.entry]
		e.OutputTokens, e.Done, e.Ended = r.output, r.done, now
	}
	r.running = false
	close(r.out)
}

// cancel takes a run out whose caller has gone.
func (s *Server) cancel(now time.Time, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = without(s.waiting, r)
	if r.running {
		s.running = without(s.running, r)
		s.finish(now, r)
	}
}

func without(runs []*run, gone *run) []*run {
	kept := make([]*run, 0, len(runs))
	for _, r := range runs {
		if r != gone {
			kept = append(kept, r)
		}
	}
	return kept
}

// maxBehind is how far the engine may lag behind the clock before it gives up
// catching up.
const maxBehind = 100 * time.Millisecond

// loop runs steps while there is work. The end of a step is reckoned from the
// end of the last one, so that late timers do not make the engine slower.
func (s *Server) loop() {
	var end time.Time
	for {
		s.mu.Lock()
		if len(s.running)+len(s.waiting) == 0 {
			s.busy = false
			s.mu.Unlock()
			return
		}
		now := time.Now()
		if behind := now.Sub(end); behind > maxBehind {
			if !end.IsZero() {
				s.late += behind
			}
			end = now
		}
		d := s.step(now)
		s.worked += d
		s.batched += d * time.Duration(len(s.running))
		end = end.Add(d)
		s.mu.Unlock()
		if d := time.Until(end); d > 0 {
			time.Sleep(d)
		}
		s.mu.Lock()
		s.collect(time.Now())
		s.mu.Unlock()
	}
}
