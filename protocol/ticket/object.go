package ticket

import (
	"maps"
	"strings"

	"github.com/cowslipstage/cowslipstage/protocol/schema"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// Lookup returns the object with a name such as "service gate", nil if there is
// none.
func Lookup(c *config.Config, object string) any {
	kind, name, _ := strings.Cut(object, " ")
	switch kind {
	case "operator":
		return objectOrNil(c.Operators, name)
	case "customer":
		return objectOrNil(c.Customers, name)
	case "model":
		return objectOrNil(c.Models, name)
	case "endpoint":
		return objectOrNil(c.Endpoints, name)
	case "service":
		return objectOrNil(c.Services, name)
	case "operation":
		service, operation, _ := strings.Cut(name, "/")
		if v := c.Services[service]; v != nil {
			return objectOrNil(v.Operations, operation)
		}
	}
	return nil
}

// objectOrNil returns a nil interface for a missing object, not a nil pointer in an
// interface.
func objectOrNil[T any](m map[string]*T, name string) any {
	if v := m[name]; v != nil {
		return v
	}
	return nil
}

// setObject sets or removes a section's object.
func setObject(c *config.Config, s *schema.FileSection) {
	removed := s.Bool("remove")
	switch s.Kind() {
	case "operator":
		putOrDelete(c.Operators, s.Name(), removed, &config.Operator{Token: s.Text("token")})
	case "customer":
		putOrDelete(c.Customers, s.Name(), removed, customer(s))
	case "model":
		putOrDelete(c.Models, s.Name(), removed, model(s))
	case "endpoint":
		putOrDelete(c.Endpoints, s.Name(), removed, endpoint(s))
	case "service":
		v := service(s)
		if old := c.Services[s.Name()]; old != nil {
			v.Operations = old.Operations
		}
		putOrDelete(c.Services, s.Name(), removed, v)
	case "operation":
		setOperation(c, s, removed)
	}
}

func setOperation(c *config.Config, s *schema.FileSection, removed bool) {
	name, operation, _ := strings.Cut(s.Name(), "/")
	old := c.Services[name]
	if old == nil {
		return
	}
	v := *old
	v.Operations = map[string]*config.Operation{}
	maps.Copy(v.Operations, old.Operations)
	putOrDelete(v.Operations, operation, removed, &config.Operation{
		Idempotent: s.Bool("idempotent"), Timeout: s.Duration("timeout"), Money: s.Int("money"),
	})
	c.Services[name] = &v
}

func customer(s *schema.FileSection) *config.Customer {
	return &config.Customer{
		Rate: s.Float("rate"), Burst: int(s.Int("burst")),
		Active: int(s.Int("active")), Token: s.Text("token"),
	}
}

func model(s *schema.FileSection) *config.Model {
	return &config.Model{
		Context: int(s.Int("context")), Versions: s.List("versions"),
		Adapters: s.List("adapters"), Size: s.Int("size"),
	}
}

func endpoint(s *schema.FileSection) *config.Endpoint {
	return &config.Endpoint{
		Kind: s.Text("kind"), Pool: s.Text("pool"), Addr: s.Text("addr"), Centre: s.Text("centre"),
		Fencing: s.Bool("fencing"), Tells: s.Bool("tells"), Role: s.Text("role"),
		Slots: int(s.Int("slots")), Memory: int(s.Int("memory")),
	}
}

func service(s *schema.FileSection) *config.Service {
	return &config.Service{
		Kind: s.Text("kind"), Pool: s.Text("pool"),
		Model: s.Text("model"), Adapter: s.Text("adapter"), Version: s.Text("version"),
		Tools: s.List("tools"), Tokens: s.Int("tokens"), Money: s.Int("money"),
		Turns: int(s.Int("turns")), Class: int(s.Int("class")), Output: int(s.Int("output")),
		Timeout: s.Duration("timeout"), Idle: s.Duration("idle"), Prompt: s.Text("prompt"),
		Objective: s.Duration("objective"), Target: s.Float("target"),
		Rate: s.Float("rate"), Burst: int(s.Int("burst")), Active: int(s.Int("active")),
		Operations: map[string]*config.Operation{},
	}
}

func putOrDelete[T any](m map[string]*T, name string, removed bool, value *T) {
	if removed {
		delete(m, name)
		return
	}
	m[name] = value
}

// clone returns a copy with its own maps. The objects are shared because they are
// never modified.
func clone(c *config.Config) *config.Config {
	n := config.New()
	n.Revision, n.ClosedThrough = c.Revision, c.ClosedThrough
	maps.Copy(n.Services, c.Services)
	maps.Copy(n.Endpoints, c.Endpoints)
	maps.Copy(n.Customers, c.Customers)
	maps.Copy(n.Models, c.Models)
	maps.Copy(n.Operators, c.Operators)
	maps.Copy(n.Tickets, c.Tickets)
	maps.Copy(n.Applied, c.Applied)
	return n
}
