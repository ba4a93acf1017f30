// Package agent plays agent programs: chains of dependent model calls with
// tools and sub-agents between a person's message and the complete answer.
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

// Program is what one program will do.
type Program struct {
	Customer string
	ID       string
	Service  string
	// Prompt is the service's system prompt, Output its bound on generated tokens.
	Prompt string
	Output int
	Tasks  []Task
	// Silent programs are left without a word at their end.
	Silent bool
}

// Task is one message of a person and the work until its answer.
type Task struct {
	// Pause is the time before the message.
	Pause time.Duration
	Text  string
	Steps []Step
}

// Step is a tool call or sub-agents, and the model call that uses the results.
type Step struct {
	// Tool is nil when the step has only sub-agents.
	Tool *Tool
	// Agents are the sub-agents' tasks; they run in parallel.
	Agents []SubAgent
	// Text begins the next message to the model.
	Text string
}

// Tool is one call of a plain service.
type Tool struct {
	Service   string
	Operation string
	Body      string
	// Idempotent tells whether the operation may run again.
	Idempotent bool
}

// SubAgent is one sub-agent with one question.
type SubAgent struct {
	Agent string
	Text  string
}

// Record is what one call's caller asked and was told.
type Record struct {
	Program   string
	Agent     string
	Seq       uint64
	Key       string
	Service   string
	Operation string
	// Idempotent calls may run more than once.
	Idempotent bool
	// Digest names the conversation that the caller believes in; 0 for plain calls.
	Digest uint64
	// Want is the only right answer to a model call.
	Want   string
	Result client.Result
	// Err is not nil when no outcome was told.
	Err  error
	Sent time.Time
	Got  time.Time
}

// Chain is one task from message to complete answer.
type Chain struct {
	Program string
	Service string
	Began   time.Time
	Ended   time.Time
	// Done tells whether the person got an answer.
	Done bool
	// First is the time to the first piece of the last answer's text.
	First time.Duration
}

// Log collects what callers see. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records []Record
	chains  []Chain
	ended   map[string]time.Time
	// open is when each task under way began.
	open map[*Task]time.Time
	// OnEnd, when set before the first program, hears of each program's end.
	OnEnd func(now time.Time, program string)
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{ended: map[string]time.Time{}, open: map[*Task]time.Time{}} }

func (l *Log) record(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

func (l *Log) begin(now time.Time, t *Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[t] = now
}

func (l *Log) chain(t *Task, c Chain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, t)
	l.chains = append(l.chains, c)
}

// Open returns when each task without an end began.
func (l *Log) Open() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var began []time.Time
	for _, t := range l.open {
		began = append(began, t)
	}
	return began
}

func (l *Log) end(now time.Time, program string) {
	l.mu.Lock()
	l.ended[program] = now
	l.mu.Unlock()
	if l.OnEnd != nil {
		l.OnEnd(now, program)
	}
}

// Records returns all calls.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Chains returns all tasks.
func (l *Log) Chains() []Chain {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Chain(nil), l.chains...)
}

// Ended returns when each program ended, by "customer/program".
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

// NewDriver returns a driver that calls through c and notes into l. After
// until, persons send no further messages; the zero time means never.
func NewDriver(c *client.Client, l *Log, until time.Time) *Driver {
	return &Driver{client: c, log: l, until: until}
}

// talk is one agent's conversation as its caller knows it.
type talk struct {
	agent    string
	seq      uint64
	messages []call.Message
}

// ErrUnanswered means that a person got no answer.
var ErrUnanswered = errors.New("agent: no answer")

// Run runs a program to its end and returns the answers to its tasks.
func (d *Driver) Run(ctx context.Context, p *Program) ([]string, error) {
	root := p.talk("")
	var answers []string
	var err error
	for i := range p.Tasks {
		if !d.until.IsZero() && time.Now().Add(p.Tasks[i].Pause).After(d.until) {
			break
		}
		var text string
		if text, err = d.task(ctx, p, root, &p.Tasks[i]); err != nil {
			break
		}
		answers = append(answers, text)
	}
	if ctx.Err() != nil {
		return answers, err
	}
	// A person who left counts as gone from here, whatever the system knows.
	d.log.end(time.Now(), p.Customer+"/"+p.ID)
	if !p.Silent {
		_ = d.client.End(ctx, p.ID)
	}
	return answers, err
}

func (p *Program) talk(agent string) *talk {
	t := &talk{agent: agent}
	if p.Prompt != "" {
		t.messages = append(t.messages, call.Message{Role: "system", Content: p.Prompt})
	}
	return t
}

func (d *Driver) task(ctx context.Context, p *Program, root *talk, t *Task) (string, error) {
	if err := pause(ctx, t.Pause); err != nil {
		return "", err
	}
	c := Chain{Program: p.Customer + "/" + p.ID, Service: p.Service, Began: time.Now()}
	d.log.begin(c.Began, t)
	result, err := d.steps(ctx, p, root, t)
	c.Ended, c.Done, c.First = time.Now(), err == nil, result.First
	if ctx.Err() == nil {
		d.log.chain(t, c)
	}
	return result.Text, err
}

func (d *Driver) steps(ctx context.Context, p *Program, root *talk, t *Task) (client.Result, error) {
	result, err := d.model(ctx, p, root, "user", t.Text)
	for i := 0; i < len(t.Steps) && err == nil; i++ {
		s := &t.Steps[i]
		text := s.Text
		if s.Tool != nil {
			var r client.Result
			if r, err = d.tool(ctx, p, root, s.Tool); err != nil {
				break
			}
			text = string(r.Body) + " " + text
		}
		if err = d.agents(ctx, p, s.Agents); err != nil {
			break
		}
		result, err = d.model(ctx, p, root, "tool", text)
	}
	return result, err
}

func (d *Driver) agents(ctx context.Context, p *Program, subs []SubAgent) error {
	failures := make([]error, len(subs))
	var wait sync.WaitGroup
	for i, s := range subs {
		wait.Go(func() { _, failures[i] = d.model(ctx, p, p.talk(s.Agent), "user", s.Text) })
	}
	wait.Wait()
	return errors.Join(failures...)
}

// model asks the model; role is "user" for a person's message and "tool" for results.
func (d *Driver) model(ctx context.Context, p *Program, t *talk, role, text string) (client.Result, error) {
	t.messages = append(t.messages, call.Message{Role: role, Content: text})
	want := model.Answer(t.messages, model.AnswerLength(t.messages, p.Output))
	r := Record{
		Program: p.Customer + "/" + p.ID, Agent: t.agent, Service: p.Service,
		Idempotent: true, Digest: model.Digest(t.messages), Want: want,
	}
	result, err := d.call(ctx, t, r, client.Request{Program: p.ID, Agent: t.agent, Service: p.Service, Role: role, Text: text})
	if err == nil {
		t.messages = append(t.messages, call.Message{Role: "assistant", Content: result.Text})
	}
	return result, err
}

func (d *Driver) tool(ctx context.Context, p *Program, t *talk, tool *Tool) (client.Result, error) {
	r := Record{
		Program: p.Customer + "/" + p.ID, Agent: t.agent, Service: tool.Service,
		Operation: tool.Operation, Idempotent: tool.Idempotent,
	}
	return d.call(ctx, t, r, client.Request{
		Program: p.ID, Agent: t.agent, Service: tool.Service, Operation: tool.Operation, Text: tool.Body,
	})
}

const (
	// maxAttempts bounds how often a person's program asks again after "not run".
	maxAttempts = 4
	// attemptPause is the time between two of them.
	attemptPause = 200 * time.Millisecond
)

// call makes one call of an agent. A call that was not run is made again, as a
// new request with a key of its own.
func (d *Driver) call(ctx context.Context, t *talk, r Record, q client.Request) (client.Result, error) {
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
		// A call that was not run leaves its number free, unless the system has settled it.
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
