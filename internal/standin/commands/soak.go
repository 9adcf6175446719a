package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertusher/internal/command"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/soak"
)

// GuaranteeViolationError is returned by a soak test that found violated guarantees.
type GuaranteeViolationError struct{ Violations int }

// Error implements error.
func (e *GuaranteeViolationError) Error() string {
	return strconv.Itoa(e.Violations) + " guarantee violations"
}

func newSoak() *command.Command {
	c := command.New("soak", "send orders through a complete system under random faults and check every response")
	var binary string
	var seed, runs, requests, faults, callers, journalWrites int
	var timeLimit, faultGap time.Duration
	c.Settings.String(&binary, "binary", "bin/filbertusher", true, "path of the product's executable")
	c.Settings.Int(&seed, "seed", 1, 0, 1<<30, "seed of the first run; each further run uses the next number")
	c.Settings.Int(&runs, "runs", 4, 1, 64, "number of concurrent runs, each with its own processes")
	c.Settings.Int(&requests, "requests", 104000, 1, 100000000, "minimum number of requests, over all runs")
	c.Settings.Int(&faults, "faults", 520, 0, 1000000, "minimum number of faults, over all runs")
	c.Settings.Int(&callers, "callers", 200, 1, 10000, "number of concurrent callers per run")
	c.Settings.Int(&journalWrites, "journal-writes", 5, 1, 1000, "journal writes per second and slot")
	c.Settings.Duration(&faultGap, "fault-gap", 500*time.Millisecond, time.Millisecond, time.Hour, "mean time between two faults of a run")
	c.Settings.Duration(&timeLimit, "limit", 210*time.Second, time.Second, 24*time.Hour, "time limit of the runs, even if the minimums are not reached")
	c.Run = func(ctx context.Context, out, _ io.Writer) error {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		options := soak.Options{
			Seed: uint64(seed), MinRequests: (requests + runs - 1) / runs, MinFaults: (faults + runs - 1) / runs, Callers: callers,
			MaxConcurrentFaults: 3, MeanFaultPause: faultGap, OrderServices: 3, Entries: 2, Limit: timeLimit, JournalWrites: journalWrites,
		}
		return runSoak(ctx, out, fleet.Binaries{Scheduler: binary, Standin: executable}, options, runs)
	}
	return c
}

func runSoak(ctx context.Context, out io.Writer, binaries fleet.Binaries, options soak.Options, runs int) error {
	results := make([]*soak.Result, runs)
	group, ctx := errgroup.WithContext(ctx)
	for i := range runs {
		runOptions := options
		runOptions.Seed += uint64(i)
		group.Go(func() error {
			result, err := soak.Run(ctx, binaries, runOptions)
			results[i] = result
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	total := soak.Sum(results)
	for _, result := range results {
		fmt.Fprintf(out, "seed %d: %d requests, %d faults, %d violations\n", result.Seed, result.Requests, result.FaultCount(), len(result.Violations))
	}
	total.Print(out)
	if len(total.Violations) > 0 {
		return &GuaranteeViolationError{Violations: len(total.Violations)}
	}
	return nil
}
