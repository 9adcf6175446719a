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

	"filbertusher/pkg/usher"
)

// net/http answers by itself what is no readable request: text for a malformed
// or too large header, nothing at all for one that does not arrive in time.
// callerConn gives those callers the same typed refusals as all others.

// libraryHeaders follow the status line of every error that net/http writes
// itself, and of no other response, because those carry a date.
const libraryHeaders = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// callerListener makes each connection a callerConn.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return &callerConn{TCPConn: tcp}, nil
}

// callerConn is the connection of one caller.
type callerConn struct {
	*net.TCPConn
	// handling is set while a handler runs; it answers for itself then.
	handling atomic.Bool
	// received is set once a part of the next request has arrived.
	received atomic.Bool
}

// discardTimeout bounds how long the rest of a body that was not read holds up
// the refusal: net/http reads it before it sends the response.
const discardTimeout = 500 * time.Millisecond

// connKey is the key of the connection in a request's context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// markHandling tells the connection while a handler runs.
func markHandling(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*callerConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		conn.handling.Store(true)
		defer func() {
			if r.ContentLength != 0 {
				_ = conn.SetReadDeadline(time.Now().Add(discardTimeout))
			}
			conn.received.Store(false)
			conn.handling.Store(false)
		}()
		next.ServeHTTP(w, r)
	})
}

// Read implements net.Conn.
func (c *callerConn) Read(into []byte) (int, error) {
	n, err := c.TCPConn.Read(into)
	if c.handling.Load() {
		return n, err
	}
	if n > 0 {
		c.received.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.received.Load() {
		refusal := usher.NewRefusal(usher.RefusalTooSlow, "the header did not arrive in time")
		_, _ = c.TCPConn.Write(rawRefusal(refusal))
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(data []byte) (int, error) {
	if refusal := refusalOf(data); refusal != nil {
		if _, err := c.TCPConn.Write(rawRefusal(refusal)); err != nil {
			return 0, err
		}
		return len(data), nil
	}
	return c.TCPConn.Write(data)
}

// refusalOf returns the refusal in place of an error that net/http wrote, or
// nil for any other data.
//
//	HTTP/1.1 431 Request Header Fields Too Large<libraryHeaders>...
func refusalOf(data []byte) *usher.Refusal {
	line, rest, ok := bytes.Cut(data, []byte("\r\n"))
	if !ok || !bytes.HasPrefix(data[len(line):], []byte(libraryHeaders)) {
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

// rawRefusal is a refusal as a whole response that closes the connection.
func rawRefusal(refusal *usher.Refusal) []byte {
	body, err := json.Marshal(errorBody{Error: refusal})
	if err != nil {
		body = []byte("{}")
	}
	status := refusal.Status()
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) +
		"\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	return append([]byte(head), body...)
}
