package core

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/call"
)

// task is the work of a program on one user message: the chain of calls until the
// complete answer.
type task struct {
	// startedAt is when the message arrived.
	startedAt time.Time
	// attained is the endpoint time that the task has used.
	attained time.Duration
}

// task returns the task that a request belongs to. A user message to the root
// agent begins a new task.
func (s *shard) task(r *request) *task {
	owner := r.call.QualifiedProgram()
	t := s.tasks[owner]
	if t == nil || r.fromUser() && r.arrivedAt.After(t.startedAt) {
		t = &task{startedAt: r.arrivedAt}
		s.tasks[owner] = t
	}
	return t
}

// fromUser reports whether the call carries a user's message rather than the
// results of tools or sub-agents.
func (r *request) fromUser() bool {
	n := len(r.call.Messages)
	return r.call.Kind == call.Chat && r.call.Agent == "" && n > 0 && r.call.Messages[n-1].Role == "user"
}

// addServiceTime adds the time of an attempt to its task.
func (s *shard) addServiceTime(now time.Time, a *attempt) {
	s.task(a.request).attained += now.Sub(a.sentAt)
}
