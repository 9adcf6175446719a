package drain

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"filbertusher/internal/unread"
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

	// onClose is called by the first Close.
	onClose func()
}

func newConn(conn net.Conn, onClose func()) *Conn {
	c := &Conn{Conn: conn, onClose: sync.OnceFunc(onClose)}
	if socket, ok := conn.(syscall.Conn); ok {
		// Without a raw connection it is closed already, and reads say so.
		c.raw, _ = socket.SyscallConn()
	}
	return c
}

func (c *Conn) tracked() *Conn { return c }

// Close implements net.Conn.
func (c *Conn) Close() error {
	defer c.onClose()
	return c.Conn.Close()
}

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

// IsUnread reports whether bytes wait to be read.
func (c *Conn) IsUnread() bool { return !c.isEmpty() }

// isEmpty reports whether no byte waits to be read.
func (c *Conn) isEmpty() bool { return !unread.Waits(c.raw) }
