// Package events (protocol layer) splits a stream of server-sent events without
// changing a byte of it.
package events

import "bytes"

// Splitter cuts a stream at the ends of its events. The zero value is ready.
type Splitter struct {
	// rest holds the bytes of the event that has not ended.
	rest []byte
	// from is how far rest was searched.
	from int
}

// Add takes the next bytes and returns those of the events that have ended,
// with how many these are. The result is valid until the next Add.
func (s *Splitter) Add(data []byte) (whole []byte, count int) {
	if s.from > 0 && len(s.rest) > 0 {
		s.from = max(0, min(s.from, len(s.rest))-4)
	}
	s.rest = append(s.rest, data...)
	end := 0
	at := s.from
	for {
		i := bytes.IndexByte(s.rest[at:], '\n')
		if i < 0 {
			break
		}
		at += i + 1
		next := s.rest[at:]
		switch {
		case len(next) > 0 && next[0] == '\n':
			at++
		case len(next) > 1 && next[0] == '\r' && next[1] == '\n':
			at += 2
		default:
			continue
		}
		end = at
		count++
	}
	s.from = len(s.rest)
	if end == 0 {
		return nil, 0
	}
	whole = s.rest[:end:end]
	s.rest = append([]byte(nil), s.rest[end:]...)
	s.from = len(s.rest)
	return whole, count
}

// Buffered returns how many bytes wait for the end of their event.
func (s *Splitter) Buffered() int { return len(s.rest) }

// AppendData appends the data of whole events, a line feed after each.
func AppendData(buffer, whole []byte) []byte {
	within, first := false, true
	for line := range bytes.Lines(whole) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if within {
				buffer = append(buffer, '\n')
			}
			within, first = false, true
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if !first {
			buffer = append(buffer, '\n')
		}
		buffer = append(buffer, bytes.TrimPrefix(value, []byte(" "))...)
		within, first = true, false
	}
	return buffer
}
