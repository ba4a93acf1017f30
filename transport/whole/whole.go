// Package whole (transport layer) decides what counts as the whole of an answer, for all that read
// answers or pass their bytes on:
//
//   - Its head follows the grammar of the protocol, and its status is one. Reader checks that before the head is
//     parsed; Transport checks what the parser of net/http has kept of it.
//   - Its body has all bytes of its length, or its last chunk, which is for net/http to tell. A body with neither
//     ends with its connection, if the peer closes that in order: see Conn.
//
// What becomes of the request is no part of it: a peer may answer before it has read a body, and read no more.
package whole
