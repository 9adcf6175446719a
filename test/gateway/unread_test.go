package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Callers that don't read their responses held the memory of all responses for as long as
// they kept their connections, and others got no long response. They must free it once their
// own deadlines have passed.
func TestUnreadResponsesFreeMemory(t *testing.T) {
	const responseBytes = 7 << 20
	c := newCluster(t)
	body := strings.Repeat("x", responseBytes)
	long := newScriptedReplica(t, "long", func(conn net.Conn, request *http.Request) {
		_, _ = io.WriteString(conn, responseHead(request)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", responseBytes, body))
	})
	c.registerScripted(long, "desk", 16, "ready")
	g := c.startGateway("g1")
	calls := 0
	isServed := func() bool {
		calls++
		got := g.call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("read", calls))
		return got.status == http.StatusOK && got.err == nil && len(got.body) == responseBytes
	}
	c.eventually("long responses are delivered", isServed)
	unread := 0
	for c.beginsResponse(g, fmt.Sprint("unread", unread)) {
		unread++
	}
	t.Logf("%d unread responses used up the memory", unread)
	c.eventually("long responses are delivered again", isServed)
}

// beginsResponse sends a request on a connection that stays open, and reports whether the
// response begins as a success, of which it reads no more.
func (c *cluster) beginsResponse(g *gateway, id string) bool {
	c.t.Helper()
	conn := c.beginRequest(g, "/check/a", id, 2*time.Second, 4<<10)
	const success = "HTTP/1.1 200"
	status := make([]byte, len(success))
	if _, err := io.ReadFull(conn, status); err != nil {
		c.t.Fatal(err)
	}
	return string(status) == success
}

// beginRequest sends a request on a connection of its own, which is closed when the test ends.
// readBuffer bounds the part of the response that the system holds for the caller.
func (c *cluster) beginRequest(g *gateway, path, id string, wait time.Duration, readBuffer int) net.Conn {
	c.t.Helper()
	conn, err := net.Dial("tcp", g.callerAddress)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.(*net.TCPConn).SetReadBuffer(readBuffer); err != nil {
		c.t.Fatal(err)
	}
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: site.example\r\nX-Filbertusher-Attempt-Id: %s\r\nX-Filbertusher-Deadline-Ms: %d\r\nX-Filbertusher-Credential: key\r\n\r\n", path, id, wait.Milliseconds())
	if err != nil {
		c.t.Fatal(err)
	}
	return conn
}
