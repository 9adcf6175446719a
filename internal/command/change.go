package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"filbertusher/internal/admin"
	"filbertusher/internal/config"
	"filbertusher/internal/declare"
	"filbertusher/internal/operator"
	"filbertusher/internal/settings"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

// The commands in this file change the configuration or stop processes. Those that
// only read the configuration are in inspect.go.

// changeSettings holds the settings of commands that change the configuration.
type changeSettings struct {
	store  string
	author string
	note   string
}

func (s *changeSettings) declare(set *settings.Set) {
	set.Address(&s.store, "store", "", true, "the address of the platform's object API")
	set.String(&s.author, "author", "", true, "the author of the change, for the history")
	set.String(&s.note, "note", "", false, "the reason for the change, for the history")
}

func (s *changeSettings) operator() *operator.Client {
	return operator.New(platform.NewClientAt(s.store), s.author)
}

// printResult prints an accepted change, or wraps err with its exit status.
func printResult(out io.Writer, head *config.Head, err error) error {
	if err != nil {
		return withExitStatus(err)
	}
	fmt.Fprintln(out, "accepted:", operator.FormatHead(head))
	return nil
}

func withExitStatus(err error) error {
	var (
		conflict       *operator.ConflictError
		headConflict   *usher.ConflictError
		unknownOutcome *operator.UnknownOutcomeError
		invalid        *declare.Error
		validation     *config.ValidationError
		notDeclared    *operator.NotDeclaredError
	)
	switch {
	case errors.As(err, &conflict), errors.As(err, &headConflict):
		return &ExitError{Status: ExitConflict, Cause: err}
	case errors.As(err, &unknownOutcome):
		return &ExitError{Status: ExitUnknownOutcome, Cause: err}
	case errors.As(err, &invalid), errors.As(err, &validation), errors.As(err, &notDeclared):
		return &ExitError{Status: ExitInvalidDeclarations, Cause: err}
	default:
		return err
	}
}

func newApplyCommand() *Command {
	command := New("apply", "apply declarations as one change")
	s := &changeSettings{}
	s.declare(command.Settings)
	var path string
	var prune bool
	var expect int
	command.Settings.Bool(&prune, "prune", false, "also delete accepted objects that are not declared")
	command.Settings.Int(&expect, "expect", 0, 0, 1<<53, "the version that the change is based on, 0 for the newest; it is a conflict if one of the objects was changed after it")
	command.Subcommand.AddPositionalValue(&path, "PATH", 1, true, "a file or folder of declarations")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		o := s.operator()
		plan, err := newPlan(ctx, o, path, prune, usher.Version(expect))
		if err != nil {
			return withExitStatus(err)
		}
		if plan.empty() {
			fmt.Fprintln(out, "nothing to change: version", plan.current.Version, "is current")
			return nil
		}
		fmt.Fprint(out, operator.FormatDiff(plan.current, plan.put, plan.deleted))
		head, err := o.Apply(ctx, operator.Change{Note: s.note, Put: plan.put, Delete: plan.deleted, BaseVersion: plan.current.Version})
		return printResult(out, head, err)
	}
	return command
}

func newRollbackCommand() *Command {
	command := New("rollback", "create a new version with the objects of an earlier one")
	s := &changeSettings{}
	s.declare(command.Settings)
	var versionArg string
	command.Subcommand.AddPositionalValue(&versionArg, "VERSION", 1, true, "the version whose objects are wanted")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		version, err := strconv.ParseUint(versionArg, 10, 64)
		if err != nil {
			return &settings.Error{Setting: "VERSION", Value: versionArg, Allowed: "the number of a version, see history"}
		}
		head, err := s.operator().Rollback(ctx, usher.Version(version), s.note)
		return printResult(out, head, err)
	}
	return command
}

func newPruneCommand() *Command {
	command := New("prune", "delete old versions and the parts that only they refer to")
	var store string
	var keep int
	command.Settings.Address(&store, "store", "", true, "the address of the platform's object API")
	command.Settings.Int(&keep, "keep", 10000, 100, 1<<30, "how many versions are kept for history and rollback")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		result, err := config.Prune(ctx, platform.NewClientAt(store), usher.Version(keep))
		fmt.Fprintln(out, "removed:", result.Versions, "versions,", result.Parts, "parts")
		return err
	}
	return command
}

func newPresetCommand() *Command {
	use := New("use", "replace the active preset")
	s := &changeSettings{}
	s.declare(use.Settings)
	var name string
	use.Subcommand.AddPositionalValue(&name, "NAME", 1, true, "the preset")
	use.Run = func(ctx context.Context, out, _ io.Writer) error {
		head, err := s.operator().ActivatePreset(ctx, usher.PresetName(name), s.note)
		return printResult(out, head, err)
	}
	command := New("preset", "change the active preset")
	command.Children = []*Command{use}
	return command
}

func newLeaveCommand() *Command {
	command := New("leave", "mark endpoints as leaving")
	command.Children = []*Command{
		newSetLeavingCommand("announce", "send endpoints no new requests from now on", true),
		newSetLeavingCommand("cancel", "send endpoints requests again", false),
	}
	return command
}

func newSetLeavingCommand(name, description string, leaving bool) *Command {
	command := New(name, description)
	s := &changeSettings{}
	s.declare(command.Settings)
	var endpoints, zone string
	command.Settings.String(&zone, "zone", "", false, "every endpoint of this availability zone")
	command.Subcommand.AddPositionalValue(&endpoints, "NAMES", 1, false, "endpoints, separated by commas")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		o := s.operator()
		names, err := selectEndpoints(ctx, o, endpoints, usher.AvailabilityZone(zone))
		if err != nil {
			return withExitStatus(err)
		}
		head, err := o.SetLeaving(ctx, names, leaving, s.note)
		return printResult(out, head, err)
	}
	return command
}

// selectEndpoints returns the endpoints in list, which is separated by commas, and
// all endpoints of the zone if one is given. The result is sorted.
func selectEndpoints(ctx context.Context, o *operator.Client, list string, zone usher.AvailabilityZone) ([]usher.EndpointName, error) {
	var names []usher.EndpointName
	if list != "" {
		for _, name := range strings.Split(list, ",") {
			names = append(names, usher.EndpointName(name))
		}
	}
	if zone != "" {
		current, err := o.Current(ctx)
		if err != nil {
			return nil, err
		}
		for name, endpoint := range current.Endpoints {
			if endpoint.AvailabilityZone == zone {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	if len(names) == 0 {
		return nil, &settings.Error{Setting: "NAMES", Value: list, Allowed: "endpoints separated by commas, or --zone with a zone that has endpoints"}
	}
	return names, nil
}

func newStopCommand() *Command {
	announce := New("announce", "stop processes gracefully")
	var addresses string
	announce.Subcommand.AddPositionalValue(&addresses, "ADDRESSES", 1, true, "operators' addresses of the processes, separated by commas")
	announce.Run = func(ctx context.Context, out, _ io.Writer) error {
		var errs []error
		for _, address := range strings.Split(addresses, ",") {
			err := requestStop(ctx, address)
			errs = append(errs, err)
			if err == nil {
				fmt.Fprintln(out, "announced:", address)
			}
		}
		return errors.Join(errs...)
	}
	command := New("stop", "stop processes gracefully")
	command.Children = []*Command{announce}
	return command
}

func requestStop(ctx context.Context, address string) error {
	body, err := callAdmin(ctx, http.MethodPost, address, admin.PathStop, http.StatusAccepted)
	if err != nil {
		return err
	}
	return body.Close()
}
