package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"filbertusher/internal/drain"
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
	if c.inHandler.Load() {
		return n, err
	}
	if n > 0 {
		c.received.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.received.Load() {
		refusal := usher.NewRefusal(usher.RefusalRequestTimeout, "the header did not arrive in time")
		_, _ = c.Conn.Write(encodeRefusalResponse(refusal))
	}
	return n, err
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
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) +
		"\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	return append([]byte(head), body...)
}
