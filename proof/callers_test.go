package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/bench/agent"
	"github.com/cowslipstage/cowslipstage/bench/audit"
	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/standin/model"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"gopkg.in/ini.v1"
)

const customer = "brennecke"

// callRecorder records the calls of all callers of a fleet.
type callRecorder struct {
	fleet        *fleet
	client       *client.Client
	prompts      map[string]string
	outputLimits map[string]int
	tokenLimits  map[string]int64

	mu      sync.Mutex
	records []agent.Record
	endedAt map[string]time.Time
	leftAt  map[string]time.Time
}

func newRecorder(f *fleet) *callRecorder {
	c := &callRecorder{
		fleet: f, prompts: map[string]string{}, outputLimits: map[string]int{}, tokenLimits: map[string]int64{},
		endedAt: map[string]time.Time{}, leftAt: map[string]time.Time{},
	}
	text, err := examples.Files.ReadFile("brennecke/001-start.ini")
	Expect(err).NotTo(HaveOccurred())
	file, err := ini.Load(text)
	Expect(err).NotTo(HaveOccurred())
	for _, s := range file.Sections() {
		if name, ok := strings.CutPrefix(s.Name(), "service "); ok {
			c.prompts[name] = s.Key("prompt").String()
			c.outputLimits[name] = s.Key("output").MustInt(0)
			c.tokenLimits[name] = s.Key("tokens").MustInt64(0)
		}
	}
	c.client = c.clientFor(f.hosts...)
	return c
}

// clientFor returns a client that tries these hosts in turn.
func (c *callRecorder) clientFor(hosts ...*host) *client.Client {
	var addrs []string
	for _, h := range hosts {
		addrs = append(addrs, h.callerProxy.addr())
	}
	return client.New(customer, addrs)
}

// caller makes the calls of one agent of a program and knows its whole conversation.
type caller struct {
	recorder *callRecorder
	client   *client.Client
	program  string
	service  string
	agent    string
	seq      uint64
	messages []call.Message
}

func (c *callRecorder) newCaller(program, service string) *caller {
	p := &caller{recorder: c, client: c.client, program: program, service: service}
	if c.prompts[service] != "" {
		p.messages = append(p.messages, call.Message{Role: "system", Content: c.prompts[service]})
	}
	return p
}

// subAgent returns a caller for a sub-agent of the same program.
func (p *caller) subAgent(name string) *caller {
	s := p.recorder.newCaller(p.program, p.service)
	s.client, s.agent = p.client, name
	return s
}

// callTimeout bounds one call with all its retries.
const callTimeout = 30 * time.Second

// ask sends a message until it is answered. A call that did not run is retried with a
// new key, a call with an unknown outcome with the same key.
func (p *caller) ask(text string) client.Result {
	p.messages = append(p.messages, call.Message{Role: "user", Content: text})
	r := agent.Record{
		Program: customer + "/" + p.program, Agent: p.agent, Service: p.service, Idempotent: true,
		Digest: model.Digest(p.messages),
		Want:   model.Answer(p.messages, model.AnswerLength(p.messages, p.recorder.outputLimits[p.service])),
	}
	q := client.Request{Program: p.program, Agent: p.agent, Service: p.service, Text: text}
	result := p.callUntilFinal(r, q)
	if result.Outcome == answer.Done {
		p.messages = append(p.messages, call.Message{Role: "assistant", Content: result.Text})
	}
	return result
}

// callOperation calls an operation of the service yard; it returns the result and the
// call's key.
func (p *caller) callOperation(operation, body string) (client.Result, string) {
	r := agent.Record{Program: customer + "/" + p.program, Agent: p.agent, Service: "yard", Operation: operation, Idempotent: operation == "space"}
	key := client.NewKey()
	q := client.Request{Program: p.program, Agent: p.agent, Service: "yard", Operation: operation, Text: body, Key: key}
	return p.callUntilFinal(r, q), key
}

func (p *caller) callUntilFinal(r agent.Record, q client.Request) client.Result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	p.seq++
	givenKey := q.Key != ""
	for {
		if q.Key == "" {
			q.Key = client.NewKey()
		}
		q.Seq = p.seq
		r.Seq, r.Key, r.Sent = q.Seq, q.Key, time.Now()
		r.Result, r.Err = p.attempt(ctx, q)
		r.Got = time.Now()
		p.recorder.add(r)
		retry := r.Err != nil || r.Result.Outcome == answer.NotRun && !isFinal(r.Result.Reason) || r.Result.Outcome == answer.Unknown && r.Idempotent
		if !retry || ctx.Err() != nil {
			return r.Result
		}
		if r.Err == nil && r.Result.Outcome == answer.NotRun && !givenKey {
			q.Key = ""
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// attemptTimeout bounds one attempt, as a caller's own timeout does: a paused node keeps
// its callers' connections open.
const attemptTimeout = 6 * time.Second

func (p *caller) attempt(ctx context.Context, q client.Request) (client.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return p.client.Do(ctx, q)
}

// isFinal reports whether a retry would be refused for the same reason.
func isFinal(reason string) bool {
	switch reason {
	case "budget", "turns", "ended", "order", "mismatch", "operation", "service":
		return true
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *callRecorder) add(r agent.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

// countOutcome returns how many attempts ended with an outcome; "" counts those without.
func (c *callRecorder) countOutcome(o answer.Outcome) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.records {
		if r.Err == nil && r.Result.Outcome == o || r.Err != nil && o == "" {
			n++
		}
	}
	return n
}

// describeFailures describes the attempts that were not done.
func (c *callRecorder) describeFailures() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all strings.Builder
	for _, r := range c.records {
		if r.Err != nil || r.Result.Outcome != answer.Done {
			fmt.Fprintf(&all, "%s %s %s %s: %s %s %v after %s\n", r.Program, r.Service, r.Operation, r.Key, r.Result.Outcome, r.Result.Reason, r.Err, r.Got.Sub(r.Sent))
		}
	}
	return all.String()
}

// endProgram ends the program and records the time, for the check that the engines free
// its memory.
func (p *caller) endProgram() {
	Eventually(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return p.client.End(ctx, p.program)
	}, maxWait, "100ms").Should(Succeed())
	p.recorder.mu.Lock()
	p.recorder.endedAt[customer+"/"+p.program] = time.Now()
	p.recorder.mu.Unlock()
}

// releaseTarget bounds the time until the engines hold nothing for an ended program.
const releaseTarget = 10 * time.Second

// verify waits until the engines hold nothing for the ended programs, and then checks the
// ledgers and the recorded calls against every rule.
func (c *callRecorder) verify() {
	c.mu.Lock()
	records, ended := append([]agent.Record(nil), c.records...), c.endedAt
	c.mu.Unlock()
	for p := range ended {
		_, program, _ := strings.Cut(p, "/")
		Eventually(func() int { return c.fleet.heldTokens(program) }, releaseTarget, "100ms").Should(BeZero(), "memory is held for %s", program)
	}
	e := audit.Evidence{
		Records: records, Engines: map[string]audit.Engine{}, Desks: map[string]audit.Desk{},
		Tokens: c.tokenLimits, Left: c.leftAt, Grace: leaveTarget, Ended: ended,
	}
	for name, l := range c.fleet.engineLedgers() {
		e.Engines[name] = audit.Engine{Ledger: l, Held: map[string]int{}}
	}
	for name, l := range c.fleet.deskLedgers() {
		e.Desks[name] = audit.Desk{Ledger: l}
	}
	r := audit.Check(e)
	Expect(r.Total()).To(BeZero(), "%s\n%s", strings.Join(r.Samples(), "\n"), c.describeFailures())
}

// callRunning reports whether an engine has started a call of a program and not ended it.
func (f *fleet) callRunning(program string) bool {
	for _, ledger := range f.engineLedgers() {
		for _, l := range ledger {
			if l.Program == customer+"/"+program && l.Ended.IsZero() && !l.Done {
				return true
			}
		}
	}
	return false
}

// markLeaving records that an endpoint begins to leave now.
func (c *callRecorder) markLeaving(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leftAt[endpoint] = time.Now()
}
