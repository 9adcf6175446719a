package httpresponse_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"filbertusher/internal/httpresponse"
)

// TestFramingScanner scans the bytes in testdata/framing, escaped as in TestVerify, at once and
// one by one, and prints the error.
func TestFramingScanner(t *testing.T) {
	datadriven.RunTest(t, "testdata/framing", func(t *testing.T, d *datadriven.TestData) string {
		var found strings.Builder
		for line := range strings.Lines(d.Input) {
			text := unquote(t, line)
			var scanner, byByte httpresponse.FramingScanner
			err := scanner.Scan([]byte(text))
			for i := 0; i < len(text); i++ {
				if errByByte := byByte.Scan([]byte{text[i]}); errByByte != nil {
					if fmt.Sprint(errByByte) != fmt.Sprint(err) {
						t.Errorf("%q: got %v, by single bytes %v", text, err, errByByte)
					}
					break
				}
				if i == len(text)-1 && err != nil {
					t.Errorf("%q: got %v, by single bytes none", text, err)
				}
			}
			fmt.Fprintln(&found, err)
		}
		return found.String()
	})
}

// Each response on a connection is scanned, and the one after a faulty one comes from another
// connection.
func TestTransportScansEachResponse(t *testing.T) {
	const sound, faulty = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
	responses := make(chan string, 4)
	for _, response := range []string{sound, "HTTP/1.1 100 Continue\r\n\r\n" + sound, faulty, sound} {
		responses <- response
	}
	close(responses)
	conns := make(chan net.Conn, cap(responses))
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		conns <- conn
		defer conn.Close()
		for response := range responses {
			_, _ = io.WriteString(conn, response)
			if request, err = http.ReadRequest(buffered.Reader); err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
		}
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := &http.Client{Transport: httpresponse.NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	var got []string
	for range cap(conns) {
		response, err := client.Post("http://"+listener.Addr().String(), "text/plain", strings.NewReader("x"))
		if err != nil {
			got = append(got, "failed")
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		got = append(got, fmt.Sprint(string(body), err))
	}
	if want := "hi<nil>, hi<nil>, failed, hi<nil>"; strings.Join(got, ", ") != want || len(conns) != 2 {
		t.Errorf("got %v on %d connections, want %s on 2", got, len(conns), want)
	}
}
