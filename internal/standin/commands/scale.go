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
	c := command.New("scale", "measure configuration propagation as the fleet grows")
	var binary, sizes, output string
	var plan scale.Plan
	c.Settings.String(&binary, "binary", "bin/filbertusher", true, "path of the product's executable")
	c.Settings.String(&sizes, "sizes", "20,100,300", true, "fleet sizes in processes, separated by commas")
	c.Settings.String(&output, "out", "", false, "file for the results, as JSON")
	c.Settings.Int(&plan.Zones, "zones", 5, 1, 100, "availability zones")
	c.Settings.Int(&plan.Services, "services", 15, 1, 1000, "services")
	c.Settings.Int(&plan.Workspaces, "workspaces", 1000, 1, 100000, "workspaces")
	c.Settings.Int(&plan.Changes, "changes", 20, 0, 100000, "configuration changes whose delay is measured")
	c.Settings.Float(&plan.Rate, "rate", 2, 0.001, 1000, "configuration changes per second")
	c.Settings.Int(&plan.Burst, "burst", 100, 0, 100000, "further changes, made as fast as the store accepts them")
	c.Settings.Duration(&plan.IdleDuration, "idle", 10*time.Second, time.Second, time.Hour, "how long the fleet is measured without changes")
	c.Settings.Duration(&plan.OutageDuration, "outage", 5*time.Second, 0, time.Hour, "how long the store is down")
	c.Run = func(ctx context.Context, out, _ io.Writer) error {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		results, err := runSizes(ctx, fleet.Binaries{Scheduler: binary, Standin: executable}, plan, sizes)
		// Report the completed runs even if a later one failed.
		scale.Report(out, results)
		return errors.Join(err, writeResults(output, results))
	}
	return c
}

// entryShare is the fraction of entries in a fleet. It is that of the target fleet,
// which has 330 entries among 1,100 processes.
const entryShare = 0.3

func runSizes(ctx context.Context, binaries fleet.Binaries, plan scale.Plan, sizes string) ([]*scale.Result, error) {
	parsed, err := parseSizes(sizes)
	if err != nil {
		return nil, err
	}
	var results []*scale.Result
	for _, nodes := range parsed {
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

func parseSizes(sizes string) ([]int, error) {
	var parsed []int
	for _, size := range strings.Split(sizes, ",") {
		nodes, err := strconv.Atoi(size)
		if err != nil || nodes < 1 {
			return nil, &settings.Error{Setting: "sizes", Value: sizes, Allowed: "whole numbers above 0, separated by commas"}
		}
		parsed = append(parsed, nodes)
	}
	return parsed, nil
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
