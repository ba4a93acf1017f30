// Package schema (protocol layer) checks INI text against a table of sections
// and keys, and reports every problem with its file and line.
package schema

import (
	"fmt"
	"strings"
)

// Table lists the sections that a kind of file may have.
type Table struct {
	Sections []Section
}

// Section describes one kind of section.
type Section struct {
	// Kind is the section's name, or its first word when Named.
	Kind string
	// Named sections are written [kind name] and may appear once for each name.
	Named bool
	// Name is the type of the names; it is used only if Named.
	Name Type
	// Doc says what the section declares.
	Doc  string
	Keys []Key
}

// Key describes one key of a section.
type Key struct {
	Name string
	Type Type
	// Default is the value of an omitted key.
	Default string
	// Required keys must be given in every section of the kind.
	Required bool
	// Doc says what the key means.
	Doc string
}

// Problem is one fault of a file.
type Problem struct {
	File string
	// Line counts from 1.
	Line int
	// Section and Key are "" if the problem is not in one.
	Section string
	Key     string
	// Text states the fault and the allowed values.
	Text string
}

// String returns the problem as "file:line: [section] key: text".
func (p Problem) String() string {
	prefix := ""
	if p.Section != "" {
		prefix = "[" + p.Section + "] "
	}
	if p.Key != "" {
		prefix += p.Key
	}
	prefix = strings.TrimSpace(prefix)
	if prefix == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, prefix, p.Text)
}

// CheckErrors is an error that holds all problems of a file, sorted by line.
type CheckErrors []Problem

// Error returns one line for each problem.
func (e CheckErrors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// section returns the table's entry for a kind.
func (t Table) section(kind string) (Section, bool) {
	for _, s := range t.Sections {
		if s.Kind == kind {
			return s, true
		}
	}
	return Section{}, false
}

// CountSections returns the number of headings in a text that are in the table. It
// serves to guess a file's kind.
func CountSections(data []byte, t Table) int {
	count := 0
	for _, p := range scan(data) {
		kind, _, _ := strings.Cut(p.section, " ")
		if _, ok := t.section(kind); ok && p.key == "" {
			count++
		}
	}
	return count
}

// Section returns the table's entry for a kind of section.
func (t Table) Section(kind string) Section {
	s, _ := t.section(kind)
	return s
}

func (t Table) headings() string {
	names := make([]string, len(t.Sections))
	for i, s := range t.Sections {
		names[i] = s.heading()
	}
	return strings.Join(names, ", ")
}

func (s Section) heading() string {
	if s.Named {
		return "[" + s.Kind + " NAME]"
	}
	return "[" + s.Kind + "]"
}

func (s Section) key(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

func (s Section) keys() string {
	names := make([]string, len(s.Keys))
	for i, k := range s.Keys {
		names[i] = k.Name
	}
	return strings.Join(names, ", ")
}
