package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"filbertusher/internal/drain"
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
)

// callerConn is the connection of a caller. It applies the configured limits on request
// headers, because those of http.Server can't be changed while it runs.
type callerConn struct {
	*drain.Conn
	gateway *Gateway
	// inHeader is set while a header is awaited and read. The fields below belong to the
	// goroutine that does so.
	inHeader atomic.Bool
	// read is the number of bytes that were read meanwhile, and deadline is when the header
	// has to be complete; it is zero before its first byte. late is set once it has passed.
	read     int
	deadline time.Time
	late     bool
}

// newCallerConn returns an accepted connection. The first header has to follow at once.
func (g *Gateway) newCallerConn(conn *drain.Conn) net.Conn {
	c := &callerConn{Conn: conn, gateway: g}
	c.inHeader.Store(true)
	c.startHeader()
	return c
}

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
	return c.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (c *callerConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if !c.inHeader.Load() {
		return n, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.late {
		c.late = true
		c.deadline = time.Now().Add(lateReadTime)
		c.setDeadline(c.deadline)
		n, err = c.Conn.Read(into)
	}
	if n > 0 && c.deadline.IsZero() {
		c.startHeader()
	}
	c.read += n
	if c.read > c.gateway.headerBytes()+headerSlack {
		c.refuseHeader()
		return 0, io.EOF
	}
	return n, err
}

// refuseHeader responds to a request whose header is too long. net/http closes the
// connection after it.
func (c *callerConn) refuseHeader() {
	refusal := usher.NewRefusal(usher.RefusalHeaderTooLarge, "the header is too long")
	c.gateway.metrics.refused.Add(string(refusal.Kind), 1)
	body, err := json.Marshal(refusal)
	if err != nil {
		c.gateway.Log.Error().Err(err).Msg("refusalNotEncoded")
	}
	response := &http.Response{
		StatusCode: refusal.Status(), ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{"Content-Type": {"application/json"}},
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Close: true,
	}
	end := time.Now().Add(refusalReadTime)
	// Errors mean that the caller has left.
	_ = c.SetWriteDeadline(end)
	if response.Write(c.Conn) != nil {
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
