// Package work generates the programs of an experiment: their arrival times and the
// calls of each. The same seed gives the same programs under every policy.
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

// Arrival is a program and its arrival time, relative to the start of the experiment.
type Arrival struct {
	At      time.Duration
	Program *agent.Program
}

// generator draws the programs of one experiment.
type generator struct {
	experiment *Experiment
	random     *rand.Rand
	serial     int
	// tag is the prefix of program IDs. It differs between runs.
	tag string
}

// Arrivals returns the programs that arrive within length, at a mean rate per second.
// Program IDs begin with tag.
func Arrivals(e *Experiment, seed uint64, tag string, rate float64, length time.Duration) []Arrival {
	gaps := rand.New(rand.NewPCG(seed, 3))
	g := &generator{experiment: e, random: rand.New(rand.NewPCG(seed, 4)), tag: tag}
	var all []Arrival
	for at := 0.0; ; {
		at += gaps.ExpFloat64() / (rate * e.intensity(at))
		if at > length.Seconds() {
			return all
		}
		all = append(all, Arrival{At: time.Duration(at * float64(time.Second)), Program: g.drawProgram()})
	}
}

// intensity returns the arrival rate at a time divided by the mean rate. Each period
// begins with a burst, and the rate of its rest is lower, so that the mean is kept.
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

func (g *generator) drawProgram() *agent.Program {
	g.serial++
	k := g.drawKind()
	p := &agent.Program{
		Customer: g.experiment.Customer, ID: fmt.Sprintf("%s-%d", g.tag, g.serial),
		Service: k.Name, Prompt: k.prompt(), Output: k.Output,
		Silent: g.random.Float64() < k.Silent,
	}
	for i := range g.drawInt(1, k.Tasks) {
		t := g.drawTask(p, k)
		if i > 0 {
			t.Pause = g.experiment.clockTime(g.drawTime(k.Think))
		}
		p.Tasks = append(p.Tasks, t)
	}
	return p
}

// drawKind draws a program's kind, weighted by share.
func (g *generator) drawKind() *Kind {
	total := 0.0
	for _, k := range g.experiment.Kinds {
		total += k.Share
	}
	x := g.random.Float64() * total
	for _, k := range g.experiment.Kinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return g.experiment.Kinds[len(g.experiment.Kinds)-1]
}

func (g *generator) drawTask(p *agent.Program, k *Kind) agent.Task {
	t := agent.Task{Text: g.drawMessage(k, k.Input)}
	for range g.drawInt(0, k.Steps) {
		step := agent.Step{Text: g.drawMessage(k, k.Result)}
		if g.random.Float64() < k.Tools {
			step.Tool = g.drawTool(p, k)
		}
		if g.random.Float64() < k.Agents {
			for i := range g.drawInt(2, k.Width) {
				g.serial++
				step.Agents = append(step.Agents, agent.SubAgent{
					Agent: "sub-" + strconv.Itoa(g.serial) + "-" + strconv.Itoa(i), Text: g.drawMessage(k, k.Input),
				})
			}
		}
		t.Steps = append(t.Steps, step)
	}
	return t
}

func (g *generator) drawTool(p *agent.Program, k *Kind) *agent.Tool {
	g.serial++
	t := &agent.Tool{Service: deskService, Operation: operationLook, Idempotent: true}
	if g.random.Float64() < k.Orders {
		t.Operation, t.Idempotent = operationOrder, false
	}
	t.Body = fmt.Sprintf(`{"program":%q,"number":%d}`, p.ID, g.serial)
	return t
}

// drawMessage draws a text of about count tokens. Its marker sets the length of the
// answer. Both lengths are lognormal.
func (g *generator) drawMessage(k *Kind, count int) string {
	tokens := min(g.drawLength(k.Answer, k.Tail), k.Output)
	return filler(g.random, g.drawLength(count, k.Tail)) + " " + model.LengthMarker(tokens)
}

// drawLength draws a length of at least 1 from the lognormal distribution with this
// median. tail is the standard deviation of the logarithm.
func (g *generator) drawLength(median int, tail float64) int {
	return max(1, int(float64(median)*math.Exp(tail*g.random.NormFloat64())))
}

// drawTime draws a duration from the lognormal distribution with this median.
func (g *generator) drawTime(median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.8*g.random.NormFloat64()))
}

// drawInt draws an integer from low to high, both inclusive.
func (g *generator) drawInt(low, high int) int {
	if high <= low {
		return low
	}
	return low + g.random.IntN(high-low+1)
}

const letters = "abcdefghijklmnopqrstuvwxyz"

// filler returns random text with the given number of tokens.
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
