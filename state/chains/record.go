// Package chains (state layer) holds ended turns by the chain that they form,
// and the tokens that programs have spent.
package chains

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Record is one fact that lasts: a Turn, a Hold or a Spent.
type Record interface {
	// at is the time of day at which it was written.
	at() time.Time
	record()
}

// Turn is a turn that ended whole.
type Turn struct {
	// ID is the caller's attempt; Previous the turn that this one goes on from.
	ID       string `cbor:"1,keyasint"`
	Previous string `cbor:"2,keyasint,omitempty"`
	Program  string `cbor:"3,keyasint,omitempty"`
	// Endpoint is the one that ran the turn and may have its prompt cached.
	Endpoint string `cbor:"4,keyasint,omitempty"`
	Input    []byte `cbor:"5,keyasint"`
	// Output is the data of each event, a line feed after each.
	Output []byte `cbor:"6,keyasint"`
	// Used is the tokens handed out.
	Used int `cbor:"7,keyasint,omitempty"`
	// Retention is how long the turn is kept after Written.
	Retention time.Duration `cbor:"8,keyasint"`
	Written   int64         `cbor:"9,keyasint"`
}

// Hold is the most that a turn may spend, noted before it runs.
type Hold struct {
	Program   string        `cbor:"1,keyasint"`
	Turn      string        `cbor:"2,keyasint"`
	MaxTokens int           `cbor:"3,keyasint"`
	Retention time.Duration `cbor:"4,keyasint"`
	Written   int64         `cbor:"5,keyasint"`
}

// Spent is what a turn has spent once it is over.
type Spent struct {
	Program   string        `cbor:"1,keyasint"`
	Turn      string        `cbor:"2,keyasint"`
	Used      int           `cbor:"3,keyasint"`
	Retention time.Duration `cbor:"4,keyasint"`
	Written   int64         `cbor:"5,keyasint"`
}

func (t *Turn) at() time.Time  { return time.UnixMilli(t.Written) }
func (h *Hold) at() time.Time  { return time.UnixMilli(h.Written) }
func (s *Spent) at() time.Time { return time.UnixMilli(s.Written) }

func (*Turn) record()  {}
func (*Hold) record()  {}
func (*Spent) record() {}

// ErrRecord means that bytes are no record.
var ErrRecord = errors.New("chains: no record")

// The kinds of record in their encoded form.
const (
	kindTurn = iota + 1
	kindHold
	kindSpent
)

// Encode appends a record's encoded form.
func Encode(buffer []byte, r Record) ([]byte, error) {
	switch r.(type) {
	case *Turn:
		buffer = append(buffer, kindTurn)
	case *Hold:
		buffer = append(buffer, kindHold)
	case *Spent:
		buffer = append(buffer, kindSpent)
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "chains: encoding")
	}
	return append(buffer, data...), nil
}

// Decode returns the record of an encoded form.
func Decode(data []byte) (Record, error) {
	if len(data) == 0 {
		return nil, errors.Wrap(ErrRecord, "empty")
	}
	var r Record
	switch data[0] {
	case kindTurn:
		r = &Turn{}
	case kindHold:
		r = &Hold{}
	case kindSpent:
		r = &Spent{}
	default:
		return nil, errors.Wrapf(ErrRecord, "kind %d", data[0])
	}
	if err := cbor.Unmarshal(data[1:], r); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "chains: decoding"), ErrRecord)
	}
	return r, nil
}

// ExpiresAt returns when a record may be dropped unless something extends it.
func ExpiresAt(r Record) time.Time {
	switch r := r.(type) {
	case *Turn:
		return r.at().Add(r.Retention)
	case *Hold:
		return r.at().Add(r.Retention)
	case *Spent:
		return r.at().Add(r.Retention)
	}
	return time.Time{}
}
