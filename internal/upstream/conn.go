package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"filbertusher/internal/httpresponse"
)

const (
	// keepAliveMargin is how long before the timeout in the endpoint's Keep-Alive
	// header a connection is no longer used. The header has a resolution of 1 s.
	keepAliveMargin = time.Second
	// defaultIdleLimit is how long a connection may be idle if the endpoint sends no
	// Keep-Alive timeout.
	defaultIdleLimit = 4 * time.Second
	// maxReuseIdle bounds the idle time of a connection that is reused for a request
	// that can't be retried, because the endpoint may already be closing it.
	// minReuseIdle is the lower bound after requests were lost in this way.
	maxReuseIdle = 1500 * time.Millisecond
	minReuseIdle = 100 * time.Millisecond
	// reuseIdleGrowth is the factor by which that limit grows after each successful
	// reuse.
	reuseIdleGrowth = 1.01
	// maxIdlePerEndpoint bounds the number of idle connections to one endpoint.
	maxIdlePerEndpoint = 64
)

// conn is a connection to an endpoint. It serves one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// head bounds what reader may take from the connection while a header is read. It
	// reads from stalls.
	head   *headLimiter
	stalls *stallMeter
	// served is the number of responses received on the connection.
	served int
	// idleBefore is how long the connection was idle before its current request.
	idleBefore time.Duration
	// idleSince is when the connection became idle, and usableUntil is when it may
	// no longer be reused.
	idleSince, usableUntil time.Time
	closeOnce              sync.Once
}

// abort closes the connection. It may be called more than once.
func (c *conn) abort() { c.closeOnce.Do(func() { _ = c.Close() }) }

// acquire returns an idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, key poolKey, nonIdempotent bool) (*conn, error) {
	for {
		c := p.pop(key)
		if c == nil {
			break
		}
		now := time.Now()
		if now.After(c.usableUntil) || (nonIdempotent && now.Sub(c.idleSince) > p.reuseIdleLimit()) || !c.stillIdle() {
			c.abort()
			continue
		}
		p.increment(&p.reused)
		c.idleBefore = now.Sub(c.idleSince)
		return c, nil
	}
	return p.dial(ctx, key)
}

func (p *Pool) dial(ctx context.Context, key poolKey) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, err
	}
	p.increment(&p.dialed)
	raw = &meteredConn{Conn: raw, account: p.account.zone(key.zone)}
	stalls := &stallMeter{Conn: raw}
	head := &headLimiter{conn: stalls, remaining: noHeadLimit}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(head, readBufferBytes), head: head, stalls: stalls}, nil
}

const (
	// maxHeadBytes bounds the header of a response together with those of the interim
	// responses before it, because net/http reads headers of any length.
	maxHeadBytes = 64 << 10
	// noHeadLimit is the remaining number of bytes while no header is read.
	noHeadLimit = -1
)

// headLimiter reads from a connection and fails after maxHeadBytes of header, which may
// include the beginning of the body, or when a header states a faulty framing.
type headLimiter struct {
	conn      net.Conn
	remaining int
	framing   httpresponse.FramingScanner
}

// beginResponse prepares for the headers of a response. buffered is what was read of it.
func (l *headLimiter) beginResponse(buffered []byte) error {
	l.framing = httpresponse.FramingScanner{}
	return l.framing.Scan(buffered)
}

// Read implements io.Reader.
func (l *headLimiter) Read(buf []byte) (int, error) {
	if l.remaining == noHeadLimit {
		return l.conn.Read(buf)
	}
	if l.remaining == 0 {
		return 0, &httpresponse.InvalidError{Reason: "a header that is too long"}
	}
	n, err := l.conn.Read(buf[:min(len(buf), l.remaining)])
	l.remaining -= n
	if invalid := l.framing.Scan(buf[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// stillIdle reports whether the endpoint has neither closed the connection nor sent
// anything since the last response.
func (c *conn) stillIdle() bool {
	raw, err := c.syscallConn()
	if err != nil {
		return false
	}
	stillIdle := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		stillIdle = recvErr == unix.EAGAIN
		return true
	})
	return err == nil && stillIdle
}

// syscallConn returns the connection's socket. The error is errors.ErrUnsupported if it has
// none.
func (c *conn) syscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// reuseIdleLimit returns how long a connection may have been idle to be reused for
// a request that can't be retried.
func (p *Pool) reuseIdleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reuseIdle
}

// adjustReuseIdle adjusts reuseIdleLimit to the result of reusing a connection. Some
// endpoints silently drop idle connections much earlier than they announce.
func (p *Pool) adjustReuseIdle(idle time.Duration, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost {
		p.reuseIdle = max(minReuseIdle, min(p.reuseIdle, idle/2))
		return
	}
	p.reuseIdle = min(maxReuseIdle, time.Duration(float64(p.reuseIdle)*reuseIdleGrowth))
}

func (p *Pool) increment(counter *int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*counter++
}

func (p *Pool) pop(key poolKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[key] = conns[:len(conns)-1]
	return c
}

// put keeps an idle connection, unless there are as many as maxIdle states; 0 stands for
// maxIdlePerEndpoint.
func (p *Pool) put(key poolKey, c *conn, idle time.Duration, maxIdle int) {
	c.idleSince = time.Now()
	c.usableUntil = c.idleSince.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle <= 0 || len(p.idle[key]) >= min(cmp.Or(maxIdle, maxIdlePerEndpoint), maxIdlePerEndpoint) {
		c.abort()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// Sweep closes the connections whose idle limit has passed, and all idle connections
// to endpoints for which keep returns false.
func (p *Pool) Sweep(keep func(name string, incarnation int64, address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, conns := range p.idle {
		gone := !keep(string(key.name), key.incarnation, key.address)
		kept := conns[:0]
		for _, c := range conns {
			if gone || now.After(c.usableUntil) {
				c.abort()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// keepAliveLimit returns how long a connection may be idle after a response with
// this header.
func keepAliveLimit(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(defaultIdleLimit*4, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return defaultIdleLimit
}
