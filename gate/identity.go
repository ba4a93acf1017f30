package gate

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// contentBytes is the length of a content's digest before it is encoded.
const contentBytes = 12

// content identifies what a request asks for, whatever attempt of its caller it is: a
// digest of its method, route, target, credentials and body.
func (q *request) content() string {
	r := q.httpRequest
	h := sha256.New()
	for _, part := range []string{r.Method, strings.ToLower(r.Host), r.URL.RequestURI(), r.Header.Get("Authorization")} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	h.Write(q.body)
	return hex.EncodeToString(h.Sum(nil)[:contentBytes])
}
