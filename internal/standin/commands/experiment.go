package commands

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"filbertusher/internal/command"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/load"
)

// experimentFlags holds the settings of an experiment. Lists are still unparsed.
type experimentFlags struct {
	load.Options
	binary, output                string
	policies, mixes, loads, seeds string
	companionArgs, entryArgs      string
}

func newExperiment() *command.Command {
	c := command.New("experiment", "replay mixes of requests under several policies and loads")
	f := &experimentFlags{}
	c.Settings.String(&f.binary, "binary", "bin/filbertusher", true, "path of the product's executable")
	c.Settings.String(&f.PreviousBinary, "previous", "", false, "path of an older build of the product, for the policy previous")
	c.Settings.String(&f.output, "output", "out/experiment.jsonl", true, "file for the results, as JSON lines")
	c.Settings.String(&f.policies, "policies", "ours,roundRobin,leastLoad", true, "policies, separated by commas")
	c.Settings.String(&f.mixes, "mixes", "regenfass,tallinn", true, "mixes, separated by commas")
	c.Settings.String(&f.loads, "loads", "0.5,0.9,1.2,2", true, "loads as multiples of the capacity, separated by commas")
	c.Settings.String(&f.seeds, "seeds", "1,2,3", true, "seeds, separated by commas; each is one repetition")
	c.Settings.Duration(&f.Duration, "duration", 30*time.Second, time.Second, time.Hour, "how long requests arrive in each run")
	c.Settings.Duration(&f.ReportLag, "report-lag", 5*time.Second, 0, time.Minute, "lag of the engines' load reports")
	c.Settings.Int(&f.FastEngineCount, "fast", 2, 0, 100, "number of engines of the fast hardware generation")
	c.Settings.Int(&f.SlowEngineCount, "slow", 2, 0, 100, "number of engines of the slow hardware generation")
	c.Settings.Int(&f.Entries, "entries", 2, 1, 100, "number of entries")
	c.Settings.Bool(&f.SlowFirstEngine, "slow-engine", true, "slow the first engine down by a factor of 5 midway")
	c.Settings.Bool(&f.Burst, "burst", true, "double the arrival rate for a fifth of the run")
	c.Settings.Bool(&f.AllowPreemption, "preemption", true, "activate a preset that allows preemption")
	c.Settings.String(&f.companionArgs, "companion-args", "--token-pace=40ms", false, "extra flags for the companions of the policy ours, separated by commas")
	c.Settings.String(&f.entryArgs, "entry-args", "", false, "extra flags for the entries of the policy ours, separated by commas")
	c.Run = f.run
	return c
}

func (f *experimentFlags) run(ctx context.Context, out, _ io.Writer) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	f.Binaries = fleet.Binaries{Scheduler: f.binary, Standin: executable}
	f.Policies, f.Mixes = load.ParseList(f.policies), load.ParseList(f.mixes)
	f.CompanionArgs = load.ParseList(f.companionArgs)
	f.EntryArgs = load.ParseList(f.entryArgs)
	for _, value := range load.ParseList(f.loads) {
		multiple, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		f.Loads = append(f.Loads, multiple)
	}
	for _, value := range load.ParseList(f.seeds) {
		seed, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return err
		}
		f.Seeds = append(f.Seeds, seed)
	}
	if err := os.MkdirAll(filepath.Dir(f.output), 0o755); err != nil {
		return err
	}
	file, err := os.Create(f.output)
	if err != nil {
		return err
	}
	defer file.Close()
	return load.NewExperiment(f.Options, file, out).Run(ctx)
}
