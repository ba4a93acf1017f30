package schema

import (
	"bytes"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// File is INI text that passed all checks of a table.
type File struct {
	name     string
	sections []*FileSection
}

// FileSection is one section of a checked file. Its values are valid for their types.
type FileSection struct {
	rule   Section
	name   string
	line   int
	lines  map[string]int
	values map[string]string
}

// options disable inline comments, continuation lines, inherited values and other
// delimiters of ini.v1.
var options = ini.LoadOptions{
	IgnoreInlineComment:   true,
	IgnoreContinuation:    true,
	KeyValueDelimiters:    "=",
	ChildSectionDelimiter: "\x00",
}

// maxFileBytes bounds a file's size.
const maxFileBytes = 1 << 20

// Read parses text and checks it against a table; name is the file name used in
// errors. The error is a CheckErrors with every problem.
func Read(name string, data []byte, t Table) (*File, error) {
	r := &reader{file: name, table: t}
	if len(data) > maxFileBytes || !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		r.report(1, "", "", "the file must be UTF-8 text without NUL, of up to 1 MiB")
		return nil, r.problems
	}
	locations := scan(data)
	f, err := ini.LoadSources(options, blankMalformed(data, locations))
	if err != nil {
		r.report(1, "", "", "not readable as INI: "+err.Error())
		return nil, r.problems
	}
	r.read(f, locations)
	if len(r.problems) > 0 {
		sort.SliceStable(r.problems, func(i, j int) bool { return r.problems[i].Line < r.problems[j].Line })
		return nil, r.problems
	}
	return &File{name: name, sections: r.sections}, nil
}

// reader collects a file's sections and problems.
type reader struct {
	file     string
	table    Table
	sections []*FileSection
	problems CheckErrors
}

func (r *reader) report(line int, section, key, text string) {
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Section: section, Key: key, Text: text})
}

func (r *reader) read(f *ini.File, locations []location) {
	seen := map[string]*FileSection{}
	var current *FileSection
	for _, p := range locations {
		switch {
		case p.malformed:
			r.report(p.line, p.section, "", "the line is neither a [section], nor key = value, nor a ; comment")
		case p.key == "":
			current = r.openSection(p, seen)
		case p.section == "":
			r.report(p.line, "", p.key, "the key stands before any [section]")
		case current != nil:
			r.readKey(f, current, p)
		}
	}
	for _, s := range r.sections {
		r.checkRequired(s)
	}
}

// openSection checks a section's heading. It returns nil if the section's keys can't
// be checked.
func (r *reader) openSection(p location, seen map[string]*FileSection) *FileSection {
	kind, name, named := strings.Cut(p.section, " ")
	rule, ok := r.table.section(kind)
	switch {
	case !ok:
		r.report(p.line, p.section, "", "no such section; allowed: "+r.table.headings())
		return nil
	case rule.Named != named:
		r.report(p.line, p.section, "", "must be written "+rule.heading())
		return nil
	case named && !Allows(rule.Name, name):
		r.report(p.line, p.section, "", "the name must be "+Describe(rule.Name))
		return nil
	case seen[p.section] != nil:
		r.report(p.line, p.section, "", "the section stands already at line "+strconv.Itoa(seen[p.section].line))
		return nil
	}
	s := &FileSection{rule: rule, name: name, line: p.line, lines: map[string]int{}, values: map[string]string{}}
	seen[p.section] = s
	r.sections = append(r.sections, s)
	return s
}

func (r *reader) readKey(f *ini.File, s *FileSection, p location) {
	rule, ok := s.rule.key(p.key)
	if !ok {
		r.report(p.line, p.section, p.key, "no such key; allowed: "+s.rule.keys())
		return
	}
	if first := s.lines[p.key]; first != 0 {
		r.report(p.line, p.section, p.key, "the key stands already at line "+strconv.Itoa(first))
		return
	}
	s.lines[p.key] = p.line
	value := f.Section(p.section).Key(p.key).Value()
	if !Allows(rule.Type, value) {
		r.report(p.line, p.section, p.key, quoteValue(rule.Type, value)+" is not allowed; must be "+Describe(rule.Type))
		return
	}
	s.values[p.key] = value
}

// maxQuotedBytes bounds how much of an invalid value an error repeats.
const maxQuotedBytes = 48

// quoteValue returns an invalid value, quoted for an error, but never a secret.
func quoteValue(t Type, value string) string {
	switch t.(type) {
	case Secret, Digest:
		return "the value"
	}
	if len(value) > maxQuotedBytes {
		value = strings.ToValidUTF8(value[:maxQuotedBytes], "") + "…"
	}
	return strconv.Quote(value)
}

func (r *reader) checkRequired(s *FileSection) {
	if s.values["remove"] == "true" {
		return
	}
	for _, k := range s.rule.Keys {
		if k.Required && s.lines[k.Name] == 0 {
			r.report(s.line, s.FullName(), k.Name, "is missing; must be "+Describe(k.Type))
		}
	}
}

// Sections returns the sections in file order.
func (f *File) Sections() []*FileSection { return f.sections }

// Section returns the section with this full name, or nil.
func (f *File) Section(section string) *FileSection {
	for _, s := range f.sections {
		if s.FullName() == section {
			return s
		}
	}
	return nil
}

// Problem returns a problem at a key, or at the section if the key has no line.
func (f *File) Problem(s *FileSection, key, text string) Problem {
	line := s.line
	if l := s.lines[key]; l != 0 {
		line = l
	}
	return Problem{File: f.name, Line: line, Section: s.FullName(), Key: key, Text: text}
}

// FullName returns the section's kind and name, such as "service gate".
func (s *FileSection) FullName() string {
	if s.rule.Named {
		return s.rule.Kind + " " + s.name
	}
	return s.rule.Kind
}

// Kind returns the section's kind, the first word of its heading.
func (s *FileSection) Kind() string { return s.rule.Kind }

// Name returns the name in the section's heading, "" if it has none.
func (s *FileSection) Name() string { return s.name }

// Has reports whether the file gives the key.
func (s *FileSection) Has(key string) bool { return s.lines[key] != 0 }

// Text returns a key's value or its default.
func (s *FileSection) Text(key string) string {
	if v, ok := s.values[key]; ok {
		return v
	}
	rule, _ := s.rule.key(key)
	return rule.Default
}

// Int returns the value of a key of type Int.
func (s *FileSection) Int(key string) int64 {
	n, _ := strconv.ParseInt(s.Text(key), 10, 64)
	return n
}

// Float returns the value of a key of type Float.
func (s *FileSection) Float(key string) float64 {
	f, _ := strconv.ParseFloat(s.Text(key), 64)
	return f
}

// Duration returns the value of a key of type Duration.
func (s *FileSection) Duration(key string) time.Duration {
	d, _ := time.ParseDuration(s.Text(key))
	return d
}

// Bool returns the value of a key of type Bool.
func (s *FileSection) Bool(key string) bool { return s.Text(key) == "true" }

// List returns the items of a key of type List.
func (s *FileSection) List(key string) []string { return Split(s.Text(key)) }

// Canonical returns the section as lines that are independent of its comments and
// spacing, in no particular order.
func (s *FileSection) Canonical() []string {
	lines := []string{"[" + s.FullName() + "]"}
	for key, value := range s.values {
		lines = append(lines, s.FullName()+" "+key+" = "+value)
	}
	return lines
}

// Keys returns the keys that the file gives in this section, sorted.
func (s *FileSection) Keys() []string { return slices.Sorted(maps.Keys(s.values)) }
