package ticket

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/cowslipstage/cowslipstage/protocol/schema"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// danglingRef is a reference to an object that does not exist or does not fit.
type danglingRef struct {
	// object and key locate the reference.
	object string
	key    string
	// target is the missing object, "" if any of several objects would resolve the
	// reference.
	target string
	text   string
}

// checkReferences returns the problems of the references that would be dangling
// after the ticket.
func (t *Ticket) checkReferences(old, c *config.Config) schema.CheckErrors {
	var problems schema.CheckErrors
	for _, s := range t.sections() {
		service, _, _ := strings.Cut(s.Name(), "/")
		if s.Kind() == "operation" && !s.Bool("remove") && c.Services[service] == nil {
			problems = append(problems, t.file.Problem(s, "", "no service is named "+service+"; declare [service "+service+"]"))
		}
	}
	for _, d := range findDangling(c) {
		s, key := t.sectionToBlame(d)
		text := d.text
		if s.FullName() != d.object {
			text = fmt.Sprintf("[%s] %s: %s", d.object, d.key, d.text)
		}
		problems = append(problems, t.file.Problem(s, key, text))
	}
	for _, s := range t.sections() {
		problems = append(problems, t.remainingOperations(old, s)...)
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
	return problems
}

// remainingOperations returns a problem for each operation of a removed service that
// the ticket does not list: operations are never removed implicitly.
func (t *Ticket) remainingOperations(old *config.Config, s *schema.FileSection) schema.CheckErrors {
	v := old.Services[s.Name()]
	if s.Kind() != "service" || !s.Bool("remove") || v == nil {
		return nil
	}
	var problems schema.CheckErrors
	for operation := range v.Operations {
		object := "operation " + s.Name() + "/" + operation
		if !slices.Contains(t.Objects(), object) {
			problems = append(problems, t.file.Problem(s, "remove", "has ["+object+"] still; remove it in the same ticket"))
		}
	}
	sort.Slice(problems, func(i, j int) bool { return problems[i].Text < problems[j].Text })
	return problems
}

// sectionToBlame returns the ticket's section and key that best explain a dangling
// reference.
func (t *Ticket) sectionToBlame(d danglingRef) (*schema.FileSection, string) {
	for _, name := range []string{d.object, d.target} {
		if s := t.file.Section(name); name != "" && s != nil {
			if name == d.object {
				return s, d.key
			}
			return s, ""
		}
	}
	for _, s := range t.sections() {
		if s.Bool("remove") {
			return s, "remove"
		}
	}
	return t.head, ""
}

// findDangling returns every dangling reference of a configuration, sorted by object.
func findDangling(c *config.Config) []danglingRef {
	pools := map[string]string{}
	var dangling []danglingRef
	for _, name := range slices.Sorted(maps.Keys(c.Endpoints)) {
		e := c.Endpoints[name]
		if kind, ok := pools[e.Pool]; ok && kind != e.Kind {
			dangling = append(dangling, danglingRef{"endpoint " + name, "kind", "", "the other endpoints of pool " + e.Pool + " are of kind " + kind})
		}
		pools[e.Pool] = e.Kind
	}
	for name, v := range c.Services {
		object := "service " + name
		dangling = append(dangling, checkPool(object, v, pools)...)
		dangling = append(dangling, checkModel(object, v, c.Models)...)
		for _, tool := range v.Tools {
			service, operation, _ := strings.Cut(tool, "/")
			if s := c.Services[service]; s == nil || s.Operations[operation] == nil {
				dangling = append(dangling, danglingRef{object, "tools", "operation " + tool, "no operation is named " + tool + "; declare [operation " + tool + "]"})
			}
		}
		if v.Kind != "plain" && len(v.Operations) > 0 {
			dangling = append(dangling, danglingRef{object, "kind", "", "has operations, so it must be plain"})
		}
	}
	sort.SliceStable(dangling, func(i, j int) bool { return dangling[i].object < dangling[j].object })
	return dangling
}

// checkPool checks that a service's pool has endpoints of the required kind.
func checkPool(object string, v *config.Service, pools map[string]string) []danglingRef {
	need := "engine"
	if v.Kind == "plain" {
		need = "desk"
	}
	kind, ok := pools[v.Pool]
	switch {
	case !ok:
		return []danglingRef{{object, "pool", "", "no endpoint is in pool " + v.Pool + "; declare an [endpoint NAME] with it"}}
	case kind != need:
		return []danglingRef{{object, "pool", "", "pool " + v.Pool + " has endpoints of kind " + kind + "; " + need + " is needed"}}
	}
	return nil
}

func checkModel(object string, v *config.Service, models map[string]*config.Model) []danglingRef {
	if v.Model == "" {
		return nil
	}
	m := models[v.Model]
	target := "model " + v.Model
	if m == nil {
		return []danglingRef{{object, "model", target, "no model is named " + v.Model + "; declare [" + target + "]"}}
	}
	var dangling []danglingRef
	if v.Version != "" && !slices.Contains(m.Versions, v.Version) {
		dangling = append(dangling, danglingRef{object, "version", target, "the model has no version " + v.Version + "; it has " + strings.Join(m.Versions, ", ")})
	}
	if v.Adapter != "" && !slices.Contains(m.Adapters, v.Adapter) {
		dangling = append(dangling, danglingRef{object, "adapter", target, "the model has no adapter " + v.Adapter + "; it has " + strings.Join(m.Adapters, ", ")})
	}
	return dangling
}
