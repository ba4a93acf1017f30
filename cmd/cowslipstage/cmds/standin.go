package cmds

import (
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/standin/hosts"
	"github.com/cowslipstage/cowslipstage/standin/keyval"
)

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in for an outside system"}
	c.AddCommand(
		standinServer("keyval", "The platform's key-value service", func() http.Handler { return keyval.New() }),
		standinServer("hosts", "The platform's host list", func() http.Handler { return hosts.New(time.Second) }),
		standinServer("engine", "A model engine", func() http.Handler {
			return engine.New(engine.Options{Prefill: 20000, Decode: 2 * time.Millisecond, Slots: 16})
		}),
		standinServer("desk", "A plain desk", func() http.Handler {
			return desk.New(desk.Options{Latency: 5 * time.Millisecond})
		}),
	)
	return c
}

func standinServer(name, short string, handler func() http.Handler) *cobra.Command {
	var addr string
	c := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", addr)
			if err != nil {
				return err
			}
			c.Printf("%s listens on %s\n", name, l.Addr())
			s := &http.Server{Handler: handler(), ReadHeaderTimeout: time.Minute}
			return s.Serve(l)
		},
	}
	c.Flags().StringVar(&addr, "listen", "127.0.0.1:0", "address to listen on")
	return c
}
