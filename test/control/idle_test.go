package control_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
)

// rawCaller sends requests on one connection.
type rawCaller struct {
	net.Conn
	reader *bufio.Reader
}

func dialEntry(t *testing.T, entry *fleet.Member) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", entry.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &rawCaller{Conn: conn, reader: bufio.NewReader(conn)}
}

// post sends a question. timeout is in seconds, or empty for that of the tier.
func (c *rawCaller) post(t *testing.T, tokens int, stream bool, timeout string) {
	t.Helper()
	body, _ := json.Marshal(engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: tokens, Stream: stream, Messages: []engine.Message{{Role: "user", Content: "a prompt"}},
	})
	header := "Authorization: Bearer " + fleet.TokenOf(fleet.Regenfass) + "\r\n"
	if timeout != "" {
		header += "Filbertusher-Timeout: " + timeout + "\r\n"
	}
	// An error is seen by receive.
	_, _ = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

func (c *rawCaller) receive() *answer {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return &answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return &answer{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), keepAlive: response.Header.Get("Keep-Alive"), body: string(body), err: err}
}

// TestStoppingEntryAnswersOnIdleConnections guards against requests that cross the close of
// their idle connection when an entry stops. Callers can't tell that from a request that ran.
func TestStoppingEntryAnswersOnIdleConnections(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	plan := stoppingPlan(1, "20s")
	plan.CompanionArgs = nil
	cluster := newCluster(ctx, t, plan)
	entry := cluster.Entries[0]
	tests := []struct{ timeout, want string }{
		{"", leavingNotRun},
		// Its deadline lies before the end of the stop.
		{"10", wholeAnswer},
	}
	var callers []*rawCaller
	for range tests {
		caller := dialEntry(t, entry)
		caller.post(t, 1, false, "")
		got := caller.receive()
		if diff := cmp.Diff([]string{wholeAnswer, "timeout=2"}, []string{got.outcome(), got.keepAlive}); diff != "" {
			t.Error(diff)
		}
		callers = append(callers, caller)
	}
	entry.Signal(syscall.SIGTERM)
	if _, err := entry.Await(ctx, "stopping"); err != nil {
		t.Fatal(err)
	}
	// By then new requests are refused, and the callers may still use their connections.
	time.Sleep(time.Second)
	for i, test := range tests {
		callers[i].post(t, 1, false, test.timeout)
		if diff := cmp.Diff(test.want, callers[i].receive().outcome()); diff != "" {
			t.Errorf("timeout %q: %s", test.timeout, diff)
		}
	}
}
