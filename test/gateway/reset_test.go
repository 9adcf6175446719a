package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// uploadBytes is the length of a body that is still written to a replica that does not read
	// it. It is within the limit of newCluster.
	uploadBytes = 1 << 20
	// resetDelay is the time between the end of a response and the reset of its connection.
	resetDelay = 30 * time.Millisecond
)

// upload sends a request with a long body.
func (g *gateway) upload(t *testing.T, path, id string) callResult {
	t.Helper()
	request, err := g.newRequest(t.Context(), http.MethodPost, path, id)
	if err != nil {
		t.Fatal(err)
	}
	body := strings.Repeat("x", uploadBytes)
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), uploadBytes
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return callResult{err: err}
	}
	return readResult(response)
}

// endAndReset resets a connection some time after it has ended its half of it.
func endAndReset(conn net.Conn) {
	_ = conn.(*net.TCPConn).CloseWrite()
	time.Sleep(resetDelay)
	reset(conn)
}

// readOnAndReset reads some of a body, and resets the connection before its end.
func readOnAndReset(conn net.Conn, request *http.Request) {
	for until := time.Now().Add(resetDelay); time.Now().Before(until); time.Sleep(time.Millisecond) {
		_, _ = io.CopyN(io.Discard, request.Body, uploadBytes/256)
	}
	reset(conn)
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// unframedPart is the head of a response without a length, and part of its body.
func unframedPart(request *http.Request) string {
	return responseHead(request) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
}

// A replica sends part of a body without a length while its request is still written, and
// resets the connection. No caller gets that part as a complete response.
func TestResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	c := newCluster(t)
	answer := func(conn net.Conn, request *http.Request) {
		if request.ContentLength < uploadBytes {
			_, _ = io.WriteString(conn, responseHead(request)+"Content-Length: 0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(conn, unframedPart(request))
		endAndReset(conn)
	}
	c.registerScripted(newEarlyReplica(t, "d1", answer), "desk", 4, "ready")
	c.registerScripted(newEarlyReplica(t, "m1", answer), "model", 4, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	c.awaitServed(g, "/plan/a")
	for _, path := range []string{"/order/a", "/check/a", "/plan/a", "/question/a"} {
		for n := range 3 {
			if got := g.upload(t, path, fmt.Sprint("reset", path, n)); got.err == nil && got.status < http.StatusInternalServerError {
				t.Errorf("%s: the caller got %d %q as a complete response", path, got.status, got.body)
			}
		}
	}
}

// The same for the rest of a stream that began at another replica.
func TestResetDuringUploadIsNoEndOfRestOfStream(t *testing.T) {
	c := newCluster(t)
	var rests atomic.Int64
	answer := func(conn net.Conn, request *http.Request) {
		switch {
		case request.ContentLength < uploadBytes:
			_, _ = io.WriteString(conn, responseHead(request)+"Content-Length: 0\r\n\r\n")
		case request.Header.Get("Last-Event-Id") == "":
			_, _ = io.WriteString(conn, responseHead(request)+"Content-Type: text/event-stream\r\nContent-Length: 99\r\n\r\nid: 1\ndata: a\n\n")
			_ = conn.Close()
		default:
			rests.Add(1)
			_, _ = io.WriteString(conn, unframedPart(request))
			endAndReset(conn)
		}
	}
	for _, id := range []string{"m1", "m2"} {
		c.registerScripted(newEarlyReplica(t, id, answer), "model", 4, "ready")
	}
	g := c.startGateway("g1")
	c.awaitServed(g, "/plan/a")
	n := 0
	c.eventually("the rests of streams are asked for", func() bool {
		n++
		if got := g.upload(t, "/plan/a", fmt.Sprint("rest", n)); got.err == nil && got.status == http.StatusOK {
			t.Errorf("the caller got %q as a complete stream", got.body)
		}
		return rests.Load() >= 3
	})
}

// A body without a length that ends as it should is complete, also if it ends before the
// request was read. So is one with a length or chunks whose connection is reset after it. Each
// request follows the last one at once.
func TestEarlyResponsesAreDelivered(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(event), event)
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event)
	end := func(conn net.Conn, request *http.Request) {
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
		_ = conn.Close()
	}
	for _, test := range []struct {
		name, rest string
		end        func(conn net.Conn, request *http.Request)
	}{
		{"unframed", "\r\n" + event, end},
		{"length", length, end},
		{"chunks", chunks, end},
		{"length, end and reset", length, func(conn net.Conn, _ *http.Request) { endAndReset(conn) }},
		{"chunks, end and reset", chunks, func(conn net.Conn, _ *http.Request) { endAndReset(conn) }},
		// The connection must not be used for the next request.
		{"length, reset", length, readOnAndReset},
		{"chunks, reset", chunks, readOnAndReset},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t)
			answer := func(conn net.Conn, request *http.Request) {
				if request.ContentLength < uploadBytes {
					_, _ = io.WriteString(conn, responseHead(request)+"Content-Length: 0\r\n\r\n")
					return
				}
				_, _ = io.WriteString(conn, responseHead(request)+"Content-Type: text/event-stream\r\n"+test.rest)
				test.end(conn, request)
			}
			c.registerScripted(newEarlyReplica(t, "d1", answer), "desk", 4, "ready")
			c.registerScripted(newEarlyReplica(t, "m1", answer), "model", 4, "ready")
			g := c.startGateway("g1")
			c.awaitServed(g, "/check/a")
			c.awaitServed(g, "/plan/a")
			for _, path := range []string{"/order/a", "/check/a", "/plan/a", "/question/a"} {
				for n := range 5 {
					got := g.upload(t, path, fmt.Sprint("early", path, n))
					if got.err != nil || got.status != http.StatusOK || got.body != event {
						t.Errorf("%s: the caller got %d %q and %v", path, got.status, got.body, got.err)
					}
				}
			}
		})
	}
}
