package cmds

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/bench/agent"
	"github.com/cowslipstage/cowslipstage/bench/audit"
	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/bench/local"
	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/protocol/ticket"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/state/config"
)

func demoCommand() *cobra.Command {
	var once bool
	var nodes int
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run both example deployments on embedded stand-ins",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt)
			defer stop()
			return demo(ctx, c.OutOrStdout(), nodes, once)
		},
	}
	c.Flags().BoolVar(&once, "once", false, "exit after the programs have run")
	c.Flags().IntVar(&nodes, "nodes", 3, "nodes for each deployment")
	return c
}

// demoRun is one running scenario of the demo.
type demoRun struct {
	scenario   scenario
	config     *config.Config
	deployment *local.Deployment
	log        *agent.Log
	out        bytes.Buffer
	err        error
}

func demo(ctx context.Context, out io.Writer, nodes int, once bool) error {
	var runs []*demoRun
	var wait sync.WaitGroup
	for _, p := range scenarios() {
		r := &demoRun{scenario: p, log: agent.NewLog()}
		runs = append(runs, r)
		wait.Go(func() { r.err = r.run(ctx, nodes) })
	}
	wait.Wait()
	var err error
	for _, r := range runs {
		_, _ = out.Write(r.out.Bytes())
		err = errors.CombineErrors(err, r.err)
		if r.deployment != nil {
			defer r.deployment.Stop()
		}
	}
	if err != nil || once {
		return err
	}
	for _, r := range runs {
		_, _ = fmt.Fprintf(out, "try: curl -N http://%s/v1/chat/completions -H 'X-Customer: %s' "+
			"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n",
			r.deployment.Addrs()[0], r.scenario.customer, r.scenario.programs[0].service)
	}
	<-ctx.Done()
	return nil
}

// run starts the deployment, runs all programs concurrently and prints their results.
func (r *demoRun) run(ctx context.Context, nodes int) error {
	text, err := examples.Files.ReadFile(r.scenario.file)
	if err != nil {
		return errors.Wrap(err, "demo: example ticket")
	}
	t, err := ticket.Parse(r.scenario.file, text)
	if err != nil {
		return err
	}
	if r.config, err = t.Apply(config.New()); err != nil {
		return err
	}
	r.deployment, err = local.Start(local.Options{
		Ticket: text, Nodes: nodes, Log: newLogger("error"),
		Engine: engine.Options{PrefillRate: 20000, Decode: 2 * time.Millisecond, Slots: 16},
		Desk:   desk.Options{Latency: 5 * time.Millisecond},
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(&r.out, "== %s: %d nodes, %d engines, %d desks\n", r.scenario.customer, nodes,
		len(r.deployment.Engines()), len(r.deployment.Desks()))
	if err := r.runPrograms(ctx); err != nil {
		return err
	}
	return r.printSummary(ctx)
}

func (r *demoRun) runPrograms(ctx context.Context) error {
	driver := agent.NewDriver(client.New(r.scenario.customer, r.deployment.Addrs()), r.log, time.Time{})
	answers := make([][]string, len(r.scenario.programs))
	failures := make([]error, len(r.scenario.programs))
	var wait sync.WaitGroup
	for i, x := range r.scenario.programs {
		wait.Go(func() { answers[i], failures[i] = driver.Run(ctx, r.program(i, x)) })
	}
	wait.Wait()
	for i, x := range r.scenario.programs {
		_, _ = fmt.Fprintf(&r.out, "-- %s\n", x.description)
		for k, a := range answers[i] {
			_, _ = fmt.Fprintf(&r.out, "   %s\n      -> %.100s\n", x.tasks[k].Text, a)
		}
	}
	return errors.Join(failures...)
}

func (r *demoRun) program(i int, x demoProgram) *agent.Program {
	v := r.config.Services[x.service]
	return &agent.Program{
		Customer: r.scenario.customer, ID: fmt.Sprintf("demo-%d", i+1), Service: x.service,
		Prompt: v.Prompt, Output: v.Output, Tasks: x.tasks,
	}
}

// releaseTimeout bounds the wait until the engines have freed the memory of ended
// programs.
const releaseTimeout = 3 * time.Second

// printSummary prints the effects, the budgets used and the broken rules, all from
// the endpoints' ledgers.
func (r *demoRun) printSummary(ctx context.Context) error {
	tokens := map[string]int64{}
	for name, v := range r.config.Services {
		tokens[name] = v.Tokens
	}
	var e audit.Evidence
	var report *audit.Report
	for end := time.Now().Add(releaseTimeout); ; time.Sleep(20 * time.Millisecond) {
		e = audit.Collect(r.deployment, r.log)
		e.Tokens = tokens
		report = audit.Check(e)
		if report.Count(audit.Memory) == 0 || time.Now().After(end) || ctx.Err() != nil {
			break
		}
	}
	r.printEffects(e)
	r.printBudgets(e)
	_, _ = fmt.Fprint(&r.out, "   rules broken, by the endpoints' ledgers:")
	for _, rule := range audit.Rules {
		_, _ = fmt.Fprintf(&r.out, " %s %d", rule, report.Count(rule))
	}
	_, _ = fmt.Fprint(&r.out, "\n\n")
	if report.Total() > 0 {
		return errors.Wrapf(errRuleBroken, "demo: %v", report.Samples())
	}
	return nil
}

func (r *demoRun) printEffects(e audit.Evidence) {
	for _, c := range r.log.Records() {
		if c.Operation == "" || c.Idempotent {
			continue
		}
		count := 0
		for _, d := range e.Desks {
			for _, l := range d.Ledger {
				if l.Key == c.Key {
					count++
				}
			}
		}
		_, _ = fmt.Fprintf(&r.out, "   %s of %s: %d time(s) in the desks' ledgers\n", c.Operation, c.Program, count)
	}
}

func (r *demoRun) printBudgets(e audit.Evidence) {
	for i, x := range r.scenario.programs {
		p := r.program(i, x)
		used, calls := 0, 0
		for _, n := range e.Engines {
			for _, l := range n.Ledger {
				if l.Program == p.Customer+"/"+p.ID {
					used += l.PromptTokens + l.OutputTokens
					calls++
				}
			}
		}
		_, _ = fmt.Fprintf(&r.out, "   budget of %s: %d of %d tokens in %d model calls\n",
			p.ID, used, r.config.Services[x.service].Tokens, calls)
	}
}
