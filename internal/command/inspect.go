package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"

	"filbertusher/internal/config"
	"filbertusher/internal/declare"
	"filbertusher/internal/operator"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

// The commands in this file only read. Those that change the configuration are in
// change.go.

// plan holds the changes to current that applying a set of files would make.
type plan struct {
	current *config.Snapshot
	put     []usher.Object
	deleted []usher.ObjectKey
}

func (p *plan) empty() bool { return len(p.put) == 0 && len(p.deleted) == 0 }

// newPlan reads the files at path and compares them with version expect, or with
// the newest version if expect is 0. With prune, accepted objects that are not in
// the files are deleted. The resulting configuration is validated as a whole.
func newPlan(ctx context.Context, o *operator.Client, path string, prune bool, expect usher.Version) (*plan, error) {
	set, err := declare.Read(path)
	if err != nil {
		return nil, err
	}
	p := &plan{}
	if expect == 0 {
		p.current, err = o.Current(ctx)
	} else {
		p.current, err = o.At(ctx, expect)
	}
	if err != nil {
		return nil, err
	}
	keepLeavingMarks(p.current, set.Objects)
	p.put = operator.DifferingObjects(p.current, set.Objects)
	if prune {
		p.deleted = undeclared(p.current, set)
	}
	return p, p.validate(set)
}

// keepLeavingMarks copies the leaving marks of accepted endpoints to the objects
// that were read from files. Marks are set by commands and are usually not in the
// files, so applying an unrelated change would clear them otherwise. A file can
// only set a mark, with leaving: true.
func keepLeavingMarks(current *config.Snapshot, objects []usher.Object) {
	for i := range objects {
		kind, name, _ := config.SplitKey(objects[i].Key)
		accepted, ok := current.Endpoints[usher.EndpointName(name)]
		if kind != config.KindEndpoint || !ok {
			continue
		}
		var endpoint usher.Endpoint
		if json.Unmarshal(objects[i].Value, &endpoint) != nil {
			continue
		}
		endpoint.Leaving = endpoint.Leaving || accepted.Leaving
		endpoint.MarkedForAddress = accepted.MarkedForAddress
		objects[i].Value, _ = json.Marshal(endpoint)
	}
}

// undeclared lists the accepted objects that are not in the files, except for the
// active preset, which files don't declare.
func undeclared(current *config.Snapshot, set *declare.Set) []usher.ObjectKey {
	declared := set.Keys()
	var keys []usher.ObjectKey
	for _, object := range current.Objects() {
		if kind, _, _ := config.SplitKey(object.Key); kind != config.KindActivePreset && !declared[object.Key] {
			keys = append(keys, object.Key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

func (p *plan) validate(set *declare.Set) error {
	next, err := p.current.With(&config.Head{}, p.put, p.deleted)
	if err != nil {
		return err
	}
	return withLocations(set, next.Validate())
}

func withLocations(set *declare.Set, err error) error {
	var validation *config.ValidationError
	if errors.As(err, &validation) {
		return set.Locate(validation)
	}
	return err
}

func newCheckCommand() *Command {
	command := New("check", "check declarations without a store")
	var path string
	command.Subcommand.AddPositionalValue(&path, "PATH", 1, true, "a file or folder of declarations")
	command.Run = func(_ context.Context, out, _ io.Writer) error {
		set, err := declare.Read(path)
		if err != nil {
			return withExitStatus(err)
		}
		snapshot, err := config.Build(set.Objects, 0)
		if err == nil {
			err = withLocations(set, snapshot.Validate())
		}
		if err != nil {
			return withExitStatus(err)
		}
		fmt.Fprintln(out, "valid:", len(set.Objects), "declarations")
		return nil
	}
	return command
}

func newDiffCommand() *Command {
	command := New("diff", "show what apply would change")
	var store, path string
	var prune bool
	command.Settings.Address(&store, "store", "", true, "the address of the platform's object API")
	command.Settings.Bool(&prune, "prune", false, "also show accepted objects that are not declared")
	command.Subcommand.AddPositionalValue(&path, "PATH", 1, true, "a file or folder of declarations")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		plan, err := newPlan(ctx, operator.New(platform.NewClientAt(store), ""), path, prune, 0)
		if err != nil {
			return withExitStatus(err)
		}
		fmt.Fprintln(out, "against version", plan.current.Version)
		if plan.empty() {
			return nil
		}
		fmt.Fprint(out, operator.FormatDiff(plan.current, plan.put, plan.deleted))
		return &ExitError{Status: ExitDiffers, Cause: &DeclarationsDifferError{Count: len(plan.put) + len(plan.deleted)}}
	}
	return command
}

// DeclarationsDifferError is returned when Count declared objects differ from the accepted
// ones.
type DeclarationsDifferError struct{ Count int }

// Error implements error.
func (e *DeclarationsDifferError) Error() string { return fmt.Sprint(e.Count, " objects differ") }

func newGetCommand() *Command {
	command := New("get", "print accepted objects, one per line")
	var store, prefix string
	var at int
	command.Settings.Address(&store, "store", "", true, "the address of the platform's object API")
	command.Settings.Int(&at, "at", 0, 0, 1<<53, "the version to print; 0 is the newest")
	command.Subcommand.AddPositionalValue(&prefix, "KIND/NAME", 1, false, "the beginning of the names to print")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		o := operator.New(platform.NewClientAt(store), "")
		snapshot, err := loadVersion(ctx, o, usher.Version(at))
		if err != nil {
			return withExitStatus(err)
		}
		fmt.Fprintln(out, operator.FormatHead(&snapshot.Head))
		objects := snapshot.Objects()
		sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
		for _, object := range objects {
			name := strings.TrimPrefix(string(object.Key), string(config.Prefix))
			if strings.HasPrefix(name, prefix) {
				fmt.Fprintln(out, name, string(object.Value))
			}
		}
		return nil
	}
	return command
}

func loadVersion(ctx context.Context, o *operator.Client, version usher.Version) (*config.Snapshot, error) {
	if version == 0 {
		return o.Current(ctx)
	}
	return o.At(ctx, version)
}

func newHistoryCommand() *Command {
	command := New("history", "list accepted changes, the newest first")
	var store string
	var limit int
	command.Settings.Address(&store, "store", "", true, "the address of the platform's object API")
	command.Settings.Int(&limit, "most", 20, 1, 100000, "how many changes to list")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		history, err := operator.New(platform.NewClientAt(store), "").History(ctx, limit)
		for i := range history {
			fmt.Fprintln(out, operator.FormatHead(&history[i]))
		}
		return withExitStatus(err)
	}
	return command
}
