// Package dial opens TCP connections that don't outlive a silent peer.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeEvery and probeCount find connections whose peer is gone while
	// nothing is under way.
	probeEvery = time.Second
	probeCount = 2
)

// New returns a dialer. timeout bounds the opening of a connection, silence the
// time for which data that was sent may stay without an acknowledgement; both
// are above any round trip within a region.
func New(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
