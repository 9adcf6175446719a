package drain_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/drain"
)

// fixture is a running server that notes the paths of the requests that its handler got.
type fixture struct {
	*drain.Server
	address string
	ended   chan error

	mu      sync.Mutex
	handled map[string]bool
}

func start(t *testing.T, delay time.Duration) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fx := &fixture{address: listener.Addr().String(), ended: make(chan error, 1), handled: make(map[string]bool)}
	fx.Server = drain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fx.mu.Lock()
		fx.handled[r.URL.Path] = true
		fx.mu.Unlock()
		time.Sleep(delay)
		_, _ = io.WriteString(w, r.URL.Path)
	})}, nil, drain.Limits{})
	go func() { fx.ended <- fx.Serve(listener) }()
	return fx
}

func (fx *fixture) wasHandled(path string) bool {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return fx.handled[path]
}

// foreignResponseError is the error of an exchange that got another request's response.
type foreignResponseError struct{ Body string }

func (e *foreignResponseError) Error() string { return "got the response to " + e.Body }

// exchange sends a request and reads its response. closes says that the response
// announced the end of the connection.
func exchange(conn net.Conn, reader *bufio.Reader, path string) (closes bool, err error) {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return false, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && string(body) != path {
		err = &foreignResponseError{Body: string(body)}
	}
	return response.Close, err
}

func (fx *fixture) stop(t *testing.T, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := fx.Shutdown(ctx)
	if serveErr := <-fx.ended; serveErr != nil {
		t.Errorf("Serve returned %v", serveErr)
	}
	return err
}

// Callers keep sending on new and on kept connections while the server stops. Every
// request of a new connection, and every one that a handler got, is answered.
func TestShutdownUnderLoadCutsNothing(t *testing.T) {
	fx := start(t, time.Millisecond)
	var wait sync.WaitGroup
	for caller := range 32 {
		wait.Go(func() {
			for n := 0; ; n++ {
				conn, err := net.Dial("tcp", fx.address)
				if err != nil {
					return
				}
				reader := bufio.NewReader(conn)
				for sent := 0; sent == 0 || caller%2 == 0; sent++ {
					path := fmt.Sprintf("/%d/%d/%d", caller, n, sent)
					closes, err := exchange(conn, reader, path)
					if err != nil && (sent == 0 || fx.wasHandled(path)) {
						t.Errorf("%s was cut: %v", path, err)
					}
					if err != nil || closes {
						break
					}
				}
				_ = conn.Close()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	if err := fx.stop(t, 5*time.Second); err != nil {
		t.Errorf("Shutdown returned %v", err)
	}
	wait.Wait()
}

// A connection on which a request has begun is not closed, and its request is answered.
// Idle connections do not hold the server up, and a request that never becomes complete
// does so until the context is done only.
func TestShutdownWaitsForBegunRequests(t *testing.T) {
	for _, completes := range []bool{true, false} {
		fx := start(t, 0)
		var conns []net.Conn
		for range 3 {
			conn, err := net.Dial("tcp", fx.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conns = append(conns, conn)
		}
		reader := bufio.NewReader(conns[0])
		for _, path := range []string{"/a", "/b"} {
			if _, err := exchange(conns[0], reader, path); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := io.WriteString(conns[0], "GET /begun HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		if completes {
			time.AfterFunc(time.Second, func() { _, _ = io.WriteString(conns[0], "Host: h\r\n\r\n") })
		}
		err := fx.stop(t, 2*time.Second)
		if completes == (err != nil) {
			t.Errorf("the request completes: %v, Shutdown returned %v", completes, err)
		}
		if !completes {
			continue
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil || !response.Close {
			t.Errorf("a request that had begun: %v, %v", response, err)
		}
	}
}

// CloseIdle closes only the connections that have been idle for long enough.
func TestCloseIdle(t *testing.T) {
	fx := start(t, 0)
	conn, err := net.Dial("tcp", fx.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := exchange(conn, reader, "/a"); err != nil {
		t.Fatal(err)
	}
	for fx.IdleCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	fx.CloseIdle(time.Now().Add(-time.Minute))
	if _, err := exchange(conn, reader, "/b"); err != nil {
		t.Errorf("the connection was closed too early: %v", err)
	}
	for fx.IdleCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	fx.CloseIdle(time.Now())
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want io.EOF", err)
	}
	if err := fx.stop(t, time.Second); err != nil {
		t.Error(err)
	}
}

// A connection that is closed because it is idle is not closed under a request that the
// handler gets.
func TestCloseIdleCutsNoRequest(t *testing.T) {
	fx := start(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var wait sync.WaitGroup
	for caller := range 16 {
		wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				conn, err := net.Dial("tcp", fx.address)
				if err != nil {
					t.Error(err)
					return
				}
				reader := bufio.NewReader(conn)
				for sent := 0; err == nil && ctx.Err() == nil; sent++ {
					path := fmt.Sprintf("/%d/%d/%d", caller, n, sent)
					if _, err = exchange(conn, reader, path); err != nil && fx.wasHandled(path) {
						t.Errorf("%s was cut: %v", path, err)
					}
				}
				_ = conn.Close()
			}
		})
	}
	for ctx.Err() == nil {
		fx.CloseIdle(time.Now())
	}
	wait.Wait()
	if err := fx.stop(t, time.Second); err != nil {
		t.Error(err)
	}
}

// A listener that fails while the server stops does not end Serve with an error, which
// would cut the requests that still run. Shutdown returns it.
func TestShutdownReturnsListenerError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handling, finish := make(chan struct{}), make(chan struct{})
	server := drain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(handling)
		<-finish
		_, _ = io.WriteString(w, "/a")
	})}, nil, drain.Limits{})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(&unreadableListener{listener}) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answered := make(chan error, 1)
	go func() {
		_, err := exchange(conn, bufio.NewReader(conn), "/a")
		answered <- err
	}()
	<-handling
	shutdown := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		shutdown <- server.Shutdown(ctx)
	}()
	if err := <-ended; err != nil {
		t.Errorf("Serve returned %v", err)
	}
	close(finish)
	if err := <-answered; err != nil {
		t.Errorf("the request was cut: %v", err)
	}
	if err := <-shutdown; !errors.As(err, new(*noAccessError)) {
		t.Errorf("Shutdown returned %v", err)
	}
}

// noAccessError is the error of an unreadableListener.
type noAccessError struct{}

func (*noAccessError) Error() string { return "no access to the socket" }

// unreadableListener gives no access to its socket.
type unreadableListener struct{ net.Listener }

func (l *unreadableListener) SetDeadline(deadline time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(deadline)
}

func (*unreadableListener) SyscallConn() (syscall.RawConn, error) { return nil, &noAccessError{} }

// A server that drains takes requests until the time that was given first. Shutdown without
// such a time takes them for AcceptTime.
func TestTakesRequests(t *testing.T) {
	fx := start(t, 0)
	if fx.Draining() || !fx.Takes(time.Now().Add(time.Minute)) {
		t.Error("a running server takes no requests")
	}
	fx.StartDraining(drain.Stop{TakesUntil: time.Now().Add(time.Hour)})
	if !fx.Draining() || !fx.Takes(time.Now().Add(time.Minute)) {
		t.Error("a draining server takes no requests")
	}
	fx.StartDraining(drain.Stop{TakesUntil: time.Now()})
	if !fx.Takes(time.Now().Add(time.Minute)) {
		t.Error("a later call has replaced the time")
	}

	fx = start(t, 0)
	conn, err := net.Dial("tcp", fx.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := exchange(conn, reader, "/1"); err != nil {
		t.Fatal(err)
	}
	// The connection stays open, because a request has begun.
	if _, err := io.WriteString(conn, "GET /2"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- fx.stop(t, 2*drain.AcceptTime) }()
	for fx.Takes(time.Now().Add(time.Minute)) && time.Since(began) < 2*drain.AcceptTime {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(began); took < drain.AcceptTime || took >= 2*drain.AcceptTime {
		t.Errorf("requests were taken for %v after the start of Shutdown, want %v", took, drain.AcceptTime)
	}
	if err := <-stopped; !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Shutdown returned %v", err)
	}
}

// A process that is told to stop while it starts calls Shutdown before Serve. The server
// then accepted connections for good, and the process did not end.
func TestShutdownBeforeServe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	server := drain.New(&http.Server{Handler: http.NotFoundHandler()}, nil, drain.Limits{})
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	for !server.Draining() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	for _, ended := range []chan error{served, stopped} {
		select {
		case err := <-ended:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the server still runs")
		}
	}
}

// Callers are told how long they may use an idle connection. It is kept for that long while the
// server stops, whose last requests crossed the close of their connections otherwise.
func TestShutdownKeepsIdleConnectionsAsTold(t *testing.T) {
	fx := start(t, 0)
	fx.SetIdleTime(time.Second)
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", fx.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(conn)
	}
	used, usedReader := dial()
	unused, unusedReader := dial()
	for conn, reader := range map[net.Conn]*bufio.Reader{used: usedReader, unused: unusedReader} {
		if _, err := fmt.Fprint(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("timeout=1", response.Header.Get("Keep-Alive")); diff != "" {
			t.Error(diff)
		}
	}
	stopped := make(chan error, 1)
	go func() { stopped <- fx.stop(t, 5*time.Second) }()
	time.Sleep(900 * time.Millisecond)
	if closes, err := exchange(used, usedReader, "/b"); err != nil || !closes {
		t.Errorf("a request on a connection that was idle for less than told: closes %v, %v", closes, err)
	}
	if _, err := unusedReader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want io.EOF", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown returned %v", err)
	}
}

// Idle connections that are left at the end of a stop are closed, and cut nothing.
func TestShutdownClosesIdleConnectionsAtItsEnd(t *testing.T) {
	fx := start(t, 0)
	fx.SetIdleTime(time.Minute)
	conn, err := net.Dial("tcp", fx.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := exchange(conn, reader, "/a"); err != nil {
		t.Fatal(err)
	}
	if err := fx.stop(t, time.Second); err != nil {
		t.Errorf("Shutdown returned %v", err)
	}
	if open, closedIdle := fx.Connections(); open != 0 || closedIdle != 1 {
		t.Errorf("%d connections are open and %d were closed, want 0 and 1", open, closedIdle)
	}
}

// expiringContext expires during the first call of Err, which still returns nil.
type expiringContext struct {
	context.Context
	expire func()
}

func (c *expiringContext) Err() error {
	defer c.expire()
	return c.Context.Err()
}

// Idle connections are also closed if the stop ends between two checks of Shutdown.
func TestShutdownClosesIdleConnectionsIfItEndsBetweenChecks(t *testing.T) {
	fx := start(t, 0)
	fx.SetIdleTime(time.Minute)
	conn, reader := dialTCP(t, fx.address)
	if _, err := exchange(conn, reader, "/a"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	expire := sync.OnceFunc(func() {
		if err := <-fx.ended; err != nil {
			t.Errorf("Serve returned %v", err)
		}
		cancel()
	})
	if err := fx.Shutdown(&expiringContext{Context: ctx, expire: expire}); err != nil {
		t.Errorf("Shutdown returned %v", err)
	}
	if open, closedIdle := fx.Connections(); open != 0 || closedIdle != 1 {
		t.Errorf("%d connections are open and %d were closed, want 0 and 1", open, closedIdle)
	}
}
