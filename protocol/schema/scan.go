package schema

import (
	"bytes"
	"strings"
)

// place is where a heading or a key stands; ini.v1 keeps no lines.
type place struct {
	line    int
	section string
	// key is "" for a section's heading.
	key string
	// bad marks a line that is none of what INI allows.
	bad bool
}

// scan returns the places of a text in its order.
func scan(data []byte) []place {
	var places []place
	section, closing := "", ""
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	for i, raw := range strings.Split(string(data), "\n") {
		line := strings.TrimSpace(raw)
		if closing != "" {
			if strings.Contains(line, closing) {
				closing = ""
			}
			continue
		}
		p := place{line: i + 1, section: section}
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
			continue
		case line[0] == '[':
			end := strings.LastIndexByte(line, ']')
			p.bad = end < 0
			if !p.bad {
				section = line[1:end]
				p.section = section
			}
		default:
			key, value, ok := strings.Cut(line, "=")
			p.key, p.bad = strings.TrimSpace(key), !ok || strings.TrimSpace(key) == ""
			closing = opened(strings.TrimSpace(value))
		}
		places = append(places, p)
	}
	return places
}

// opened returns the quote that ends a value on a later line, or "".
func opened(value string) string {
	for _, quote := range []string{`"""`, "`"} {
		if rest, ok := strings.CutPrefix(value, quote); ok && !strings.Contains(rest, quote) {
			return quote
		}
	}
	return ""
}

// without blanks the bad lines, so that the rest can be checked too.
func without(data []byte, places []place) []byte {
	lines := bytes.Split(data, []byte("\n"))
	for _, p := range places {
		if p.bad {
			lines[p.line-1] = nil
		}
	}
	return bytes.Join(lines, []byte("\n"))
}
