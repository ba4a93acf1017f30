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

// callers is the record of all callers of a fleet.
type callers struct {
	fleet   *fleet
	client  *client.Client
	prompts map[string]string
	outputs map[string]int
	limits  map[string]int64

	mu      sync.Mutex
	records []agent.Record
	ended   map[string]time.Time
	left    map[string]time.Time
}

func newCallers(f *fleet) *callers {
	c := &callers{
		fleet: f, prompts: map[string]string{}, outputs: map[string]int{}, limits: map[string]int64{},
		ended: map[string]time.Time{}, left: map[string]time.Time{},
	}
	text, err := examples.Files.ReadFile("brennecke/001-start.ini")
	Expect(err).NotTo(HaveOccurred())
	file, err := ini.Load(text)
	Expect(err).NotTo(HaveOccurred())
	for _, s := range file.Sections() {
		if name, ok := strings.CutPrefix(s.Name(), "service "); ok {
			c.prompts[name] = s.Key("prompt").String()
			c.outputs[name] = s.Key("output").MustInt(0)
			c.limits[name] = s.Key("tokens").MustInt64(0)
		}
	}
	c.client = c.through(f.hosts...)
	return c
}

// through returns a client that asks these hosts in turn.
func (c *callers) through(hosts ...*host) *client.Client {
	var addrs []string
	for _, h := range hosts {
		addrs = append(addrs, h.edge.addr())
	}
	return client.New(customer, addrs)
}

// person is one program's caller; it knows the whole conversation.
type person struct {
	log      *callers
	client   *client.Client
	program  string
	service  string
	agent    string
	seq      uint64
	messages []call.Message
}

func (c *callers) person(program, service string) *person {
	p := &person{log: c, client: c.client, program: program, service: service}
	if c.prompts[service] != "" {
		p.messages = append(p.messages, call.Message{Role: "system", Content: c.prompts[service]})
	}
	return p
}

// sub returns a sub-agent of the person's program.
func (p *person) sub(name string) *person {
	s := p.log.person(p.program, p.service)
	s.client, s.agent = p.client, name
	return s
}

// patience bounds one call of a person, with all its retries.
const patience = 30 * time.Second

// say sends a message until it is answered. A call that surely did not run is
// made again with a key of its own, one whose outcome is not known with its key.
func (p *person) say(text string) client.Result {
	p.messages = append(p.messages, call.Message{Role: "user", Content: text})
	r := agent.Record{
		Program: customer + "/" + p.program, Agent: p.agent, Service: p.service, Idempotent: true,
		Digest: model.Digest(p.messages),
		Want:   model.Answer(p.messages, model.AnswerLength(p.messages, p.log.outputs[p.service])),
	}
	q := client.Request{Program: p.program, Agent: p.agent, Service: p.service, Text: text}
	result := p.call(r, q)
	if result.Outcome == answer.Done {
		p.messages = append(p.messages, call.Message{Role: "assistant", Content: result.Text})
	}
	return result
}

// run calls an operation of the yard.
func (p *person) run(operation, body string) (client.Result, string) {
	r := agent.Record{Program: customer + "/" + p.program, Agent: p.agent, Service: "yard", Operation: operation, Idempotent: operation == "space"}
	key := client.NewKey()
	q := client.Request{Program: p.program, Agent: p.agent, Service: "yard", Operation: operation, Text: body, Key: key}
	return p.call(r, q), key
}

func (p *person) call(r agent.Record, q client.Request) client.Result {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	p.seq++
	fixed := q.Key != ""
	for {
		if q.Key == "" {
			q.Key = client.NewKey()
		}
		q.Seq = p.seq
		r.Seq, r.Key, r.Sent = q.Seq, q.Key, time.Now()
		r.Result, r.Err = p.try(ctx, q)
		r.Got = time.Now()
		p.log.add(r)
		again := r.Err != nil || r.Result.Outcome == answer.NotRun && !final(r.Result.Reason) || r.Result.Outcome == answer.Unknown && r.Idempotent
		if !again || ctx.Err() != nil {
			return r.Result
		}
		if r.Err == nil && r.Result.Outcome == answer.NotRun && !fixed {
			q.Key = ""
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// attempt bounds one attempt, as a caller's own timeout does: a node that is
// paused keeps its callers' connections open.
const attempt = 6 * time.Second

func (p *person) try(ctx context.Context, q client.Request) (client.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attempt)
	defer cancel()
	return p.client.Do(ctx, q)
}

// final tells whether asking again makes no sense.
func final(reason string) bool {
	switch reason {
	case "budget", "turns", "ended", "order", "mismatch", "operation", "service":
		return true
	}
	return false
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *callers) add(r agent.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

// count returns how many calls ended with an outcome; "" counts those without.
func (c *callers) count(o answer.Outcome) int {
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

// outcomes describes the calls that were not done.
func (c *callers) outcomes() string {
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

// end ends the program and holds that the engines give its memory back.
func (p *person) end() {
	Eventually(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return p.client.End(ctx, p.program)
	}, bound, "100ms").Should(Succeed())
	p.log.mu.Lock()
	p.log.ended[customer+"/"+p.program] = time.Now()
	p.log.mu.Unlock()
}

// memoryTime is within which the engines hold nothing for ended programs.
const memoryTime = 10 * time.Second

// check waits until the engines hold nothing for the ended programs, and then
// holds the ledgers and the callers' record against every rule.
func (c *callers) check() {
	c.mu.Lock()
	records, ended := append([]agent.Record(nil), c.records...), c.ended
	c.mu.Unlock()
	for p := range ended {
		_, program, _ := strings.Cut(p, "/")
		Eventually(func() int { return c.fleet.held(program) }, memoryTime, "100ms").Should(BeZero(), "memory is held for %s", program)
	}
	e := audit.Evidence{
		Records: records, Engines: map[string]audit.Engine{}, Desks: map[string]audit.Desk{},
		Tokens: c.limits, Left: c.left, Grace: leave, Ended: ended,
	}
	for name, l := range c.fleet.engines() {
		e.Engines[name] = audit.Engine{Ledger: l, Held: map[string]int{}}
	}
	for name, l := range c.fleet.desks() {
		e.Desks[name] = audit.Desk{Ledger: l}
	}
	r := audit.Check(e)
	Expect(r.Total()).To(BeZero(), "%s\n%s", strings.Join(r.Samples(), "\n"), c.outcomes())
}

// running returns whether an engine has begun a call of a program and not ended it.
func (f *fleet) running(program string) bool {
	for _, ledger := range f.engines() {
		for _, l := range ledger {
			if l.Program == customer+"/"+program && l.Ended.IsZero() && !l.Done {
				return true
			}
		}
	}
	return false
}

// leave notes that an endpoint begins to leave now.
func (c *callers) leave(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left[endpoint] = time.Now()
}
