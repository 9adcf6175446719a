// Package fleet starts the processes of the scheduler and simulated outside
// systems on the loopback interface, for the demo, the benchmarks and the
// integration tests. Every process listens on free ports and logs its addresses,
// which the package reads from the log.
package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// startTimeout bounds the time a process takes to log its addresses.
const startTimeout = 20 * time.Second

// Process is a process whose log is collected line by line.
type Process struct {
	Name    string
	command *exec.Cmd
	exited  chan struct{}
	err     error

	mu      sync.Mutex
	lines   []string
	changed chan struct{}
}

// ExitError is returned if a process exited before it logged an awaited event.
type ExitError struct {
	Name string
	Log  string
}

// Error implements error.
func (e *ExitError) Error() string {
	return "process " + e.Name + " exited before the awaited event:\n" + e.Log
}

// AwaitError is returned if a process did not log an awaited event in time.
type AwaitError struct {
	Name, Event string
	Log         string
}

// Error implements error.
func (e *AwaitError) Error() string {
	return "process " + e.Name + " did not log " + e.Event + " in time:\n" + e.Log
}

// FreezeError is returned if a process could not be suspended, for example because it
// has exited.
type FreezeError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *FreezeError) Error() string {
	return "process " + e.Name + " is not suspended: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FreezeError) Unwrap() error { return e.Cause }

// Start starts a program and collects its standard output and standard error as
// its log.
func Start(name, binary string, args ...string) (*Process, error) {
	command := exec.Command(binary, args...)
	// Kill the process when the test process dies, so that none is left behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	command.Stderr = writer
	command.Stdout = writer
	if err := command.Start(); err != nil {
		return nil, err
	}
	_ = writer.Close()
	p := &Process{Name: name, command: command, exited: make(chan struct{}), changed: make(chan struct{})}
	go p.collectLog(reader)
	return p, nil
}

func (p *Process) collectLog(log io.ReadCloser) {
	defer log.Close()
	scanner := bufio.NewScanner(log)
	// A log line may have up to 1 MiB.
	scanner.Buffer(make([]byte, 0, 64<<10), 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
	}
	p.err = p.command.Wait()
	close(p.exited)
}

// Await returns the first log line of an event that has all the given "key=value"
// fields. It waits for the line until ctx is done.
func (p *Process) Await(ctx context.Context, event string, fields ...string) (string, error) {
	seen := 0
	for {
		p.mu.Lock()
		lines, changed := p.lines[seen:], p.changed
		seen = len(p.lines)
		p.mu.Unlock()
		for _, line := range lines {
			if matches(line, event, fields) {
				return line, nil
			}
		}
		select {
		case <-changed:
		case <-p.exited:
			return "", &ExitError{Name: p.Name, Log: p.Log()}
		case <-ctx.Done():
			return "", &AwaitError{Name: p.Name, Event: event, Log: p.Log()}
		}
	}
}

func matches(line, event string, fields []string) bool {
	if Field(line, "event") != event {
		return false
	}
	for _, field := range fields {
		key, value, _ := strings.Cut(field, "=")
		if Field(line, key) != value {
			return false
		}
	}
	return true
}

// Field returns the value of a key in a log line, or "".
func Field(line, key string) string {
	for _, pair := range strings.Fields(line) {
		if value, ok := strings.CutPrefix(pair, key+"="); ok {
			return value
		}
	}
	return ""
}

// awaitField waits for an event and returns the value of one of its fields.
func (p *Process) awaitField(event, key string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	line, err := p.Await(ctx, event)
	return Field(line, key), err
}

// Log returns all that the process has logged so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// PeakResidentBytes returns the most memory that the process has used.
func (p *Process) PeakResidentBytes() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, err := strconv.ParseInt(number, 10, 64)
	return kilobytes << 10, err
}

// freezeTimeout bounds the time until a signalled process is suspended.
const freezeTimeout = 10 * time.Second

// Freeze suspends the process and waits until all its threads are suspended. On a busy
// machine they may run on for a while after the signal was sent.
func (p *Process) Freeze() error {
	p.Signal(syscall.SIGSTOP)
	for deadline := time.Now().Add(freezeTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		var info unix.Siginfo
		err := unix.Waitid(unix.P_PID, p.PID(), &info, unix.WSTOPPED|unix.WNOHANG, nil)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return &FreezeError{Name: p.Name, Cause: os.NewSyscallError("waitid", err)}
		case info.Signo == int32(syscall.SIGCHLD):
			return nil
		}
	}
	return &FreezeError{Name: p.Name, Cause: context.DeadlineExceeded}
}

// Resume lets a suspended process run again.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Signal sends a signal. Use Freeze for SIGSTOP if what follows relies on its effect.
func (p *Process) Signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Err waits until the process has exited and returns nil for exit status 0.
func (p *Process) Err() error {
	<-p.exited
	return p.err
}

// Stop requests a graceful shutdown and waits until the process has exited. It
// returns nil for exit status 0.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	return p.Err()
}
