package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// A backend sends part of a body without a length while the request is still written, and resets
// the connection, at once or after it has ended its half of it. A whole response needs a length
// or chunks, and a stream its end mark, so neither is complete.
func TestResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	const uploadBytes, resetDelay = 16 << 20, 30 * time.Millisecond
	for _, ends := range []bool{false, true} {
		t.Run(fmt.Sprint("end ", ends), func(t *testing.T) {
			address := listen(t, func(conn net.Conn, request *http.Request) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: a\n\n", headerRequestID, request.Header.Get(headerRequestID))
				if ends {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
				time.Sleep(resetDelay)
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			httpClient := &http.Client{Transport: transport}
			call := &usher.Call{Method: http.MethodPost, Path: "/v1/chat/completions", ContentType: "application/json", Body: make([]byte, uploadBytes)}
			if answer, err := NewPlainClient(address, httpClient, 64<<20).Call(ctx, "r1", 1, call); err == nil {
				t.Errorf("the plain service answered %+v", answer)
			}
			model := NewModelClient(address, httpClient, 64<<20)
			if answer, err := model.Call(ctx, "r2", 1, call); err == nil {
				t.Errorf("the engine answered %+v", answer)
			}
			stream, answer, err := model.Stream(ctx, "r3", 1, call)
			if err != nil {
				return
			}
			if stream == nil {
				t.Fatalf("the engine answered %+v", answer)
			}
			defer stream.Close()
			for err == nil {
				_, err = stream.Next()
			}
			if err == io.EOF {
				t.Error("the stream ended as complete")
			}
		})
	}
}
