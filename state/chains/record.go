// Package chains (state layer) holds completed turns, linked into chains, and the tokens
// that programs have spent.
package chains

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Record is one stored fact: a Turn, a Hold or a Spent.
type Record interface {
	// writtenAt is the wall-clock time at which the record was written.
	writtenAt() time.Time
	record()
}

// Turn is a turn that ended with a complete answer.
type Turn struct {
	// ID identifies the caller's attempt; Previous is the ID of the turn that this one
	// continues.
	ID       string `cbor:"1,keyasint"`
	Previous string `cbor:"2,keyasint,omitempty"`
	Program  string `cbor:"3,keyasint,omitempty"`
	// Endpoint is the endpoint that ran the turn and may still have its prompt cached.
	Endpoint string `cbor:"4,keyasint,omitempty"`
	Input    []byte `cbor:"5,keyasint"`
	// Output is the data of each event, each followed by a line feed.
	Output []byte `cbor:"6,keyasint"`
	// Used is the number of tokens delivered to the caller.
	Used int `cbor:"7,keyasint,omitempty"`
	// Retention is how long the turn is kept after Written, a time in Unix milliseconds.
	Retention time.Duration `cbor:"8,keyasint"`
	Written   int64         `cbor:"9,keyasint"`
	// Owner is the customer whose requests may continue the turn. A turn without an owner
	// belongs to whoever names it.
	Owner string `cbor:"10,keyasint,omitempty"`
	// Root is the ID of the chain's first turn. It is "" in a first turn.
	Root string `cbor:"11,keyasint,omitempty"`
}

// Hold is the most that a turn may spend. It is stored before the turn runs.
type Hold struct {
	Program   string        `cbor:"1,keyasint"`
	Turn      string        `cbor:"2,keyasint"`
	MaxTokens int           `cbor:"3,keyasint"`
	Retention time.Duration `cbor:"4,keyasint"`
	Written   int64         `cbor:"5,keyasint"`
}

// Spent is what a turn has spent. It is stored once the turn is over.
type Spent struct {
	Program   string        `cbor:"1,keyasint"`
	Turn      string        `cbor:"2,keyasint"`
	Used      int           `cbor:"3,keyasint"`
	Retention time.Duration `cbor:"4,keyasint"`
	Written   int64         `cbor:"5,keyasint"`
}

func (t *Turn) writtenAt() time.Time  { return time.UnixMilli(t.Written) }
func (h *Hold) writtenAt() time.Time  { return time.UnixMilli(h.Written) }
func (s *Spent) writtenAt() time.Time { return time.UnixMilli(s.Written) }

func (*Turn) record()  {}
func (*Hold) record()  {}
func (*Spent) record() {}

// ErrRecord means that the bytes are not an encoded record.
var ErrRecord = errors.New("chains: not a record")

// Kinds of record: the first byte of the encoded form.
const (
	kindTurn = iota + 1
	kindHold
	kindSpent
)

// encoding appends to a buffer, so that long texts are copied once.
var encoding = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the default options are valid
	}
	return mode
}()

// fieldBytes is about how much an encoded record takes beside its texts.
const fieldBytes = 256

// Encode appends a record's encoded form.
func Encode(buffer []byte, r Record) ([]byte, error) {
	out := bytes.NewBuffer(buffer)
	switch r := r.(type) {
	case *Turn:
		out.Grow(len(r.Input) + len(r.Output) + fieldBytes)
		out.WriteByte(kindTurn)
	case *Hold:
		out.WriteByte(kindHold)
	case *Spent:
		out.WriteByte(kindSpent)
	}
	if err := encoding.MarshalToBuffer(r, out); err != nil {
		return nil, errors.Wrap(err, "chains: encoding")
	}
	return out.Bytes(), nil
}

// turnFacts are the fields of an encoded Turn other than its texts.
type turnFacts struct {
	ID        string        `cbor:"1,keyasint"`
	Previous  string        `cbor:"2,keyasint"`
	Program   string        `cbor:"3,keyasint"`
	Endpoint  string        `cbor:"4,keyasint"`
	Used      int           `cbor:"7,keyasint"`
	Retention time.Duration `cbor:"8,keyasint"`
	Written   int64         `cbor:"9,keyasint"`
	Owner     string        `cbor:"10,keyasint"`
	Root      string        `cbor:"11,keyasint"`
}

// DecodeFacts returns the record encoded in data, a turn without its texts.
func DecodeFacts(data []byte) (Record, error) {
	if len(data) == 0 || data[0] != kindTurn {
		return Decode(data)
	}
	var f turnFacts
	if err := cbor.Unmarshal(data[1:], &f); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "chains: decoding"), ErrRecord)
	}
	return &Turn{
		ID: f.ID, Previous: f.Previous, Program: f.Program, Endpoint: f.Endpoint, Used: f.Used, Retention: f.Retention, Written: f.Written,
		Owner: f.Owner, Root: f.Root,
	}, nil
}

// Decode returns the record encoded in data.
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
