package cmds

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/node"
	"github.com/cowslipstage/cowslipstage/protocol/ticket"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

func ticketCommand() *cobra.Command {
	c := &cobra.Command{Use: "ticket", Short: "Apply and inspect change tickets"}
	c.AddCommand(ticketApplyCommand())
	return c
}

func ticketApplyCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a ticket",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			t, err := ticket.Parse(args[0], data)
			if err != nil {
				return err
			}
			next, err := node.Change(c.Context(), store.New(addr, 5*time.Second), func(old *config.Config) (*config.Config, error) {
				return t.Apply(old)
			})
			if err != nil {
				return err
			}
			c.Printf("ticket %d: in force from revision %d\n", t.Number(), next.Revision)
			return nil
		},
	}
	c.Flags().StringVar(&addr, "store", "127.0.0.1:7000", "address of the key-value service")
	return c
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings and tickets",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			for _, file := range args {
				if _, err := setup.Load(file); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
