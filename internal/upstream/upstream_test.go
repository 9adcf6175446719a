package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "filbertusher/internal/standin/property"
	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

// fakeCodec decodes the Id and Not-Run headers. Every response counts as sealed.
type fakeCodec struct{ usher.HeaderCodec }

func (fakeCodec) ResponseMetadata(status int, header http.Header) usher.ResponseMetadata {
	return usher.ResponseMetadata{ID: usher.RequestID(header.Get("Id")), Sealed: true, NotRun: header.Get("Not-Run") != "", OtherEndpoint: status == http.StatusMisdirectedRequest}
}

// fakeEndpoint is a listener whose accepted connections are served by a function
// of the test and also sent to conns.
type fakeEndpoint struct {
	usher.Registration
	conns chan net.Conn
}

func listen(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader, n int)) *fakeEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &fakeEndpoint{Registration: usher.Registration{Name: "e", Address: listener.Addr().String()}, conns: make(chan net.Conn, 100)}
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.conns <- conn
			go serve(conn, bufio.NewReader(conn), n)
		}
	}()
	return e
}

// respondWith returns a function that writes one of the responses for each request
// on a connection, then closes the connection.
func respondWith(responses ...string) func(net.Conn, *bufio.Reader, int) {
	return func(conn net.Conn, reader *bufio.Reader, _ int) {
		for _, response := range responses {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, response)
		}
		_ = conn.Close()
	}
}

func send(t *testing.T, pool *upstream.Pool, e *fakeEndpoint, id string, nonIdempotent bool) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := pool.Send(ctx, &e.Registration, &upstream.Request{
		ID: usher.RequestID(id), Method: "POST", Target: "/a?b=c", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"), NonIdempotent: nonIdempotent,
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	response.Close(err == nil)
	return string(body), err
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestConnectionsAreReused(t *testing.T) {
	e := listen(t, respondWith(okResponse("1", "one"), okResponse("2", "two")))
	pool := upstream.New(fakeCodec{}, "zone")
	for id, want := range map[string]string{"1": "one"} {
		if got, err := send(t, pool, e, id, true); err != nil || got != want {
			t.Fatal(got, err)
		}
	}
	if got, err := send(t, pool, e, "2", true); err != nil || got != "two" {
		t.Fatal(got, err)
	}
	if dialed, reused, _ := pool.Stats(); dialed != 1 || reused != 1 {
		t.Errorf("%d connections opened and %d reused, want 1 and 1", dialed, reused)
	}
}

// A response to another request is discarded, and the connection is not reused.
func TestStrayResponsesAreDiscarded(t *testing.T) {
	e := listen(t, respondWith("HTTP/1.1 100 Continue\r\n\r\n"+okResponse("0", "stray")+okResponse("1", "mine"), okResponse("2", "x")))
	pool := upstream.New(fakeCodec{}, "zone")
	if got, err := send(t, pool, e, "1", false); err != nil || got != "mine" {
		t.Fatal(got, err)
	}
	if _, _, idle := pool.Stats(); idle != 0 {
		t.Error("a connection with a stray response was kept")
	}
}

// Bytes after a response must not be taken for the response to the next request.
func TestSurplusBytesCloseTheConnection(t *testing.T) {
	e := listen(t, respondWith(okResponse("1", "one")+okResponse("1", "two")))
	pool := upstream.New(fakeCodec{}, "zone")
	if got, err := send(t, pool, e, "1", false); err != nil || got != "one" {
		t.Fatal(got, err)
	}
	time.Sleep(20 * time.Millisecond)
	if got, err := send(t, pool, e, "1", false); err != nil || got != "one" {
		t.Fatalf("the second request got %q, %v", got, err)
	}
	if dialed, _, _ := pool.Stats(); dialed != 2 {
		t.Errorf("%d connections were opened, want 2", dialed)
	}
}

func TestErrorsOfBrokenExchanges(t *testing.T) {
	for _, c := range []struct {
		name, response string
	}{
		{"nothing", ""},
		{"partial status line", "HTTP/1.1 200 O"},
		{"garbage", "\x00\x01garbage\r\n\r\n"},
		{"no id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
		{"short body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhi"},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{"chunks in HTTP/1.0 after a stray response", okResponse("0", "x") + "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nhi"},
		{"stray chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 0\r\nConnection: keep-alive\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nhi" + okResponse("1", "mine")},
		{"chunks and a length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{"cut chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"},
	} {
		e := listen(t, respondWith(c.response))
		if got, err := send(t, upstream.New(fakeCodec{}, "zone"), e, "1", false); err == nil {
			t.Errorf("%s: the response %q counts as complete", c.name, got)
		}
	}
	var notSent *upstream.NotSentError
	closed := &fakeEndpoint{Registration: usher.Registration{Address: "127.0.0.1:1"}}
	if _, err := send(t, upstream.New(fakeCodec{}, "zone"), closed, "1", false); !errors.As(err, &notSent) {
		t.Errorf("endpoint that refuses connections: got %v, want NotSentError", err)
	}
	var lost *upstream.ResponseLostError
	e := listen(t, respondWith(""))
	if _, err := send(t, upstream.New(fakeCodec{}, "zone"), e, "1", false); !errors.As(err, &lost) {
		t.Errorf("request that may have run: got %v, want the error for a lost response", err)
	}
}

// A body without a length ends when the connection is closed, but not when it is
// reset.
func TestResetDoesNotEndABody(t *testing.T) {
	for _, reset := range []bool{false, true} {
		e := listen(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello")
			time.Sleep(30 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		})
		got, err := send(t, upstream.New(fakeCodec{}, "zone"), e, "1", false)
		if (err != nil) != reset {
			t.Errorf("reset %v: got %q, %v", reset, got, err)
		}
	}
}

// A non-idempotent request must not be sent on a connection that the endpoint has
// closed. A connection on which the response came before the whole request was
// written must not be reused.
func TestNonIdempotentRequestsAndEarlyResponses(t *testing.T) {
	e := listen(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, okResponse("1", "one"))
		_ = conn.Close()
	})
	pool := upstream.New(fakeCodec{}, "zone")
	for range 3 {
		if got, err := send(t, pool, e, "1", true); err != nil || got != "one" {
			t.Fatal(got, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	early := listen(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(conn, okResponse("1", "no"))
	})
	pool = upstream.New(fakeCodec{}, "zone")
	response, err := pool.Send(context.Background(), &early.Registration, &upstream.Request{
		ID: "1", Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 8<<20),
	})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	response.Close(true)
	if _, _, idle := pool.Stats(); string(body) != "no" || err != nil || idle != 0 {
		t.Errorf("early response %q, %v; %d connections kept", body, err, idle)
	}
}

func TestCancellationClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	e := listen(t, func(_ net.Conn, reader *bufio.Reader, _ int) {
		_, _ = http.ReadRequest(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-e.conns
		cancel()
	}()
	_, err := upstream.New(fakeCodec{}, "zone").Send(ctx, &e.Registration, &upstream.Request{ID: "1", Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint's connection was not closed")
	}
}

// Whatever the sizes of the reads, each complete event is returned once, and an
// event that is cut off is not returned.
func TestEventsAreSplitForAnyReadSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.StringMatching(`[a-z :]{0,40}`), 0, 12).Draw(t, "data")
		var stream strings.Builder
		var want []string
		for i, line := range lines {
			event := "id: " + string(rune('a'+i)) + "\r\ndata: " + line + "\r\n\r\n"
			stream.WriteString(event)
			want = append(want, event)
		}
		text := stream.String()
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		reader := upstream.NewEventReader(&chunkReader{text: text[:cut], size: rapid.IntRange(1, 9).Draw(t, "size")})
		var got []string
		var readErr error
		for {
			event, err := reader.Next()
			if err != nil {
				readErr = err
				break
			}
			got = append(got, string(event.Raw))
			if event.ID != string(rune('a'+len(got)-1)) {
				t.Fatalf("event %d has the id %q", len(got), event.ID)
			}
		}
		complete := 0
		for length := 0; complete < len(want) && length+len(want[complete]) <= cut; complete++ {
			length += len(want[complete])
		}
		if diff := cmp.Diff(want[:complete], got); diff != "" && complete+len(got) > 0 {
			t.Fatal(diff)
		}
		atBoundary := len(strings.Join(want[:complete], "")) == cut
		if errors.Is(readErr, io.EOF) != atBoundary && readErr != io.ErrUnexpectedEOF {
			t.Fatalf("stream cut at %d ended with %v", cut, readErr)
		}
	})
}

// chunkReader returns at most size bytes per read.
type chunkReader struct {
	text string
	size int
}

func (r *chunkReader) Read(buf []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(buf, r.text[:min(r.size, len(r.text))])
	r.text = r.text[n:]
	return n, nil
}

// A faulty endpoint writes an earlier refusal once more, at the time at which the next
// response is due, and then runs the next request.
func TestRepeatedRefusalIsNotTakenForNextRequest(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Full\r\n" + id + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	for name, c := range map[string]struct {
		// responses are those to the requests on the first connection.
		responses []string
		// id is the ID of the second request.
		id usher.RequestID
	}{
		"with the id of its request":        {[]string{refusal("Id: 1\r\n"), refusal("Id: 1\r\n") + okResponse("2", "mine")}, "2"},
		"without an id":                     {[]string{refusal(""), refusal("") + okResponse("2", "mine")}, "2"},
		"without an id, on a used one":      {[]string{okResponse("1", "x"), refusal("") + okResponse("2", "mine")}, "2"},
		"the same request is sent again":    {[]string{refusal("Id: 1\r\n"), refusal("Id: 1\r\n") + okResponse("1", "mine")}, "1"},
		"another endpoint, on a used one":   {[]string{okResponse("1", "x"), "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n" + okResponse("2", "mine")}, "2"},
		"of another request, on a used one": {[]string{okResponse("1", "x"), refusal("Id: 0\r\n") + okResponse("2", "mine")}, "2"},
	} {
		t.Run(name, func(t *testing.T) {
			e := listen(t, func(conn net.Conn, reader *bufio.Reader, n int) {
				if n > 0 {
					respondWith(okResponse(string(c.id), "mine"))(conn, reader, n)
					return
				}
				respondWith(c.responses...)(conn, reader, n)
			})
			pool := upstream.New(fakeCodec{}, "zone")
			exchange := func(id usher.RequestID) (refused bool) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				response, err := pool.Send(ctx, &e.Registration, &upstream.Request{ID: id, Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
				if lost := new(upstream.ResponseLostError); errors.As(err, &lost) && ctx.Err() == nil {
					return false
				}
				if err != nil {
					t.Fatal(err)
				}
				_, err = io.ReadAll(response.Body)
				response.Close(err == nil)
				return response.Metadata.NotRun || response.Metadata.OtherEndpoint
			}
			exchange("1")
			if exchange(c.id) {
				t.Error("an earlier refusal was taken for the response to a request that ran")
			}
		})
	}
}

// Connections beyond what the endpoint accepts from all callers are not kept.
func TestIdleConnectionsStayWithinLimit(t *testing.T) {
	for _, limit := range []int{0, 1, 2} {
		t.Run(strconv.Itoa(limit), func(t *testing.T) {
			const requests = 5
			e := listen(t, func(conn net.Conn, reader *bufio.Reader, n int) {
				respondWith(okResponse(strconv.Itoa(n), "body"))(conn, reader, n)
			})
			pool := upstream.New(fakeCodec{}, "zone")
			var responses []*upstream.Response
			for n := range requests {
				response, err := pool.Send(t.Context(), &e.Registration, &upstream.Request{ID: usher.RequestID(strconv.Itoa(n)), Method: "GET", Target: "/", Host: "h", MaxIdle: limit})
				if err != nil {
					t.Fatal(err)
				}
				responses = append(responses, response)
			}
			for _, response := range responses {
				_, err := io.Copy(io.Discard, response.Body)
				response.Close(err == nil)
			}
			want := int64(requests)
			if limit > 0 {
				want = int64(limit)
			}
			_, _, idle := pool.Stats()
			if diff := cmp.Diff(want, idle); diff != "" {
				t.Error("idle connections:", diff)
			}
		})
	}
}
