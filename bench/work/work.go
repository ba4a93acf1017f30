// Package work makes the programs of an experiment: who arrives when, and what
// each of them will do. The same seed gives the same work under every policy.
package work

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/bench/agent"
	"github.com/cowslipstage/cowslipstage/standin/model"
)

// Arrival is one program and when it comes, from the experiment's beginning.
type Arrival struct {
	At      time.Duration
	Program *agent.Program
}

// source draws one experiment's programs.
type source struct {
	experiment *Experiment
	random     *rand.Rand
	serial     int
	// tag keeps programs of different runs apart.
	tag string
}

// Arrivals returns the programs that come within the length, at a mean rate a second.
func Arrivals(e *Experiment, seed uint64, tag string, rate float64, length time.Duration) []Arrival {
	times := rand.New(rand.NewPCG(seed, 3))
	s := &source{experiment: e, random: rand.New(rand.NewPCG(seed, 4)), tag: tag}
	var all []Arrival
	for at := 0.0; ; {
		at += times.ExpFloat64() / (rate * e.intensity(at))
		if at > length.Seconds() {
			return all
		}
		all = append(all, Arrival{At: time.Duration(at * float64(time.Second)), Program: s.program()})
	}
}

// intensity is the arrival rate at a time over its mean: a burst at the
// beginning of each period, less in the rest of it.
func (e *Experiment) intensity(at float64) float64 {
	period := e.Period.Seconds()
	if period <= 0 || e.Burst <= 1 {
		return 1
	}
	if math.Mod(at, period) < period*e.Duty {
		return e.Burst
	}
	return (1 - e.Duty*e.Burst) / (1 - e.Duty)
}

func (s *source) program() *agent.Program {
	s.serial++
	k := s.kind()
	p := &agent.Program{
		Customer: s.experiment.Customer, ID: fmt.Sprintf("%s-%d", s.tag, s.serial),
		Service: k.Name, Prompt: k.prompt(), Output: k.Output,
		Silent: s.random.Float64() < k.Silent,
	}
	for i := range s.between(1, k.Tasks) {
		t := s.task(p, k)
		if i > 0 {
			t.Pause = s.experiment.wall(s.time(k.Think))
		}
		p.Tasks = append(p.Tasks, t)
	}
	return p
}

// kind draws a program's kind by its share.
func (s *source) kind() *Kind {
	total := 0.0
	for _, k := range s.experiment.Kinds {
		total += k.Share
	}
	x := s.random.Float64() * total
	for _, k := range s.experiment.Kinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return s.experiment.Kinds[len(s.experiment.Kinds)-1]
}

func (s *source) task(p *agent.Program, k *Kind) agent.Task {
	t := agent.Task{Text: s.message(k, k.Input)}
	for range s.between(0, k.Steps) {
		step := agent.Step{Text: s.message(k, k.Result)}
		if s.random.Float64() < k.Tools {
			step.Tool = s.tool(p, k)
		}
		if s.random.Float64() < k.Agents {
			for i := range s.between(2, k.Width) {
				s.serial++
				step.Agents = append(step.Agents, agent.SubAgent{
					Agent: "sub-" + strconv.Itoa(s.serial) + "-" + strconv.Itoa(i), Text: s.message(k, k.Input),
				})
			}
		}
		t.Steps = append(t.Steps, step)
	}
	return t
}

func (s *source) tool(p *agent.Program, k *Kind) *agent.Tool {
	s.serial++
	t := &agent.Tool{Service: deskService, Operation: operationLook, Idempotent: true}
	if s.random.Float64() < k.Orders {
		t.Operation, t.Idempotent = operationOrder, false
	}
	t.Body = fmt.Sprintf(`{"program":%q,"number":%d}`, p.ID, s.serial)
	return t
}

// message draws a text of about count tokens that asks for an answer of heavy-tailed length.
func (s *source) message(k *Kind, count int) string {
	tokens := min(s.heavy(k.Answer, k.Tail), k.Output)
	return filler(s.random, s.heavy(count, k.Tail)) + " " + model.LengthMarker(tokens)
}

// heavy draws from the lognormal distribution with this median.
func (s *source) heavy(median int, tail float64) int {
	return max(1, int(float64(median)*math.Exp(tail*s.random.NormFloat64())))
}

func (s *source) time(median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.8*s.random.NormFloat64()))
}

// between draws an integer from low to high, both included.
func (s *source) between(low, high int) int {
	if high <= low {
		return low
	}
	return low + s.random.IntN(high-low+1)
}

const letters = "abcdefghijklmnopqrstuvwxyz"

// filler returns text of so many tokens.
func filler(random *rand.Rand, tokens int) string {
	var b strings.Builder
	for range tokens {
		for range model.CharsPerToken - 1 {
			b.WriteByte(letters[random.IntN(len(letters))])
		}
		b.WriteByte(' ')
	}
	return b.String()
}
