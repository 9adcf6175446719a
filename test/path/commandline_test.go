package path_test

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestCommandLine runs a program with the arguments in the input and prints its
// exit status and output, or with "first" only the first line of the output. "env"
// sets an environment variable.
func TestCommandLine(t *testing.T) {
	datadriven.Walk(t, "testdata/commandline", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			binary := binaries.Scheduler
			if d.Cmd == "standin" {
				binary = binaries.Standin
			}
			var out bytes.Buffer
			command := exec.CommandContext(t.Context(), binary, strings.Fields(d.Input)...)
			command.Stdout, command.Stderr = &out, &out
			command.Env = append(os.Environ(), environment(d)...)
			status := 0
			var exit *exec.ExitError
			if err := command.Run(); errors.As(err, &exit) {
				status = exit.ExitCode()
			} else if err != nil {
				t.Fatal(err)
			}
			text := out.String()
			if d.HasArg("first") {
				text, _, _ = strings.Cut(strings.TrimSpace(text), "\n")
			}
			return "exit " + strconv.Itoa(status) + "\n" + strings.TrimSpace(text) + "\n"
		})
	})
}

func environment(d *datadriven.TestData) []string {
	var env []string
	for _, arg := range d.CmdArgs {
		if arg.Key == "env" {
			env = append(env, arg.Vals[0]+"="+arg.Vals[1])
		}
	}
	return env
}
