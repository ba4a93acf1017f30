package cmds

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/coordination/vet"
	"github.com/cowslipstage/cowslipstage/platform"
)

// routesFlags holds the flags of a check of the operators' configuration.
type routesFlags struct {
	file, against, output string
}

func (f *routesFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.file, "routes", "", "configuration of routes, services, customers and limits to check (JSON)")
	c.Flags().StringVar(&f.against, "against", "", "configuration in force; prints what changes in meaning")
	c.Flags().StringVar(&f.output, "output", "text", "with --routes: text or json")
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUnusable) })
}

// used reports whether any of the flags was given.
func (f *routesFlags) used(c *cobra.Command) bool {
	return c.Flags().Changed("routes") || c.Flags().Changed("against") || c.Flags().Changed("output")
}

func (f *routesFlags) check(c *cobra.Command, args []string) error {
	switch {
	case f.file == "":
		return errors.Mark(errors.New("--against and --output need --routes FILE"), errUnusable)
	case len(args) > 0 || c.Flags().Changed("settings") || c.Flags().Changed("tickets"):
		return errors.Mark(errors.New("--routes checks one file and goes only with --against and --output"), errUnusable)
	case c.Flags().Changed("against") && f.against == "":
		return errors.Mark(errors.New("--against needs a file"), errUnusable)
	case f.output != "text" && f.output != "json":
		return errors.Mark(errors.Newf("--output %q is not allowed, must be text or json", f.output), errUnusable)
	}
	d, err := readDraft(f.file)
	if err != nil {
		return err
	}
	var inForce *vet.Draft
	if f.against != "" {
		if inForce, err = readDraft(f.against); err != nil {
			return err
		}
	}
	return f.print(c, vet.NewReport(f.file, d, f.against, inForce))
}

// print writes a report. The error is errInput if the report has problems.
func (f *routesFlags) print(c *cobra.Command, r *vet.Report) error {
	text := r.Text()
	if f.output == "json" {
		var err error
		if text, err = r.JSON(); err != nil {
			return err
		}
	}
	c.Print(text)
	if len(r.Problems) > 0 {
		return errInput
	}
	return nil
}

// readDraft reads a configuration. Every error is marked errUnusable.
func readDraft(file string) (*vet.Draft, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Mark(err, errUnusable)
	}
	d, err := platform.ReadDraft(file, data)
	return d, errors.Mark(err, errUnusable)
}
