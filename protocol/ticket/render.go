package ticket

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cowslipstage/cowslipstage/state/config"
)

// Objects returns the names of all objects of a configuration, sorted by kind and
// name.
func Objects(c *config.Config) []string {
	var names []string
	names = append(names, objectNames("operator", c.Operators)...)
	names = append(names, objectNames("customer", c.Customers)...)
	names = append(names, objectNames("model", c.Models)...)
	names = append(names, objectNames("endpoint", c.Endpoints)...)
	for _, service := range slices.Sorted(maps.Keys(c.Services)) {
		names = append(names, "service "+service)
		names = append(names, objectNames("operation "+service+"/", c.Services[service].Operations)...)
	}
	return names
}

func objectNames[T any](kind string, m map[string]*T) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if strings.HasSuffix(kind, "/") {
			names = append(names, kind+name)
			continue
		}
		names = append(names, kind+" "+name)
	}
	return names
}

// Render returns an object as a ticket section, without keys that have their
// default value. It returns "" for a missing object.
func Render(c *config.Config, object string) string {
	values := keyValues(Lookup(c, object))
	if values == nil {
		return ""
	}
	kind, _, _ := strings.Cut(object, " ")
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]\n", object)
	for _, k := range Table().Section(kind).Keys {
		v := values[k.Name]
		if v == "" || v == k.Default && !k.Required {
			continue
		}
		if strings.Contains(v, "\n") {
			v = `"""` + v + `"""`
		}
		fmt.Fprintf(&b, "%s = %s\n", k.Name, v)
	}
	return b.String()
}

// keyValues returns an object's values by ticket key; it undoes setObject.
func keyValues(object any) map[string]string {
	switch o := object.(type) {
	case *config.Operator:
		return map[string]string{"token": o.Token}
	case *config.Customer:
		return map[string]string{
			"token": o.Token, "rate": formatFloat(o.Rate), "burst": formatInt(o.Burst), "active": formatInt(o.Active),
		}
	case *config.Model:
		return map[string]string{
			"context": formatInt(o.Context), "versions": strings.Join(o.Versions, ", "),
			"adapters": strings.Join(o.Adapters, ", "), "size": formatInt(o.Size),
		}
	case *config.Endpoint:
		return map[string]string{
			"kind": o.Kind, "pool": o.Pool, "addr": o.Addr, "centre": o.Centre,
			"fencing": strconv.FormatBool(o.Fencing), "tells": strconv.FormatBool(o.Tells), "role": o.Role,
			"slots": formatInt(o.Slots), "memory": formatInt(o.Memory),
		}
	case *config.Service:
		return serviceValues(o)
	case *config.Operation:
		return map[string]string{
			"idempotent": strconv.FormatBool(o.Idempotent), "timeout": o.Timeout.String(), "money": formatInt(o.Money),
		}
	}
	return nil
}

func serviceValues(o *config.Service) map[string]string {
	return map[string]string{
		"kind": o.Kind, "pool": o.Pool, "model": o.Model, "adapter": o.Adapter, "version": o.Version,
		"tools": strings.Join(o.Tools, ", "), "tokens": formatInt(o.Tokens), "money": formatInt(o.Money),
		"turns": formatInt(o.Turns), "class": formatInt(o.Class), "output": formatInt(o.Output),
		"timeout": o.Timeout.String(), "idle": o.Idle.String(), "prompt": o.Prompt,
		"objective": o.Objective.String(), "target": formatFloat(o.Target),
		"rate": formatFloat(o.Rate), "burst": formatInt(o.Burst), "active": formatInt(o.Active),
	}
}

func formatInt[N int | int64](n N) string { return strconv.FormatInt(int64(n), 10) }

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// Diff returns the changes to objects between two configurations as lines: removed
// lines begin with "-", added lines with "+".
func Diff(old, next *config.Config, objects []string) string {
	var b strings.Builder
	for _, object := range objects {
		before, after := lines(old, object), lines(next, object)
		if slices.Equal(before, after) {
			continue
		}
		fmt.Fprintf(&b, "[%s]\n", object)
		for _, l := range before {
			if !slices.Contains(after, l) {
				fmt.Fprintf(&b, "- %s\n", l)
			}
		}
		for _, l := range after {
			if !slices.Contains(before, l) {
				fmt.Fprintf(&b, "+ %s\n", l)
			}
		}
	}
	return b.String()
}

func lines(c *config.Config, object string) []string {
	text := strings.TrimSuffix(Render(c, object), "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}
