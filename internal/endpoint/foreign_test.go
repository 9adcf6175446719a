package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// A service sends each answer twice. The second copy comes late: on a connection that is
// in use again it arrives before the answer to the next request. No caller gets the
// answer to another request, whether or not the service repeats the IDs of requests.
func TestLateCopyOfResponse(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go sendCopies(conn, echoes)
			}
		}()
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		client := NewPlainClient(listener.Addr().String(), &http.Client{Transport: transport}, 64<<20)
		answered := 0
		for i := range 20 {
			id := usher.RequestID(fmt.Sprint("r", i))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			answer, err := client.Call(ctx, id, 1, &usher.Call{Method: http.MethodPost, Path: "/orders", Body: []byte("x")})
			cancel()
			foreign := new(ForeignResponseError)
			switch {
			case err == nil && string(answer.Body) == "answer to "+string(id):
				answered++
			case err == nil:
				t.Errorf("echoes %v: the caller of %s got %q", echoes, id, answer.Body)
			case !errors.As(err, &foreign):
				t.Errorf("echoes %v: the caller of %s got %v", echoes, id, err)
			}
		}
		if answered < 10 {
			t.Errorf("echoes %v: %d of 20 requests were answered, want at least 10", echoes, answered)
		}
	}
}

// sendCopies answers requests. Before each answer but the first it sends the one before
// it again.
func sendCopies(conn net.Conn, echoes bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(headerRequestID)
		body := "answer to " + id
		echo := ""
		if echoes {
			echo = headerRequestID + ": " + id + "\r\n"
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(body), body)
		_, _ = io.WriteString(conn, late+answer)
		late = answer
	}
}
