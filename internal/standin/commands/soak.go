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

// BrokenPromiseError is returned by a soak in which a promise was broken.
type BrokenPromiseError struct{ Violations int }

// Error implements error.
func (e *BrokenPromiseError) Error() string {
	return strconv.Itoa(e.Violations) + " promises were broken"
}

func newSoak() *command.Command {
	c := command.New("soak", "send orders through a whole path under random faults and judge every answer")
	var binary string
	var seed, runs, requests, faults, callers, writes int
	var limit, gap time.Duration
	c.Settings.String(&binary, "binary", "bin/filbertusher", true, "the product's program")
	c.Settings.Int(&seed, "seed", 1, 0, 1<<30, "the seed of the first run; the next ones count on")
	c.Settings.Int(&runs, "runs", 4, 1, 64, "how many runs go on side by side, each with processes of its own")
	c.Settings.Int(&requests, "requests", 104000, 1, 100000000, "how many requests all runs send together at least")
	c.Settings.Int(&faults, "faults", 520, 0, 1000000, "how many faults hit in all runs together at least")
	c.Settings.Int(&callers, "callers", 200, 1, 10000, "how many callers each run has")
	c.Settings.Int(&writes, "journal-writes", 5, 1, 1000, "journal writes a second of each slot")
	c.Settings.Duration(&gap, "fault-gap", 500*time.Millisecond, time.Millisecond, time.Hour, "the mean pause between two faults of a run")
	c.Settings.Duration(&limit, "limit", 210*time.Second, time.Second, 24*time.Hour, "when the runs end whatever was reached")
	c.Run = func(ctx context.Context, out, _ io.Writer) error {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		options := soak.Options{
			Seed: uint64(seed), Requests: (requests + runs - 1) / runs, Faults: (faults + runs - 1) / runs, Callers: callers,
			Overlap: 3, FaultGap: gap, Desks: 3, Entries: 2, Limit: limit, JournalWrites: writes,
		}
		return runSoak(ctx, out, fleet.Binaries{Product: binary, Standin: self}, options, runs)
	}
	return c
}

func runSoak(ctx context.Context, out io.Writer, binaries fleet.Binaries, options soak.Options, runs int) error {
	results := make([]*soak.Result, runs)
	group, ctx := errgroup.WithContext(ctx)
	for i := range runs {
		one := options
		one.Seed += uint64(i)
		group.Go(func() error {
			result, err := soak.Run(ctx, binaries, one)
			results[i] = result
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	total := soak.Sum(results)
	for _, result := range results {
		fmt.Fprintf(out, "seed %d: %d requests, %d faults, %d broken promises\n", result.Seed, result.Requests, result.Count(), len(result.Violations))
	}
	total.Print(out)
	if len(total.Violations) > 0 {
		return &BrokenPromiseError{Violations: len(total.Violations)}
	}
	return nil
}
