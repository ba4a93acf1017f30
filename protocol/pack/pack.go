// Package pack (protocol layer) compresses the parts of messages that repeat themselves:
// views of the key-value service and listings of accounts. Texts of turns hardly shrink.
package pack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed means that bytes do not unpack to the wanted value.
var ErrMalformed = errors.New("pack: malformed")

// MaxBytes bounds what is unpacked, so that a few bytes cannot take all memory. It is four
// times the largest message.
const MaxBytes = 64 << 20

// Encode returns a value in CBOR, compressed by DEFLATE (RFC 1951).
func Encode(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "pack: encoding")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	return packed.Bytes(), errors.Wrap(err, "pack: compressing")
}

// Decode undoes Encode into value; errors are marked with ErrMalformed.
func Decode(packed []byte, value any) error {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxBytes+1))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "pack: decompressing"), ErrMalformed)
	}
	if len(data) > MaxBytes {
		return errors.Wrapf(ErrMalformed, "more than %d bytes", MaxBytes)
	}
	return errors.Mark(errors.Wrap(cbor.Unmarshal(data, value), "pack: decoding"), ErrMalformed)
}
