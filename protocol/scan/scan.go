// Package scan (protocol layer) follows the bytes that a client sends on one HTTP/1.1 connection:
// where the head of a request ends, how many lines it has, and where the request ends. What it
// finds decides how much a request may take before a server parses it.
package scan

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// prefixBytes is how much of each line is looked at. A line that says how long a body is, is
	// shorter.
	prefixBytes = 96
	// version is that of requests whose bodies may be in chunks. lastBytes holds it and a line's end.
	version   = "HTTP/1.1"
	lastBytes = len(version) + 2
	// maxEmptyLines bounds the empty lines before a request.
	maxEmptyLines = 4
	// maxSizeDigits bounds the digits of a chunk's size.
	maxSizeDigits = 15
)

// Event is what the bytes consumed last have completed.
type Event uint8

// The events.
const (
	// None: the bytes continue what is under way.
	None Event = iota
	// HeadEnd: they complete the head of a request that has a body.
	HeadEnd
	// End: they complete a request.
	End
	// Lost: the bytes cannot be followed any further. A server refuses such a request, or it is the
	// last of its connection.
	Lost
)

type state uint8

const (
	start state = iota // before the first line
	head
	body
	chunkSize
	chunkRest // of the line with the size
	chunkData
	chunkEnd
	trailer
	lost
)

// Scanner holds where in a request a connection is. The zero value is before a request.
type Scanner struct {
	state state
	// ended says that the last byte was the end of a request, whose counts are kept until the next.
	ended bool
	// prefix is the beginning of the line under way, of which there are lineBytes, and last the end
	// of the first line.
	prefix    []byte
	last      []byte
	lineBytes int
	// firstBytes, headBytes and lines count the first line, the lines after it, also those of a trailer,
	// and how many these are.
	firstBytes, headBytes, lines int
	// empty counts the empty lines before the request.
	empty int
	// old says that the request is of HTTP/1.0 or before.
	old bool
	// length is the body's, -1 if none is given. chunked says that the body is in chunks.
	length  int64
	chunked bool
	// framing says that the line before was one of these.
	framing bool
	// left is what is left of a body or a chunk.
	left int64
	// digits counts those of a chunk's size.
	digits int
}

// FirstBytes returns the length of the request's first line so far.
func (s *Scanner) FirstBytes() int { return s.firstBytes }

// HeadBytes returns the length of the request's other lines so far, of its head and its trailer.
func (s *Scanner) HeadBytes() int { return s.headBytes }

// Lines returns how many of these lines have begun.
func (s *Scanner) Lines() int { return s.lines }

// InHead reports whether the next byte belongs to the head of a request.
func (s *Scanner) InHead() bool { return s.state == start || s.state == head }

// Between reports whether no byte of a request has come since the one before.
func (s *Scanner) Between() bool {
	return s.ended || s.state == start && s.lineBytes == 0 && s.empty == 0
}

// Scan consumes bytes up to the next event, and returns how many.
func (s *Scanner) Scan(data []byte) (int, Event) {
	if s.ended && len(data) > 0 {
		*s = Scanner{prefix: s.prefix[:0], last: s.last[:0]}
	}
	n := 0
	for n < len(data) {
		consumed, e := s.step(data[n:])
		n += consumed
		if e != None {
			return n, e
		}
	}
	return n, None
}

// step consumes bytes of one kind.
func (s *Scanner) step(data []byte) (int, Event) {
	switch s.state {
	case start, head, trailer:
		return s.line(data)
	case body, chunkData:
		n := int(min(s.left, int64(len(data))))
		if s.left -= int64(n); s.left > 0 {
			return n, None
		}
		if s.state == chunkData {
			s.state = chunkEnd
			return n, None
		}
		return n, s.end()
	case chunkSize:
		return s.size(data)
	case chunkRest:
		return s.rest(data)
	case chunkEnd:
		return s.chunkEnd(data)
	}
	return len(data), Lost
}

// line consumes bytes of a line of a head or a trailer.
func (s *Scanner) line(data []byte) (int, Event) {
	if s.lineBytes == 0 && s.state != start {
		s.lines++
	}
	n, whole := bytes.IndexByte(data, '\n')+1, true
	if n == 0 {
		n, whole = len(data), false
	}
	if room := prefixBytes - len(s.prefix); room > 0 {
		s.prefix = append(s.prefix, data[:min(n, room)]...)
	}
	s.lineBytes += n
	if s.state == start {
		s.firstBytes += n
		s.last = append(s.last, data[max(0, n-lastBytes):n]...)
		s.last = s.last[max(0, len(s.last)-lastBytes):]
	} else {
		s.headBytes += n
	}
	if !whole {
		return n, None
	}
	text, complete := s.prefix, s.lineBytes <= prefixBytes
	empty := complete && len(bytes.TrimRight(text, "\r\n")) == 0
	e := s.endLine(string(text), complete, empty)
	s.prefix, s.lineBytes = s.prefix[:0], 0
	return n, e
}

// endLine notes a whole line. text is its beginning, all of it if complete.
func (s *Scanner) endLine(text string, complete, empty bool) Event {
	switch {
	case s.state == trailer && empty:
		return s.end()
	case s.state == trailer:
	case s.state == start && empty:
		if s.empty++; s.empty > maxEmptyLines {
			return s.lose()
		}
	case s.state == start:
		s.state, s.length = head, -1
		s.old = !bytes.HasSuffix(bytes.TrimRight(s.last, "\r\n"), []byte(version))
	case empty:
		return s.endHead()
	default:
		return s.header(text, complete)
	}
	return None
}

// header notes a header line that says how long the body is.
func (s *Scanner) header(text string, complete bool) Event {
	continued := text[0] == ' ' || text[0] == '\t'
	if continued {
		if s.framing {
			return s.lose()
		}
		return None
	}
	name, value, _ := strings.Cut(text, ":")
	isLength, isCoding := strings.EqualFold(name, "Content-Length"), strings.EqualFold(name, "Transfer-Encoding")
	if s.framing = isLength || isCoding; !s.framing {
		return None
	}
	value = strings.Trim(value, " \t\r\n")
	switch {
	case !complete || isCoding && (s.chunked || s.old || !strings.EqualFold(value, "chunked")):
		return s.lose()
	case isCoding:
		s.chunked = true
	default:
		n, err := strconv.ParseUint(value, 10, 62)
		if err != nil || s.length >= 0 && s.length != int64(n) {
			return s.lose()
		}
		s.length = int64(n)
	}
	return None
}

// endHead notes the end of a head.
func (s *Scanner) endHead() Event {
	switch {
	case s.chunked:
		s.state, s.left, s.digits = chunkSize, 0, 0
		return HeadEnd
	case s.length > 0:
		s.state, s.left = body, s.length
		return HeadEnd
	}
	return s.end()
}

// size consumes the digits of a chunk's size.
func (s *Scanner) size(data []byte) (int, Event) {
	for n, c := range data {
		digit := strings.IndexByte("0123456789abcdef", c|0x20)
		if digit < 0 || c < '0' {
			if s.digits == 0 {
				return n, s.lose()
			}
			s.state = chunkRest
			return n, None
		}
		if s.digits++; s.digits > maxSizeDigits {
			return n, s.lose()
		}
		s.left = s.left<<4 | int64(digit)
	}
	return len(data), None
}

// rest consumes the rest of the line with a chunk's size.
func (s *Scanner) rest(data []byte) (int, Event) {
	n := bytes.IndexByte(data, '\n') + 1
	switch {
	case n == 0:
		return len(data), None
	case s.left == 0:
		s.state = trailer
	default:
		s.state = chunkData
	}
	return n, None
}

// chunkEnd consumes the end of the line after a chunk's data.
func (s *Scanner) chunkEnd(data []byte) (int, Event) {
	switch data[0] {
	case '\r':
		return 1, None
	case '\n':
		s.state, s.left, s.digits = chunkSize, 0, 0
		return 1, None
	}
	return 0, s.lose()
}

func (s *Scanner) end() Event {
	s.state, s.ended = start, true
	return End
}

func (s *Scanner) lose() Event {
	s.state = lost
	return Lost
}
