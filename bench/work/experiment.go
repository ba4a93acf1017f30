package work

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/cowslipstage/cowslipstage/bench/agent"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/standin/model"
)

// Experiment describes a workload and the endpoints that serve it.
type Experiment struct {
	Customer string `ini:"customer"`
	// Engines and Desks are the numbers of endpoints of each kind.
	Engines int `ini:"engines"`
	Desks   int `ini:"desks"`
	// Warm is the warm-up time, which is not measured, and Time the measured time.
	// Both are wall-clock time.
	Warm time.Duration `ini:"warm"`
	Time time.Duration `ini:"time"`
	// Burst is the arrival rate in a burst divided by the mean rate. A burst lasts the
	// share Duty of each Period, which is wall-clock time.
	Burst  float64       `ini:"burst"`
	Duty   float64       `ini:"duty"`
	Period time.Duration `ini:"period"`
	// Hits is the share of a conversation's history that is assumed to be in an
	// engine's cache when the capacity is calculated.
	Hits   float64        `ini:"hits"`
	Engine engine.Options `ini:"-"`
	Desk   desk.Options   `ini:"-"`
	Kinds  []*Kind        `ini:"-"`
}

// Kind describes one kind of program.
type Kind struct {
	// Name is the service's name.
	Name string `ini:"-"`
	// Share is the weight of this kind among all programs.
	Share float64 `ini:"share"`
	Class int     `ini:"class"`
	// Prompt is the system prompt's length, in tokens.
	Prompt int `ini:"prompt"`
	// Tasks bounds the user messages of a program, Steps the steps of one task.
	Tasks int `ini:"tasks"`
	Steps int `ini:"steps"`
	// Tools and Agents are the shares of steps with a tool and with sub-agents.
	Tools  float64 `ini:"tools"`
	Agents float64 `ini:"agents"`
	// Width bounds the sub-agents of a step.
	Width int `ini:"width"`
	// Orders is the share of tool calls that are not idempotent.
	Orders float64 `ini:"orders"`
	// Input, Result and Answer are median lengths in tokens; Tail is the
	// standard deviation of their logarithms.
	Input  int     `ini:"input"`
	Result int     `ini:"result"`
	Answer int     `ini:"answer"`
	Tail   float64 `ini:"tail"`
	// Output bounds the length of an answer, in tokens.
	Output int `ini:"output"`
	// Think is the median time between an answer and the next message.
	Think time.Duration `ini:"think"`
	// Silent is the share of programs that stop without an end request.
	Silent float64 `ini:"silent"`
	// Idle is the time without calls after which a program is ended.
	Idle time.Duration `ini:"idle"`
	// Tokens bounds a program's tokens.
	Tokens int64 `ini:"tokens"`
}

const (
	deskService    = "desk"
	operationLook  = "look"
	operationOrder = "order"
)

// Parse parses an experiment. name is used in errors.
func Parse(name string, data []byte) (*Experiment, error) {
	f, err := ini.Load(data)
	if err != nil {
		return nil, errors.Wrapf(err, "work: %s", name)
	}
	e := &Experiment{}
	for _, s := range f.Sections() {
		var target any
		kind, isKind := strings.CutPrefix(s.Name(), "program ")
		switch {
		case isKind:
			k := &Kind{Name: kind}
			e.Kinds = append(e.Kinds, k)
			target = k
		case s.Name() == "experiment":
			target = e
		case s.Name() == "engine":
			target = &e.Engine
		case s.Name() == "desk":
			target = &e.Desk
		case s.Name() == ini.DefaultSection && len(s.Keys()) == 0:
			continue
		default:
			return nil, errors.Newf("work: %s: [%s]: no such section", name, s.Name())
		}
		if err := s.StrictMapTo(target); err != nil {
			return nil, errors.Wrapf(err, "work: %s: [%s]", name, s.Name())
		}
	}
	return e, e.check(name)
}

func (e *Experiment) check(name string) error {
	switch {
	case e.Customer == "":
		return errors.Newf("work: %s: [experiment] customer: must be set", name)
	case e.Engines < 1 || e.Desks < 1:
		return errors.Newf("work: %s: [experiment] engines, desks: must be at least 1", name)
	case e.Time <= 0:
		return errors.Newf("work: %s: [experiment] time: must be above 0", name)
	case e.Burst > 1 && e.Burst*e.Duty >= 1:
		return errors.Newf("work: %s: [experiment] burst: burst × duty must be below 1", name)
	case len(e.Kinds) == 0:
		return errors.Newf("work: %s: needs a [program NAME] section", name)
	}
	if e.Engine.Speed == 0 {
		e.Engine.Speed = 1
	}
	return nil
}

// clockTime converts a duration of simulated time into wall-clock time.
func (e *Experiment) clockTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.Engine.Speed)
}

// prompt returns the kind's system prompt. It is the same in every run.
func (k *Kind) prompt() string {
	return strings.TrimSpace(filler(rand.New(rand.NewPCG(xxhash.Sum64String(k.Name), 5)), k.Prompt))
}

// Tokens returns the bound on a program's tokens, by service.
func (e *Experiment) Tokens() map[string]int64 {
	bounds := map[string]int64{}
	for _, k := range e.Kinds {
		bounds[k.Name] = k.Tokens
	}
	return bounds
}

// Urgent returns the services of the most urgent class, which is 0.
func (e *Experiment) Urgent() map[string]bool {
	urgent := map[string]bool{}
	for _, k := range e.Kinds {
		if k.Class == 0 {
			urgent[k.Name] = true
		}
	}
	return urgent
}

// calibrationPrograms is the number of programs from which the capacity is calculated.
const calibrationPrograms = 400

// Capacity returns the number of programs per second that the engines can serve with
// full batches, if the share Hits of the history is found in the cache.
func (e *Experiment) Capacity() float64 {
	o := e.Engine
	token := o.Decode.Seconds()/float64(o.Slots) + o.TimePerStream.Seconds()
	g := &generator{experiment: e, random: rand.New(rand.NewPCG(0, 6))}
	cost := 0.0
	for range calibrationPrograms {
		fresh, old, output := countTokens(g.drawProgram())
		prefill := float64(fresh) + (1-e.Hits)*float64(old)
		cost += prefill/float64(o.PrefillRate) + float64(output)*token
	}
	return o.Speed * float64(e.Engines) * calibrationPrograms / cost
}

// countTokens returns the tokens that a program's calls need: new prompt tokens (fresh),
// history that is sent again (old), and output.
func countTokens(p *agent.Program) (fresh, old, output int) {
	history := len(p.Prompt) / model.CharsPerToken
	add := func(text string, previous int) int {
		n, out := len(text)/model.CharsPerToken, answerLength(text)
		fresh += n
		old += previous
		output += out
		return previous + n + out
	}
	for _, t := range p.Tasks {
		history = add(t.Text, history)
		for _, s := range t.Steps {
			for _, a := range s.Agents {
				add(a.Text, len(p.Prompt)/model.CharsPerToken)
			}
			history = add(s.Text, history)
		}
	}
	return fresh, old, output
}

// Ticket returns the ticket that declares the experiment's deployment.
func (e *Experiment) Ticket() []byte {
	var b bytes.Buffer
	f := ini.Empty()
	set := func(section string, pairs ...string) {
		s := f.Section(section)
		for i := 0; i < len(pairs); i += 2 {
			s.Key(pairs[i]).SetValue(pairs[i+1])
		}
	}
	set("ticket", "number", "1", "author", "bench", "reason", "experiment")
	set("customer "+e.Customer, "rate", "100000", "burst", "100000", "active", "100000")
	e.setTicket(set)
	_, _ = f.WriteTo(&b)
	return b.Bytes()
}
