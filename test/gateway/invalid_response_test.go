package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// rawReplica is a replica that writes the same bytes to each request, with the request's ID in
// place of ID, and closes the connection.
type rawReplica struct {
	response atomic.Pointer[string]
	requests atomic.Int64
}

// soundResponse is one that callers get as it is.
const soundResponse = "HTTP/1.1 200 OK\r\nX-Filbertusher-Attempt-Id: ID\r\nX-Filbertusher-Response-Seal: seal\r\nContent-Length: 0\r\n\r\n"

func (r *rawReplica) answer(conn net.Conn, request *http.Request) {
	r.requests.Add(1)
	_, _ = io.WriteString(conn, strings.ReplaceAll(*r.response.Load(), "ID", request.Header.Get("X-Filbertusher-Attempt-Id")))
	_ = conn.Close()
}

func (r *rawReplica) set(response string) { r.response.Store(&response) }

// TestInvalidResponses reads the responses in testdata/invalid_responses, one a line, escaped as
// in Go, and prints what callers of the four kinds of routes get of them.
func TestInvalidResponses(t *testing.T) {
	c := newCluster(t)
	raw := new(rawReplica)
	raw.set(soundResponse)
	c.registerScripted(newScriptedReplica(t, "d1", raw.answer), "desk", 4, "ready")
	c.registerScripted(newScriptedReplica(t, "m1", raw.answer), "model", 4, "ready")
	g := c.startGateway("g1")
	n := 0
	datadriven.RunTest(t, "testdata/invalid_responses", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			response, err := strconv.Unquote(`"` + strings.TrimSpace(line) + `"`)
			if err != nil {
				t.Fatal(err)
			}
			n++
			out.WriteString(callersGet(t, c, g, raw, response, n) + "\n")
		}
		return out.String()
	})
}

// callersGet returns what callers get of a response of the replica.
func callersGet(t *testing.T, c *cluster, g *gateway, raw *rawReplica, response string, n int) string {
	t.Helper()
	var all []string
	for _, path := range []string{"/order/a", "/check/a", "/plan/a", "/question/a"} {
		raw.set(soundResponse)
		c.awaitServed(g, path)
		raw.set(response)
		before := raw.requests.Load()
		got := g.call(t.Context(), http.MethodPost, path, fmt.Sprint("raw", n, path[1:3]))
		if raw.requests.Load() == before {
			t.Errorf("%s, %q: no request reached the replica", path, response)
		}
		all = append(all, summary(got))
	}
	for _, got := range all[1:] {
		if got != all[0] {
			return strings.Join(all, ", ")
		}
	}
	return all[0]
}

func summary(got callResult) string {
	if got.err != nil || got.status == http.StatusBadGateway {
		return "failed"
	}
	return fmt.Sprintf("%d %q", got.status, got.body)
}
