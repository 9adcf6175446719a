package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"filbertusher/internal/drain"
	"filbertusher/internal/intake"
	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
)

// net/http handles unreadable requests itself: it responds with plain text to a
// malformed or too large header, and closes the connection silently if the
// header does not arrive in time. callerConn sends JSON refusals instead, as for
// all other errors.

// netHTTPErrorHeaders follows the status line of every error response that
// net/http writes itself. All other responses have a Date header.
const netHTTPErrorHeaders = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// callerConn is the connection of one caller.
type callerConn struct {
	*drain.Conn
	// inHandler is set while a handler runs and writes the response itself.
	inHandler atomic.Bool
	// received is set once the first bytes of the next request have arrived.
	received atomic.Bool
	// inHeader is set while a header is awaited and read.
	inHeader atomic.Bool
	// holding is what the caller holds of the process's memory, and hasGivenWay is set when
	// its request has to give way to others.
	holding     *intake.Holding
	hasGivenWay atomic.Bool
}

// connectionBytes is what a connection and the goroutines that serve it take.
const connectionBytes = 20 << 10

// short counts the callers that found no memory, or gave way to others, by what they needed it
// for.
var short = telemetry.NewMetrics("entryMemoryShort")

const (
	shortOfConnection = "connection"
	shortOfHeader     = "header"
	shortOfBody       = "body"
)

// newCallerConn returns an accepted connection. Where there is no memory for it, others wait
// to be accepted, and it is closed if there is none in time.
func (e *Entry) newCallerConn(conn *drain.Conn) net.Conn {
	c := &callerConn{Conn: conn}
	c.inHeader.Store(true)
	if e.options.Memory == nil {
		return c
	}
	c.holding = e.options.Memory.HoldUnless(c.IsUnread, c.giveWay)
	if c.holding.Connect(context.Background(), connectionBytes) != nil {
		short.Add(shortOfConnection, 1)
		_ = conn.Close()
		return c
	}
	c.holding.Begin()
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
	case http.StateIdle:
		c.holding.EndRequest()
		c.inHeader.Store(true)
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	defer c.holding.Close()
	return c.Conn.Close()
}

// giveWay makes reads fail, so that the request is refused.
func (c *callerConn) giveWay() {
	c.hasGivenWay.Store(true)
	_ = c.Conn.SetReadDeadline(past)
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if c.hasGivenWay.Load() {
		_ = c.Conn.SetReadDeadline(past)
	}
	return err
}

// holdingOf returns what the caller of a request holds.
func (e *Entry) holdingOf(r *http.Request) *intake.Holding {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok && c.holding != nil {
		return c.holding
	}
	return e.intake.Hold()
}

// bodyDiscardTimeout is how long an unread rest of a body may delay a refusal,
// because net/http reads it before it sends the response.
const bodyDiscardTimeout = 500 * time.Millisecond

// connKey is the context key of the caller's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// trackHandling marks the connection while a handler runs.
func trackHandling(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*callerConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		conn.inHandler.Store(true)
		if r.ContentLength == 0 {
			// One that had to give way just now has lost its connection.
			_ = conn.holding.Finish()
		}
		defer func() {
			if r.ContentLength != 0 {
				_ = conn.SetReadDeadline(time.Now().Add(bodyDiscardTimeout))
			}
			conn.received.Store(false)
			conn.inHandler.Store(false)
		}()
		next.ServeHTTP(w, r)
	})
}

// Read implements net.Conn.
func (c *callerConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.holding.Progress(n)
	if c.inHandler.Load() {
		return n, err
	}
	if n > 0 {
		c.received.Store(true)
	}
	if c.inHeader.Load() {
		if memoryErr := c.charge(into[:n]); memoryErr != nil {
			short.Add(shortOfHeader, 1)
			if c.received.Load() {
				refusal := usher.NewRefusal(usher.RefusalOverloaded, memoryErr.Error()).WithRetryAfter(time.Second)
				_, _ = c.Conn.Write(encodeRefusalResponse(refusal))
			}
			return 0, io.EOF
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.received.Load() {
		refusal := usher.NewRefusal(usher.RefusalRequestTimeout, "the header did not arrive in time")
		_, _ = c.Conn.Write(encodeRefusalResponse(refusal))
	}
	return n, err
}

// charge takes memory for a part of a header.
func (c *callerConn) charge(part []byte) error {
	if c.hasGivenWay.Load() {
		return &intake.NoMemoryError{}
	}
	if len(part) == 0 {
		return nil
	}
	c.holding.Begin()
	return c.holding.Grow(context.Background(), intake.HeaderBytes(part))
}

// Write implements net.Conn.
func (c *callerConn) Write(data []byte) (int, error) {
	if refusal := refusalForError(data); refusal != nil {
		if _, err := c.Conn.Write(encodeRefusalResponse(refusal)); err != nil {
			return 0, err
		}
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// refusalForError returns the refusal that replaces an error response written
// by net/http, or nil for any other data.
//
//	HTTP/1.1 431 Request Header Fields Too Large<netHTTPErrorHeaders>...
func refusalForError(data []byte) *usher.Refusal {
	line, rest, ok := bytes.Cut(data, []byte("\r\n"))
	if !ok || !bytes.HasPrefix(data[len(line):], []byte(netHTTPErrorHeaders)) {
		return nil
	}
	_, status, ok := bytes.Cut(line, []byte(" "))
	if !ok || len(status) < 3 {
		return nil
	}
	if string(status[:3]) == strconv.Itoa(http.StatusRequestHeaderFieldsTooLarge) {
		return usher.NewRefusal(usher.RefusalHeaderTooLarge, "the header is larger than "+strconv.Itoa(maxHeaderBytes)+" bytes")
	}
	_, text, _ := bytes.Cut(rest, []byte("\r\n\r\n"))
	return usher.NewRefusal(usher.RefusalBadRequest, "no HTTP request: "+string(text))
}

// encodeRefusalResponse encodes a refusal as an HTTP response with
// Connection: close.
func encodeRefusalResponse(refusal *usher.Refusal) []byte {
	body, err := json.Marshal(errorBody{Error: refusal})
	if err != nil {
		body = []byte("{}")
	}
	status := refusal.Status()
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status)
	if wait := refusal.RetryAfterSeconds(); wait != "" {
		head += "\r\nRetry-After: " + wait
	}
	head += "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	return append([]byte(head), body...)
}
