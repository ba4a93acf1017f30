package cmds

import (
	"encoding/json"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/state/trace"
)

func traceCommand() *cobra.Command {
	var n nodeFlags
	var asJSON bool
	var logs []string
	c := &cobra.Command{
		Use:   "trace KEY --nodes IP:port,... | --logs FILE,...",
		Short: "Follow one program or call from node to node",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return traceLogs(c, args[0], logs)
			}
			if len(n.addrs) == 0 {
				return errors.New("name the nodes by --nodes, or log files by --logs")
			}
			var all []trace.Event
			err := n.query(c, "/v1/trace/"+url.PathEscape(args[0]), func(d *json.Decoder) error {
				var events []trace.Event
				err := d.Decode(&events)
				all = append(all, events...)
				return err
			})
			if err != nil {
				return err
			}
			if all = trace.Merge(all); asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(all)
			}
			return printTrace(c, args[0], all)
		},
	}
	n.register(c)
	c.Flags().StringSliceVar(&logs, "logs", nil, "log files of gates and vaults to read instead; - is standard input")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func printTrace(c *cobra.Command, key string, events []trace.Event) error {
	if len(events) == 0 {
		c.Printf("no node remembers %s\n", key)
		return nil
	}
	t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	for _, e := range events {
		line := e.Time.UTC().Format(time.RFC3339Nano) + "\t" + e.Node + "\t" + e.Kind + "\t" + e.Customer + "/" + e.Program + "\t" + e.Key + "\t" + e.Detail + "\n"
		if _, err := t.Write([]byte(line)); err != nil {
			return err
		}
	}
	return t.Flush()
}
