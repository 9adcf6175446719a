package commands

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"filbertusher/internal/command"
	"filbertusher/internal/settings"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/scale"
)

func newScale() *command.Command {
	c := command.New("scale", "measure the spread of the configuration as the fleet grows")
	var binary, sizes, output string
	var plan scale.Plan
	c.Settings.String(&binary, "binary", "bin/filbertusher", true, "the product's program")
	c.Settings.String(&sizes, "sizes", "20,100,300", true, "numbers of processes, separated by commas")
	c.Settings.String(&output, "out", "", false, "a file for the results as JSON")
	c.Settings.Int(&plan.Zones, "zones", 5, 1, 100, "availability zones")
	c.Settings.Int(&plan.Services, "services", 15, 1, 1000, "services")
	c.Settings.Int(&plan.Workspaces, "workspaces", 1000, 1, 100000, "workspaces")
	c.Settings.Int(&plan.Changes, "changes", 20, 0, 100000, "changes that are timed")
	c.Settings.Float(&plan.Rate, "rate", 2, 0.001, 1000, "changes a second")
	c.Settings.Int(&plan.Burst, "burst", 100, 0, 100000, "further changes, as fast as the store takes them")
	c.Settings.Duration(&plan.Idle, "idle", 10*time.Second, time.Second, time.Hour, "how long the fleet is watched without a change")
	c.Settings.Duration(&plan.Outage, "outage", 5*time.Second, 0, time.Hour, "how long the store is down")
	c.Run = func(ctx context.Context, out, _ io.Writer) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		results, err := runSizes(ctx, fleet.Binaries{Product: binary, Standin: self}, plan, sizes)
		// A run that failed does not take the others with it.
		scale.Report(out, results)
		return errors.Join(err, writeResults(output, results))
	}
	return c
}

// entryShare is the share of entries in a fleet of the target's make-up, 330
// of 1,100.
const entryShare = 0.3

func runSizes(ctx context.Context, binaries fleet.Binaries, plan scale.Plan, sizes string) ([]*scale.Result, error) {
	var results []*scale.Result
	for _, text := range strings.Split(sizes, ",") {
		nodes, err := strconv.Atoi(text)
		if err != nil || nodes < 1 {
			return nil, &settings.Error{Setting: "sizes", Value: sizes, Allowed: "whole numbers above 0, separated by commas"}
		}
		plan.Entries = int(float64(nodes) * entryShare)
		plan.Companions = nodes - plan.Entries
		result, err := scale.Run(ctx, binaries, plan)
		if err != nil {
			return results, err
		}
		results = append(results, result)
	}
	return results, nil
}

func writeResults(path string, results []*scale.Result) error {
	if path == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(encoded, '\n'), 0o600)
}
