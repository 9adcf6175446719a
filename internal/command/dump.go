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
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+admin.PathDump, nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return &StatusError{Status: response.StatusCode}
		}
		_, err = io.Copy(out, response.Body)
		return err
	}
	return command
}
