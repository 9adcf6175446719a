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

// TestStreams reads the event stream of each script and puts a whole answer
// together from it.
func TestStreams(t *testing.T) {
	datadriven.RunTest(t, "testdata/streams", func(_ *testing.T, d *datadriven.TestData) string {
		body := strings.ReplaceAll(d.Input, "\n.\n", "\n\n") + "\n\n"
		var parts assembly
		var next uint64
		if err := parts.read(newEventStream(io.NopCloser(strings.NewReader(body))), &next); err != nil {
			return "broken after " + strconv.FormatUint(next, 10) + " events: " + err.Error() + "\n"
		}
		answer, err := parts.answer("r1")
		if err != nil {
			return "not whole: " + err.Error() + "\n"
		}
		return string(answer.Body) + "\n"
	})
}

// FuzzStream checks that a stream is whole only with its end mark, and that
// its events are numbered as they came.
func FuzzStream(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\nid: 1\ndata: [DONE]\n\n"))
	f.Add([]byte("id: 0\ndata: a\ndata: b\n\nid: x\ndata: c\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		stream := newEventStream(io.NopCloser(bytes.NewReader(body)))
		defer stream.Close()
		for {
			event, err := stream.Next()
			if errors.Is(err, io.EOF) {
				if !bytes.Contains(body, []byte(doneMark)) {
					t.Fatalf("%q passed for whole", body)
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
		var parts assembly
		var next uint64
		if parts.read(newEventStream(io.NopCloser(bytes.NewReader(body))), &next) == nil {
			_, _ = parts.answer(usher.RequestID("r"))
		}
	})
}
