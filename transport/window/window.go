// Package window (transport layer) bounds how many bytes may have arrived on a connection that the
// process has not read. They take memory of the host, and the kernel's own bound grows to megabytes.
package window

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Bytes is the most that a bounded connection holds unread.
const Bytes = 32 << 10

// Control bounds a connection that is about to be opened, or all that a listener will accept. It is a
// Control function of package net.
func Control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// The kernel doubles the size, for its own overhead. One without the option has a bound of its own.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, Bytes/2)
	})
}
