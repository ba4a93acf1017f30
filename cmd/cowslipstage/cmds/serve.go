package cmds

import (
	"context"
	"runtime/debug"

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
			signals := catchSignals()
			s, err := setup.Load(file)
			if err != nil {
				return err
			}
			debug.SetMemoryLimit(memoryLimit(s.Node.Memory))
			log := newLogger(level)
			go func() {
				for range signals.reload {
					log.Info().Msg("told to reload; changed settings take effect at the next start")
				}
			}()
			return serve(c.Context(), signals, node.New(s, log))
		},
	}
	c.Flags().StringVar(&file, "config", "node.ini", "settings file")
	c.Flags().StringVar(&level, "log", "info", "log level")
	return c
}

// serve runs a node until the first request to stop, which starts a planned stop. A
// second one ends the stop immediately.
func serve(ctx context.Context, signals *daemonSignals, n *node.Node) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals.stop
		cancel()
		<-signals.stop
		n.Abandon()
	}()
	return n.Run(ctx)
}
