package command

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"filbertusher/internal/admin"
)

// UnexpectedStatusError is returned when a process answers an admin request with an
// unexpected HTTP status.
type UnexpectedStatusError struct{ Status int }

// Error implements error.
func (e *UnexpectedStatusError) Error() string {
	return "the process responded with HTTP status " + strconv.Itoa(e.Status)
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

// callAdmin sends a request to the admin server of a process and returns the body
// of the response, which the caller must close. It returns an
// *UnexpectedStatusError if the status is not the expected one.
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
		return nil, &UnexpectedStatusError{Status: response.StatusCode}
	}
	return response.Body, nil
}
