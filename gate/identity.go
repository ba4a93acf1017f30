package gate

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// digestBytes is the length of a digest before it is encoded.
const digestBytes = 12

// target identifies what a request is sent to and with whose credentials: a digest of its
// method, host, path and query, and credentials.
func (q *request) target() string {
	r := q.httpRequest
	return digest([]byte(r.Method), []byte(strings.ToLower(r.Host)), []byte(r.URL.RequestURI()), []byte(r.Header.Get("Authorization")))
}

// content identifies what a request asks for, which all attempts of its caller have in
// common: a digest of its target and its body.
func (q *request) content() string { return digest([]byte(q.target()), q.body) }

// digest returns a digest of parts.
func digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}
