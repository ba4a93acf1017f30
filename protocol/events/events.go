// Package events (protocol layer) splits a stream of server-sent events into
// complete events without changing its bytes.
package events

import "bytes"

// Splitter splits a stream at the ends of its events. The zero value is ready to
// use.
type Splitter struct {
	// pending holds the bytes of the incomplete event.
	pending []byte
	// searched is the number of pending bytes already searched for an end.
	searched int
}

// Add appends the next bytes of the stream. It returns the bytes that are now
// complete, and how many events with data they hold: comments and blank lines are
// passed on, but are no progress. The result is valid until the next Add.
func (s *Splitter) Add(data []byte) (complete []byte, count int) {
	if s.searched > 0 && len(s.pending) > 0 {
		s.searched = max(0, min(s.searched, len(s.pending))-4)
	}
	s.pending = append(s.pending, data...)
	end := 0
	at := s.searched
	for {
		i := bytes.IndexByte(s.pending[at:], '\n')
		if i < 0 {
			break
		}
		at += i + 1
		next := s.pending[at:]
		switch {
		case len(next) > 0 && next[0] == '\n':
			at++
		case len(next) > 1 && next[0] == '\r' && next[1] == '\n':
			at += 2
		default:
			continue
		}
		if hasData(s.pending[end:at]) {
			count++
		}
		end = at
	}
	s.searched = len(s.pending)
	if end == 0 {
		return nil, 0
	}
	complete = s.pending[:end:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	s.searched = len(s.pending)
	return complete, count
}

// hasData reports whether an event has a line with data.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, dataField) || bytes.Contains(event, dataLine)
}

var (
	dataField = []byte("data:")
	dataLine  = []byte("\ndata:")
)

// Buffered returns the number of bytes of the incomplete event.
func (s *Splitter) Buffered() int { return len(s.pending) }

// AppendData appends the data of complete events to buffer, with a line feed after
// each event.
func AppendData(buffer, events []byte) []byte {
	inEvent, firstLine := false, true
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if inEvent {
				buffer = append(buffer, '\n')
			}
			inEvent, firstLine = false, true
			continue
		}
		value, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		if !firstLine {
			buffer = append(buffer, '\n')
		}
		buffer = append(buffer, bytes.TrimPrefix(value, []byte(" "))...)
		inEvent, firstLine = true, false
	}
	return buffer
}
