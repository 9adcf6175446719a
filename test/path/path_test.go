// Package path_test runs the complete request path as separate processes: entries,
// companions, engines, and ordering services, which scripts call desks. It compares
// the responses that callers receive with the scripts in testdata.
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

// testTimeout bounds a test, so that it ends when it hangs. No result depends on its
// value otherwise.
const testTimeout = 2 * time.Minute

func TestScripts(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	cluster, err := fleet.Deploy(ctx, binaries, fleet.Plan{
		Entries:       2,
		Engines:       [][]string{{"--decode-step", "1ms"}, {"--decode-step", "3ms"}},
		OrderServices: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	datadriven.Walk(t, "testdata/calls", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return send(ctx, t, cluster, d)
		})
	})
}

// send implements "METHOD /path [entry=N] [token=T] [header=(Name,Value)]" with the
// body as input, and prints the response. The token "none" sends no credential.
func send(ctx context.Context, t *testing.T, cluster *fleet.Deployment, d *datadriven.TestData) string {
	entry, token := 0, fleet.TokenOf(fleet.Regenfass)
	d.MaybeScanArgs(t, "entry", &entry)
	d.MaybeScanArgs(t, "token", &token)
	url := "http://" + cluster.Entries[entry].Address + d.CmdArgs[0].Key
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
	output := strconv.Itoa(response.StatusCode) + " " + response.Header.Get("Content-Type") + "\n" + string(mask(body))
	if err != nil {
		output += "\nerror: " + err.Error()
	}
	return output + "\n"
}

// requestID matches request IDs, which differ between runs.
var requestID = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}-[0-9a-z]+`)

func mask(body []byte) []byte {
	body = bytes.ReplaceAll(bytes.TrimSpace(body), []byte("\n\n"), []byte("\n"))
	return requestID.ReplaceAll(body, []byte("ID"))
}
