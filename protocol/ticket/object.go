package ticket

import (
	"maps"
	"strings"

	"github.com/cowslipstage/cowslipstage/protocol/schema"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// Value returns an object, such as "service gate", or nil if it isn't there.
func Value(c *config.Config, object string) any {
	kind, name, _ := strings.Cut(object, " ")
	switch kind {
	case "operator":
		return found(c.Operators, name)
	case "customer":
		return found(c.Customers, name)
	case "model":
		return found(c.Models, name)
	case "endpoint":
		return found(c.Endpoints, name)
	case "service":
		return found(c.Services, name)
	case "operation":
		service, operation, _ := strings.Cut(name, "/")
		if v := c.Services[service]; v != nil {
			return found(v.Operations, operation)
		}
	}
	return nil
}

func found[T any](m map[string]*T, name string) any {
	if v := m[name]; v != nil {
		return v
	}
	return nil
}

// set makes a section's object what the section says.
func set(c *config.Config, p *schema.Part) {
	removed := p.Flag("remove")
	switch p.Kind() {
	case "operator":
		put(c.Operators, p.Name(), removed, &config.Operator{Token: p.Text("token")})
	case "customer":
		put(c.Customers, p.Name(), removed, customer(p))
	case "model":
		put(c.Models, p.Name(), removed, model(p))
	case "endpoint":
		put(c.Endpoints, p.Name(), removed, endpoint(p))
	case "service":
		v := service(p)
		if old := c.Services[p.Name()]; old != nil {
			v.Operations = old.Operations
		}
		put(c.Services, p.Name(), removed, v)
	case "operation":
		setOperation(c, p, removed)
	}
}

func setOperation(c *config.Config, p *schema.Part, removed bool) {
	name, operation, _ := strings.Cut(p.Name(), "/")
	old := c.Services[name]
	if old == nil {
		return
	}
	v := *old
	v.Operations = map[string]*config.Operation{}
	maps.Copy(v.Operations, old.Operations)
	put(v.Operations, operation, removed, &config.Operation{
		Idempotent: p.Flag("idempotent"), Timeout: p.Span("timeout"), Money: p.Count("money"),
	})
	c.Services[name] = &v
}

func customer(p *schema.Part) *config.Customer {
	return &config.Customer{
		Rate: p.Ratio("rate"), Burst: int(p.Count("burst")),
		Active: int(p.Count("active")), Token: p.Text("token"),
	}
}

func model(p *schema.Part) *config.Model {
	return &config.Model{
		Context: int(p.Count("context")), Versions: p.List("versions"),
		Adapters: p.List("adapters"), Size: p.Count("size"),
	}
}

func endpoint(p *schema.Part) *config.Endpoint {
	return &config.Endpoint{
		Kind: p.Text("kind"), Pool: p.Text("pool"), Addr: p.Text("addr"), Centre: p.Text("centre"),
		Fencing: p.Flag("fencing"), Tells: p.Flag("tells"), Role: p.Text("role"),
		Slots: int(p.Count("slots")), Memory: int(p.Count("memory")),
	}
}

func service(p *schema.Part) *config.Service {
	return &config.Service{
		Kind: p.Text("kind"), Pool: p.Text("pool"),
		Model: p.Text("model"), Adapter: p.Text("adapter"), Version: p.Text("version"),
		Tools: p.List("tools"), Tokens: p.Count("tokens"), Money: p.Count("money"),
		Turns: int(p.Count("turns")), Class: int(p.Count("class")), Output: int(p.Count("output")),
		Timeout: p.Span("timeout"), Idle: p.Span("idle"), Prompt: p.Text("prompt"),
		Objective: p.Span("objective"), Target: p.Ratio("target"),
		Rate: p.Ratio("rate"), Burst: int(p.Count("burst")), Active: int(p.Count("active")),
		Operations: map[string]*config.Operation{},
	}
}

func put[T any](m map[string]*T, name string, removed bool, value *T) {
	if removed {
		delete(m, name)
		return
	}
	m[name] = value
}

// clone copies the maps; objects are shared, since they are never changed.
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
