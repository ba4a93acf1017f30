package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/bench/chart"
	"github.com/cowslipstage/cowslipstage/bench/table"
	"github.com/cowslipstage/cowslipstage/bench/trial"
	"github.com/cowslipstage/cowslipstage/bench/work"
	"github.com/cowslipstage/cowslipstage/examples"
)

// benchFlags holds the flags of the bench command.
type benchFlags struct {
	experiment string
	policies   []string
	seeds      string
	loads      []float64
	nodes      []int
	warm       time.Duration
	time       time.Duration
	json       bool
	faults     bool
	plots      string
	level      string
}

func benchCommand() *cobra.Command {
	var f benchFlags
	c := &cobra.Command{
		Use:   "bench",
		Short: "Measure policies side by side on the same work",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt)
			defer stop()
			return f.run(ctx, c.OutOrStdout(), c.ErrOrStderr())
		},
	}
	s := c.Flags()
	s.StringVar(&f.experiment, "experiment", "brennecke", "experiment: a file, or a name in examples/experiments")
	s.StringSliceVar(&f.policies, "policies", []string{"product", "round", "least", "sticky"}, "policies: these names or QUEUE+ROUTE")
	s.StringVar(&f.seeds, "seeds", "1", "seeds: 1..5 or 1,2,3")
	s.Float64SliceVar(&f.loads, "load", []float64{0.8}, "loads over the engines' capacity")
	s.IntSliceVar(&f.nodes, "nodes-count", []int{3}, "numbers of nodes")
	s.DurationVar(&f.warm, "warm", 0, "time before measuring; 0 takes the experiment's")
	s.DurationVar(&f.time, "time", 0, "time of measuring; 0 takes the experiment's")
	s.BoolVar(&f.json, "json", false, "print JSON")
	s.BoolVar(&f.faults, "faults", false, "let the store, engines and nodes fail while measuring")
	s.StringVar(&f.plots, "plots", "", "folder for plots; empty draws none")
	s.StringVar(&f.level, "log", "error", "log level of the nodes")
	return c
}

func (f *benchFlags) load() (*work.Experiment, error) {
	data, err := examples.Files.ReadFile("experiments/" + f.experiment + ".ini")
	if err != nil {
		if data, err = os.ReadFile(f.experiment); err != nil {
			return nil, errors.Wrap(err, "bench: experiment")
		}
	}
	e, err := work.Parse(f.experiment, data)
	if err != nil {
		return nil, err
	}
	if f.warm > 0 {
		e.Warm = f.warm
	}
	if f.time > 0 {
		e.Time = f.time
	}
	return e, nil
}

// trials returns the trials to run: all policies for each load, node count and
// seed.
func (f *benchFlags) trials(e *work.Experiment) ([]trial.Options, error) {
	seeds, err := parseSeeds(f.seeds)
	if err != nil {
		return nil, err
	}
	var all []trial.Options
	for _, load := range f.loads {
		for _, nodes := range f.nodes {
			for _, seed := range seeds {
				for _, name := range f.policies {
					p, err := trial.FindPolicy(name)
					if err != nil {
						return nil, err
					}
					all = append(all, trial.Options{
						Experiment: e, Policy: p, Seed: seed, Load: load, Nodes: nodes,
						Faults: f.faults, Log: newLogger(f.level),
					})
				}
			}
		}
	}
	return all, nil
}

func (f *benchFlags) run(ctx context.Context, out, progress io.Writer) error {
	e, err := f.load()
	if err != nil {
		return err
	}
	all, err := f.trials(e)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(progress, "capacity %.2f programs/s, speed %g, %d engines\n", e.Capacity(), e.Engine.Speed, e.Engines)
	var results []*trial.Result
	violations := 0
	for i, o := range all {
		_, _ = fmt.Fprintf(progress, "%d/%d: %s, load %.2f, %d nodes, seed %d ...", i+1, len(all), o.Policy.Name, o.Load, o.Nodes, o.Seed)
		r, err := trial.Run(ctx, o)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(progress, " p95 %.0f ms, goodput %.1f/s, %d violations\n", r.Latency.P95, r.Goodput, r.Violations)
		results = append(results, r)
		violations += r.Violations
	}
	if err := f.print(out, results); err != nil {
		return err
	}
	if f.plots != "" {
		files, err := chart.New(f.plots, results).Draw()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(progress, strings.Join(files, "\n"))
	}
	if violations > 0 {
		return errors.Wrapf(errRuleBroken, "bench: %d violations", violations)
	}
	return nil
}

func (f *benchFlags) print(out io.Writer, results []*trial.Result) error {
	if !f.json {
		table.New(results).Print(out)
		return nil
	}
	data, err := json.Marshal(struct {
		Results []*trial.Result `json:"results"`
	}{results})
	if err != nil {
		return errors.Wrap(err, "bench: encoding")
	}
	_, err = fmt.Fprintln(out, string(data))
	return err
}

// parseSeeds parses a range such as "1..5" or a list such as "1,2,3".
func parseSeeds(text string) ([]uint64, error) {
	if low, high, ok := strings.Cut(text, ".."); ok {
		a, err1 := strconv.ParseUint(low, 10, 64)
		b, err2 := strconv.ParseUint(high, 10, 64)
		if err1 != nil || err2 != nil || a > b {
			return nil, errors.Newf("bench: seeds: %q is not a range such as 1..5", text)
		}
		var all []uint64
		for n := a; n <= b; n++ {
			all = append(all, n)
		}
		return all, nil
	}
	var all []uint64
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.ParseUint(part, 10, 64)
		if err != nil {
			return nil, errors.Newf("bench: seeds: %q is not a number", part)
		}
		all = append(all, n)
	}
	return all, nil
}
