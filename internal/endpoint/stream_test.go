package endpoint

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"

	"filbertusher/pkg/usher"
)

// TestStreams parses the event stream of each script and builds a complete
// response from it.
func TestStreams(t *testing.T) {
	datadriven.RunTest(t, "testdata/streams", func(_ *testing.T, d *datadriven.TestData) string {
		body := strings.ReplaceAll(d.Input, "\n.\n", "\n\n") + "\n\n"
		var builder completionBuilder
		var next uint64
		if err := builder.read(newEventStream(io.NopCloser(strings.NewReader(body))), &next); err != nil {
			return "stream failed after " + strconv.FormatUint(next, 10) + " events: " + err.Error() + "\n"
		}
		answer, err := builder.response("r1")
		if err != nil {
			return "incomplete response: " + err.Error() + "\n"
		}
		return string(answer.Body) + "\n"
	})
}

// FuzzStream checks that a stream ends without an error only if its input has an
// end marker, and that each event's offset appears in the input.
func FuzzStream(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\nid: 1\ndata: [DONE]\n\n"))
	f.Add([]byte("id: 0\ndata: a\ndata: b\n\nid: x\ndata: c\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		stream := newEventStream(io.NopCloser(bytes.NewReader(body)))
		defer stream.Close()
		for {
			event, err := stream.Next()
			if errors.Is(err, io.EOF) {
				if !bytes.Contains(body, []byte(doneMarker)) {
					t.Fatalf("%q ended without an error but has no end marker", body)
				}
				break
			}
			if err != nil {
				break
			}
			if diff := cmp.Diff(true, bytes.Contains(body, []byte(strconv.FormatUint(event.Offset, 10)))); diff != "" {
				t.Fatal(diff)
			}
		}
		var builder completionBuilder
		var next uint64
		if builder.read(newEventStream(io.NopCloser(bytes.NewReader(body))), &next) == nil {
			_, _ = builder.response(usher.RequestID("r"))
		}
	})
}
