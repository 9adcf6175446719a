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

var masked = regexp.MustCompile(`\b[0-9a-f]{16}\b|\d{4}-\d\d-\d\dT[0-9:]+Z|127\.0\.1\.2:\d+`)

// cli runs the product's command line; the input, if any, is the file FILE.
func (s *script) cli(d *datadriven.TestData) (string, error) {
	var args []string
	for _, one := range d.CmdArgs {
		args = append(args, one.String())
	}
	output, status := s.command(args, d.Input)
	return masked.ReplaceAllString(output, "*") + fmt.Sprint("exit ", status), nil
}

func (s *script) command(args []string, input string) (string, int) {
	file := filepath.Join(s.folder, "declarations.yaml")
	if input != "" {
		_ = os.WriteFile(file, []byte(input), 0o600)
	}
	for i := range args {
		args[i] = strings.ReplaceAll(strings.ReplaceAll(args[i], "STORE", s.fleet.Store.Address), "FILE", file)
		for name, member := range s.processes {
			args[i] = strings.ReplaceAll(args[i], "ADMIN-"+name, member.Admin)
		}
	}
	command := exec.CommandContext(s.ctx, binaries.Product, args...)
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	err := command.Run()
	return strings.ReplaceAll(output.String(), s.folder, ""), exitStatus(err)
}

func exitStatus(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	if err != nil {
		return -1
	}
	return 0
}

// race runs the same command in two processes at once, each with its own
// author, and prints the exit statuses in order.
func (s *script) race(d *datadriven.TestData) (string, error) {
	statuses := make(chan int, 2)
	for _, author := range []string{"ann", "bob"} {
		var args []string
		for _, one := range d.CmdArgs {
			args = append(args, strings.ReplaceAll(one.String(), "AUTHOR", author))
		}
		input := strings.ReplaceAll(d.Input, "AUTHOR", author)
		own := &script{ctx: s.ctx, fleet: s.fleet, folder: filepath.Join(s.folder, author)}
		_ = os.MkdirAll(own.folder, 0o700)
		go func() {
			_, status := own.command(args, input)
			statuses <- status
		}()
	}
	both := []int{<-statuses, <-statuses}
	sort.Ints(both)
	return fmt.Sprint("exits ", both), nil
}
