package gate

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// digestBytes is the length of a digest before it is encoded.
const digestBytes = 12

// target identifies what a request is sent to and on whose behalf: a digest of its method,
// host, path and query, credentials, and the customer's name if it has one. Without a customer
// the digest is that of earlier builds, which gates and vaults of both exchange.
func (q *request) target() string {
	r := q.httpRequest
	parts := [][]byte{
		[]byte(r.Method), []byte(strings.ToLower(r.Host)), []byte(r.URL.RequestURI()), []byte(r.Header.Get("Authorization")),
	}
	if q.customer != nil {
		parts = append(parts, []byte(q.customerName()))
	}
	return digest(parts...)
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
