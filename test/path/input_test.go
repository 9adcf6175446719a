package path_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
)

// hangTimeout bounds the wait for a response.
const hangTimeout = 15 * time.Second

// TestBadInput sends malformed requests as raw bytes and checks that each one is
// refused before an endpoint does any work.
func TestBadInput(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	cluster, err := fleet.Deploy(ctx, binaries, fleet.Plan{
		Entries: 1, Engines: [][]string{nil}, OrderServices: 1,
		EntryArgs: []string{"--body-timeout", "300ms", "--max-body", "20000"},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	datadriven.Walk(t, "testdata/input", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return sendRaw(ctx, t, cluster.Entries[0].Address, d)
		})
	})
	var totals engine.Totals
	if err := cluster.Engines[0].GetControl(ctx, "totals", &totals); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(engine.Totals{}, totals); diff != "" {
		t.Errorf("the engine ran requests:\n%s", diff)
	}
	executions := map[string]int{}
	if err := cluster.OrderServices[0].GetControl(ctx, "executions", &executions); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]int{}, executions); diff != "" {
		t.Errorf("the ordering service ran requests:\n%s", diff)
	}
}

// sendRaw sends the input with the line endings of HTTP and prints the response.
// TOKEN, LENGTH, A(n), DEEP(n) and BYTE(n) stand for a bearer token, the length of
// the body, n letters, n opening brackets and the byte with value n. With "close"
// the caller closes its side of the connection after the input, and otherwise
// leaves it open. With "unfinished" the header has no end.
func sendRaw(ctx context.Context, t *testing.T, address string, d *datadriven.TestData) string {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	head, body, hasBody := strings.Cut(d.Input, "\nBODY ")
	text := strings.ReplaceAll(head, "\n", "\r\n")
	if !d.HasArg("unfinished") {
		text += "\r\n\r\n"
	}
	text = expand(t, strings.ReplaceAll(text, "TOKEN", fleet.TokenOf(fleet.Regenfass)))
	if hasBody {
		body = expand(t, body)
		text = strings.ReplaceAll(text, "LENGTH", strconv.Itoa(len(body))) + body
	}
	// The entry may refuse the request and close the connection before it has read
	// everything.
	_, _ = conn.Write([]byte(text))
	if d.HasArg("close") {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no response: " + err.Error() + "\n"
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return strconv.Itoa(response.StatusCode) + " " + response.Header.Get("Content-Type") + "\n" + string(mask(answer)) + "\n"
}

// expand replaces each NAME(n) in the text.
func expand(t *testing.T, text string) string {
	for name, fill := range map[string]func(n int) string{
		"A":    func(n int) string { return strings.Repeat("a", n) },
		"DEEP": func(n int) string { return strings.Repeat("[", n) },
		"BYTE": func(n int) string { return string([]byte{byte(n)}) },
	} {
		for {
			before, rest, found := strings.Cut(text, name+"(")
			if !found {
				break
			}
			digits, after, _ := strings.Cut(rest, ")")
			n, err := strconv.Atoi(digits)
			if err != nil {
				t.Fatal(err)
			}
			text = before + fill(n) + after
		}
	}
	return text
}
