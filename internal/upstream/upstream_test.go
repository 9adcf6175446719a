package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"filbertusher/internal/upstream"
	"filbertusher/pkg/usher"
)

// dialect reads the id and a few marks from plain headers.
type dialect struct{ usher.Dialect }

func (dialect) Reply(status int, header http.Header) usher.Reply {
	return usher.Reply{ID: usher.RequestID(header.Get("Id")), Sealed: true, NotRun: header.Get("Not-Run") != "", OtherEndpoint: status == http.StatusMisdirectedRequest}
}

// endpoint is a listener whose connections are served by a script: each request
// is answered with the next of its answers, byte by byte.
type endpoint struct {
	usher.Registration
	conns chan net.Conn
}

func listen(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader, n int)) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &endpoint{Registration: usher.Registration{Name: "e", Address: listener.Addr().String()}, conns: make(chan net.Conn, 100)}
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

// answers reads requests and writes an answer to each until it has none left.
func answers(texts ...string) func(net.Conn, *bufio.Reader, int) {
	return func(conn net.Conn, reader *bufio.Reader, _ int) {
		for _, text := range texts {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
		}
		_ = conn.Close()
	}
}

func send(t *testing.T, pool *upstream.Pool, e *endpoint, id string, once bool) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := pool.Send(ctx, &e.Registration, &upstream.Request{
		ID: usher.RequestID(id), Method: "POST", Target: "/a?b=c", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"), Once: once,
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	answer.Close(err == nil)
	return string(body), err
}

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	e := listen(t, answers(ok("1", "one"), ok("2", "two")))
	pool := upstream.New(dialect{})
	for id, want := range map[string]string{"1": "one"} {
		if got, err := send(t, pool, e, id, true); err != nil || got != want {
			t.Fatal(got, err)
		}
	}
	if got, err := send(t, pool, e, "2", true); err != nil || got != "two" {
		t.Fatal(got, err)
	}
	if dialed, reused, _ := pool.Stats(); dialed != 1 || reused != 1 {
		t.Errorf("%d opened and %d used again", dialed, reused)
	}
}

// An answer to another request is dropped, and the connection with it.
func TestLateAnswersOfOthersAreDropped(t *testing.T) {
	e := listen(t, answers("HTTP/1.1 100 Continue\r\n\r\n"+ok("0", "stray")+ok("1", "mine"), ok("2", "x")))
	pool := upstream.New(dialect{})
	if got, err := send(t, pool, e, "1", false); err != nil || got != "mine" {
		t.Fatal(got, err)
	}
	if _, _, idle := pool.Stats(); idle != 0 {
		t.Error("a connection with a stray answer was kept")
	}
}

// Bytes after an answer belong to no request.
func TestSurplusBytesEndTheConnection(t *testing.T) {
	e := listen(t, answers(ok("1", "one")+ok("1", "two")))
	pool := upstream.New(dialect{})
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

func TestOutcomesOfBrokenExchanges(t *testing.T) {
	for _, c := range []struct {
		name, answer string
	}{
		{"nothing", ""},
		{"part of a head", "HTTP/1.1 200 O"},
		{"garbage", "\x00\x01garbage\r\n\r\n"},
		{"no id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"},
		{"short body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhi"},
		{"cut chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"},
	} {
		e := listen(t, answers(c.answer))
		if got, err := send(t, upstream.New(dialect{}), e, "1", false); err == nil {
			t.Errorf("%s: the answer %q counts as whole", c.name, got)
		}
	}
	var notSent *upstream.NotSentError
	closed := &endpoint{Registration: usher.Registration{Address: "127.0.0.1:1"}}
	if _, err := send(t, upstream.New(dialect{}), closed, "1", false); !errors.As(err, &notSent) {
		t.Errorf("an endpoint that takes no connections: %v", err)
	}
	var lost *upstream.LostError
	e := listen(t, answers(""))
	if _, err := send(t, upstream.New(dialect{}), e, "1", false); !errors.As(err, &lost) {
		t.Errorf("a request that may have run: %v", err)
	}
}

// A body without a length ends with its connection; a reset is no such end.
func TestResetIsNoEndOfABody(t *testing.T) {
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
		got, err := send(t, upstream.New(dialect{}), e, "1", false)
		if (err != nil) != reset {
			t.Errorf("reset %v: got %q, %v", reset, got, err)
		}
	}
}

// A request that may run once only is not put on a connection that the endpoint
// has closed, and no connection is kept on which the request was answered early.
func TestOnceAndEarlyAnswers(t *testing.T) {
	e := listen(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, ok("1", "one"))
		_ = conn.Close()
	})
	pool := upstream.New(dialect{})
	for range 3 {
		if got, err := send(t, pool, e, "1", true); err != nil || got != "one" {
			t.Fatal(got, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	early := listen(t, func(conn net.Conn, reader *bufio.Reader, _ int) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(conn, ok("1", "no"))
	})
	pool = upstream.New(dialect{})
	answer, err := pool.Send(context.Background(), &early.Registration, &upstream.Request{
		ID: "1", Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 8<<20),
	})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	answer.Close(true)
	if _, _, idle := pool.Stats(); string(body) != "no" || err != nil || idle != 0 {
		t.Errorf("early answer %q, %v; %d connections kept", body, err, idle)
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	e := listen(t, func(_ net.Conn, reader *bufio.Reader, _ int) {
		_, _ = http.ReadRequest(reader)
		_, _ = reader.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-e.conns
		cancel()
	}()
	_, err := upstream.New(dialect{}).Send(ctx, &e.Registration, &upstream.Request{ID: "1", Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint was not told")
	}
}

// However a stream is cut into reads, whole events come out, each once, and
// what was cut off inside an event is no event.
func TestEventsAreWholeHoweverTheyArrive(t *testing.T) {
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
		reader := upstream.NewEventReader(&pieces{text: text[:cut], size: rapid.IntRange(1, 9).Draw(t, "size")})
		var got []string
		var end error
		for {
			event, err := reader.Next()
			if err != nil {
				end = err
				break
			}
			got = append(got, string(event.Raw))
			if event.ID != string(rune('a'+len(got)-1)) {
				t.Fatalf("event %d has the id %q", len(got), event.ID)
			}
		}
		whole := 0
		for length := 0; whole < len(want) && length+len(want[whole]) <= cut; whole++ {
			length += len(want[whole])
		}
		if diff := cmp.Diff(want[:whole], got); diff != "" && whole+len(got) > 0 {
			t.Fatal(diff)
		}
		atBoundary := len(strings.Join(want[:whole], "")) == cut
		if errors.Is(end, io.EOF) != atBoundary && end != io.ErrUnexpectedEOF {
			t.Fatalf("cut at %d ended with %v", cut, end)
		}
	})
}

// pieces is a reader that gives a few bytes at a time.
type pieces struct {
	text string
	size int
}

func (p *pieces) Read(into []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(into, p.text[:min(p.size, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}
