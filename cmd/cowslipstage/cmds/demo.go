package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/bench/local"
	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// scene is one person's program in the demo.
type scene struct {
	person string
	steps  []client.Request
}

// play is one user's deployment with its scenes.
type play struct {
	customer string
	file     string
	scenes   []scene
}

func plays() []play {
	return []play{
		{customer: "acoepele", file: "acoepele/001-start.ini", scenes: []scene{
			{person: "a client asks about a labret", steps: []client.Request{
				{Service: "sizing", Text: "Which gauge of titanium labret fits a healed helix?"},
				{Service: "loja", Operation: "stock", Text: `{"item":"labret 1.2x8"}`},
				{Service: "sizing", Agent: "compare", Text: "Compare 1.2 mm and 1.0 mm posts for this client."},
				{Service: "sizing", Text: "Stock says four are left. What should I take?"},
			}},
			{person: "a member restocks gold rings", steps: []client.Request{
				{Service: "sizing", Text: "We are low on 8 mm gold rings. How many for a month?"},
				{Service: "loja", Operation: "order", Text: `{"item":"ring 8 gold","count":20}`},
				{Service: "sizing", Text: "The order went through. Summarise it."},
			}},
			{person: "a client asks about aftercare", steps: []client.Request{
				{Service: "aftercare", Text: "It is day three and my nostril is a little red. Is that normal?"},
				{Service: "aftercare", Text: "And may I swim next week?"},
			}},
		}},
		{customer: "brennecke", file: "brennecke/001-start.ini", scenes: []scene{
			{person: "a foreman books yard space", steps: []client.Request{
				{Service: "booking", Text: "Two flatbeds from Monday to Thursday near the north shore, please."},
				{Service: "yard", Operation: "space", Text: `{"yard":"north","vehicles":2}`},
				{Service: "yard", Operation: "book", Text: `{"yard":"north","vehicles":2}`},
				{Service: "yard", Operation: "deposit", Text: `{"amount":25000}`},
				{Service: "booking", Text: "Booked and paid. What do I tell the drivers?"},
			}},
			{person: "a dispatcher chases a gate code", steps: []client.Request{
				{Service: "gate", Text: "Crew is at the lakes-b gate since five and the code fails."},
				{Service: "yard", Operation: "unlock", Text: `{"gate":"lakes-b-2"}`},
				{Service: "gate", Text: "It is open. Note the time for the log."},
			}},
		}},
	}
}

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

func demo(ctx context.Context, out io.Writer, nodes int, once bool) error {
	for _, p := range plays() {
		d, err := deploy(p, nodes)
		if err != nil {
			return err
		}
		defer d.Stop()
		if err := p.run(ctx, out, d); err != nil {
			return err
		}
		if !once {
			_, _ = fmt.Fprintf(out, "try: curl -N http://%s/v1/chat/completions -H 'X-Customer: %s' "+
				"-d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n\n",
				d.Addrs()[0], p.customer, p.scenes[0].steps[0].Service)
		}
	}
	if !once {
		<-ctx.Done()
	}
	return nil
}

func deploy(p play, nodes int) (*local.Deployment, error) {
	text, err := examples.Files.ReadFile(p.file)
	if err != nil {
		return nil, errors.Wrap(err, "demo: example ticket")
	}
	return local.Start(local.Options{
		Ticket: text, Nodes: nodes, Log: logger("error"),
		Engine: engine.Options{Prefill: 20000, Decode: 2 * time.Millisecond, Slots: 16},
		Desk:   desk.Options{Latency: 5 * time.Millisecond},
	})
}

func (p play) run(ctx context.Context, out io.Writer, d *local.Deployment) error {
	_, _ = fmt.Fprintf(out, "== %s: %d nodes\n", p.customer, len(d.Addrs()))
	c := client.New(p.customer, d.Addrs())
	for _, s := range p.scenes {
		if err := s.run(ctx, out, c); err != nil {
			return err
		}
	}
	effects := 0
	for name, desk := range d.Desks() {
		for _, e := range desk.Ledger() {
			_, _ = fmt.Fprintf(out, "   ledger of %s: %s %s\n", name, e.Operation, e.Body)
			effects++
		}
	}
	_, _ = fmt.Fprintf(out, "   %d effects at the desks\n\n", effects)
	return nil
}

func (s scene) run(ctx context.Context, out io.Writer, c *client.Client) error {
	_, _ = fmt.Fprintf(out, "-- %s\n", s.person)
	program := uuid.NewString()
	for _, r := range s.steps {
		r.Program = program
		a, err := c.Do(ctx, r)
		if err != nil {
			return err
		}
		if a.Outcome != answer.Done {
			return errors.Newf("demo: %s %s: %s (%s)", r.Service, r.Operation, a.Outcome, a.Reason)
		}
		text := a.Text
		if r.Operation != "" {
			text = string(a.Body)
		}
		_, _ = fmt.Fprintf(out, "   %s%s: %s\n      -> %.100s (%s)\n",
			r.Service, r.Operation, r.Text, text, a.Whole.Round(time.Millisecond))
	}
	return c.End(ctx, program)
}
