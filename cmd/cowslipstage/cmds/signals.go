package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// daemonSignals receives the signals of a long-running program. They stay caught
// until the process exits, because the default action of each would end it at
// once, also while it drains.
type daemonSignals struct {
	// stop receives requests to stop, reload requests to read the settings again.
	stop, reload chan os.Signal
}

// catchSignals catches the signals of a long-running program. It is called before
// anything else that the program does.
func catchSignals() *daemonSignals {
	d := &daemonSignals{stop: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(d.stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(d.reload, syscall.SIGHUP)
	// Without this, writing a log line after the reader of the log has gone would
	// end the process.
	signal.Ignore(syscall.SIGPIPE)
	return d
}

// stopContext returns a context that ends at the first request to stop. Further
// requests have no effect.
func (d *daemonSignals) stopContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-d.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
