// Package ticket (protocol layer) reads numbered change tickets in INI and
// applies them to the configuration.
package ticket

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/cowslipstage/cowslipstage/state/config"
)

// ErrRefused means that a ticket lost against a later one.
var ErrRefused = errors.New("ticket: refused")

// Ticket is one numbered change with the whole new state of all it touches.
type Ticket struct {
	number uint64
	digest string
	file   *ini.File
}

// Parse reads a ticket; name is its file's name, for errors.
func Parse(name string, data []byte) (*Ticket, error) {
	f, err := ini.LoadSources(ini.LoadOptions{}, data)
	if err != nil {
		return nil, errors.Wrapf(err, "ticket: %s", name)
	}
	number, err := f.Section("ticket").Key("number").Uint64()
	if err != nil || number == 0 {
		return nil, errors.Newf("%s: [ticket] number: must be a number from 1", name)
	}
	digest := strconv.FormatUint(xxhash.Sum64(data), 16)
	return &Ticket{number: number, digest: digest, file: f}, nil
}

// Number returns the ticket's number.
func (t *Ticket) Number() uint64 { return t.number }

// Apply returns the configuration after the ticket; old is not changed. A
// ticket that was applied before gives old itself.
func (t *Ticket) Apply(old *config.Config) (*config.Config, error) {
	if d, ok := old.Applied[t.number]; ok {
		if d == t.digest {
			return old, nil
		}
		return nil, errors.Mark(errors.Newf("ticket %d: the number was used by another ticket", t.number), ErrRefused)
	}
	next := clone(old)
	for _, s := range t.file.Sections() {
		kind, name, ok := strings.Cut(s.Name(), " ")
		if !ok {
			continue
		}
		if won := old.Tickets[s.Name()]; won >= t.number {
			return nil, errors.Mark(errors.Newf("ticket %d: [%s] was set by ticket %d", t.number, s.Name(), won), ErrRefused)
		}
		next.Tickets[s.Name()] = t.number
		if err := set(next, kind, name, s); err != nil {
			return nil, err
		}
	}
	next.Revision++
	next.Applied[t.number] = t.digest
	return next, nil
}

func set(c *config.Config, kind, name string, s *ini.Section) error {
	remove := s.Key("remove").MustBool(false)
	switch kind {
	case "service":
		put(c.Services, name, remove, service(s))
	case "endpoint":
		put(c.Endpoints, name, remove, &config.Endpoint{
			Pool: s.Key("pool").String(), Kind: s.Key("kind").In("engine", []string{"desk"}),
			Addr: s.Key("addr").String(), Centre: s.Key("centre").String(),
			Fencing: s.Key("fencing").MustBool(false), Slots: s.Key("slots").MustInt(0),
		})
	case "customer":
		put(c.Customers, name, remove, &config.Customer{Rate: s.Key("rate").MustFloat64(0)})
	case "operation":
		up, op, _ := strings.Cut(name, "/")
		v := c.Services[up]
		if v == nil {
			return errors.Newf("[%s]: no service %s", s.Name(), up)
		}
		put(v.Operations, op, remove, &config.Operation{
			Idempotent: s.Key("idempotent").MustBool(false),
			Timeout:    s.Key("timeout").MustDuration(10 * time.Second),
			Money:      s.Key("money").MustInt64(0),
		})
	}
	return nil
}

func service(s *ini.Section) *config.Service {
	return &config.Service{
		Kind: s.Key("kind").In("model", []string{"plain"}), Pool: s.Key("pool").String(),
		Model: s.Key("model").String(), Adapter: s.Key("adapter").String(),
		Version: s.Key("version").String(), Tools: s.Key("tools").Strings(","),
		Tokens: s.Key("tokens").MustInt64(0), Money: s.Key("money").MustInt64(0),
		Turns: s.Key("turns").MustInt(0), Class: s.Key("class").MustInt(1),
		Output: s.Key("output").MustInt(0), Timeout: s.Key("timeout").MustDuration(0),
		Idle: s.Key("idle").MustDuration(0), Prompt: s.Key("prompt").String(),
		Operations: map[string]*config.Operation{},
	}
}

func put[T any](m map[string]*T, name string, remove bool, value *T) {
	if remove {
		delete(m, name)
		return
	}
	m[name] = value
}

func clone(c *config.Config) *config.Config {
	n := config.New()
	n.Revision = c.Revision
	copyMap(n.Services, c.Services)
	copyMap(n.Endpoints, c.Endpoints)
	copyMap(n.Customers, c.Customers)
	copyMap(n.Models, c.Models)
	copyMap(n.Tickets, c.Tickets)
	copyMap(n.Applied, c.Applied)
	return n
}

func copyMap[K comparable, V any](to, from map[K]V) {
	for k, v := range from {
		to[k] = v
	}
}
