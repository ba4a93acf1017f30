// Package whole (transport layer) decides what counts as the whole of an answer, for all that read
// answers or pass their bytes on.
//
// An answer whose body has neither a length nor chunks ends with its connection, if the peer closes that in
// order: see Conn.
package whole
