// Package agent simulates agent programs: chains of dependent model calls with
// tools and sub-agents between a user's message and the complete answer.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/standin/model"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// Program describes the work of one program.
type Program struct {
	Customer string
	ID       string
	Service  string
	// Prompt is the service's system prompt. Output bounds the tokens of an answer.
	Prompt string
	Output int
	Tasks  []Task
	// Silent programs stop without an end request.
	Silent bool
}

// Task is one user message and the steps until its answer.
type Task struct {
	// Pause is the time before the message.
	Pause time.Duration
	Text  string
	Steps []Step
}

// Step is a tool call, calls of sub-agents, or both, and the model call that uses
// their results.
type Step struct {
	// Tool is nil when the step has only sub-agents.
	Tool *Tool
	// Agents are the sub-agents. They run in parallel.
	Agents []SubAgent
	// Text is the end of the next message to the model. A tool's result precedes it.
	Text string
}

// Tool is a call of a plain service.
type Tool struct {
	Service   string
	Operation string
	Body      string
	// Idempotent is set if the operation may run more than once.
	Idempotent bool
}

// SubAgent is a sub-agent that makes a single model call.
type SubAgent struct {
	Agent string
	Text  string
}

// Record is one call as its caller saw it: the request and the result.
type Record struct {
	Program   string
	Agent     string
	Seq       uint64
	Key       string
	Service   string
	Operation string
	// Idempotent calls may run more than once.
	Idempotent bool
	// Digest is the digest of the conversation that the caller knows, 0 for plain calls.
	Digest uint64
	// Want is the expected answer to a model call.
	Want   string
	Result client.Result
	// Err is not nil if the caller got no outcome.
	Err  error
	Sent time.Time
	Got  time.Time
}

// Chain is one task from the user's message to the complete answer.
type Chain struct {
	Program string
	Service string
	Began   time.Time
	Ended   time.Time
	// Done is set if the user got an answer.
	Done bool
	// First is the time from the task's last model call to the first piece of its text.
	First time.Duration
}

// Log collects the calls and tasks of all callers. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records []Record
	chains  []Chain
	ended   map[string]time.Time
	// openTasks holds the start time of each task that has not ended.
	openTasks map[*Task]time.Time
	// OnEnd, if not nil, is called at each program's end. It must be set before the
	// first program runs.
	OnEnd func(now time.Time, program string)
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{ended: map[string]time.Time{}, openTasks: map[*Task]time.Time{}} }

func (l *Log) record(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

func (l *Log) beginTask(now time.Time, t *Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openTasks[t] = now
}

func (l *Log) endTask(t *Task, c Chain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.openTasks, t)
	l.chains = append(l.chains, c)
}

// Open returns the start times of the tasks that have not ended.
func (l *Log) Open() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var began []time.Time
	for _, t := range l.openTasks {
		began = append(began, t)
	}
	return began
}

func (l *Log) endProgram(now time.Time, program string) {
	l.mu.Lock()
	l.ended[program] = now
	l.mu.Unlock()
	if l.OnEnd != nil {
		l.OnEnd(now, program)
	}
}

// Records returns the records of all calls.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Chains returns all tasks that have ended.
func (l *Log) Chains() []Chain {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Chain(nil), l.chains...)
}

// Ended returns the end time of each program, by "customer/program".
func (l *Log) Ended() map[string]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := make(map[string]time.Time, len(l.ended))
	for p, t := range l.ended {
		ended[p] = t
	}
	return ended
}

// Driver runs programs against a deployment.
type Driver struct {
	client *client.Client
	log    *Log
	until  time.Time
}

// NewDriver returns a driver that calls through c and records into l. Programs start
// no further tasks after until. The zero time means no limit.
func NewDriver(c *client.Client, l *Log, until time.Time) *Driver {
	return &Driver{client: c, log: l, until: until}
}

// conversation is one agent's conversation as its caller knows it.
type conversation struct {
	agent    string
	seq      uint64
	messages []call.Message
}

// ErrUnanswered means that a call ended without an answer.
var ErrUnanswered = errors.New("agent: no answer")

// Run runs a program to its end and returns the answers to its tasks.
func (d *Driver) Run(ctx context.Context, p *Program) ([]string, error) {
	root := p.newConversation("")
	var answers []string
	var err error
	for i := range p.Tasks {
		if !d.until.IsZero() && time.Now().Add(p.Tasks[i].Pause).After(d.until) {
			break
		}
		var text string
		if text, err = d.runTask(ctx, p, root, &p.Tasks[i]); err != nil {
			break
		}
		answers = append(answers, text)
	}
	if ctx.Err() != nil {
		return answers, err
	}
	// The program counts as ended from here on, whether or not the system knows it.
	d.log.endProgram(time.Now(), p.Customer+"/"+p.ID)
	if !p.Silent {
		_ = d.client.End(ctx, p.ID)
	}
	return answers, err
}

// newConversation returns a conversation that holds only the system prompt.
func (p *Program) newConversation(agent string) *conversation {
	t := &conversation{agent: agent}
	if p.Prompt != "" {
		t.messages = append(t.messages, call.Message{Role: "system", Content: p.Prompt})
	}
	return t
}

// runTask runs a task and records its chain, unless ctx has ended.
func (d *Driver) runTask(ctx context.Context, p *Program, root *conversation, t *Task) (string, error) {
	if err := pause(ctx, t.Pause); err != nil {
		return "", err
	}
	c := Chain{Program: p.Customer + "/" + p.ID, Service: p.Service, Began: time.Now()}
	d.log.beginTask(c.Began, t)
	result, err := d.runSteps(ctx, p, root, t)
	c.Ended, c.Done, c.First = time.Now(), err == nil, result.First
	if ctx.Err() == nil {
		d.log.endTask(t, c)
	}
	return result.Text, err
}

// runSteps makes the calls of a task and returns the result of the last model call.
func (d *Driver) runSteps(ctx context.Context, p *Program, root *conversation, t *Task) (client.Result, error) {
	result, err := d.callModel(ctx, p, root, "user", t.Text)
	for i := 0; i < len(t.Steps) && err == nil; i++ {
		s := &t.Steps[i]
		text := s.Text
		if s.Tool != nil {
			var r client.Result
			if r, err = d.callTool(ctx, p, root, s.Tool); err != nil {
				break
			}
			text = string(r.Body) + " " + text
		}
		if err = d.runSubAgents(ctx, p, s.Agents); err != nil {
			break
		}
		result, err = d.callModel(ctx, p, root, "tool", text)
	}
	return result, err
}

// runSubAgents runs the sub-agents in parallel and waits for all of them.
func (d *Driver) runSubAgents(ctx context.Context, p *Program, subs []SubAgent) error {
	failures := make([]error, len(subs))
	var wait sync.WaitGroup
	for i, s := range subs {
		wait.Go(func() { _, failures[i] = d.callModel(ctx, p, p.newConversation(s.Agent), "user", s.Text) })
	}
	wait.Wait()
	return errors.Join(failures...)
}

// callModel makes a model call. role is "user" for a user's message and "tool" for
// results.
func (d *Driver) callModel(ctx context.Context, p *Program, t *conversation, role, text string) (client.Result, error) {
	t.messages = append(t.messages, call.Message{Role: role, Content: text})
	want := model.Answer(t.messages, model.AnswerLength(t.messages, p.Output))
	r := Record{
		Program: p.Customer + "/" + p.ID, Agent: t.agent, Service: p.Service,
		Idempotent: true, Digest: model.Digest(t.messages), Want: want,
	}
	result, err := d.callUntilRun(ctx, t, r, client.Request{Program: p.ID, Agent: t.agent, Service: p.Service, Role: role, Text: text})
	if err == nil {
		t.messages = append(t.messages, call.Message{Role: "assistant", Content: result.Text})
	}
	return result, err
}

// callTool makes a call of a plain service.
func (d *Driver) callTool(ctx context.Context, p *Program, t *conversation, tool *Tool) (client.Result, error) {
	r := Record{
		Program: p.Customer + "/" + p.ID, Agent: t.agent, Service: tool.Service,
		Operation: tool.Operation, Idempotent: tool.Idempotent,
	}
	return d.callUntilRun(ctx, t, r, client.Request{
		Program: p.ID, Agent: t.agent, Service: tool.Service, Operation: tool.Operation, Text: tool.Body,
	})
}

const (
	// maxAttempts bounds the attempts of a call whose outcome is "not run".
	maxAttempts = 4
	// attemptPause is the pause between two attempts.
	attemptPause = 200 * time.Millisecond
)

// callUntilRun makes one call of an agent. A call that was not run is repeated as a
// new request with a new key.
func (d *Driver) callUntilRun(ctx context.Context, t *conversation, r Record, q client.Request) (client.Result, error) {
	for attempt := 1; ; attempt++ {
		t.seq++
		q.Seq, q.Key = t.seq, client.NewKey()
		r.Seq, r.Key, r.Sent = q.Seq, q.Key, time.Now()
		r.Result, r.Err = d.client.Do(ctx, q)
		r.Got = time.Now()
		if ctx.Err() != nil {
			return r.Result, ctx.Err()
		}
		d.log.record(r)
		switch {
		case r.Err != nil:
			return r.Result, r.Err
		case r.Result.Outcome == answer.Done:
			return r.Result, nil
		case r.Result.Outcome != answer.NotRun || attempt == maxAttempts:
			return r.Result, errors.Wrapf(ErrUnanswered, "%s: %s", r.Result.Outcome, r.Result.Reason)
		}
		// A call that was not run does not use up its sequence number, unless the reason
		// is "order". In that case the system has already settled the number.
		if r.Result.Reason != "order" {
			t.seq--
		}
		if err := pause(ctx, attemptPause); err != nil {
			return r.Result, err
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
