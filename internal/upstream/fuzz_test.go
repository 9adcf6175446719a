package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"filbertusher/pkg/usher"
)

// Events are whole, within bounds, and the same for any sizes of reads, whatever a stream holds.
func FuzzEvents(f *testing.F) {
	for _, stream := range []string{
		"id: 1\ndata: x\n\nid: 2\ndata: y\r\n\r\n", "\n\n\ndata", "id:\x00\n\n", "id: 1\n\nid\n\n:\n\n", "data: " + strings.Repeat("x", 9<<10) + "\n\nx",
	} {
		f.Add([]byte(stream))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole, wholeErr := readEvents(t, bytes.NewReader(stream))
		single, singleErr := readEvents(t, iotest.OneByteReader(bytes.NewReader(stream)))
		if !bytes.Equal(whole, single) || wholeErr.Error() != singleErr.Error() {
			t.Errorf("events %q and error %v, by single bytes %q and %v", whole, wholeErr, single, singleErr)
		}
		if !bytes.HasPrefix(stream, whole) || errors.Is(wholeErr, io.EOF) && len(whole) != len(stream) {
			t.Errorf("events %q of the stream %q", whole, stream)
		}
	})
}

// readEvents returns all whole events and why they ended.
func readEvents(t *testing.T, body io.Reader) (events []byte, err error) {
	reader := NewEventReader(body)
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		if len(event.Raw) > maxEventBytes || !bytes.HasSuffix(event.Raw, []byte("\n")) {
			t.Errorf("an event of %d bytes: %.40q", len(event.Raw), event.Raw)
		}
		events = append(events, event.Raw...)
	}
}

// idCodec takes the ID of a response, and whether it was not run, from its headers.
type idCodec struct{ usher.HeaderCodec }

func (idCodec) ResponseMetadata(_ int, header http.Header) usher.ResponseMetadata {
	return usher.ResponseMetadata{ID: usher.RequestID(header.Get("Id")), NotRun: header.Get("Not-Run") != ""}
}

// scriptedConn is a connection whose endpoint sends given bytes and closes it.
type scriptedConn struct {
	net.Conn
	sent io.Reader
}

func (c *scriptedConn) Read(buf []byte) (int, error) { return c.sent.Read(buf) }

func (c *scriptedConn) Close() error { return nil }

// A response belongs to the request, and its body is bounded by what was sent, whatever an
// endpoint sends.
func FuzzResponses(f *testing.F) {
	for _, sent := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nunframed", "\x00garbage",
		"HTTP/1.1 000 None\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 600 None\r\nId: 1\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhi",
	} {
		f.Add([]byte(sent), false)
	}
	f.Add([]byte("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, sent []byte, reused bool) {
		raw := &scriptedConn{sent: bytes.NewReader(sent)}
		stalls := &stallMeter{Conn: raw}
		head := &headLimiter{conn: stalls, remaining: noHeadLimit}
		c := &conn{Conn: raw, reader: bufio.NewReaderSize(head, readBufferBytes), head: head, stalls: stalls}
		if reused {
			c.served = 1
		}
		written := make(chan error, 1)
		written <- nil
		response, err := New(idCodec{}, "zone").readResponse(c, &Request{ID: "1", Method: http.MethodGet}, written)
		if err != nil {
			return
		}
		if id := response.Metadata.ID; id != "1" && (id != "" || reused || !response.Metadata.NotRun) {
			t.Errorf("a response with the ID %q", id)
		}
		if response.Status < http.StatusOK || response.Status > 599 {
			t.Errorf("a response with the status %d", response.Status)
		}
		body, err := io.ReadAll(response.Body)
		if len(body) > len(sent) {
			t.Errorf("a body of %d bytes from %d", len(body), len(sent))
		}
		if err == nil && response.Length >= 0 && int64(len(body)) != response.Length {
			t.Errorf("a complete body of %d bytes, stated were %d", len(body), response.Length)
		}
		if response.reusable && response.Metadata.NotRun {
			t.Error("a connection is used again after a rejection")
		}
	})
}
