package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idleMargin is how long before the endpoint's announced timeout a
	// connection is given up; the timeout is told in whole seconds.
	idleMargin = time.Second
	// idleUnannounced bounds idle connections where no timeout is told.
	idleUnannounced = 4 * time.Second
	// idleOnce bounds them for requests that must not be lost to a close that
	// is already on its way, and leastOnce where such a loss was seen.
	idleOnce  = 1500 * time.Millisecond
	leastOnce = 100 * time.Millisecond
	// onceGrowth is by how much the bound grows again with each use of a
	// connection that goes well.
	onceGrowth = 1.01
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 64
)

// conn is one connection to an endpoint. It serves one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// served counts the requests that were answered on it.
	served int
	// idled is for how long it was idle before its last use.
	idled time.Duration
	// since is when it became idle, and until when it may be used again.
	since, until time.Time
	closing      sync.Once
}

// abort closes the connection.
func (c *conn) abort() { c.closing.Do(func() { _ = c.Close() }) }

// take returns an idle connection or a new one.
func (p *Pool) take(ctx context.Context, key target, once bool) (*conn, error) {
	for {
		c := p.pop(key)
		if c == nil {
			break
		}
		now := time.Now()
		if now.After(c.until) || (once && now.Sub(c.since) > p.onceBound()) || !c.quiet() {
			c.abort()
			continue
		}
		p.count(&p.reused)
		c.idled = now.Sub(c.since)
		return c, nil
	}
	return p.dial(ctx, key)
}

func (p *Pool) dial(ctx context.Context, key target) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, err
	}
	p.count(&p.dialed)
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// quiet says that the peer has neither closed the connection nor sent anything
// on it since the last answer.
func (c *conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peeked == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// onceBound returns for how long a connection may have been idle that is used
// for a request that must not be lost.
func (p *Pool) onceBound() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.once
}

// learnReuse moves that bound by how the use of an idle connection went. Some
// endpoints drop idle connections without a word and much sooner than they say.
func (p *Pool) learnReuse(idle time.Duration, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost {
		p.once = max(leastOnce, min(p.once, idle/2))
		return
	}
	p.once = min(idleOnce, time.Duration(float64(p.once)*onceGrowth))
}

func (p *Pool) count(counter *int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*counter++
}

func (p *Pool) pop(key target) *conn {
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

func (p *Pool) put(key target, c *conn, idle time.Duration) {
	c.since = time.Now()
	c.until = c.since.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle <= 0 || len(p.idle[key]) >= maxIdle {
		c.abort()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// Sweep closes connections that have been idle for too long, and all to
// endpoints that keep says are gone.
func (p *Pool) Sweep(keep func(name string, born int64, address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, conns := range p.idle {
		gone := !keep(string(key.name), key.born, key.address)
		kept := conns[:0]
		for _, c := range conns {
			if gone || now.After(c.until) {
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

// idleBound returns how long a connection may stay idle after an answer.
func idleBound(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(idleUnannounced*4, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return idleUnannounced
}
