package command

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"filbertusher/internal/admin"
)

// StatusError is returned when a process answers an operator with a failure.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return "the process answered with status " + strconv.Itoa(e.Status)
}

func newDumpCommand() *Command {
	command := New("dump", "print the state of a running process as JSON")
	var address string
	command.Subcommand.AddPositionalValue(&address, "ADDRESS", 1, true, "the operators' address of the process")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		body, err := callAdmin(ctx, http.MethodGet, address, admin.PathDump, http.StatusOK)
		if err != nil {
			return err
		}
		defer body.Close()
		_, err = io.Copy(out, body)
		return err
	}
	return command
}

// callAdmin calls the operators' side of a process. Any status but the expected
// one is a *StatusError. The caller closes the body.
func callAdmin(ctx context.Context, method, address, path string, expected int) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != expected {
		_ = response.Body.Close()
		return nil, &StatusError{Status: response.StatusCode}
	}
	return response.Body, nil
}
