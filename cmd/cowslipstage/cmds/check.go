package cmds

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/protocol/schema"
	"github.com/cowslipstage/cowslipstage/protocol/ticket"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/state/config"
)

func checkCommand() *cobra.Command {
	var settings, sections bool
	var routes routesFlags
	c := &cobra.Command{
		Use:   "check FILE|DIR...",
		Short: "Check settings, tickets and the configuration of gates",
		Long: "Check tells settings from tickets by their sections and prints every problem as\n" +
			"file:line: [section] key: what is wrong and what is allowed. The tickets of a\n" +
			"folder are also applied to an empty configuration, by number.\n\n" +
			"With --routes it checks a configuration of routes, services, customers and limits\n" +
			"before it is sent: 0 is fine, 1 means problems, 2 unusable input or usage.",
		RunE: func(c *cobra.Command, args []string) error {
			switch {
			case routes.used(c):
				return routes.check(c, args)
			case settings:
				c.Print(setup.Page())
				return nil
			case sections:
				c.Print(ticket.Page())
				return nil
			case len(args) == 0:
				return errors.New("name a file to check")
			}
			return checkAll(c, args)
		},
	}
	c.Flags().BoolVar(&settings, "settings", false, "print all settings as Markdown")
	c.Flags().BoolVar(&sections, "tickets", false, "print all that tickets may say as Markdown")
	routes.register(c)
	return c
}

func checkAll(c *cobra.Command, args []string) error {
	invalid := false
	for _, a := range args {
		info, err := os.Stat(a)
		switch {
		case err != nil:
		case info.IsDir():
			err = checkFolder(c, a)
		default:
			err = checkFile(a)
		}
		if err == nil {
			continue
		}
		invalid = true
		if !errors.Is(err, errInput) {
			c.PrintErrln(err)
		}
	}
	if invalid {
		return errInput
	}
	return nil
}

func checkFile(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if schema.CountSections(data, ticket.Table()) > schema.CountSections(data, setup.Table()) {
		_, err = ticket.Parse(file, data)
		return err
	}
	_, err = setup.Parse(file, data)
	return err
}

func checkFolder(c *cobra.Command, folder string) error {
	tickets, err := readTickets(c, []string{folder})
	if err != nil {
		return err
	}
	current := config.New()
	for _, t := range tickets {
		if current, err = t.Apply(current); err != nil {
			return err
		}
	}
	return nil
}
