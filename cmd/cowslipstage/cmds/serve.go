package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/node"
	"github.com/cowslipstage/cowslipstage/setup"
)

func serveCommand() *cobra.Command {
	var file, level string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run a node",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := setup.Load(file)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return node.New(s, logger(level)).Run(ctx)
		},
	}
	c.Flags().StringVar(&file, "config", "node.ini", "settings file")
	c.Flags().StringVar(&level, "log", "info", "log level")
	return c
}
