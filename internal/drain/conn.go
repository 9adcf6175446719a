package drain

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is an accepted connection. received is set when bytes arrived since it was
// accepted or became idle: a request on it may not have reached its handler yet, and
// must not be cut.
type Conn struct {
	net.Conn
	received atomic.Bool
}

func (c *Conn) tracked() *Conn { return c }

// Read implements net.Conn.
func (c *Conn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// isUnused reports whether no byte of a request has arrived.
func (c *Conn) isUnused() bool {
	if c.received.Load() {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		// The connection is closed.
		return true
	}
	empty := true
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = n <= 0 && !errors.Is(recvErr, unix.EINTR)
	})
	return err != nil || empty
}

const (
	// acceptQuiet is the time without a new connection after which a stopping server
	// closes its listener, and maxAcceptDrain how long it accepts connections at most.
	// A caller whose last packet of the handshake was dropped sends again after 200 ms.
	acceptQuiet    = 250 * time.Millisecond
	maxAcceptDrain = 500 * time.Millisecond
)

// listener accepts connections. After stop it accepts those that are already waiting,
// which would be reset when the listener is closed, and then reports that it is closed.
type listener struct {
	net.Listener
	wrap func(*Conn) net.Conn
	// stopBy is when no connection is accepted any more, or nil.
	stopBy atomic.Pointer[time.Time]
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	stopBy := l.stopBy.Load()
	if stopBy != nil {
		if err := l.setDeadline(*stopBy); err != nil {
			return nil, err
		}
	}
	conn, err := l.Listener.Accept()
	switch {
	case err == nil:
		return l.wrap(&Conn{Conn: conn}), nil
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return nil, err
	case stopBy == nil:
		// stop has set the deadline. Accepts the connections that are waiting.
		return l.Accept()
	default:
		return nil, net.ErrClosed
	}
}

// setDeadline bounds the next call of Accept. A listener without deadlines is closed.
func (l *listener) setDeadline(stopBy time.Time) error {
	bounded, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return l.Close()
	}
	deadline := time.Now().Add(acceptQuiet)
	if stopBy.Before(deadline) {
		deadline = stopBy
	}
	return bounded.SetDeadline(deadline)
}

// stop makes Accept return an error once no connection waits any more. Until then the
// kernel drops the packets that open further ones, so that their callers find the
// address closed rather than a connection that is reset.
func (l *listener) stop() {
	if socket, ok := l.Listener.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			// If this fails, some connections may be reset.
			_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), 0) })
		}
	}
	stopBy := time.Now().Add(maxAcceptDrain)
	l.stopBy.Store(&stopBy)
	if err := l.setDeadline(stopBy); err != nil && !errors.Is(err, net.ErrClosed) {
		_ = l.Close()
	}
}
