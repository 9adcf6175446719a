package httpresponse_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"filbertusher/internal/httpresponse"
)

// TestVerify reads the responses in testdata/verify, whose line breaks and control bytes are
// escaped as in Go, and prints what their reader gets.
func TestVerify(t *testing.T) {
	datadriven.RunTest(t, "testdata/verify", func(t *testing.T, d *datadriven.TestData) string {
		var read strings.Builder
		for line := range strings.Lines(d.Input) {
			read.WriteString(readResponse(unquote(t, line)) + "\n")
		}
		return read.String()
	})
}

// unquote returns the bytes that a line of test data stands for.
func unquote(t *testing.T, line string) string {
	t.Helper()
	text, err := strconv.Unquote(`"` + strings.TrimSpace(line) + `"`)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func readResponse(text string) string {
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		return "parser: " + err.Error()
	}
	if err := httpresponse.Verify(response); err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Sprintf("%d, body: %v", response.StatusCode, err)
	}
	return fmt.Sprintf("%d %q", response.StatusCode, body)
}

func ExampleVerify() {
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nhi")), nil)
	if err != nil {
		fmt.Println("parser:", err)
		return
	}
	fmt.Println(httpresponse.Verify(response))
	// Output: no valid answer was received: status 000
}
