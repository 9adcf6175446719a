package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"filbertusher/internal/drain"
	"filbertusher/internal/intake"
	"filbertusher/pkg/usher"
)

const (
	// defaultHeaderTimeout and defaultHeaderBytes bound the request header where the
	// configuration sets no limit, and maxHeaderBytes any limit that it sets.
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 64 << 10
	maxHeaderBytes       = 1 << 20
	// headerSlack is the number of bytes after a header that may be read with it.
	headerSlack = 4 << 10
	// lateReadTime is how long the rest of a header is read that is late. It has arrived
	// already if this process was suspended.
	lateReadTime = 100 * time.Millisecond
	// A caller that still sends gets the refusal of its header only if that is read:
	// refusalReadTime and refusalReadBytes bound that.
	refusalReadTime  = 500 * time.Millisecond
	refusalReadBytes = 1 << 20
	// connectionBytes is what a connection and the goroutines that serve it take.
	connectionBytes = 20 << 10
)

// callerConn is the connection of a caller. It applies the configured limits on request
// headers, because those of http.Server can't be changed while it runs.
type callerConn struct {
	*drain.Conn
	gateway *Gateway
	// holding is what the caller holds of the gateway's memory, and hasGivenWay is set when
	// its request has to give way to others.
	holding     *intake.Holding
	hasGivenWay atomic.Bool
	// inHeader is set while a header is awaited and read. The fields below belong to the
	// goroutine that does so.
	inHeader atomic.Bool
	// read is the number of bytes that were read meanwhile, and deadline is when the header
	// has to be complete; it is zero before its first byte. late is set once it has passed.
	read     int
	deadline time.Time
	late     bool
}

// connKey is the context key of a caller's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// holdingOf returns what the caller of a request holds.
func (g *Gateway) holdingOf(r *http.Request) *intake.Holding {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		return c.holding
	}
	return g.memory.Hold(nil)
}

// newCallerConn returns an accepted connection. The first header has to follow at once. Where
// there is no memory for the connection, others wait to be accepted, and it is closed if there
// is none in time.
func (g *Gateway) newCallerConn(conn *drain.Conn) net.Conn {
	c := &callerConn{Conn: conn, gateway: g}
	c.holding = g.memory.HoldUnless(c.IsUnread, c.giveWay)
	c.inHeader.Store(true)
	if c.holding.Connect(context.Background(), connectionBytes) != nil {
		g.metrics.short.Add(shortOfConnection, 1)
		_ = conn.Close()
		return c
	}
	c.holding.Begin()
	c.startHeader()
	return c
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	defer c.holding.Close()
	return c.Conn.Close()
}

// giveWay makes reads fail, so that the request is refused.
func (c *callerConn) giveWay() {
	c.hasGivenWay.Store(true)
	c.setDeadline(past)
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// trackCallerConn implements http.Server.ConnState.
func trackCallerConn(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.inHeader.Store(false)
		c.setDeadline(time.Time{})
	case http.StateIdle:
		c.holding.EndRequest()
		c.read, c.deadline, c.late = 0, time.Time{}, false
		c.inHeader.Store(true)
	}
}

// setDeadline sets the deadline of reads. It fails only if the connection is closed, which
// the next read notices.
func (c *callerConn) setDeadline(deadline time.Time) { _ = c.Conn.SetReadDeadline(deadline) }

func (c *callerConn) startHeader() {
	timeout := defaultHeaderTimeout
	if limits := c.gateway.callerLimits(); limits.HeaderTimeout > 0 {
		timeout = limits.HeaderTimeout
	}
	c.deadline = time.Now().Add(timeout)
	c.setDeadline(c.deadline)
}

// SetReadDeadline implements net.Conn. net/http clears the deadline when a header begins.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	if c.inHeader.Load() && deadline.IsZero() {
		deadline = c.deadline
	}
	err := c.Conn.SetReadDeadline(deadline)
	if c.hasGivenWay.Load() {
		c.setDeadline(past)
	}
	return err
}

// Read implements net.Conn.
func (c *callerConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.holding.Progress(n)
	if !c.inHeader.Load() {
		return n, err
	}
	if c.hasGivenWay.Load() {
		c.refuseToWait(shortOfStalledHeader, &intake.NoMemoryError{})
		return 0, io.EOF
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.late {
		c.late = true
		c.deadline = time.Now().Add(lateReadTime)
		c.setDeadline(c.deadline)
		n, err = c.Conn.Read(into)
	}
	if n > 0 && c.deadline.IsZero() {
		c.holding.Begin()
		c.startHeader()
	}
	c.read += n
	if c.read > c.gateway.headerBytes()+headerSlack {
		c.refuseHeader(usher.NewRefusal(usher.RefusalHeaderTooLarge, "the header is too long"))
		return 0, io.EOF
	}
	if n > 0 {
		if memoryErr := c.holding.Grow(context.Background(), intake.HeaderBytes(into[:n])); memoryErr != nil {
			c.refuseToWait(shortOfHeader, memoryErr)
			return 0, io.EOF
		}
	}
	return n, err
}

// refuseToWait refuses a request whose header found no memory. A caller that has sent nothing
// gets no response.
func (c *callerConn) refuseToWait(cause string, err error) {
	c.gateway.metrics.short.Add(cause, 1)
	if c.read > 0 {
		c.refuseHeader(usher.NewRefusal(usher.RefusalOverloaded, err.Error()).WithRetryAfter(defaultRetryAfter))
	}
}

// refuseHeader responds to a request whose header is not read to its end. net/http closes the
// connection after it.
func (c *callerConn) refuseHeader(refusal *usher.Refusal) {
	c.gateway.metrics.refused.Add(string(refusal.Kind), 1)
	body, err := json.Marshal(refusal)
	if err != nil {
		c.gateway.Log.Error().Err(err).Msg("refusalNotEncoded")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	setRetryAfter(header, refusal)
	response := &http.Response{
		StatusCode: refusal.Status(), ProtoMajor: 1, ProtoMinor: 1, Header: header,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Close: true,
	}
	end := time.Now().Add(refusalReadTime)
	// Errors mean that the caller has left.
	_ = c.SetWriteDeadline(end)
	if response.Write(c.Conn) != nil || c.hasGivenWay.Load() {
		return
	}
	if half, ok := c.Conn.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.setDeadline(end)
		_, _ = io.CopyN(io.Discard, c.Conn, refusalReadBytes)
	}
}

// callerLimits returns the limits on what callers may send, as configured.
func (g *Gateway) callerLimits() usher.CallerLimits {
	if index := g.Routes.Index(); index != nil {
		return index.Table.Limits
	}
	return usher.CallerLimits{}
}

// headerBytes returns how long the header of a request may be.
func (g *Gateway) headerBytes() int {
	if limit := g.callerLimits().MaxHeaderBytes; limit > 0 {
		return min(limit, maxHeaderBytes)
	}
	return defaultHeaderBytes
}
