// Command soak runs real gates and vaults under faults and reports which promises
// were broken. It is a tool for developers and no part of the product.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/bench/soak"
)

var errPromisesBroken = errors.New("promises were broken")

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	o := soak.Options{}
	var seeds uint64
	c := &cobra.Command{
		Use:           "soak",
		Short:         "Run gates and vaults under faults and check what callers and endpoints see",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: false,
		RunE: func(c *cobra.Command, _ []string) error {
			binary, err := filepath.Abs(o.Binary)
			if err != nil {
				return err
			}
			o.Binary = binary
			if o.Before != "" {
				if o.Before, err = filepath.Abs(o.Before); err != nil {
					return err
				}
			}
			folder := o.Folder
			broken := 0
			for range seeds {
				o.Folder = filepath.Join(folder, fmt.Sprint("seed-", o.Seed))
				if err := os.MkdirAll(o.Folder, 0o700); err != nil {
					return err
				}
				r, err := soak.Run(o)
				if err != nil {
					return errors.Wrapf(err, "seed %d", o.Seed)
				}
				printReport(c, r)
				if broken += len(r.Violations); len(r.Violations) == 0 {
					if err := os.RemoveAll(o.Folder); err != nil {
						return err
					}
				}
				o.Seed++
			}
			if broken > 0 {
				return errors.Wrapf(errPromisesBroken, "%d, logs in %s", broken, folder)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&o.Seed, "seed", uint64(time.Now().UnixNano()%1e6), "first seed")
	c.Flags().Uint64Var(&seeds, "seeds", 1, "how many seeds, one after the other")
	c.Flags().DurationVar(&o.For, "for", 20*time.Second, "how long things go wrong, for each seed")
	c.Flags().IntVar(&o.Callers, "callers", 8, "callers at once")
	c.Flags().BoolVar(&o.Quotas, "quotas", false, "set and check the quota of one customer; not with --before")
	c.Flags().BoolVar(&o.Planned, "planned", false, "only what operators do themselves; requests take longer, and programs pause")
	c.Flags().BoolVar(&o.Pauses, "pauses", false, "programs pause between turns for nearly as long as a turn is kept")
	c.Flags().BoolVar(&o.Crowds, "crowds", false, "clients that don't behave press against gates and vaults")
	c.Flags().IntVar(&o.Losses, "losses", 1, "disks that may be lost at once; there are 2N+1 seats")
	c.Flags().IntVar(&o.Spares, "spares", 0, "vaults without a seat at first; with any, seats change hands")
	c.Flags().StringVar(&o.Binary, "binary", "target/cowslipstage", "the program under test")
	c.Flags().StringVar(&o.Before, "before", "", "the build before; hosts are upgraded from it one after the other, back, and forward again")
	c.Flags().StringVar(&o.Folder, "folder", filepath.Join(os.TempDir(), "soak"), "where data and logs go; kept where a promise was broken")
	return c
}

// printReport prints the result of one run, its faults and its broken promises.
func printReport(c *cobra.Command, r *soak.Report) {
	c.Println(r)
	var kinds []string
	for k, n := range r.Faults {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(kinds)
	c.Println("  faults:", strings.Join(kinds, ", "))
	for _, b := range r.Violations {
		c.Println("  " + b)
	}
}
