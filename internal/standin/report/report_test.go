package report_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/standin/report"
)

var update = flag.Bool("update", false, "update the expected report in testdata")

func render(t *testing.T, lines string) string {
	t.Helper()
	runs, err := report.Read(strings.NewReader(lines))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := report.Write(&out, runs); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestReport(t *testing.T) {
	lines, err := os.ReadFile(filepath.Join("testdata", "results.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	got := render(t, string(lines))
	expected := filepath.Join("testdata", "report.html")
	if *update {
		if err := os.WriteFile(expected, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(expected)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}

// TestReportIsSelfContained checks that markup in the results file can't add
// scripts, images or links to the report, and that the plots are well-formed XML.
func TestReportIsSelfContained(t *testing.T) {
	injected := `{"kind":"mark","mark":{"mix":"<script>","policy":"p\"","load":1,"seed":1,"at":1000000000,"what":"</svg><img src=x>"}}` + "\n"
	got := render(t, injected)
	for _, markup := range []string{"<script", "<img", "src=", "href="} {
		if strings.Contains(strings.ReplaceAll(got, "&lt;/svg&gt;&lt;img src=x&gt;", ""), markup) {
			t.Errorf("the report contains %q", markup)
		}
	}
	for _, plot := range strings.SplitAfter(got, "</svg>") {
		if _, svg, ok := strings.Cut(plot, "<svg"); ok {
			decoder := xml.NewDecoder(strings.NewReader("<svg" + svg))
			for {
				if _, err := decoder.Token(); errors.Is(err, io.EOF) {
					break
				} else if err != nil {
					t.Fatalf("plot: %v", err)
				}
			}
		}
	}
}

func TestMalformedLine(t *testing.T) {
	_, err := report.Read(strings.NewReader("{}\nnothing\n"))
	var malformed *report.LineError
	if !errors.As(err, &malformed) || malformed.Number != 2 {
		t.Errorf("got %v, want a LineError of line 2", err)
	}
}
