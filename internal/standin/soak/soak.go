// Package soak is a soak test of at-most-once execution. It sends orders through a
// deployment while random faults, several at a time, affect its processes, links
// and store. It checks every response and refusal against the history that the
// callers recorded and against the executions that the order services counted.
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

// Options configure one run, which ends when both MinRequests and MinFaults have
// been reached or Limit has passed.
type Options struct {
	Seed uint64
	// MinRequests is the minimum number of requests to send.
	MinRequests int
	// Callers is the number of concurrent callers.
	Callers int
	// MinFaults is the minimum number of faults to inject.
	MinFaults int
	// MaxConcurrentFaults is the maximum number of concurrent faults, and MeanFaultPause the
	// mean pause before the next fault is started.
	MaxConcurrentFaults int
	MeanFaultPause      time.Duration
	// OrderServices and Entries are the numbers of order services and entries.
	OrderServices int
	Entries       int
	// Limit bounds the duration of the run.
	Limit time.Duration
	// JournalWrites is the maximum rate of journal writes of each slot, per second.
	JournalWrites int
}

// Result is the result of one run. Keys is the number of distinct idempotency keys.
type Result struct {
	Seed     uint64
	Requests int
	Keys     int
	// Outcomes counts requests by the outcome that their callers saw, Faults the
	// faults by kind.
	Outcomes map[string]int
	Faults   map[string]int
	// Executions is the number of executions that the order services counted.
	Executions int
	// InFlight is the number of requests that companions had dispatched when they
	// were killed, frozen or cut off.
	InFlight   int
	Violations []string
	Elapsed    time.Duration
	// StoreWrites is the number of writes that the store received.
	StoreWrites int64
}

// FaultCount returns the number of faults of all kinds.
func (r *Result) FaultCount() int {
	total := 0
	for _, count := range r.Faults {
		total += count
	}
	return total
}

// Sum adds up results. The seed is that of the first, the duration that of the
// longest.
func Sum(results []*Result) *Result {
	total := &Result{Seed: results[0].Seed, Outcomes: make(map[string]int), Faults: make(map[string]int)}
	for _, result := range results {
		total.Requests += result.Requests
		total.Keys += result.Keys
		total.Executions += result.Executions
		total.InFlight += result.InFlight
		total.StoreWrites += result.StoreWrites
		total.Elapsed = max(total.Elapsed, result.Elapsed)
		total.Violations = append(total.Violations, result.Violations...)
		addCounts(total.Outcomes, result.Outcomes)
		addCounts(total.Faults, result.Faults)
	}
	return total
}

func addCounts(into, from map[string]int) {
	for name, count := range from {
		into[name] += count
	}
}

// Print writes a result as text.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d requests on %d keys in %s, %d faults, %d executions, %d dispatched requests at killed, frozen or cut companions, %d store writes\n",
		r.Seed, r.Requests, r.Keys, r.Elapsed.Round(time.Second), r.FaultCount(), r.Executions, r.InFlight, r.StoreWrites)
	printCounts(out, "outcome", r.Outcomes, r.Requests)
	printCounts(out, "fault", r.Faults, r.FaultCount())
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

// run is the state of one run. mu guards the fields from entries to restarts.
type run struct {
	options    Options
	deployment *fleet.Deployment
	proxies    *fault.Proxies
	started    time.Time

	mu      sync.Mutex
	entries []*fleet.Member
	// companions holds the current incarnation of each endpoint's companion, and
	// links the name of the proxy link to it.
	companions []*fleet.Member
	links      []string
	inFlight   int
	faults     map[string]int
	restarts   int

	histories histories
}

// Run executes one run. It returns an error only if the run could not be executed;
// violations of the guarantees are in the result.
func Run(ctx context.Context, binaries fleet.Binaries, options Options) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Limit)
	defer cancel()
	r := &run{options: options, proxies: fault.New(), faults: make(map[string]int), started: time.Now()}
	defer r.proxies.Close()
	deployment, err := fleet.Deploy(ctx, binaries, fleet.Plan{
		Entries: options.Entries, OrderServices: options.OrderServices, Proxy: r.proxies.StartProxy,
		CompanionArgs: r.companionArgs(),
		StoreArgs:     []string{"--writes", "2000", "--reads", "5000"},
	})
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	r.deployment = deployment
	r.entries = append(r.entries, deployment.Entries...)
	r.companions = append(r.companions, deployment.Companions...)
	for i := range deployment.Companions {
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

// drive runs the callers and injects faults until the minimum numbers of both are
// reached or ctx is done. All faults have ended when it returns.
func (r *run) drive(ctx context.Context) {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers, faults sync.WaitGroup
	faults.Go(func() { r.injectFaults(runCtx) })
	for i := range r.options.Callers {
		callers.Go(func() { r.newCaller(i).sendOrders(runCtx) })
	}
	r.awaitMinimums(runCtx)
	stop()
	faults.Wait()
	callers.Wait()
}

// awaitMinimums waits until the minimum numbers of requests and faults are reached
// or ctx is done.
func (r *run) awaitMinimums(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		if r.histories.requests() >= r.options.MinRequests && r.faultCount() >= r.options.MinFaults {
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
	// settleTime is how long the number of executions must not change before it is
	// final; a resumed process may still execute requests that it had.
	settleTime = 2 * time.Second
	// readTimeout bounds the time until the number of executions is final.
	readTimeout = time.Minute
)

// executions returns the number of executions of each key, after waiting until
// their sum no longer changes.
func (r *run) executions() (map[string]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	previous := -1
	for {
		total := make(map[string]int)
		sum := 0
		for _, service := range r.deployment.OrderServices {
			var seen map[string]int
			if err := service.GetControl(ctx, "executions", &seen); err != nil {
				return nil, err
			}
			for key, count := range seen {
				total[key] += count
				sum += count
			}
		}
		if sum == previous {
			return total, nil
		}
		previous = sum
		select {
		case <-time.After(settleTime):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

func (r *run) result(executions map[string]int) *Result {
	result := &Result{
		Seed: r.options.Seed, Requests: r.histories.requests(), Outcomes: r.histories.outcomeCounts(),
		Faults: r.faults, InFlight: r.inFlight, Elapsed: time.Since(r.started),
	}
	for _, count := range executions {
		result.Executions += count
	}
	result.Keys, result.Violations = r.histories.check(executions)
	var counts struct{ Writes int64 }
	if r.deployment.Store.GetControl(context.Background(), "counts", &counts) == nil {
		result.StoreWrites = counts.Writes
	}
	return result
}
