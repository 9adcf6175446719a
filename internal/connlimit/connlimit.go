// Package connlimit bounds the connections of a listener to which few clients connect. Beyond
// the bound, a new connection replaces one that has served no request yet, or else the one
// that has been without a request for longest.
package connlimit

import (
	"container/list"
	"expvar"
	"net"
	"net/http"
	"sync"
	"syscall"

	"filbertusher/internal/telemetry"
	"filbertusher/internal/unread"
)

// Listener accepts connections, of which at most a number are open.
type Listener struct {
	net.Listener
	max      int
	replaced *expvar.Int

	mu sync.Mutex
	// fresh holds the connections, each a *conn, that have served no request, and used the
	// others. Both begin with the oldest, by the last request.
	fresh, used list.List
}

// New returns a listener with at most maxOpen connections. name is that of its counter of
// replaced connections, in group "replacedConnections".
func New(listener net.Listener, maxOpen int, name string) *Listener {
	return &Listener{Listener: listener, max: maxOpen, replaced: telemetry.NewMetrics("replacedConnections").Counter(name)}
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
	// in and element are where it is listed; in is nil once it is closed.
	in      *list.List
	element *list.Element
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l}
	if replaced := l.add(c); replaced != nil {
		l.replaced.Add(1)
		// Who serves it notices that it is closed.
		_ = replaced.Close()
	}
	return c, nil
}

// add lists a connection and returns the one that it replaces, which is nil if there is room.
func (l *Listener) add(c *conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var replaced *conn
	if l.fresh.Len()+l.used.Len() >= l.max {
		oldest := l.fresh.Front()
		if oldest == nil {
			oldest = l.used.Front()
		}
		replaced = oldest.Value.(*conn)
		replaced.unlist()
	}
	c.in, c.element = &l.fresh, l.fresh.PushBack(c)
	return replaced
}

// unlist is called with the listener's mutex held.
func (c *conn) unlist() {
	if c.in != nil {
		c.in.Remove(c.element)
		c.in = nil
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.unlist()
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Used notes that an accepted connection has served a request.
func (l *Listener) Used(accepted net.Conn) {
	c, ok := accepted.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.in == nil {
		return
	}
	c.unlist()
	c.in, c.element = &l.used, l.used.PushBack(c)
}

// IsUnread reports whether bytes of an accepted connection wait to be read.
func IsUnread(accepted net.Conn) bool {
	if c, ok := accepted.(*conn); ok {
		accepted = c.Conn
	}
	socket, ok := accepted.(syscall.Conn)
	if !ok {
		return false
	}
	// Without a raw connection it is closed already.
	raw, _ := socket.SyscallConn()
	return unread.Waits(raw)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fresh.Len() + l.used.Len()
}

// Track makes the listener know which connections of an HTTP server have served requests.
func (l *Listener) Track(server *http.Server) {
	server.ConnState = func(accepted net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			l.Used(accepted)
		}
	}
}
