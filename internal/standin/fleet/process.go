// Package fleet starts the product's processes and the stand-ins on loopback,
// for the demo, the benchmarks and the integration tests. Every process picks
// its own ports and logs them; the fleet reads them from there.
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

// startTimeout bounds how long a process may take to log its address.
const startTimeout = 20 * time.Second

// Process is a running program whose log is read line by line.
type Process struct {
	Name    string
	command *exec.Cmd
	exited  chan struct{}
	err     error

	mu      sync.Mutex
	lines   []string
	changed chan struct{}
}

// ExitError is returned when a process ended while something was awaited.
type ExitError struct {
	Name string
	Log  string
}

// Error implements error.
func (e *ExitError) Error() string { return "process " + e.Name + " ended early:\n" + e.Log }

// AwaitError is returned when a process did not log what was awaited.
type AwaitError struct {
	Name, Event string
	Log         string
}

// Error implements error.
func (e *AwaitError) Error() string {
	return "process " + e.Name + " did not log " + e.Event + ":\n" + e.Log
}

// Start runs a program. Its log is on standard error.
func Start(name, binary string, args ...string) (*Process, error) {
	command := exec.Command(binary, args...)
	// A process must not outlive the one that started it.
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
	go p.read(reader)
	return p, nil
}

func (p *Process) read(log io.ReadCloser) {
	defer log.Close()
	scanner := bufio.NewScanner(log)
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

// Await returns the first log line of an event that has every given
// "key=value" part, waiting for it until ctx ends.
func (p *Process) Await(ctx context.Context, event string, parts ...string) (string, error) {
	seen := 0
	for {
		p.mu.Lock()
		lines, changed := p.lines[seen:], p.changed
		seen = len(p.lines)
		p.mu.Unlock()
		for _, line := range lines {
			if matches(line, event, parts) {
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

func matches(line, event string, parts []string) bool {
	if Field(line, "event") != event {
		return false
	}
	for _, part := range parts {
		key, value, _ := strings.Cut(part, "=")
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

// awaitField waits for an event and returns one of its fields.
func (p *Process) awaitField(event, key string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	line, err := p.Await(ctx, event)
	return Field(line, key), err
}

// Log returns what the process has logged.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// PID returns the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal, for example SIGSTOP to freeze the process.
func (p *Process) Signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited is closed when the process has ended; Err is set then.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Err returns how an ended process ended; nil is exit status 0.
func (p *Process) Err() error {
	<-p.exited
	return p.err
}

// Stop asks for a planned stop and waits until the process has ended.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	return p.Err()
}
