package control_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strings"

	"github.com/cockroachdb/datadriven"
)

// variableText matches the change IDs, times and addresses in outputs, which differ
// from run to run.
var variableText = regexp.MustCompile(`\b[0-9a-f]{16}\b|\d{4}-\d\d-\d\dT[0-9:]+Z|127\.0\.1\.2:\d+`)

// cli implements "cli ARGS", which runs the product's command line and prints the
// output and the exit status. In ARGS, FILE stands for a file with the directive's
// input, STORE for the store's address and ADMIN-NAME for the admin address of a
// process.
func (s *script) cli(d *datadriven.TestData) (string, error) {
	var args []string
	for _, cmdArg := range d.CmdArgs {
		args = append(args, cmdArg.String())
	}
	output, status := s.runCommand(args, d.Input)
	return variableText.ReplaceAllString(output, "*") + fmt.Sprint("exit ", status), nil
}

func (s *script) runCommand(args []string, input string) (string, int) {
	path := filepath.Join(s.dir, "declarations.yaml")
	if input != "" {
		_ = os.WriteFile(path, []byte(input), 0o600)
	}
	for i := range args {
		args[i] = strings.ReplaceAll(strings.ReplaceAll(args[i], "STORE", s.cluster.Store.Address), "FILE", path)
		for name, member := range s.processes {
			args[i] = strings.ReplaceAll(args[i], "ADMIN-"+name, member.Admin)
		}
	}
	command := exec.CommandContext(s.ctx, binaries.Scheduler, args...)
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	err := command.Run()
	return strings.ReplaceAll(output.String(), s.dir, ""), exitStatus(err)
}

func exitStatus(err error) int {
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return exitErr.ExitCode()
	}
	if err != nil {
		return -1
	}
	return 0
}

// race implements "race ARGS", which runs the same command in two concurrent
// processes, with different authors in place of AUTHOR, and prints the sorted exit
// statuses.
func (s *script) race(d *datadriven.TestData) (string, error) {
	statuses := make(chan int, 2)
	for _, author := range []string{"ann", "bob"} {
		var args []string
		for _, cmdArg := range d.CmdArgs {
			args = append(args, strings.ReplaceAll(cmdArg.String(), "AUTHOR", author))
		}
		input := strings.ReplaceAll(d.Input, "AUTHOR", author)
		raceScript := &script{ctx: s.ctx, cluster: s.cluster, dir: filepath.Join(s.dir, author)}
		_ = os.MkdirAll(raceScript.dir, 0o700)
		go func() {
			_, status := raceScript.runCommand(args, input)
			statuses <- status
		}()
	}
	exits := []int{<-statuses, <-statuses}
	sort.Ints(exits)
	return fmt.Sprint("exits ", exits), nil
}
