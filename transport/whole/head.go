package whole

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed marks the errors of bytes that are no answer in the protocol.
var ErrMalformed = errors.New("whole: no answer in the protocol")

func malformed(text string) error { return errors.Mark(errors.New("whole: "+text), ErrMalformed) }

// The lowest and the highest status in the protocol.
const (
	minStatus = 100
	maxStatus = 599
)

// checkStatus returns an error if a status is none. upgraded says that the request asked for another protocol.
func checkStatus(status int, upgraded bool) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols && !upgraded {
		return errors.Mark(errors.Newf("whole: status %03d", status), ErrMalformed)
	}
	return nil
}

// head checks the lines of an answer's head.
type head struct {
	// lines counts the lines before the current one.
	lines int
	// old says that the answer is of HTTP/1.0, coded that it says how its body is coded.
	old, coded bool
}

// add checks the next line, without its end, and reports whether it ends the head.
func (h *head) add(line []byte) (end bool, err error) {
	h.lines++
	switch {
	case h.lines == 1:
		h.old = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
		return false, checkStatusLine(line)
	case len(line) == 0 && h.old && h.coded:
		// The parser would take the bytes between chunks for a part of the body.
		return true, malformed("a coded body in HTTP/1.0")
	case len(line) == 0:
		return true, nil
	}
	name, value, found := strings.Cut(string(line), ":")
	if !found {
		return false, malformed("a line without a name")
	}
	h.coded = h.coded || strings.EqualFold(name, "Transfer-Encoding")
	return false, checkField(name, strings.Trim(value, " \t"))
}

// checkField returns an error if a field's name or value is none in the protocol. The blank that begins a folded
// line is taken for a part of a name: such a line may hold a length that was meant to count.
func checkField(name, value string) error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return errors.Mark(errors.Newf("whole: a field with the name %.64q", name), ErrMalformed)
	case !httpguts.ValidHeaderFieldValue(value):
		return errors.Mark(errors.Newf("whole: the value of the field %.64q", name), ErrMalformed)
	}
	return nil
}

// checkStatusLine returns an error if a line is not the first one of an answer.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		return malformed("no status line")
	}
	digits, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status := 0
	for _, d := range digits {
		if d < '0' || d > '9' {
			return malformed("no status")
		}
		status = 10*status + int(d-'0')
	}
	if len(digits) != len("200") || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return malformed("no status")
	}
	return checkStatus(status, false)
}
