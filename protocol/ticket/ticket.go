// Package ticket (protocol layer) parses numbered change tickets in INI format
// and applies them to the configuration.
package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/protocol/schema"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// The errors of applying well-formed tickets.
var (
	// ErrRefused means that the ticket conflicts with another one or that the
	// configuration would be too large.
	ErrRefused = errors.New("ticket: refused")
	// ErrClosed means that the ticket's number is too low to be applied any more.
	ErrClosed = errors.New("ticket: number is closed")
)

// Ticket is one numbered change. It holds the complete new state of every object
// that it changes.
type Ticket struct {
	number uint64
	digest string
	file   *schema.File
	head   *schema.FileSection
}

// Parse parses a ticket; name is the file name used in errors. The error is a
// schema.CheckErrors with every problem of the text itself.
func Parse(name string, data []byte) (*Ticket, error) {
	f, err := schema.Read(name, data, Table())
	if err != nil {
		return nil, err
	}
	head := f.Section("ticket")
	if head == nil {
		return nil, schema.CheckErrors{{File: name, Line: 1, Section: "ticket", Text: "the section is missing; every ticket has a [ticket] with its number"}}
	}
	var problems schema.CheckErrors
	for _, s := range f.Sections() {
		problems = append(problems, checkKeys(f, s)...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return &Ticket{number: uint64(head.Int("number")), digest: digest(f), file: f, head: head}, nil
}

// checkKeys checks keys that are allowed only together or for one kind of service.
func checkKeys(f *schema.File, s *schema.FileSection) schema.CheckErrors {
	if s.Kind() != "service" || s.Bool("remove") {
		return nil
	}
	var problems schema.CheckErrors
	if (s.Duration("objective") > 0) != (s.Float("target") > 0) {
		problems = append(problems, f.Problem(s, "objective", "stands only together with target, both above 0"))
	}
	for _, key := range []string{"model", "adapter", "version", "tools", "prompt"} {
		if s.Text("kind") == "plain" && s.Has(key) {
			problems = append(problems, f.Problem(s, key, "is for services of kind model"))
		}
	}
	for _, key := range []string{"adapter", "version"} {
		if s.Has(key) && !s.Has("model") {
			problems = append(problems, f.Problem(s, key, "stands only together with model"))
		}
	}
	return problems
}

// digest returns a hash of a ticket's content that ignores comments and spacing.
func digest(f *schema.File) string {
	var lines []string
	for _, s := range f.Sections() {
		lines = append(lines, s.Canonical()...)
	}
	sort.Strings(lines)
	h := sha256.New()
	for _, l := range lines {
		_, _ = fmt.Fprintf(h, "%q\n", l)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestLength])
}

// digestLength is the number of bytes kept of a ticket's SHA-256.
const digestLength = 12

// Number returns the ticket's number.
func (t *Ticket) Number() uint64 { return t.number }

// Digest returns the hash of the ticket's content.
func (t *Ticket) Digest() string { return t.digest }

// Objects returns the names of the objects that the ticket sets or removes.
func (t *Ticket) Objects() []string {
	var names []string
	for _, s := range t.sections() {
		names = append(names, s.FullName())
	}
	return names
}

// sections returns the sections of objects in the order in which they are applied:
// services before their operations.
func (t *Ticket) sections() []*schema.FileSection {
	var objects []*schema.FileSection
	for _, s := range t.file.Sections() {
		if s != t.head {
			objects = append(objects, s)
		}
	}
	sort.SliceStable(objects, func(i, j int) bool {
		return objects[i].Kind() != "operation" && objects[j].Kind() == "operation"
	})
	return objects
}

// Apply returns the configuration after the ticket without modifying old. It
// returns old itself if the ticket was applied before.
func (t *Ticket) Apply(old *config.Config) (*config.Config, error) {
	if known, ok := old.Applied[t.number]; ok {
		if known.Digest == t.digest {
			return old, nil
		}
		return nil, refusedError("ticket %d: the number was used by another ticket, in force since revision %d", t.number, known.Revision)
	}
	next := clone(old)
	for _, s := range t.sections() {
		setObject(next, s)
	}
	if t.number <= old.ClosedThrough {
		return t.matchReplay(old, next)
	}
	if err := t.checkSuperseded(old); err != nil {
		return nil, err
	}
	if problems := t.checkReferences(old, next); len(problems) > 0 {
		return nil, problems
	}
	t.recordApplied(next)
	return next, t.checkSize(next)
}

// checkSuperseded refuses a ticket that changes an object which a ticket with the
// same or a higher number has set.
func (t *Ticket) checkSuperseded(old *config.Config) error {
	for _, s := range t.sections() {
		if setBy := old.Tickets[s.FullName()]; setBy >= t.number {
			return refusedError("%s", t.file.Problem(s, "", fmt.Sprintf("ticket %d lost: ticket %d set it already", t.number, setBy)))
		}
	}
	return nil
}

// matchReplay recognises an applied ticket whose number is no longer recorded: the
// objects that it was the last to set must equal its content, and there must be at
// least one.
func (t *Ticket) matchReplay(old, next *config.Config) (*config.Config, error) {
	seen := false
	for _, s := range t.sections() {
		setBy := old.Tickets[s.FullName()]
		switch {
		case setBy == t.number && sameObject(old, next, s.FullName()):
			seen = true
		case setBy > t.number:
		default:
			return nil, t.closedError(old)
		}
	}
	if !seen {
		return nil, t.closedError(old)
	}
	return old, nil
}

func (t *Ticket) closedError(old *config.Config) error {
	err := errors.Newf("ticket %d: numbers up to %d are closed; use a higher number", t.number, old.ClosedThrough)
	return errors.Mark(errors.Mark(err, ErrRefused), ErrClosed)
}

func refusedError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrRefused)
}

// recordApplied records the ticket in the configuration and drops the oldest
// records.
func (t *Ticket) recordApplied(c *config.Config) {
	c.Revision++
	for _, s := range t.sections() {
		c.Tickets[s.FullName()] = t.number
	}
	c.Applied[t.number] = config.Applied{
		Digest: t.digest, Author: t.head.Text("author"), Reason: t.head.Text("reason"), Revision: c.Revision,
	}
	for len(c.Applied) > config.MaxApplied {
		oldest := t.number
		for n := range c.Applied {
			oldest = min(oldest, n)
		}
		delete(c.Applied, oldest)
		c.ClosedThrough = max(c.ClosedThrough, oldest)
	}
	for object, n := range c.Tickets {
		// No ticket up to ClosedThrough can create the object again.
		if n <= c.ClosedThrough && Lookup(c, object) == nil {
			delete(c.Tickets, object)
		}
	}
}

func (t *Ticket) checkSize(c *config.Config) error {
	data, err := cbor.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "ticket: encoding")
	}
	if len(data) > config.MaxSize {
		return refusedError("ticket %d: the configuration would take %d bytes; at most %d are allowed", t.number, len(data), config.MaxSize)
	}
	return nil
}

func sameObject(a, b *config.Config, object string) bool {
	return reflect.DeepEqual(Lookup(a, object), Lookup(b, object))
}
