package wallog

import "io"

const (
	// longBytes is the size from which data is kept as it is, and not copied.
	longBytes = 64 << 10
	// keptBytes is the size up to which the memory of the short parts is used again.
	keptBytes = 1 << 20
)

// buffer holds bytes that are to be written. The zero value is empty.
type buffer struct {
	// parts holds the bytes in their order. Short data is appended to the last part if that is owned.
	parts [][]byte
	owned bool
	size  int64
}

// add adds data at the end. Long data must not change until it is written.
func (b *buffer) add(data []byte) {
	b.size += int64(len(data))
	switch last := len(b.parts) - 1; {
	case len(data) >= longBytes:
		b.parts, b.owned = append(b.parts, data), false
	case b.owned:
		b.parts[last] = append(b.parts[last], data...)
	default:
		b.parts, b.owned = append(b.parts, append([]byte(nil), data...)), true
	}
}

// writeTo writes all bytes.
func (b *buffer) writeTo(w io.Writer) error {
	for _, part := range b.parts {
		if len(part) == 0 {
			continue
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// clear forgets the bytes.
func (b *buffer) clear() {
	var first []byte
	if b.owned && len(b.parts) == 1 && cap(b.parts[0]) <= keptBytes {
		first = b.parts[0][:0]
	}
	*b = buffer{}
	if first != nil {
		b.parts, b.owned = [][]byte{first}, true
	}
}
