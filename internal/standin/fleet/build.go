package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
)

// BuildError is returned if the programs can't be built.
type BuildError struct {
	Output string
	Cause  error
}

// Error implements error.
func (e *BuildError) Error() string { return "build failed: " + e.Cause.Error() + "\n" + e.Output }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Cause }

var buildOnce = sync.OnceValues(func() (string, error) { return build("-race") })

// Build builds the programs with the race detector and returns their paths and
// the directory that holds them. It builds them once in each test process, so that
// tests never run programs that are older than the source code. The caller has to
// remove the directory after its tests.
func Build() (Binaries, string, error) { return binariesOf(buildOnce()) }

// BuildPlain is Build without the race detector, for tests of how much memory a program
// uses. It builds the programs each time.
func BuildPlain() (Binaries, string, error) { return binariesOf(build()) }

func binariesOf(directory string, err error) (Binaries, string, error) {
	return Binaries{
		Scheduler: filepath.Join(directory, "filbertusher"),
		Standin:   filepath.Join(directory, "standin"),
	}, directory, err
}

func build(flags ...string) (string, error) {
	directory, err := os.MkdirTemp("", "filbertusher-test-")
	if err != nil {
		return "", err
	}
	_, file, _, _ := runtime.Caller(0)
	root := filepath.Join(filepath.Dir(file), "..", "..", "..")
	arguments := append([]string{"build", "-o", directory + string(filepath.Separator)}, flags...)
	command := exec.Command("go", append(arguments, "./cmd/...")...)
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return directory, &BuildError{Output: string(output), Cause: err}
	}
	return directory, nil
}

// RunTests builds the programs, stores their paths in into, runs the tests of a
// package and returns the exit status. It is meant for TestMain.
func RunTests(into *Binaries, run func() int) int {
	binaries, directory, err := Build()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	*into = binaries
	return run()
}
