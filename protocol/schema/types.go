package schema

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Type is the type of a key's value.
type Type interface{ kind() }

// Text is any text on one line, or between triple quotes on several.
type Text struct {
	// Max bounds the length in bytes.
	Max int
}

// Name is a word of letters, digits, dots, hyphens and underscores.
type Name struct{}

// Pair is two names separated by a slash.
type Pair struct{}

// List is a comma-separated list.
type List struct{ Of Type }

// Int is a whole number.
type Int struct{ Min, Max int64 }

// Float is a decimal number.
type Float struct{ Min, Max float64 }

// Duration is a length of time such as 250ms or 1m30s.
type Duration struct{ Min, Max time.Duration }

// Bool is true or false.
type Bool struct{}

// Choice is one of a few words.
type Choice struct{ Words []string }

// Address is IP:port.
type Address struct{}

// Digest is a SHA-256 hash in hex; errors don't repeat it.
type Digest struct{}

// Secret is text that errors don't repeat.
type Secret struct {
	// Max bounds the length in bytes.
	Max int
}

// Peer is node=IP:port.
type Peer struct{}

func (Text) kind()     {}
func (Name) kind()     {}
func (Pair) kind()     {}
func (List) kind()     {}
func (Int) kind()      {}
func (Float) kind()    {}
func (Duration) kind() {}
func (Bool) kind()     {}
func (Choice) kind()   {}
func (Address) kind()  {}
func (Digest) kind()   {}
func (Secret) kind()   {}
func (Peer) kind()     {}

// maxNameBytes bounds a name's length.
const maxNameBytes = 64

// Describe returns the values that a type allows, in words.
func Describe(t Type) string {
	switch t := t.(type) {
	case Text:
		return fmt.Sprintf("text of up to %d bytes", t.Max)
	case Secret:
		return fmt.Sprintf("a secret of up to %d bytes", t.Max)
	case Name:
		return "a name of letters, digits and . _ - (up to 64)"
	case Pair:
		return "SERVICE/OPERATION"
	case List:
		return "a comma-separated list, each item " + Describe(t.Of)
	case Int:
		return fmt.Sprintf("a whole number from %d to %d", t.Min, t.Max)
	case Float:
		return fmt.Sprintf("a number from %g to %g", t.Min, t.Max)
	case Duration:
		return fmt.Sprintf("a duration from %s to %s, such as 250ms or 2s", t.Min, t.Max)
	case Bool:
		return "true or false"
	case Choice:
		return "one of " + strings.Join(t.Words, ", ")
	case Address:
		return "IP:port, such as 10.0.0.7:7070"
	case Digest:
		return "a SHA-256 in 64 hex digits"
	case Peer:
		return "NODE=IP:port"
	}
	return ""
}

// Allows reports whether a value is valid for a type.
func Allows(t Type, value string) bool {
	switch t := t.(type) {
	case Text:
		return len(value) <= t.Max && utf8.ValidString(value)
	case Secret:
		return len(value) <= t.Max && utf8.ValidString(value)
	case Name:
		return validName(value)
	case Pair:
		a, b, ok := strings.Cut(value, "/")
		return ok && validName(a) && validName(b)
	case List:
		return validList(t, value)
	case Int:
		n, err := strconv.ParseInt(value, 10, 64)
		return err == nil && n >= t.Min && n <= t.Max
	case Float:
		f, err := strconv.ParseFloat(value, 64)
		return err == nil && f >= t.Min && f <= t.Max
	case Duration:
		d, err := time.ParseDuration(value)
		return err == nil && d >= t.Min && d <= t.Max
	case Bool:
		return value == "true" || value == "false"
	case Choice:
		return contains(t.Words, value)
	case Address:
		return validAddress(value)
	case Digest:
		raw, err := hex.DecodeString(value)
		return err == nil && len(raw) == 32 && strings.ToLower(value) == value
	case Peer:
		node, addr, ok := strings.Cut(value, "=")
		return ok && validName(node) && validAddress(addr)
	}
	return false
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

func contains(words []string, value string) bool {
	for _, w := range words {
		if w == value {
			return true
		}
	}
	return false
}

func validList(t List, value string) bool {
	for _, item := range Split(value) {
		if !Allows(t.Of, item) {
			return false
		}
	}
	return true
}

// Split returns the items of a comma-separated list.
func Split(value string) []string {
	if strings.TrimSpace(value) == "" {
		return nil
	}
	items := strings.Split(value, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}
