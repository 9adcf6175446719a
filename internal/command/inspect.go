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

// The commands in this file only read. Those that write are in change.go.

// plan is what a set of files would change.
type plan struct {
	current *config.Snapshot
	put     []usher.Object
	deleted []usher.ObjectKey
}

func (p *plan) empty() bool { return len(p.put) == 0 && len(p.deleted) == 0 }

// newPlan reads the files and compares them with what is in force, or with the
// version that was looked at. The result of the change is checked as a whole.
func newPlan(ctx context.Context, o *operator.Operator, path string, prune bool, expect usher.Version) (*plan, error) {
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
	keepAnnounced(p.current, set.Objects)
	p.put = operator.Differs(p.current, set.Objects)
	if prune {
		p.deleted = undeclared(p.current, set)
	}
	return p, p.check(set)
}

// keepAnnounced keeps announced departures, which files don't know of: a change
// of something else must not call them off. A file can only say leaving: true.
func keepAnnounced(current *config.Snapshot, objects []usher.Object) {
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
		endpoint.HintedFor = accepted.HintedFor
		objects[i].Value, _ = json.Marshal(endpoint)
	}
}

// undeclared lists what is in force and not in the files, except for the
// choice of the preset, which files don't declare.
func undeclared(current *config.Snapshot, set *declare.Set) []usher.ObjectKey {
	declared := set.Keys()
	var keys []usher.ObjectKey
	for _, object := range current.Objects() {
		if kind, _, _ := config.SplitKey(object.Key); kind != config.KindInForce && !declared[object.Key] {
			keys = append(keys, object.Key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

func (p *plan) check(set *declare.Set) error {
	next, err := p.current.With(&config.Head{}, p.put, p.deleted)
	if err != nil {
		return err
	}
	return located(set, next.Check())
}

func located(set *declare.Set, err error) error {
	var check *config.CheckError
	if errors.As(err, &check) {
		return set.Locate(check)
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
			return withStatus(err)
		}
		snapshot, err := config.Build(set.Objects, 0)
		if err == nil {
			err = located(set, snapshot.Check())
		}
		if err != nil {
			return withStatus(err)
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
	command.Settings.Address(&store, "store", "", true, "the platform's object API")
	command.Settings.Bool(&prune, "prune", false, "also show what is in force and not declared")
	command.Subcommand.AddPositionalValue(&path, "PATH", 1, true, "a file or folder of declarations")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		plan, err := newPlan(ctx, operator.New(platform.NewClientAt(store), ""), path, prune, 0)
		if err != nil {
			return withStatus(err)
		}
		fmt.Fprintln(out, "against version", plan.current.Version)
		if plan.empty() {
			return nil
		}
		fmt.Fprint(out, operator.Describe(plan.current, plan.put, plan.deleted))
		return &ExitError{Status: ExitDiffers, Cause: &DiffersError{Count: len(plan.put) + len(plan.deleted)}}
	}
	return command
}

// DiffersError is returned when declarations are not what is in force.
type DiffersError struct{ Count int }

// Error implements error.
func (e *DiffersError) Error() string { return fmt.Sprint(e.Count, " objects differ") }

func newGetCommand() *Command {
	command := New("get", "print accepted objects, one a line")
	var store, prefix string
	var at int
	command.Settings.Address(&store, "store", "", true, "the platform's object API")
	command.Settings.Int(&at, "at", 0, 0, 1<<53, "the version to print; 0 is the newest")
	command.Subcommand.AddPositionalValue(&prefix, "KIND/NAME", 1, false, "the beginning of the names to print")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		o := operator.New(platform.NewClientAt(store), "")
		snapshot, err := read(ctx, o, usher.Version(at))
		if err != nil {
			return withStatus(err)
		}
		fmt.Fprintln(out, operator.DescribeHead(&snapshot.Head))
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

func read(ctx context.Context, o *operator.Operator, version usher.Version) (*config.Snapshot, error) {
	if version == 0 {
		return o.Current(ctx)
	}
	return o.At(ctx, version)
}

func newHistoryCommand() *Command {
	command := New("history", "list accepted changes, the newest first")
	var store string
	var most int
	command.Settings.Address(&store, "store", "", true, "the platform's object API")
	command.Settings.Int(&most, "most", 20, 1, 100000, "how many changes to list")
	command.Run = func(ctx context.Context, out, _ io.Writer) error {
		history, err := operator.New(platform.NewClientAt(store), "").History(ctx, most)
		for i := range history {
			fmt.Fprintln(out, operator.DescribeHead(&history[i]))
		}
		return withStatus(err)
	}
	return command
}
