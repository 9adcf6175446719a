package command

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"filbertusher/internal/admin"
	"filbertusher/internal/config"
	"filbertusher/internal/platform"
	"filbertusher/pkg/usher"
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

// newPutCommand writes one declared object as it stands.
func newPutCommand() *Command {
	command := New("put", "write one declared object from standard JSON")
	var store, kind, name, value string
	command.Settings.Address(&store, "store", "", true, "the platform's object API")
	command.Subcommand.AddPositionalValue(&kind, "KIND", 1, true, "the kind of the object")
	command.Subcommand.AddPositionalValue(&name, "NAME", 2, true, "the name of the object")
	command.Subcommand.AddPositionalValue(&value, "VALUE", 3, true, "the object as JSON")
	command.Run = func(ctx context.Context, _, _ io.Writer) error {
		client := platform.New(store, http.DefaultClient)
		key := config.Key(config.Kind(kind), name)
		current, err := client.Get(ctx, key)
		var missing *usher.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			return err
		}
		_, err = client.Put(ctx, key, current.Version, []byte(value))
		return err
	}
	return command
}
