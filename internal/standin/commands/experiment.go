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

// experimentFlags are the settings of an experiment as they are written.
type experimentFlags struct {
	load.Options
	binary, output                string
	policies, mixes, loads, seeds string
	companionArg, entryArg        string
}

func newExperiment() *command.Command {
	c := command.New("experiment", "replay mixes of requests under several policies and loads")
	f := &experimentFlags{}
	c.Settings.String(&f.binary, "binary", "bin/filbertusher", true, "the product's program")
	c.Settings.String(&f.Previous, "previous", "", false, "an older build of the product, for the policy previous")
	c.Settings.String(&f.output, "output", "out/experiment.jsonl", true, "the file that gets a line for each result")
	c.Settings.String(&f.policies, "policies", "ours,roundRobin,leastLoad", true, "the policies, by commas")
	c.Settings.String(&f.mixes, "mixes", "regenfass,tallinn", true, "the mixes, by commas")
	c.Settings.String(&f.loads, "loads", "0.5,0.9,1.2,2", true, "multiples of the capacity, by commas")
	c.Settings.String(&f.seeds, "seeds", "1,2,3", true, "seeds, by commas; each is one repeat")
	c.Settings.Duration(&f.Duration, "duration", 30*time.Second, time.Second, time.Hour, "how long requests arrive in each run")
	c.Settings.Duration(&f.ReportLag, "report-lag", 5*time.Second, 0, time.Minute, "how old the engines' load reports are")
	c.Settings.Int(&f.Fast, "fast", 2, 0, 100, "engines of the newer generation")
	c.Settings.Int(&f.Slow, "slow", 2, 0, 100, "engines of the older generation")
	c.Settings.Int(&f.Entries, "entries", 2, 1, 100, "entries")
	c.Settings.Bool(&f.SlowEngine, "slow-engine", true, "slow the first engine fivefold midway")
	c.Settings.Bool(&f.Burst, "burst", true, "double the arrivals for a fifth of the run")
	c.Settings.Bool(&f.Preemption, "preemption", true, "put a preset in force that allows preemption")
	c.Settings.String(&f.companionArg, "companion-args", "--token-pace=40ms", false, "flags added to the companions of the policy ours, by commas")
	c.Settings.String(&f.entryArg, "entry-args", "", false, "flags added to the entries of the policy ours, by commas")
	c.Run = f.run
	return c
}

func (f *experimentFlags) run(ctx context.Context, out, _ io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	f.Binaries = fleet.Binaries{Product: f.binary, Standin: self}
	f.Policies, f.Mixes = load.ParseList(f.policies), load.ParseList(f.mixes)
	f.CompanionArgs = load.ParseList(f.companionArg)
	f.EntryArgs = load.ParseList(f.entryArg)
	for _, text := range load.ParseList(f.loads) {
		multiple, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		f.Loads = append(f.Loads, multiple)
	}
	for _, text := range load.ParseList(f.seeds) {
		seed, err := strconv.ParseUint(text, 10, 64)
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
