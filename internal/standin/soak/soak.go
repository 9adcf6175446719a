// Package soak sends orders that may run only once through a whole path while
// random faults, several at a time, hit its processes, links and store. It
// judges every answer and refusal by the callers' own traces and by the
// ordering services' count of executions.
package soak

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"filbertusher/internal/standin/fault"
	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

// Options of one run.
type Options struct {
	Seed uint64
	// Requests is how many requests are sent at least.
	Requests int
	// Callers is how many callers send at the same time.
	Callers int
	// Faults is how many faults hit at least.
	Faults int
	// Overlap is how many faults may hold at the same time, and FaultGap the
	// mean pause between two.
	Overlap  int
	FaultGap time.Duration
	// Desks and Entries say how large the path is.
	Desks   int
	Entries int
	// Limit ends the run whatever was reached.
	Limit time.Duration
	// JournalWrites is the bound on journal writes a second of each slot.
	JournalWrites int
}

// Result is what came of one run.
type Result struct {
	Seed     uint64
	Requests int
	Keys     int
	// Verdicts counts what callers were told; Faults the faults by kind.
	Verdicts map[string]int
	Faults   map[string]int
	// Runs is how many executions the ordering services counted.
	Runs int
	// InFlight is how many requests had been dispatched by companions when
	// these were killed, frozen or cut off.
	InFlight   int
	Violations []string
	Elapsed    time.Duration
	// StoreWrites is how many writes the store took.
	StoreWrites int64
}

// Count returns how many faults hit.
func (r *Result) Count() int {
	total := 0
	for _, count := range r.Faults {
		total += count
	}
	return total
}

// Sum adds results up; the seed is that of the first.
func Sum(results []*Result) *Result {
	total := &Result{Seed: results[0].Seed, Verdicts: make(map[string]int), Faults: make(map[string]int)}
	for _, one := range results {
		total.Requests += one.Requests
		total.Keys += one.Keys
		total.Runs += one.Runs
		total.InFlight += one.InFlight
		total.StoreWrites += one.StoreWrites
		total.Elapsed = max(total.Elapsed, one.Elapsed)
		total.Violations = append(total.Violations, one.Violations...)
		addCounts(total.Verdicts, one.Verdicts)
		addCounts(total.Faults, one.Faults)
	}
	return total
}

func addCounts(into, from map[string]int) {
	for name, count := range from {
		into[name] += count
	}
}

// Print writes a result in words.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d requests on %d keys in %s, %d faults, %d executions, %d dispatched requests at killed, frozen or cut companions, %d store writes\n",
		r.Seed, r.Requests, r.Keys, r.Elapsed.Round(time.Second), r.Count(), r.Runs, r.InFlight, r.StoreWrites)
	printCounts(out, "told", r.Verdicts, r.Requests)
	printCounts(out, "fault", r.Faults, r.Count())
	for _, violation := range r.Violations {
		fmt.Fprintln(out, "  VIOLATION:", violation)
	}
}

func printCounts(out io.Writer, title string, counts map[string]int, total int) {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return counts[names[i]] > counts[names[j]] })
	for _, name := range names {
		fmt.Fprintf(out, "  %s: %7d  %6.3f %%  %s\n", title, counts[name], 100*float64(counts[name])/float64(max(1, total)), name)
	}
}

// run is the state of one run.
type run struct {
	options Options
	whole   *fleet.Whole
	proxies *fault.Proxies
	started time.Time

	mu      sync.Mutex
	entries []*fleet.Member
	// companions are the incarnations that stand at each endpoint now, and
	// links the names of the proxies in front of them.
	companions []*fleet.Member
	links      []string
	inFlight   int
	faults     map[string]int
	restarts   int

	traces traces
}

// Run makes one run. An error means that the run itself could not be made;
// broken promises are in the result.
func Run(ctx context.Context, binaries fleet.Binaries, options Options) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Limit)
	defer cancel()
	r := &run{options: options, proxies: fault.New(), faults: make(map[string]int), started: time.Now()}
	defer r.proxies.Close()
	whole, err := fleet.NewWhole(ctx, binaries, fleet.Plan{
		Entries: options.Entries, Desks: options.Desks, Via: r.proxies.Via,
		CompanionArgs: r.companionArgs(),
		StoreArgs:     []string{"--writes", "2000", "--reads", "5000"},
	})
	if err != nil {
		return nil, err
	}
	defer whole.Close()
	r.whole = whole
	r.entries = append(r.entries, whole.Entries...)
	r.companions = append(r.companions, whole.Companions...)
	for i := range whole.Companions {
		r.links = append(r.links, companionLink(i))
	}
	r.drive(ctx)
	executions, err := r.executions()
	if err != nil {
		return nil, err
	}
	return r.result(executions), nil
}

func (r *run) companionArgs() []string {
	return []string{"--journal-writes", fmt.Sprint(r.options.JournalWrites), "--drain-timeout", "10s", "--max-running", "256"}
}

func companionLink(i int) string { return fmt.Sprintf("companion-orders-%d", i) }

func endpointName(i int) usher.EndpointName { return usher.EndpointName(fmt.Sprintf("orders-%d", i)) }

// drive runs callers and faults until enough of both have been, or the limit
// has come. Every fault is over when it returns.
func (r *run) drive(ctx context.Context) {
	calling, stop := context.WithCancel(ctx)
	defer stop()
	var callers, faults sync.WaitGroup
	faults.Go(func() { r.chaos(calling) })
	for i := range r.options.Callers {
		callers.Go(func() { r.newCaller(i).work(calling) })
	}
	r.awaitEnough(calling)
	stop()
	faults.Wait()
	callers.Wait()
}

// awaitEnough returns when the requests and faults asked for have been.
func (r *run) awaitEnough(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		if r.traces.requests() >= r.options.Requests && r.faultCount() >= r.options.Faults {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) faultCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, count := range r.faults {
		total += count
	}
	return total
}

const (
	// settleTime is how long the executions must stay the same before they are
	// taken as final; woken processes may still run what they had.
	settleTime = 2 * time.Second
	// readTimeout bounds the reading of the executions.
	readTimeout = time.Minute
)

// executions reads each key's count when it does not change any more.
func (r *run) executions() (map[string]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	before := -1
	for {
		total := make(map[string]int)
		runs := 0
		for _, desk := range r.whole.Desks {
			var seen map[string]int
			if err := desk.Inspect(ctx, "executions", &seen); err != nil {
				return nil, err
			}
			for key, count := range seen {
				total[key] += count
				runs += count
			}
		}
		if runs == before {
			return total, nil
		}
		before = runs
		select {
		case <-time.After(settleTime):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

func (r *run) result(executions map[string]int) *Result {
	result := &Result{
		Seed: r.options.Seed, Requests: r.traces.requests(), Verdicts: r.traces.verdicts(),
		Faults: r.faults, InFlight: r.inFlight, Elapsed: time.Since(r.started),
	}
	for _, count := range executions {
		result.Runs += count
	}
	result.Keys, result.Violations = r.traces.check(executions)
	var counts struct{ Writes int64 }
	if r.whole.Store.Inspect(context.Background(), "counts", &counts) == nil {
		result.StoreWrites = counts.Writes
	}
	return result
}
