package schema

import (
	"bytes"
	"strings"
)

// location is the line of a heading or a key. It is needed because ini.v1 does not
// keep line numbers.
type location struct {
	line    int
	section string
	// key is "" for a section's heading.
	key string
	// malformed marks a line that is not valid INI.
	malformed bool
}

// scan returns the locations of all headings, keys and malformed lines in file order.
func scan(data []byte) []location {
	var locations []location
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
		p := location{line: i + 1, section: section}
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
			continue
		case line[0] == '[':
			end := strings.LastIndexByte(line, ']')
			p.malformed = end < 0
			if !p.malformed {
				section = line[1:end]
				p.section = section
			}
		default:
			key, value, ok := strings.Cut(line, "=")
			p.key, p.malformed = strings.TrimSpace(key), !ok || strings.TrimSpace(key) == ""
			closing = openQuote(strings.TrimSpace(value))
		}
		locations = append(locations, p)
	}
	return locations
}

// openQuote returns the quote that a value opens and that closes on a later line, or
// "".
func openQuote(value string) string {
	for _, quote := range []string{`"""`, "`"} {
		if rest, ok := strings.CutPrefix(value, quote); ok && !strings.Contains(rest, quote) {
			return quote
		}
	}
	return ""
}

// blankMalformed blanks malformed lines, so that the other lines can be checked too.
func blankMalformed(data []byte, locations []location) []byte {
	lines := bytes.Split(data, []byte("\n"))
	for _, p := range locations {
		if p.malformed {
			lines[p.line-1] = nil
		}
	}
	return bytes.Join(lines, []byte("\n"))
}
