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
func setObject(c *config.Config, p *schema.FileSection) {
	removed := p.Bool("remove")
	switch p.Kind() {
	case "operator":
		putOrDelete(c.Operators, p.Name(), removed, &config.Operator{Token: p.Text("token")})
	case "customer":
		putOrDelete(c.Customers, p.Name(), removed, customer(p))
	case "model":
		putOrDelete(c.Models, p.Name(), removed, model(p))
	case "endpoint":
		putOrDelete(c.Endpoints, p.Name(), removed, endpoint(p))
	case "service":
		v := service(p)
		if old := c.Services[p.Name()]; old != nil {
			v.Operations = old.Operations
		}
		putOrDelete(c.Services, p.Name(), removed, v)
	case "operation":
		setOperation(c, p, removed)
	}
}

func setOperation(c *config.Config, p *schema.FileSection, removed bool) {
	name, operation, _ := strings.Cut(p.Name(), "/")
	old := c.Services[name]
	if old == nil {
		return
	}
	v := *old
	v.Operations = map[string]*config.Operation{}
	maps.Copy(v.Operations, old.Operations)
	putOrDelete(v.Operations, operation, removed, &config.Operation{
		Idempotent: p.Bool("idempotent"), Timeout: p.Duration("timeout"), Money: p.Int("money"),
	})
	c.Services[name] = &v
}

func customer(p *schema.FileSection) *config.Customer {
	return &config.Customer{
		Rate: p.Float("rate"), Burst: int(p.Int("burst")),
		Active: int(p.Int("active")), Token: p.Text("token"),
	}
}

func model(p *schema.FileSection) *config.Model {
	return &config.Model{
		Context: int(p.Int("context")), Versions: p.List("versions"),
		Adapters: p.List("adapters"), Size: p.Int("size"),
	}
}

func endpoint(p *schema.FileSection) *config.Endpoint {
	return &config.Endpoint{
		Kind: p.Text("kind"), Pool: p.Text("pool"), Addr: p.Text("addr"), Centre: p.Text("centre"),
		Fencing: p.Bool("fencing"), Tells: p.Bool("tells"), Role: p.Text("role"),
		Slots: int(p.Int("slots")), Memory: int(p.Int("memory")),
	}
}

func service(p *schema.FileSection) *config.Service {
	return &config.Service{
		Kind: p.Text("kind"), Pool: p.Text("pool"),
		Model: p.Text("model"), Adapter: p.Text("adapter"), Version: p.Text("version"),
		Tools: p.List("tools"), Tokens: p.Int("tokens"), Money: p.Int("money"),
		Turns: int(p.Int("turns")), Class: int(p.Int("class")), Output: int(p.Int("output")),
		Timeout: p.Duration("timeout"), Idle: p.Duration("idle"), Prompt: p.Text("prompt"),
		Objective: p.Duration("objective"), Target: p.Float("target"),
		Rate: p.Float("rate"), Burst: int(p.Int("burst")), Active: int(p.Int("active")),
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
