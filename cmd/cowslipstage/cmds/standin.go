package cmds

import (
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/standin/fault"
	"github.com/cowslipstage/cowslipstage/standin/hosts"
	"github.com/cowslipstage/cowslipstage/standin/keyval"
)

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in for an outside system"}
	c.AddCommand(
		standinServer("keyval", "The platform's key-value service", func() (http.Handler, error) { return keyval.New(), nil }),
		standinServer("hosts", "The platform's host list", func() (http.Handler, error) { return hosts.New(time.Second), nil }),
		standinEngine(),
		standinDesk(),
	)
	return c
}

func standinEngine() *cobra.Command {
	var file string
	c := standinServer("engine", "A model engine", func() (http.Handler, error) {
		if file == "" {
			return engine.New(engine.Options{PrefillRate: 20000, Decode: 2 * time.Millisecond, Slots: 16}), nil
		}
		o, err := engine.LoadOptions(file)
		return engine.New(o), err
	})
	c.Flags().StringVar(&file, "config", "", "file with the engine's costs, in a section [engine]")
	return c
}

func standinDesk() *cobra.Command {
	var o desk.Options
	c := standinServer("desk", "A plain desk", func() (http.Handler, error) { return desk.New(o), nil })
	c.Flags().DurationVar(&o.Latency, "latency", 5*time.Millisecond, "time that an operation takes")
	c.Flags().BoolVar(&o.Fencing, "fencing", false, "refuse fencing numbers lower than the highest seen")
	return c
}

// faultInjector is a stand-in that injects faults on request.
type faultInjector interface{ Fault() *fault.Injector }

func standinServer(name, short string, handler func() (http.Handler, error)) *cobra.Command {
	var addr string
	c := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			h, err := handler()
			if err != nil {
				return err
			}
			l, err := net.Listen("tcp", addr)
			if err != nil {
				return err
			}
			c.Printf("%s listens on %s\n", name, l.Addr())
			s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
			if m, ok := h.(faultInjector); ok {
				m.Fault().Track(s)
			}
			return s.Serve(l)
		},
	}
	c.Flags().StringVar(&addr, "listen", "127.0.0.1:0", "address to listen on")
	return c
}
