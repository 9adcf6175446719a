package drain

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	// raw is the socket of Conn, or nil if it has none.
	raw syscall.RawConn

	// mu makes reading bytes and setting received one step for closeIfUnused. It is not
	// held while a read waits for bytes.
	mu sync.Mutex
	// received is set when bytes arrived since the connection was accepted or became
	// idle: a request on it may not have reached its handler yet, and must not be cut.
	received bool
	// closed is set by closeIfUnused. Nothing is read after that.
	closed bool
}

func newConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	if socket, ok := conn.(syscall.Conn); ok {
		// Without a raw connection it is closed already, and reads say so.
		c.raw, _ = socket.SyscallConn()
	}
	return c
}

func (c *Conn) tracked() *Conn { return c }

// Read implements net.Conn.
func (c *Conn) Read(buf []byte) (int, error) {
	if c.raw == nil || len(buf) == 0 {
		n, err := c.Conn.Read(buf)
		c.markReceived(n)
		return n, err
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, readErr = c.readWaiting(int(fd), buf)
		return !errors.Is(readErr, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	default:
		return n, nil
	}
}

// readWaiting reads bytes that have arrived. It returns unix.EAGAIN if there are none,
// and 0 at the end of the connection.
func (c *Conn) readWaiting(fd int, buf []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil
	}
	for {
		n, err := unix.Read(fd, buf)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		c.received = c.received || n > 0
		return max(n, 0), err
	}
}

func (c *Conn) markReceived(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = c.received || n > 0
}

// setIdle notes that the connection has no request.
func (c *Conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = false
}

// closeIfUnused closes the connection if no byte of a request has arrived, and reports
// whether it did. No request is read after the decision.
func (c *Conn) closeIfUnused() bool {
	c.mu.Lock()
	c.closed = c.closed || !c.received && c.isEmpty()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		// An error means that the connection is closed already.
		_ = c.Close()
	}
	return closed
}

// isEmpty reports whether no byte waits to be read.
func (c *Conn) isEmpty() bool {
	if c.raw == nil {
		return true
	}
	empty := true
	err := c.raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = n <= 0 && !errors.Is(recvErr, unix.EINTR)
	})
	// An error means that the connection is closed already.
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
		return l.wrap(newConn(conn)), nil
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
