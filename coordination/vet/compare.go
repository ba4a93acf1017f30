package vet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cowslipstage/cowslipstage/state/table"
)

// field is one named value of an object, as text.
type field struct{ name, value string }

// object is what two configurations are compared by.
type object struct {
	label  string
	fields []field
}

// Compare returns what changes in meaning from one draft to another. Routes are the same
// if host and prefix are, services and customers if their names are; the order in the
// files does not count. Of two entries for the same object the one that is used counts.
func Compare(before, after *Draft) []Difference {
	d := compareObjects(before.routes(), after.routes())
	d = append(d, compareObjects(before.services(), after.services())...)
	d = append(d, compareFields("customers", []field{{"requests need a key", strconv.FormatBool(before.NeedsKeys)}},
		[]field{{"requests need a key", strconv.FormatBool(after.NeedsKeys)}})...)
	customers := append(compareObjects(before.customers(), after.customers()), compareKeys(before, after)...)
	slices.SortStableFunc(customers, func(a, b Difference) int { return cmp.Compare(a.Object, b.Object) })
	d = append(d, customers...)
	return append(d, compareFields("limits", limitFields(before.Limits), limitFields(after.Limits))...)
}

// compareObjects compares objects by their keys, in the order of the keys.
func compareObjects(before, after map[string]object) []Difference {
	all := maps.Clone(before)
	maps.Copy(all, after)
	var d []Difference
	for _, k := range slices.Sorted(maps.Keys(all)) {
		b, existed := before[k]
		a, exists := after[k]
		switch {
		case !exists:
			d = append(d, Difference{Object: b.label, Change: "removed"})
		case !existed:
			d = append(d, Difference{Object: a.label, Change: "added"})
		default:
			d = append(d, compareFields(a.label, b.fields, a.fields)...)
		}
	}
	return d
}

// compareFields compares two lists with the same names.
func compareFields(label string, before, after []field) []Difference {
	var d []Difference
	for i, a := range after {
		if b := before[i]; b.value != a.value {
			d = append(d, Difference{Object: label, Change: "changed", Field: a.name, Before: b.value, After: a.value})
		}
	}
	return d
}

func (d *Draft) routes() map[string]object {
	all := map[string]object{}
	for i := range d.Routes {
		r := &d.Routes[i]
		k := r.Host + " " + r.Prefix
		if _, ok := all[k]; ok {
			continue // the first route of a host and prefix matches
		}
		kind := [...]string{table.Idempotent: "repeatable", table.Unsafe: "at most once", table.Stream: "streaming"}[r.Kind]
		if r.UnknownKind {
			kind = "unknown"
		}
		all[k] = object{r.Label(), []field{
			{"name", strconv.Quote(r.Name)},
			{"kind", kind},
			{"timeout", r.Timeout.String()},
			{"target latency", r.FirstByteTarget.String()},
			{"attempts", strconv.Itoa(max(1, r.Attempts))},
			{"priority", strconv.Itoa(r.Priority)},
			{"services", describeShares(r.Shares)},
			{"stored turns", strconv.FormatBool(r.KeepsTurns)},
			{"retention", r.Retention.String()},
			{"public", strconv.FormatBool(r.Public)},
			{"resumable", strconv.FormatBool(r.Resumable)},
			{"target gap", r.GapTarget.String()},
		}}
	}
	return all
}

// describeShares returns the percentage of each service, by name, so that weights of 9 and
// 1 are the same as 90 and 10.
func describeShares(shares []table.Share) string {
	weights, total := map[string]int{}, 0
	for _, s := range shares {
		if s.Weight > 0 {
			weights[s.Service] += s.Weight
			total += s.Weight
		}
	}
	if total == 0 {
		return "none"
	}
	var parts []string
	for _, s := range slices.Sorted(maps.Keys(weights)) {
		parts = append(parts, fmt.Sprintf("%s %.6g%%", s, 100*float64(weights[s])/float64(total)))
	}
	return strings.Join(parts, ", ")
}

func (d *Draft) services() map[string]object {
	all := map[string]object{}
	for i := range d.Services {
		s := &d.Services[i]
		all[s.Name] = object{s.label(), []field{
			{"connections", strconv.Itoa(s.Conns)},
			{"slots", strconv.Itoa(s.Slots)},
			{"memory", strconv.Itoa(s.Memory)},
			{"tokens per event", strconv.Itoa(s.TokensPerEvent)},
		}}
	}
	return all
}

func (d *Draft) customers() map[string]object {
	all := map[string]object{}
	for i := range d.Customers {
		c := &d.Customers[i]
		priority := "the route's"
		if c.Priority != nil {
			priority = strconv.Itoa(*c.Priority)
		}
		all[c.Name] = object{c.label(), []field{
			{"rate", formatNumber(c.Rate)},
			{"burst", formatNumber(c.Burst)},
			{"priority", priority},
		}}
	}
	return all
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'g', -1, 64) }

// keysOf returns the set of keys of each customer.
func (d *Draft) keysOf() map[string]map[Digest]bool {
	all := map[string]map[Digest]bool{}
	for _, c := range d.Customers {
		if all[c.Name] == nil {
			all[c.Name] = map[Digest]bool{}
		}
		for _, k := range c.Keys {
			all[c.Name][k] = true
		}
	}
	return all
}

// compareKeys counts the keys that each customer gained and lost. A key that moves to
// another customer is lost by one and gained by the other.
func compareKeys(before, after *Draft) []Difference {
	old, current := before.keysOf(), after.keysOf()
	all := maps.Clone(old)
	maps.Copy(all, current)
	var d []Difference
	for _, name := range slices.Sorted(maps.Keys(all)) {
		c := Customer{Name: name}
		if n := countMissing(current[name], old[name]); n > 0 {
			d = append(d, Difference{Object: c.label(), Change: "changed", Field: "keys added", After: strconv.Itoa(n)})
		}
		if n := countMissing(old[name], current[name]); n > 0 {
			d = append(d, Difference{Object: c.label(), Change: "changed", Field: "keys removed", After: strconv.Itoa(n)})
		}
	}
	return d
}

// countMissing returns how many keys are not in other.
func countMissing(keys, other map[Digest]bool) int {
	n := 0
	for k := range keys {
		if !other[k] {
			n++
		}
	}
	return n
}

func limitFields(l table.Limits) []field {
	return []field{
		{"header size", strconv.Itoa(l.Header)},
		{"body size", strconv.FormatInt(l.Body, 10)},
		{"header time", l.HeaderTime.String()},
		{"idle time", l.IdleTime.String()},
	}
}
