package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"filbertusher/internal/httpresponse"
	"filbertusher/pkg/usher"
)

// TestInvalidResponses reads the responses in testdata/invalid, one a line, escaped as in Go, and
// prints what the clients get of them: a plain service, and an engine that is asked for a whole
// response, a stream, the rest of one, and to cancel a request.
func TestInvalidResponses(t *testing.T) {
	datadriven.RunTest(t, "testdata/invalid", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			response, err := strconv.Unquote(`"` + strings.TrimSpace(line) + `"`)
			if err != nil {
				t.Fatal(err)
			}
			out.WriteString(strings.Join(clientsGet(t, response), ", ") + "\n")
		}
		return out.String()
	})
}

// listen returns the address of a backend that answers one request on each connection, whose
// body is not read yet, and closes it.
func listen(t *testing.T, answer func(conn net.Conn, request *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				answer(conn, request)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// clientsGet returns what the clients get of a response with the request's ID in place of ID.
func clientsGet(t *testing.T, response string) []string {
	t.Helper()
	address := listen(t, func(conn net.Conn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, "ID", request.Header.Get(headerRequestID)))
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	transport := httpresponse.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	httpClient := &http.Client{Transport: transport}
	plain, model := NewPlainClient(address, httpClient, 64<<20), NewModelClient(address, httpClient, 64<<20)
	call := &usher.Call{Method: http.MethodPost, Path: "/v1/chat/completions", ContentType: "application/json", Body: []byte("{}")}

	plainAnswer, plainErr := plain.Call(ctx, "r1", 1, call)
	modelAnswer, modelErr := model.Call(ctx, "r2", 1, call)
	stream, streamAnswer, streamErr := model.Stream(ctx, "r3", 1, call)
	rest, restErr := model.Resume(ctx, "r4", 1)
	cancelErr := model.Cancel(ctx, "r5")
	return []string{
		answerText("plain", plainAnswer, plainErr), answerText("whole", modelAnswer, modelErr),
		streamText("stream", stream, streamAnswer, streamErr), streamText("rest", rest, nil, restErr), answerText("cancel", nil, cancelErr),
	}
}

func answerText(client string, answer *usher.Response, err error) string {
	switch {
	case err != nil:
		return client + " failed"
	case answer == nil:
		return client + " done"
	}
	return fmt.Sprintf("%s %d %q", client, answer.Status, answer.Body)
}

func streamText(client string, stream usher.EventStream, answer *usher.Response, err error) string {
	if stream == nil {
		return answerText(client, answer, err)
	}
	defer stream.Close()
	var events []string
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return client + " " + strings.Join(events, " ") + " end"
		}
		if err != nil {
			return client + " failed"
		}
		events = append(events, strconv.Quote(string(event.Data)))
	}
}
