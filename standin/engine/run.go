package engine

import (
	"sort"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/standin/model"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// job is one call that waits or runs at the engine.
type job struct {
	body         *chatBody
	epoch        string
	blockKeys    []blockKey
	promptTokens int
	// answerTokens is the whole answer. The tokens before nextToken have been generated.
	answerTokens []string
	nextToken    int
	arrived      time.Time
	// prefillLeft is the number of prompt tokens that are still to be computed.
	prefillLeft  int
	cachedTokens int
	pinnedBlocks []*block
	// reservedBlocks is the number of cache blocks reserved for the job.
	reservedBlocks int
	ledgerIndex    int
	running        bool
	// chunks carries text to the caller. It is closed when the job ends.
	chunks       chan string
	unsent       strings.Builder
	flushedAt    time.Time
	outputTokens int
	done         bool
}

func (s *Server) newJob(now time.Time, q *chatBody, epoch string) *job {
	count := model.AnswerLength(q.Messages, q.MaxTokens)
	j := &job{body: q, epoch: epoch, arrived: now, chunks: make(chan string, count+1), ledgerIndex: -1}
	j.promptTokens = model.PromptTokens(q.Messages)
	j.answerTokens = model.AnswerTokens(q.Messages, count)
	for sent := 0; j.nextToken < len(j.answerTokens) && sent+len(j.answerTokens[j.nextToken]) <= len(q.Partial); j.nextToken++ {
		sent += len(j.answerTokens[j.nextToken])
	}
	return j
}

// startJob moves a waiting job into the batch. It returns false if the cache has no
// room, unless the batch is empty.
func (s *Server) startJob(now time.Time, j *job) bool {
	j.pinnedBlocks = s.cache.pinPrefix(j.blockKeys)
	need := len(j.blockKeys) - len(j.pinnedBlocks) + len(j.answerTokens)/s.options.BlockTokens + 1
	if !s.cache.makeRoom(now, need) && len(s.running) > 0 {
		s.cache.unpin(j.pinnedBlocks)
		j.pinnedBlocks = nil
		return false
	}
	s.cache.reservedBlocks += need
	j.reservedBlocks = need
	j.cachedTokens = min(len(j.pinnedBlocks)*s.options.BlockTokens, j.promptTokens)
	j.prefillLeft = j.promptTokens - j.cachedTokens
	j.running = true
	j.ledgerIndex = len(s.ledger)
	s.ledger = append(s.ledger, Entry{
		Program: j.body.Program, Agent: j.body.Agent, Key: j.body.Key, Epoch: j.epoch,
		Digest: model.Digest(j.body.Messages), PromptTokens: j.promptTokens, CachedTokens: j.cachedTokens,
		Arrived: j.arrived, Started: now,
	})
	s.running = append(s.running, j)
	return true
}

// admit fills the batch from the waiting jobs, highest priority first.
func (s *Server) admit(now time.Time) {
	sort.SliceStable(s.waiting, func(a, b int) bool {
		return s.waiting[a].body.Priority > s.waiting[b].body.Priority
	})
	started := 0
	for len(s.waiting) > 0 && len(s.running) < s.options.Slots && s.startJob(now, s.waiting[0]) {
		s.waiting = s.waiting[1:]
		started++
	}
	if started > 0 {
		s.recordLoad(now)
	}
}

// step computes one step of the batch and returns its duration.
func (s *Server) step(now time.Time) time.Duration {
	s.admit(now)
	budget, computed, streams := s.options.MaxStepTokens, 0, 0
	for _, j := range s.running {
		if j.prefillLeft > 0 {
			n := min(j.prefillLeft, budget-computed)
			computed += n
			j.prefillLeft -= n
			if j.prefillLeft == 0 {
				s.finishPrefill(now, j)
			}
			continue
		}
		streams++
		j.unsent.WriteString(j.answerTokens[j.nextToken])
		j.nextToken++
		j.outputTokens++
	}
	o := s.options
	d := o.Decode + time.Duration(streams)*o.TimePerStream + time.Duration(computed)*time.Second/time.Duration(o.PrefillRate)
	return o.wallTime(time.Duration(float64(d) * s.fault.Slowdown()))
}

// finishPrefill stores the prompt's blocks once they are computed, and reduces the
// job's reservation to its answer.
func (s *Server) finishPrefill(now time.Time, j *job) {
	kept := s.cache.store(now, j.body.Program, j.body.Agent, j.blockKeys)
	s.cache.unpin(j.pinnedBlocks)
	j.pinnedBlocks = kept
	remaining := len(j.answerTokens)/s.options.BlockTokens + 1
	s.cache.reservedBlocks -= j.reservedBlocks - remaining
	j.reservedBlocks = remaining
}

// deliver sends the generated text to the callers and removes finished jobs from the
// batch.
func (s *Server) deliver(now time.Time) {
	kept := s.running[:0]
	for _, j := range s.running {
		finished := j.nextToken >= len(j.answerTokens) && j.prefillLeft == 0
		if j.unsent.Len() > 0 && (finished || j.flushedAt.IsZero() || now.Sub(j.flushedAt) >= s.options.wallTime(s.options.Flush)) {
			j.chunks <- j.unsent.String()
			j.unsent.Reset()
			j.flushedAt = now
		}
		if !finished {
			kept = append(kept, j)
			continue
		}
		j.done = true
		s.finish(now, j)
	}
	clear(s.running[len(kept):])
	s.running = kept
	s.publishEvents(now)
}

// finish ends a job that has left the batch: it frees its blocks, keeps a completed
// conversation in the cache and closes the stream.
func (s *Server) finish(now time.Time, j *job) {
	s.cache.reservedBlocks -= j.reservedBlocks
	j.reservedBlocks = 0
	s.cache.unpin(j.pinnedBlocks)
	j.pinnedBlocks = nil
	if j.done {
		text := strings.Join(j.answerTokens, "")
		messages := append(j.body.Messages[:len(j.body.Messages):len(j.body.Messages)], call.Message{Role: "assistant", Content: text})
		s.cache.unpin(s.cache.store(now, j.body.Program, j.body.Agent, s.cache.blockKeys(messages)))
	}
	if j.ledgerIndex >= 0 {
		e := &s.ledger[j.ledgerIndex]
		e.OutputTokens, e.Done, e.Ended = j.outputTokens, j.done, now
	}
	j.running = false
	close(j.chunks)
}

// cancel removes a job whose call was cancelled or whose caller has left.
func (s *Server) cancel(now time.Time, j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = without(s.waiting, j)
	if j.running {
		s.running = without(s.running, j)
		s.finish(now, j)
	}
}

func without(jobs []*job, removed *job) []*job {
	kept := make([]*job, 0, len(jobs))
	for _, j := range jobs {
		if j != removed {
			kept = append(kept, j)
		}
	}
	return kept
}

// maxBehind is how far the engine may fall behind the clock before it stops catching up.
const maxBehind = 100 * time.Millisecond

// runLoop runs steps while there is work. The end of each step is computed from the
// end of the last one, so that late timers do not slow the engine down.
func (s *Server) runLoop() {
	var end time.Time
	for {
		s.mu.Lock()
		if len(s.running)+len(s.waiting) == 0 {
			s.loopRunning = false
			s.mu.Unlock()
			return
		}
		now := time.Now()
		if behind := now.Sub(end); behind > maxBehind {
			if !end.IsZero() {
				s.delayTime += behind
			}
			end = now
		}
		d := s.step(now)
		s.busyTime += d
		s.streamTime += d * time.Duration(len(s.running))
		end = end.Add(d)
		s.mu.Unlock()
		if d := time.Until(end); d > 0 {
			time.Sleep(d)
		}
		s.mu.Lock()
		s.deliver(time.Now())
		s.mu.Unlock()
	}
}
