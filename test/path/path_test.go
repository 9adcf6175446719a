// Package path_test runs the whole path as separate processes and compares
// what callers see with the scripts in testdata.
package path_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"filbertusher/internal/standin/fleet"
)

var binaries fleet.Binaries

func TestMain(m *testing.M) { os.Exit(fleet.RunTests(&binaries, m.Run)) }

// testTimeout ends a test that hangs; no verdict depends on it otherwise.
const testTimeout = 2 * time.Minute

func TestScripts(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	whole, err := fleet.NewWhole(ctx, binaries, fleet.Plan{
		Entries: 2,
		Engines: [][]string{{"--decode-step", "1ms"}, {"--decode-step", "3ms"}},
		Desks:   1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(whole.Close)
	datadriven.Walk(t, "testdata/calls", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return send(ctx, t, whole, d)
		})
	})
}

// send runs one directive: "POST /path [entry=N] [token=T] [header=(Name,Value)]"
// with the body as input.
func send(ctx context.Context, t *testing.T, whole *fleet.Whole, d *datadriven.TestData) string {
	entry, token := 0, fleet.TokenOf(fleet.Regenfass)
	d.MaybeScanArgs(t, "entry", &entry)
	d.MaybeScanArgs(t, "token", &token)
	url := "http://" + whole.Entries[entry].Address + d.CmdArgs[0].Key
	request, err := http.NewRequestWithContext(ctx, d.Cmd, url, strings.NewReader(d.Input))
	if err != nil {
		t.Fatal(err)
	}
	if token != "none" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	for _, arg := range d.CmdArgs {
		if arg.Key == "header" {
			request.Header.Set(arg.Vals[0], arg.Vals[1])
		}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "error: " + err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	out := strconv.Itoa(response.StatusCode) + " " + response.Header.Get("Content-Type") + "\n" + string(mask(body))
	if err != nil {
		out += "\nerror: " + err.Error()
	}
	return out + "\n"
}

// requestID matches the ids that differ from run to run.
var requestID = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}-[0-9a-z]+`)

func mask(body []byte) []byte {
	body = bytes.ReplaceAll(bytes.TrimSpace(body), []byte("\n\n"), []byte("\n"))
	return requestID.ReplaceAll(body, []byte("ID"))
}
