package drain

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"
)

const (
	// acceptPause is how long a stopping server accepts no connections before it accepts
	// all that wait and closes its listener. Callers that reconnect after each response
	// wait by then, so that hardly any connection arrives between the two.
	acceptPause = 100 * time.Millisecond
	// maxAcceptWaiting bounds the connections that are accepted at the end. It is the
	// usual length of the queue.
	maxAcceptWaiting = 4096
)

// listener accepts connections, at most limit at once. After stop it accepts all those that
// are already waiting, which would be reset when the listener is closed, and then reports
// that it is closed.
type listener struct {
	net.Listener
	wrap func(*Conn) net.Conn
	// slots has one for each connection that may be open, and open counts those that are.
	slots *semaphore.Weighted
	open  atomic.Int64
	// stopping ends when stop is called.
	stopping context.Context
	cancel   context.CancelFunc
	// last holds the connections that were accepted when the listener was closed and that
	// Accept has not returned yet, and closeErr the errors of that. isClosed, last and
	// closeErr belong to the caller of Accept.
	isClosed bool
	last     []net.Conn
	closeErr error
}

func newListener(tcp net.Listener, wrap func(*Conn) net.Conn, limit int) *listener {
	l := &listener{Listener: tcp, wrap: wrap, slots: semaphore.NewWeighted(int64(limit))}
	l.stopping, l.cancel = context.WithCancel(context.Background())
	return l
}

// Accept implements net.Listener. It must not be called concurrently.
func (l *listener) Accept() (net.Conn, error) {
	if l.slots.Acquire(l.stopping, 1) != nil || l.stopping.Err() != nil {
		return l.acceptLast()
	}
	conn, err := l.Listener.Accept()
	switch {
	case err == nil:
		return l.track(conn, true), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		// stop has set the deadline.
		return l.acceptLast()
	default:
		l.slots.Release(1)
		return nil, err
	}
}

// track counts a connection until it is closed. hasSlot states that it has one of slots.
func (l *listener) track(conn net.Conn, hasSlot bool) net.Conn {
	l.open.Add(1)
	return l.wrap(newConn(conn, func() {
		l.open.Add(-1)
		if hasSlot {
			l.slots.Release(1)
		}
	}))
}

// acceptLast returns the connections that wait when the listener is closed, and
// net.ErrClosed after them.
func (l *listener) acceptLast() (net.Conn, error) {
	if !l.isClosed {
		l.isClosed = true
		time.Sleep(acceptPause)
		var err error
		l.last, err = l.acceptWaiting()
		l.closeErr = errors.Join(err, l.Close())
	}
	if len(l.last) == 0 {
		return nil, net.ErrClosed
	}
	conn := l.last[0]
	l.last = l.last[1:]
	return l.track(conn, false), nil
}

// acceptWaiting accepts the connections that wait and stops listening right after.
func (l *listener) acceptWaiting() ([]net.Conn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fds []int
	var acceptErr, shutdownErr error
	err = raw.Control(func(fd uintptr) {
		for len(fds) < maxAcceptWaiting {
			accepted, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
				continue
			}
			if err != nil {
				acceptErr = err
				break
			}
			fds = append(fds, accepted)
		}
		shutdownErr = unix.Shutdown(int(fd), unix.SHUT_RD)
	})
	if errors.Is(acceptErr, unix.EAGAIN) {
		acceptErr = nil
	}
	err = errors.Join(err, os.NewSyscallError("accept4", acceptErr), os.NewSyscallError("shutdown", shutdownErr))
	conns := make([]net.Conn, 0, len(fds))
	for _, fd := range fds {
		conn, connErr := connOf(fd)
		if connErr != nil {
			err = errors.Join(err, connErr)
			continue
		}
		conns = append(conns, conn)
	}
	return conns, err
}

// connOf returns the connection of a socket, which it takes over.
func connOf(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "")
	conn, err := net.FileConn(file)
	return conn, errors.Join(err, file.Close())
}

// stop makes Accept return the connections that wait, and then net.ErrClosed.
func (l *listener) stop() {
	l.cancel()
	// This ends the call of Accept in progress.
	if bounded, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); !ok || bounded.SetDeadline(time.Now()) != nil {
		// If this fails, it is closed already.
		_ = l.Close()
	}
}
