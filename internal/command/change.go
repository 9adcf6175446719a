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

// The commands in this file write. Those that only read are in inspect.go.

// writer is the settings of commands that write.
type writer struct {
	store  string
	author string
	note   string
}

func (w *writer) declare(set *settings.Set) {
	set.Address(&w.store, "store", "", true, "the platform's object API")
	set.Text(&w.author, "author", "", true, "who makes the change, for the history")
	set.Text(&w.note, "note", "", false, "why the change is made, for the history")
}

func (w *writer) operator() *operator.Operator {
	return operator.New(platform.NewClientAt(w.store), w.author)
}

// report prints an accepted change, or gives the error its exit status.
func report(out io.Writer, head *config.Head, err error) error {
	if err != nil {
		return withStatus(err)
	}
	fmt.Fprintln(out, "accepted:", operator.DescribeHead(head))
	return nil
}

func withStatus(err error) error {
	var (
		conflict *operator.ConflictError
		raced    *usher.ConflictError
		unknown  *operator.UnknownOutcomeError
		invalid  *declare.Error
		check    *config.CheckError
		missing  *operator.NotDeclaredError
	)
	switch {
	case errors.As(err, &conflict), errors.As(err, &raced):
		return &ExitError{Status: ExitConflict, Cause: err}
	case errors.As(err, &unknown):
		return &ExitError{Status: ExitUnknown, Cause: err}
	case errors.As(err, &invalid), errors.As(err, &check), errors.As(err, &missing):
		return &ExitError{Status: ExitInvalid, Cause: err}
	default:
		return err
	}
}

func newApplyCommand() *Command {
	command := New("apply", "accept declarations as a whole")
	w := &writer{}
	w.declare(command.Settings)
	var path string
	var prune bool
	var expect int
	command.Settings.Bool(&prune, "prune", false, "also remove what is in force and not declared")
	command.Settings.Int(&expect, "expect", 0, 0, 1<<53, "the version that was looked at; a later change of the same objects is a conflict")
	command.Subcommand.AddPositionalValue(&path, "PATH", 1, true, "a file or folder of declarations")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		o := w.operator()
		plan, err := newPlan(ctx, o, path, prune, usher.Version(expect))
		if err != nil {
			return withStatus(err)
		}
		if plan.empty() {
			fmt.Fprintln(out, "nothing to change: version", plan.current.Version, "is in force")
			return nil
		}
		fmt.Fprint(out, operator.Describe(plan.current, plan.put, plan.deleted))
		head, err := o.Apply(ctx, operator.Change{Note: w.note, Put: plan.put, Delete: plan.deleted, Expect: plan.current.Version})
		return report(out, head, err)
	}
	return command
}

func newRollbackCommand() *Command {
	command := New("rollback", "accept the objects of an earlier version as a new version")
	w := &writer{}
	w.declare(command.Settings)
	var text string
	command.Subcommand.AddPositionalValue(&text, "VERSION", 1, true, "the version whose objects are wanted")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return &settings.Error{Setting: "VERSION", Value: text, Allowed: "the number of a version, see history"}
		}
		head, err := w.operator().Rollback(ctx, usher.Version(version), w.note)
		return report(out, head, err)
	}
	return command
}

func newPruneCommand() *Command {
	command := New("prune", "remove old versions and what only they refer to")
	var store string
	var keep int
	command.Settings.Address(&store, "store", "", true, "the platform's object API")
	command.Settings.Int(&keep, "keep", 10000, 100, 1<<30, "how many versions are kept for history and rollback")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		result, err := config.Prune(ctx, platform.NewClientAt(store), usher.Version(keep))
		fmt.Fprintln(out, "removed:", result.Versions, "versions,", result.Parts, "parts")
		return err
	}
	return command
}

func newPresetCommand() *Command {
	use := New("use", "put a preset in force in place of the one that is")
	w := &writer{}
	w.declare(use.Settings)
	var name string
	use.Subcommand.AddPositionalValue(&name, "NAME", 1, true, "the preset")
	use.Run = func(ctx context.Context, out, _ io.Writer) error {
		head, err := w.operator().UsePreset(ctx, usher.PresetName(name), w.note)
		return report(out, head, err)
	}
	command := New("preset", "choose the preset in force")
	command.Children = []*Command{use}
	return command
}

func newLeaveCommand() *Command {
	command := New("leave", "announce that endpoints leave")
	command.Children = []*Command{
		newLeaving("announce", "give endpoints no new work from now on", true),
		newLeaving("cancel", "give endpoints work again", false),
	}
	return command
}

func newLeaving(name, description string, leaving bool) *Command {
	command := New(name, description)
	w := &writer{}
	w.declare(command.Settings)
	var endpoints, zone string
	command.Settings.Text(&zone, "zone", "", false, "every endpoint of this availability zone")
	command.Subcommand.AddPositionalValue(&endpoints, "NAMES", 1, false, "endpoints, separated by commas")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		o := w.operator()
		names, err := chooseEndpoints(ctx, o, endpoints, usher.AvailabilityZone(zone))
		if err != nil {
			return withStatus(err)
		}
		head, err := o.AnnounceLeaving(ctx, names, leaving, w.note)
		return report(out, head, err)
	}
	return command
}

// chooseEndpoints returns the named endpoints, or those of a zone.
func chooseEndpoints(ctx context.Context, o *operator.Operator, list string, zone usher.AvailabilityZone) ([]usher.EndpointName, error) {
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
		return nil, &settings.Error{Setting: "NAMES", Value: list, Allowed: "endpoints separated by commas, or --zone with endpoints in it"}
	}
	return names, nil
}

func newStopCommand() *Command {
	announce := New("announce", "stop processes gracefully")
	var addresses string
	announce.Subcommand.AddPositionalValue(&addresses, "ADDRESSES", 1, true, "operators' addresses of the processes, separated by commas")
	announce.Run = func(ctx context.Context, out, _ io.Writer) error {
		var failed []error
		for _, address := range strings.Split(addresses, ",") {
			err := announceStop(ctx, address)
			failed = append(failed, err)
			if err == nil {
				fmt.Fprintln(out, "announced:", address)
			}
		}
		return errors.Join(failed...)
	}
	command := New("stop", "stop processes gracefully")
	command.Children = []*Command{announce}
	return command
}

func announceStop(ctx context.Context, address string) error {
	body, err := callAdmin(ctx, http.MethodPost, address, admin.PathStop, http.StatusAccepted)
	if err != nil {
		return err
	}
	return body.Close()
}
