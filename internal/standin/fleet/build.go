package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
)

// BuildError is returned when the programs can't be built.
type BuildError struct {
	Output string
	Cause  error
}

// Error implements error.
func (e *BuildError) Error() string { return "build failed: " + e.Cause.Error() + "\n" + e.Output }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Cause }

var built = sync.OnceValues(build)

// Build returns the programs, built with the race detector once for each test
// process, so that a test never runs programs that are older than the code.
// The caller removes the returned folder when its tests are done.
func Build() (Binaries, string, error) {
	folder, err := built()
	return Binaries{
		Product: filepath.Join(folder, "filbertusher"),
		Standin: filepath.Join(folder, "standin"),
	}, folder, err
}

func build() (string, error) {
	folder, err := os.MkdirTemp("", "filbertusher-test-")
	if err != nil {
		return "", err
	}
	_, file, _, _ := runtime.Caller(0)
	root := filepath.Join(filepath.Dir(file), "..", "..", "..")
	command := exec.Command("go", "build", "-race", "-o", folder+string(filepath.Separator), "./cmd/...")
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return folder, &BuildError{Output: string(output), Cause: err}
	}
	return folder, nil
}

// RunTests builds the programs, runs the tests of a package with them, and
// returns the exit status. It is for TestMain.
func RunTests(into *Binaries, run func() int) int {
	binaries, folder, err := Build()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	*into = binaries
	return run()
}
