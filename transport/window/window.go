// Package window (transport layer) bounds how many bytes may have arrived on a connection that the
// process has not read. They take memory of the host, and the kernel's own bound grows to megabytes.
package window

import (
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// Bytes is the most that a connection of a client or an endpoint holds unread.
	Bytes = 32 << 10
	// PeerBytes is that of connections on which processes send each other long messages.
	PeerBytes = 128 << 10
)

// Control returns a Control function of package net. It bounds a connection that is about to be opened,
// or all that a listener will accept.
func Control(bytes int) func(network, addr string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// The kernel doubles the size, for its own overhead. One without the option has a bound of its own.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/2)
		})
	}
}
