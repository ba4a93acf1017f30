// Package cmds holds the command tree of cowslipstage.
package cmds

import (
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

// errRuleBroken means that a run violated an invariant.
var errRuleBroken = errors.New("a rule was broken")

// errUnusable means that the input cannot be read, or that the flags contradict each other.
var errUnusable = errors.New("unusable input")

// ExitCode returns the exit code for a command's error.
func ExitCode(err error) int {
	if errors.IsAny(err, errRuleBroken, errUnusable) {
		return 2
	}
	return 1
}

// New returns the root command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "cowslipstage",
		Short:         "A scheduler for agent programs",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.SetOut(os.Stdout)
	root.AddCommand(serveCommand(), demoCommand(), versionCommand(), ticketCommand(), reportCommand(), traceCommand(), checkCommand(), standinCommand(), benchCommand(), gateCommand(), vaultCommand())
	return root
}

func newLogger(level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(l).With().Timestamp().Logger()
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			version := "devel"
			if i, ok := debug.ReadBuildInfo(); ok && i.Main.Version != "" {
				version = i.Main.Version
			}
			c.Println("cowslipstage", version)
		},
	}
}
