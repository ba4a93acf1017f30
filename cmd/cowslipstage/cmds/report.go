package cmds

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/bench/report"
	"github.com/cowslipstage/cowslipstage/state/burn"
)

// queryTimeout bounds one request to a node.
const queryTimeout = 10 * time.Second

// nodeFlags holds the flags that select the nodes to query.
type nodeFlags struct {
	addrs []string
	token string
}

func (n *nodeFlags) register(c *cobra.Command) {
	c.Flags().StringSliceVar(&n.addrs, "nodes", nil, "addresses of the nodes for callers (IP:port,...)")
	c.Flags().StringVar(&n.token, "token-file", "", "file that holds the operator's bearer token")
}

// query requests path from each node and passes each JSON answer to decode. It
// prints the nodes that fail, and returns an error only if all fail.
func (n *nodeFlags) query(c *cobra.Command, path string, decode func(*json.Decoder) error) error {
	token := ""
	if n.token != "" {
		data, err := os.ReadFile(n.token)
		if err != nil {
			return err
		}
		token = strings.TrimSpace(string(data))
	}
	var lastErr error
	answered := 0
	for _, addr := range n.addrs {
		if err := get(c.Context(), "http://"+addr+path, token, decode); err != nil {
			c.PrintErrf("%s: %s\n", addr, err)
			lastErr = err
			continue
		}
		answered++
	}
	if answered == 0 {
		return lastErr
	}
	return nil
}

func get(ctx context.Context, url, token string, decode func(*json.Decoder) error) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("answered %s", response.Status)
	}
	return decode(json.NewDecoder(response.Body))
}

func reportCommand() *cobra.Command {
	var n nodeFlags
	var asJSON bool
	var page string
	c := &cobra.Command{
		Use:   "report [--nodes IP:port,...] [FILE...]",
		Short: "Report how fast services use their budget of missed objectives up",
		Long: "Report merges what nodes tell with reports saved by --json, and prints for each\n" +
			"service and customer the burn over several windows, the budget left, and calls\n" +
			"that spent it.",
		RunE: func(c *cobra.Command, files []string) error {
			if len(n.addrs)+len(files) == 0 {
				return errors.New("name nodes by --nodes, or saved reports")
			}
			merged, err := collectReports(c, &n, files)
			if err != nil {
				return err
			}
			if page != "" {
				if err := savePage(page, merged); err != nil {
					return err
				}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(merged)
			}
			return report.Text(c.OutOrStdout(), merged)
		},
	}
	n.register(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON, which report reads again")
	c.Flags().StringVar(&page, "html", "", "write a page with plots to this file")
	return c
}

func collectReports(c *cobra.Command, n *nodeFlags, files []string) (burn.Report, error) {
	var all []burn.Report
	add := func(d *json.Decoder) error {
		var r burn.Report
		if err := d.Decode(&r); err != nil {
			return errors.Wrap(err, "unreadable report")
		}
		all = append(all, r)
		return nil
	}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return burn.Report{}, err
		}
		err = add(json.NewDecoder(f))
		_ = f.Close()
		if err != nil {
			return burn.Report{}, errors.Wrap(err, file)
		}
	}
	if err := n.query(c, "/v1/report", add); err != nil {
		return burn.Report{}, err
	}
	return burn.Merge(all...)
}

func savePage(file string, r burn.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	err = report.HTML(f, r)
	return errors.CombineErrors(err, f.Close())
}
