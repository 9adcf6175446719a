package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// TestLines checks how lineWriter formats the JSON events in testdata/lines.
func TestLines(t *testing.T) {
	datadriven.RunTest(t, "testdata/lines", func(t *testing.T, d *datadriven.TestData) string {
		var out bytes.Buffer
		writer := &lineWriter{out: &out}
		for _, event := range strings.Split(d.Input, "\n") {
			if n, err := writer.Write([]byte(event)); n != len(event) || err != nil {
				t.Fatal(n, err)
			}
		}
		return out.String()
	})
}

func TestLoggerWritesOneLine(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out, zerolog.InfoLevel)
	logger.Debug().Msg("hidden")
	logger.Info().Str("text", "two\nlines").Int("count", 3).Msg("shown")
	_, line, _ := strings.Cut(out.String(), " ")
	if diff := cmp.Diff("level=info event=shown text=\"two\\nlines\" count=3\n", line); diff != "" {
		t.Error(diff)
	}
}

func FuzzLine(f *testing.F) {
	f.Add([]byte(`{"level":"info","a":[1,{"b":"}"}],"message":"m"}`))
	f.Add([]byte(`{"a":"\`))
	f.Fuzz(func(t *testing.T, event []byte) {
		var out bytes.Buffer
		if _, err := (&lineWriter{out: &out}).Write(event); err != nil {
			t.Fatal(err)
		}
	})
}
