// Package dial opens TCP connections that detect an unresponsive peer.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveInterval is the idle time before the first TCP keep-alive probe and
	// the interval between probes. After keepAliveProbes probes without a reply the
	// connection is closed, because its peer is gone.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// New returns a dialer. timeout bounds the opening of a connection. ackTimeout
// bounds the time for which sent data may stay unacknowledged (TCP_USER_TIMEOUT).
// Both must be above any round trip within a region.
func New(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
}
