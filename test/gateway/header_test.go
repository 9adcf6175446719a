package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// headerCluster returns a gateway whose configuration has one limit on headers, and the
// replica that serves /order/.
func headerCluster(t *testing.T, name string, limit int) (*cluster, *gateway, *replica) {
	t.Helper()
	c := newCluster(t)
	c.limits[name] = limit
	c.configure()
	desk := newReplica(t, "d1", "desk", 4, 0)
	c.register(desk, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	return c, g, desk
}

// The configured limit was ignored: longer headers passed, and headers within a high limit
// were refused.
func TestHeaderLength(t *testing.T) {
	for _, test := range []struct{ limit, length, status int }{
		{8 << 10, 7 << 10, http.StatusOK},
		{8 << 10, 30 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{8 << 10, 3 << 20, http.StatusRequestHeaderFieldsTooLarge},
		{200 << 10, 150 << 10, http.StatusOK},
		{200 << 10, 300 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(fmt.Sprintf("%d of %d", test.length, test.limit), func(t *testing.T) {
			_, g, desk := headerCluster(t, "max_header_bytes", test.limit)
			got := g.call(t.Context(), http.MethodPost, "/order/a", "long", "X-Other", strings.Repeat("x", test.length))
			if got.err != nil || got.status != test.status {
				t.Errorf("the caller got %d and %v, want %d", got.status, got.err, test.status)
			}
			if runs := desk.executionsOf("long"); (runs == 1) != (test.status == http.StatusOK) {
				t.Errorf("the request ran %d times", runs)
			}
			if got := g.call(t.Context(), http.MethodPost, "/order/a", "after"); got.status != http.StatusOK {
				t.Errorf("a later request: %d and %v", got.status, got.err)
			}
		})
	}
}

// dialCaller opens a connection to a gateway that ends with the test.
func dialCaller(t *testing.T, g *gateway) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// request is a request in the two parts in which the tests send it.
const (
	requestBegin = "GET /check/a HTTP/1.1\r\nHost: site.example\r\n"
	requestRest  = "X-Filbertusher-Attempt-Id: parts\r\nX-Filbertusher-Deadline-Ms: 9000\r\nX-Filbertusher-Credential: key\r\n\r\n"
)

// write sends text as a caller.
func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// wantServed reads a response, which must be a success.
func wantServed(t *testing.T, conn net.Conn) {
	t.Helper()
	if status := readStatus(t, conn); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// readStatus reads a response and returns its status.
func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// A caller may take as long for a header as the configuration allows. It was 5 s before.
func TestSlowHeaderWithinLimit(t *testing.T) {
	_, g, _ := headerCluster(t, "header_timeout_ms", 9000)
	conn := dialCaller(t, g)
	write(t, conn, requestBegin)
	time.Sleep(6 * time.Second)
	write(t, conn, requestRest)
	wantServed(t, conn)
}

// A connection on which a header does not become complete in time is closed, also if only a
// few bytes of it follow an earlier request; these were never closed.
func TestIncompleteHeaderEndsConnection(t *testing.T) {
	for _, test := range []struct{ before, begin string }{
		{"", ""},
		{"", requestBegin},
		{requestBegin + requestRest, "GE"},
		{requestBegin + requestRest, requestBegin},
	} {
		t.Run(fmt.Sprintf("%d bytes after %d", len(test.begin), len(test.before)), func(t *testing.T) {
			_, g, desk := headerCluster(t, "header_timeout_ms", 500)
			conn := dialCaller(t, g)
			if test.before != "" {
				write(t, conn, test.before)
				wantServed(t, conn)
			}
			write(t, conn, test.begin)
			// A request of 3 s shows that the connection is closed sooner.
			desk.update(func() { desk.processingTime = 3 * time.Second })
			_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
			slow := make(chan callResult, 1)
			go func() { slow <- g.call(t.Context(), http.MethodPost, "/order/a", "slow") }()
			closed := make(chan error, 1)
			go func() {
				_, err := conn.Read(make([]byte, 1))
				closed <- err
			}()
			select {
			case err := <-closed:
				if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("the connection was not closed: %v", err)
				}
				if got := <-slow; got.status != http.StatusOK {
					t.Errorf("another request: %d and %v", got.status, got.err)
				}
			case <-slow:
				t.Error("a request of 3 s ended before the connection")
			}
		})
	}
}

// A gateway that was suspended does not blame the caller for the time.
func TestHeaderThatArrivesDuringSuspension(t *testing.T) {
	_, g, _ := headerCluster(t, "header_timeout_ms", 1000)
	conn := dialCaller(t, g)
	write(t, conn, requestBegin)
	g.Signal(syscall.SIGSTOP)
	write(t, conn, requestRest)
	time.Sleep(2 * time.Second)
	g.Signal(syscall.SIGCONT)
	// The gateway may first have to prove that its configuration is the newest.
	if status := readStatus(t, conn); status != http.StatusOK && status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
}
