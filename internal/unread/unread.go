// Package unread tells whether a socket has received bytes that its process has not read yet.
package unread

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Waits reports whether bytes wait to be read. It does not block, and returns false for a
// socket that is nil or closed.
func Waits(socket syscall.RawConn) bool {
	if socket == nil {
		return false
	}
	waits := false
	err := socket.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waits = n > 0 || errors.Is(recvErr, unix.EINTR)
	})
	return err == nil && waits
}
