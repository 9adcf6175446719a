package path_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/standin/commands"
	"filbertusher/internal/standin/fleet"
)

// apiPage is the path of the API documentation whose examples are run.
const apiPage = "../../docs/api.md"

// example matches a block of commands and the following block with their output.
var example = regexp.MustCompile("```sh\n([^`]*)```\n\n```text\n([^`]*)```")

// setup matches the block with the shell function that the examples call.
var setup = regexp.MustCompile("(?s)```sh\n(ask\\(\\).*?)```")

// TestExamples runs every example of the API documentation and compares its
// output. With -rewrite it writes the outputs into the page instead.
func TestExamples(t *testing.T) {
	for _, tool := range []string{"bash", "curl"} {
		if _, err := exec.LookPath(tool); err != nil {
			t.Skip("the examples require", tool)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	cluster, err := fleet.Deploy(ctx, binaries, commands.DemoPlan())
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	page, err := os.ReadFile(apiPage)
	if err != nil {
		t.Fatal(err)
	}
	function := setup.FindSubmatch(page)[1]
	env := append(os.Environ(), "ENTRY=http://"+cluster.Entries[0].Address, "TOKEN="+fleet.TokenOf(fleet.Regenfass))
	ran := example.ReplaceAllFunc(page, func(block []byte) []byte {
		script := example.FindSubmatch(block)[1]
		command := exec.CommandContext(ctx, "bash", "-c", string(function)+string(script))
		command.Env = env
		// A script that fails shows in the output that is compared.
		output, _ := command.CombinedOutput()
		output = append(mask(output), '\n')
		return []byte("```sh\n" + string(script) + "```\n\n```text\n" + strings.TrimLeft(string(output), "\n") + "```")
	})
	if rewrite := flag.Lookup("rewrite"); rewrite != nil && rewrite.Value.String() == "true" {
		if err := os.WriteFile(apiPage, ran, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if !bytes.Equal(page, ran) {
		t.Error(cmp.Diff(strings.Split(string(page), "\n"), strings.Split(string(ran), "\n")))
	}
}
