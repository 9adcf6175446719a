package upstream_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"filbertusher/internal/upstream"
)

const (
	// longUploadBytes is more than the socket buffers of both sides hold, so that the write of
	// such a body ends only once the endpoint has read some of it.
	longUploadBytes = 64 << 20
	// bufferedUploadBytes is written in the background, and fits into the socket buffers.
	bufferedUploadBytes = 48 << 10
	// settleTime is enough for packets on the loopback interface, and for a blocked write to
	// return.
	settleTime = 50 * time.Millisecond
)

// earlyEndpoint responds to an upload as soon as it has the header. It then waits until the
// caller has read the first bytes, and calls end.
type earlyEndpoint struct {
	*fakeEndpoint
	read, ended chan struct{}
}

func respondEarly(t *testing.T, response string, end func(conn *net.TCPConn, reader *bufio.Reader)) *earlyEndpoint {
	t.Helper()
	e := &earlyEndpoint{read: make(chan struct{}), ended: make(chan struct{})}
	e.fakeEndpoint = listen(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		defer close(e.ended)
		if _, err := http.ReadRequest(reader); err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(conn, response)
		<-e.read
		end(conn.(*net.TCPConn), reader)
	})
	return e
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// endings are the ways in which a connection ends after an early response, and whether a body
// that ends with the connection is complete then.
var endings = []struct {
	name        string
	uploadBytes int
	end         func(conn *net.TCPConn, reader *bufio.Reader)
	complete    bool
}{
	// The kernel reports a reset once, to the first call. The blocked write gets it, and
	// reads get io.EOF.
	{"reset during the write", longUploadBytes, func(conn *net.TCPConn, _ *bufio.Reader) { reset(conn) }, false},
	{"reset after the write", bufferedUploadBytes, func(conn *net.TCPConn, _ *bufio.Reader) { reset(conn) }, false},
	// A read gets io.EOF for an end that was followed by a reset.
	{"end, reset during the write", longUploadBytes, endAndReset, false},
	{"end, reset after the write", bufferedUploadBytes, endAndReset, false},
	{"close without reading", longUploadBytes, func(conn *net.TCPConn, _ *bufio.Reader) { _ = conn.Close() }, false},
	{"end, upload read", longUploadBytes, func(conn *net.TCPConn, reader *bufio.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, reader, longUploadBytes)
		_ = conn.Close()
	}, true},
	{"upload read, end", longUploadBytes, func(conn *net.TCPConn, reader *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, reader, longUploadBytes)
		_ = conn.Close()
	}, true},
	{"short upload read, end", bufferedUploadBytes, func(conn *net.TCPConn, reader *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, reader, bufferedUploadBytes)
		_ = conn.Close()
	}, true},
}

func endAndReset(conn *net.TCPConn, _ *bufio.Reader) {
	_ = conn.CloseWrite()
	time.Sleep(settleTime)
	reset(conn)
}

// upload sends a body to an endpoint that responds early.
func (e *earlyEndpoint) upload(t *testing.T, bodyBytes int) (*upstream.Pool, *upstream.Response) {
	t.Helper()
	pool := upstream.New(fakeCodec{}, "zone")
	response, err := pool.Send(t.Context(), &e.Registration, &upstream.Request{
		ID: "1", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, bodyBytes),
	})
	if err != nil {
		t.Fatal(err)
	}
	return pool, response
}

// letEnd lets the connection end. An endpoint that reads all of the body may end later.
func (e *earlyEndpoint) letEnd() {
	close(e.read)
	select {
	case <-e.ended:
		time.Sleep(settleTime)
	case <-time.After(2 * settleTime):
	}
}

// event is the beginning of the body of an early response.
const event = "data: a\n\n"

// A body without a length or chunks is complete only if its connection ended without an error,
// also if another call than a read met that error.
func TestUnframedBodyEndsWithoutError(t *testing.T) {
	for _, c := range endings {
		t.Run(c.name, func(t *testing.T) {
			e := respondEarly(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+event, c.end)
			pool, response := e.upload(t, c.uploadBytes)
			body := make([]byte, len(event))
			if _, err := io.ReadFull(response.Body, body); err != nil || string(body) != event {
				t.Fatalf("got %q and %v", body, err)
			}
			e.letEnd()
			rest, err := io.ReadAll(response.Body)
			if len(rest) > 0 || (err == nil) != c.complete {
				t.Errorf("got %q and %v, want complete %v", rest, err, c.complete)
			}
			if _, again := response.Body.Read(make([]byte, 1)); (again == io.EOF) != c.complete {
				t.Errorf("the next read got %v, want complete %v", again, c.complete)
			}
			response.Close(true)
			if _, _, idle := pool.Stats(); idle != 0 {
				t.Error("a connection that has ended was kept")
			}
		})
	}
}

// A stream ends by the same rule for its relay, which reads on, and for the copy of a request,
// which looks at the next event first.
func TestUnframedStreamEndsWithoutError(t *testing.T) {
	for _, c := range endings {
		t.Run(c.name, func(t *testing.T) {
			e := respondEarly(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+event, c.end)
			_, response := e.upload(t, c.uploadBytes)
			defer response.Close(false)
			events := upstream.NewEventReader(response.Body)
			if first, err := events.Next(); err != nil || string(first.Raw) != event {
				t.Fatalf("got %q and %v", first.Raw, err)
			}
			e.letEnd()
			if err := events.Peek(); (err == io.EOF) != c.complete {
				t.Errorf("the stream ended with %v, want complete %v", err, c.complete)
			}
			if _, err := events.Next(); (err == io.EOF) != c.complete {
				t.Errorf("the stream ended with %v, want complete %v", err, c.complete)
			}
		})
	}
}

// A body with a length or chunks is complete at its own end, however its connection ends.
func TestFramedBodyEndsBeforeReset(t *testing.T) {
	for framing, response := range map[string]string{
		"length": "HTTP/1.1 %d Status\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"chunks": "HTTP/1.1 %d Status\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
			for _, c := range endings {
				t.Run(fmt.Sprint(framing, " ", status, " ", c.name), func(t *testing.T) {
					e := respondEarly(t, fmt.Sprintf(response, status), c.end)
					_, got := e.upload(t, c.uploadBytes)
					defer got.Close(false)
					e.letEnd()
					if body, err := io.ReadAll(got.Body); err != nil || string(body) != "hello" {
						t.Errorf("got %q and %v", body, err)
					}
				})
			}
		}
	}
}

// A connection is kept after a response to a long request only if the endpoint has received all
// of that. One that has not may reset the connection during the next request.
func TestConnectionIsKeptOnceRequestWasReceived(t *testing.T) {
	const (
		// The write of such a body ends, because the socket buffers of this side grow.
		bodyBytes = 1 << 20
		exchanges = 20
	)
	keeps := func(readBytes int64) (kept bool) {
		release, read := make(chan struct{}), make(chan struct{})
		defer close(release)
		e := respondEarly(t, okResponse("1", "hello"), func(_ *net.TCPConn, reader *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, reader, readBytes)
			close(read)
			<-release
		})
		pool, response := e.upload(t, bodyBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		close(e.read)
		<-read
		time.Sleep(settleTime)
		response.Close(true)
		_, _, idle := pool.Stats()
		return idle > 0
	}
	if keeps(0) {
		t.Error("a connection was kept, of which the endpoint has not read the request")
	}
	// The result of a write may be late on a busy machine.
	for range exchanges {
		if keeps(bodyBytes) {
			return
		}
	}
	t.Errorf("no connection was kept in %d exchanges", exchanges)
}

// A write that does not end is no end of a body either: when the request is given up, so is
// the body.
func TestUnframedBodyWaitsForWrite(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	e := respondEarly(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+event, func(conn *net.TCPConn, _ *bufio.Reader) {
		_ = conn.CloseWrite()
		<-release
	})
	_, response := e.upload(t, longUploadBytes)
	e.letEnd()
	time.AfterFunc(2*settleTime, func() { response.Close(false) })
	broken := new(upstream.BrokenEndError)
	if body, err := io.ReadAll(response.Body); !errors.As(err, &broken) {
		t.Errorf("got %q and %v", body, err)
	}
}
