package record

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed means that bytes are no sequence of records.
var ErrMalformed = errors.New("record: not a sequence of records")

// Encode returns records as a CBOR sequence: sequences can be joined.
func Encode(records []Record) ([]byte, error) {
	var data bytes.Buffer
	e := cbor.NewEncoder(&data)
	for i := range records {
		if err := e.Encode(&records[i]); err != nil {
			return nil, errors.Wrap(err, "record: encoding")
		}
	}
	return data.Bytes(), nil
}

// Decode returns the records of a CBOR sequence; the error is ErrBad for
// malformed bytes.
func Decode(data []byte) ([]Record, error) {
	var records []Record
	for len(data) > 0 {
		var r Record
		rest, err := cbor.UnmarshalFirst(data, &r)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "record: decoding"), ErrMalformed)
		}
		records = append(records, r)
		data = rest
	}
	return records, nil
}
