// Package fleet starts the processes of the scheduler and simulated outside
// systems on the loopback interface, for the demo, the benchmarks and the
// integration tests. Every process listens on free ports and logs its addresses,
// which the package reads from the log.
package fleet

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
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

// Signal sends a signal, for example SIGSTOP to suspend the process.
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
