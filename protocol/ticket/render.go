package ticket

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cowslipstage/cowslipstage/state/config"
)

// Objects returns the names of all objects of a configuration, by kind and name.
func Objects(c *config.Config) []string {
	var names []string
	names = append(names, named("operator", c.Operators)...)
	names = append(names, named("customer", c.Customers)...)
	names = append(names, named("model", c.Models)...)
	names = append(names, named("endpoint", c.Endpoints)...)
	for _, service := range slices.Sorted(maps.Keys(c.Services)) {
		names = append(names, "service "+service)
		names = append(names, named("operation "+service+"/", c.Services[service].Operations)...)
	}
	return names
}

func named[T any](kind string, m map[string]*T) []string {
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

// Render returns an object as a ticket would set it, without keys that have
// their default; it returns "" for an object that isn't there.
func Render(c *config.Config, object string) string {
	values := values(Lookup(c, object))
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

// values returns an object's keys; it undoes set.
func values(object any) map[string]string {
	switch o := object.(type) {
	case *config.Operator:
		return map[string]string{"token": o.Token}
	case *config.Customer:
		return map[string]string{
			"token": o.Token, "rate": ratio(o.Rate), "burst": count(o.Burst), "active": count(o.Active),
		}
	case *config.Model:
		return map[string]string{
			"context": count(o.Context), "versions": strings.Join(o.Versions, ", "),
			"adapters": strings.Join(o.Adapters, ", "), "size": count(o.Size),
		}
	case *config.Endpoint:
		return map[string]string{
			"kind": o.Kind, "pool": o.Pool, "addr": o.Addr, "centre": o.Centre,
			"fencing": strconv.FormatBool(o.Fencing), "tells": strconv.FormatBool(o.Tells), "role": o.Role,
			"slots": count(o.Slots), "memory": count(o.Memory),
		}
	case *config.Service:
		return serviceValues(o)
	case *config.Operation:
		return map[string]string{
			"idempotent": strconv.FormatBool(o.Idempotent), "timeout": o.Timeout.String(), "money": count(o.Money),
		}
	}
	return nil
}

func serviceValues(o *config.Service) map[string]string {
	return map[string]string{
		"kind": o.Kind, "pool": o.Pool, "model": o.Model, "adapter": o.Adapter, "version": o.Version,
		"tools": strings.Join(o.Tools, ", "), "tokens": count(o.Tokens), "money": count(o.Money),
		"turns": count(o.Turns), "class": count(o.Class), "output": count(o.Output),
		"timeout": o.Timeout.String(), "idle": o.Idle.String(), "prompt": o.Prompt,
		"objective": o.Objective.String(), "target": ratio(o.Target),
		"rate": ratio(o.Rate), "burst": count(o.Burst), "active": count(o.Active),
	}
}

func count[N int | int64](n N) string { return strconv.FormatInt(int64(n), 10) }

func ratio(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// Diff returns what a change does to its objects: lines that go begin with
// "-", lines that come with "+".
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
