package core

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/call"
)

// task is what a program does for one message of its person: the whole chain
// of calls until the complete answer.
type task struct {
	// startedAt is when the message came.
	startedAt time.Time
	// attained is the time that endpoints have worked for it.
	attained time.Duration
}

// task returns what the request is a part of. A person's message to the root
// agent begins a new task.
func (s *shard) task(r *request) *task {
	owner := r.call.Owner()
	t := s.tasks[owner]
	if t == nil || r.fromUser() && r.arrived.After(t.startedAt) {
		t = &task{startedAt: r.arrived}
		s.tasks[owner] = t
	}
	return t
}

// fromUser tells whether the call brings a person's message, rather than
// the results of tools or of sub-agents.
func (r *request) fromUser() bool {
	n := len(r.call.Messages)
	return r.call.Kind == call.Chat && r.call.Agent == "" && n > 0 && r.call.Messages[n-1].Role == "user"
}

// addServiceTime counts an attempt's time towards its task.
func (s *shard) addServiceTime(now time.Time, f *attempt) {
	s.task(f.request).attained += now.Sub(f.sentAt)
}
