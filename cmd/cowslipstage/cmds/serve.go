package cmds

import (
	"context"
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
			return serve(c.Context(), node.New(s, newLogger(level)))
		},
	}
	c.Flags().StringVar(&file, "config", "node.ini", "settings file")
	c.Flags().StringVar(&level, "log", "info", "log level")
	return c
}

// serve runs a node until the first signal, which starts a planned stop. A second
// signal ends the stop immediately.
func serve(ctx context.Context, n *node.Node) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		<-signals
		stop()
		<-signals
		n.Abandon()
	}()
	return n.Run(ctx)
}
