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

// Experiment is a workload and the endpoints that serve it.
type Experiment struct {
	Customer string `ini:"customer"`
	// Engines and Desks are how many endpoints there are.
	Engines int `ini:"engines"`
	Desks   int `ini:"desks"`
	// Warm is run first and not measured; Time is measured. Both are times of the clock.
	Warm time.Duration `ini:"warm"`
	Time time.Duration `ini:"time"`
	// Burst is the arrival rate in a burst over its mean; a burst lasts the
	// share Duty of each Period of the clock.
	Burst  float64       `ini:"burst"`
	Duty   float64       `ini:"duty"`
	Period time.Duration `ini:"period"`
	// Hits is the share of a conversation's history that an engine is reckoned
	// to find in its cache, when the capacity is calculated.
	Hits   float64        `ini:"hits"`
	Engine engine.Options `ini:"-"`
	Desk   desk.Options   `ini:"-"`
	Kinds  []*Kind        `ini:"-"`
}

// Kind is one sort of program.
type Kind struct {
	// Name is the service's name.
	Name string `ini:"-"`
	// Share is how many of all programs are of this kind, as a weight.
	Share float64 `ini:"share"`
	Class int     `ini:"class"`
	// Prompt is the system prompt's length, in tokens.
	Prompt int `ini:"prompt"`
	// Tasks bounds a person's messages, Steps the steps of one.
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
	// Output bounds an answer, in tokens.
	Output int `ini:"output"`
	// Think is the median time between an answer and the next message.
	Think time.Duration `ini:"think"`
	// Silent is the share of programs that are left without a word.
	Silent float64 `ini:"silent"`
	// Idle ends programs that are silent for so long.
	Idle time.Duration `ini:"idle"`
	// Tokens bounds a program's tokens.
	Tokens int64 `ini:"tokens"`
}

const (
	deskService    = "desk"
	operationLook  = "look"
	operationOrder = "order"
)

// Parse reads an experiment; name is used in errors.
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

// wall converts a time of the systems that are played into one of the clock.
func (e *Experiment) wall(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.Engine.Speed)
}

// prompt returns the kind's system prompt, the same in every run.
func (k *Kind) prompt() string {
	return strings.TrimSpace(filler(rand.New(rand.NewPCG(xxhash.Sum64String(k.Name), 5)), k.Prompt))
}

// Tokens returns each service's bound on a program's tokens.
func (e *Experiment) Tokens() map[string]int64 {
	bounds := map[string]int64{}
	for _, k := range e.Kinds {
		bounds[k.Name] = k.Tokens
	}
	return bounds
}

// Urgent returns the services of the most urgent class.
func (e *Experiment) Urgent() map[string]bool {
	urgent := map[string]bool{}
	for _, k := range e.Kinds {
		if k.Class == 0 {
			urgent[k.Name] = true
		}
	}
	return urgent
}

// calibration is how many programs the capacity is calculated from.
const calibration = 400

// Capacity returns the programs a second that the engines can serve, with
// their batches full and the declared share of history found in the cache.
func (e *Experiment) Capacity() float64 {
	o := e.Engine
	token := o.Decode.Seconds()/float64(o.Slots) + o.TimePerStream.Seconds()
	s := &source{experiment: e, random: rand.New(rand.NewPCG(0, 6))}
	cost := 0.0
	for range calibration {
		fresh, old, output := tokens(s.program())
		prefill := float64(fresh) + (1-e.Hits)*float64(old)
		cost += prefill/float64(o.PrefillRate) + float64(output)*token
	}
	return o.Speed * float64(e.Engines) * calibration / cost
}

// tokens adds up what a program's calls need: fresh prompt tokens, history
// sent again, and output.
func tokens(p *agent.Program) (fresh, old, output int) {
	history := len(p.Prompt) / model.CharsPerToken
	add := func(text string, behind int) int {
		n, out := len(text)/model.CharsPerToken, length(text)
		fresh += n
		old += behind
		output += out
		return behind + n + out
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

// Ticket returns the declarations for the experiment's deployment.
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
	e.declare(set)
	_, _ = f.WriteTo(&b)
	return b.Bytes()
}
