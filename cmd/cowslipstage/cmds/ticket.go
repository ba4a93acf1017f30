package cmds

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/node"
	"github.com/cowslipstage/cowslipstage/protocol/schema"
	"github.com/cowslipstage/cowslipstage/protocol/ticket"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// errInput means that files are invalid. Their problems were printed already.
var errInput = errors.New("wrong input")

// storeTimeout bounds one call to the key-value service.
const storeTimeout = 5 * time.Second

// storeFlags holds the flags that locate the key-value service.
type storeFlags struct {
	addr   string
	config string
}

func (f *storeFlags) register(c *cobra.Command) {
	c.PersistentFlags().StringVar(&f.addr, "store", "", "address of the key-value service (IP:port)")
	c.PersistentFlags().StringVar(&f.config, "config", "", "settings file that names the key-value service")
}

func (f *storeFlags) open() (*store.Client, error) {
	if f.addr != "" {
		return store.New(f.addr, storeTimeout), nil
	}
	if f.config == "" {
		return nil, errors.New("say where the key-value service is: --store IP:port or --config FILE")
	}
	s, err := setup.Load(f.config)
	if err != nil {
		return nil, err
	}
	return store.New(s.Store.Addr, storeTimeout), nil
}

// currentConfig returns the configuration in force.
func (f *storeFlags) currentConfig(ctx context.Context) (*config.Config, error) {
	s, err := f.open()
	if err != nil {
		return nil, err
	}
	return node.UpdateConfig(ctx, s, func(c *config.Config) (*config.Config, error) { return c, nil })
}

func ticketCommand() *cobra.Command {
	c := &cobra.Command{Use: "ticket", Short: "Apply and inspect change tickets"}
	f := &storeFlags{}
	f.register(c)
	c.AddCommand(applyCommand(f), showCommand(f), diffCommand(f), listCommand(f))
	return c
}

// loadTickets returns the tickets in files and folders, and a client for the
// key-value service.
func (f *storeFlags) loadTickets(c *cobra.Command, paths []string) ([]*ticket.Ticket, *store.Client, error) {
	all, err := readTickets(c, paths)
	if err != nil {
		return nil, nil, err
	}
	s, err := f.open()
	return all, s, err
}

func applyCommand(f *storeFlags) *cobra.Command {
	var dryRun bool
	c := &cobra.Command{
		Use:   "apply FILE|DIR...",
		Short: "Apply tickets that are not applied yet, by number",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			tickets, s, err := f.loadTickets(c, args)
			if err != nil {
				return err
			}
			if dryRun {
				return printChanges(c, s, tickets)
			}
			for _, t := range tickets {
				if err := applyTicket(c, s, t); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&dryRun, "dry-run", false, "print what would change, and change nothing")
	return c
}

// applyTicket puts one ticket in force. It skips a ticket whose number is closed,
// because that ticket was applied before.
func applyTicket(c *cobra.Command, s *store.Client, t *ticket.Ticket) error {
	alreadyApplied, reads := false, 0
	next, err := updateWithRetry(c.Context(), s, func(old *config.Config) (*config.Config, error) {
		next, err := t.Apply(old)
		// On a retry the ticket may be in force because this command's own write
		// took effect, so only the first read counts.
		reads++
		alreadyApplied = reads == 1 && err == nil && next == old
		return next, err
	})
	switch {
	case errors.Is(err, store.ErrUnknown):
		return errors.Wrapf(err, "ticket %d may be in force or not; apply it again", t.Number())
	case errors.Is(err, ticket.ErrClosed):
		c.Printf("ticket %d: skipped; its number is closed\n", t.Number())
		return nil
	case err != nil:
		return err
	case alreadyApplied:
		c.Printf("ticket %d: applied already\n", t.Number())
	default:
		c.Printf("ticket %d: in force from revision %d\n", t.Number(), next.Revision)
	}
	return nil
}

// maxUpdateTries bounds the tries of one update while its outcome is unknown.
const maxUpdateTries = 4

// updateWithRetry updates the configuration and repeats an update whose outcome is
// unknown. This is safe because tickets already in force are recognised.
func updateWithRetry(ctx context.Context, s *store.Client, edit func(*config.Config) (*config.Config, error)) (*config.Config, error) {
	return backoff.Retry(ctx, func() (*config.Config, error) {
		next, err := node.UpdateConfig(ctx, s, edit)
		if err != nil && !errors.Is(err, store.ErrUnknown) {
			return nil, backoff.Permanent(err)
		}
		return next, err
	}, backoff.WithMaxTries(maxUpdateTries))
}

// printChanges prints what the tickets would change, without applying them.
func printChanges(c *cobra.Command, s *store.Client, tickets []*ticket.Ticket) error {
	old, err := node.UpdateConfig(c.Context(), s, func(c *config.Config) (*config.Config, error) { return c, nil })
	if err != nil {
		return err
	}
	for _, t := range tickets {
		next, err := t.Apply(old)
		switch {
		case errors.Is(err, ticket.ErrClosed):
			c.Printf("ticket %d: would be skipped; its number is closed\n", t.Number())
			continue
		case err != nil:
			return err
		case next == old:
			c.Printf("ticket %d: applied already\n", t.Number())
		default:
			c.Printf("ticket %d: would change\n%s", t.Number(), ticket.Diff(old, next, t.Objects()))
		}
		old = next
	}
	return nil
}

// readTickets reads tickets from files and the *.ini files of folders, sorted by
// number. It prints all problems that it finds.
func readTickets(c *cobra.Command, args []string) ([]*ticket.Ticket, error) {
	files, err := expandFolders(args)
	if err != nil {
		return nil, err
	}
	var all []*ticket.Ticket
	fileOf := map[uint64]string{}
	invalid := false
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		t, err := ticket.Parse(file, data)
		if err != nil {
			invalid = true
			c.PrintErrln(err)
			continue
		}
		if earlier, ok := fileOf[t.Number()]; ok {
			invalid = true
			c.PrintErrln(schema.Problem{File: file, Line: 1, Section: "ticket", Key: "number", Text: "stands in " + earlier + " too; numbers must be unique"})
		}
		fileOf[t.Number()] = file
		all = append(all, t)
	}
	if invalid {
		return nil, errInput
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number() < all[j].Number() })
	return all, nil
}

// expandFolders replaces each folder by the *.ini files in it.
func expandFolders(args []string) ([]string, error) {
	var files []string
	for _, a := range args {
		info, err := os.Stat(a)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, a)
			continue
		}
		found, err := filepath.Glob(filepath.Join(a, "*.ini"))
		if err != nil {
			return nil, err
		}
		files = append(files, found...)
	}
	return files, nil
}

func showCommand(f *storeFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "show [OBJECT]",
		Short:   "Print the configuration in force, as a ticket would set it",
		Example: "  cowslipstage ticket show service gate",
		Args:    cobra.MaximumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			current, err := f.currentConfig(c.Context())
			if err != nil {
				return err
			}
			objects := ticket.Objects(current)
			if object := strings.Join(args, " "); object != "" {
				if !slices.Contains(objects, object) {
					return errors.Newf("no object is named %q; ticket show prints all", object)
				}
				objects = []string{object}
			}
			c.Printf("; revision %d\n", current.Revision)
			for _, o := range objects {
				c.Printf("\n; set by ticket %d\n%s", current.Tickets[o], ticket.Render(current, o))
			}
			return nil
		},
	}
}

func diffCommand(f *storeFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Print what a ticket would change, and change nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			tickets, s, err := f.loadTickets(c, args)
			if err != nil {
				return err
			}
			return printChanges(c, s, tickets)
		},
	}
}

func listCommand(f *storeFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the accepted tickets",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			current, err := f.currentConfig(c.Context())
			if err != nil {
				return err
			}
			if current.ClosedThrough > 0 {
				c.Printf("numbers up to %d are closed\n", current.ClosedThrough)
			}
			for _, n := range slices.Sorted(maps.Keys(current.Applied)) {
				a := current.Applied[n]
				c.Println(strings.TrimSpace(fmt.Sprintf("%d\trevision %d\t%s\t%s\t%s", n, a.Revision, a.Digest, a.Author, a.Reason)))
			}
			return nil
		},
	}
}
