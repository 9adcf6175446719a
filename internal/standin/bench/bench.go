// Package bench measures the latency, CPU time and memory that the product's path
// through an entry and a companion adds. In the same run it sends the same load to
// the engines directly and through two plain HTTP forwarders in series. The ratios
// between the three are comparable across machines; the absolute times are not.
package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertusher/internal/standin/fleet"
)

// Options configures a run. Binaries are the programs to run, and StreamTokens is
// the length of each concurrent stream.
type Options struct {
	Binaries fleet.Binaries
	// Samples is the number of requests per target in latency measurements.
	Samples int
	// Requests is the number of short requests per target in CPU time
	// measurements.
	Requests int
	// Streams is the number of concurrent streams.
	Streams      int
	StreamTokens int
	// Waiting is the number of requests that wait for a full endpoint.
	Waiting int
	// ProfileDir is the directory for CPU profiles of the product's processes. If it
	// is empty, none are taken.
	ProfileDir string
}

const (
	// engineCount is the number of engines behind every target.
	engineCount = 2
	// promptBytes and answerTokens are the size of a short request: 4 KB in,
	// 1 KB out.
	promptBytes  = 4 << 10
	answerTokens = 150
	// latencyWorkers and cpuWorkers are the numbers of concurrent clients in
	// latency and in CPU time measurements.
	latencyWorkers = 4
	cpuWorkers     = 32
	// latencyStreamTokens is the length of a stream in latency measurements.
	latencyStreamTokens = 20
	// decodeStep is the engine's time per token in the concurrent streams.
	decodeStep = 20 * time.Millisecond
)

// Run executes all measurements and writes the results to out as they complete.
func Run(ctx context.Context, options Options, out io.Writer) error {
	b := &bench{Options: options, out: out}
	steps := []func(context.Context) error{b.measureShortRequests, b.measureStreams, b.measureWaiting}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

type bench struct {
	Options
	out io.Writer
}

// testbed is a set of running processes with three targets that lead to the same
// engines.
type testbed struct {
	system     *fleet.Deployment
	forwarders []*fleet.Member
	targets    []*target
}

// startTestbed starts the processes. args are extra flags for every engine.
func (b *bench) startTestbed(ctx context.Context, args ...string) (*testbed, error) {
	// The target token interval is so long that it never limits admission: this
	// measures the cost of the path, not the time in the queue. "make experiment"
	// measures scheduling under load.
	plan := fleet.Plan{Entries: 1, CompanionArgs: []string{"--max-running", "4096", "--token-pace", "1m"}}
	for range engineCount {
		plan.Engines = append(plan.Engines, append([]string{"--prefill-per-token", "0s", "--decode-per-request", "0s", "--max-batch", "10000"}, args...))
	}
	system, err := fleet.Deploy(ctx, b.Binaries, plan)
	if err != nil {
		return nil, err
	}
	tb := &testbed{system: system}
	var directAddresses, outerAddresses []string
	for i, engineMember := range system.Engines {
		innerForwarder, err := system.Forwarder(fmt.Sprintf("inner-%d", i), engineMember.Address)
		if err != nil {
			system.Close()
			return nil, err
		}
		outerForwarder, err := system.Forwarder(fmt.Sprintf("outer-%d", i), innerForwarder.Address)
		if err != nil {
			system.Close()
			return nil, err
		}
		directAddresses, outerAddresses = append(directAddresses, engineMember.Address), append(outerAddresses, outerForwarder.Address)
		tb.forwarders = append(tb.forwarders, innerForwarder, outerForwarder)
	}
	tb.targets = []*target{
		newTarget("direct", directAddresses...), newTarget("forwarders", outerAddresses...), newTarget("path", system.Entries[0].Address),
	}
	return tb, nil
}

// cpuTimes is the CPU time that the processes between client and engines have
// used.
type cpuTimes struct{ forwarders, entry, companions time.Duration }

func (tb *testbed) cpuTimes() (cpuTimes, error) {
	forwarders, err := cpuTime(tb.forwarders...)
	if err != nil {
		return cpuTimes{}, err
	}
	entry, err := cpuTime(tb.system.Entries...)
	if err != nil {
		return cpuTimes{}, err
	}
	companions, err := cpuTime(tb.system.Companions...)
	return cpuTimes{forwarders, entry, companions}, err
}

// measureShortRequests measures requests of 4 KB in and 1 KB out, and short
// streams.
func (b *bench) measureShortRequests(ctx context.Context) error {
	tb, err := b.startTestbed(ctx, "--decode-step", "0s")
	if err != nil {
		return err
	}
	defer tb.system.Close()
	body := chat(promptBytes, answerTokens, false)
	if err := b.compareLatency(ctx, tb, "response not streamed, 4 KB in, 1 KB out", body, false); err != nil {
		return err
	}
	if err := b.compareLatency(ctx, tb, "streamed response of 20 tokens", chat(promptBytes, latencyStreamTokens, true), true); err != nil {
		return err
	}
	return b.measureShortRequestCPU(ctx, tb, body)
}

// compareLatency compares the latencies of the three targets. Requests alternate
// between them, so that other load on the machine affects all three equally.
func (b *bench) compareLatency(ctx context.Context, tb *testbed, title string, body []byte, stream bool) error {
	samples := make([]samples, len(tb.targets))
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	for range latencyWorkers {
		group.Go(func() error {
			for range b.Samples / latencyWorkers {
				for i, t := range tb.targets {
					measured, err := t.send(ctx, body, stream)
					if err != nil {
						return err
					}
					mu.Lock()
					samples[i].add(measured)
					mu.Unlock()
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(b.out, "\n== %s: added latency, %d requests per target\n", title, len(samples[0].firstByte))
	printAddedLatency(b.out, "first byte", samples[0].firstByte, samples[1].firstByte, samples[2].firstByte)
	printAddedLatency(b.out, "total", samples[0].total, samples[1].total, samples[2].total)
	return nil
}

// measureShortRequestCPU measures the CPU time per short request.
func (b *bench) measureShortRequestCPU(ctx context.Context, tb *testbed, body []byte) error {
	fmt.Fprintf(b.out, "\n== CPU time per short request, %d requests, %d concurrent\n", b.Requests, cpuWorkers)
	var forwarder time.Duration
	for _, t := range tb.targets[1:] {
		before, err := tb.cpuTimes()
		if err != nil {
			return err
		}
		started := time.Now()
		stop := b.startProfiles(ctx, tb, t, "short")
		if err := b.sendConcurrently(ctx, t, body); err != nil {
			return err
		}
		elapsed := time.Since(started)
		stop()
		after, err := tb.cpuTimes()
		if err != nil {
			return err
		}
		// Each request to the target forwarders passes through two of them.
		perRequest := cpuTimes{
			(after.forwarders - before.forwarders) / time.Duration(2*b.Requests),
			(after.entry - before.entry) / time.Duration(b.Requests),
			(after.companions - before.companions) / time.Duration(b.Requests),
		}
		rate := float64(b.Requests) / elapsed.Seconds()
		if t.name == "forwarders" {
			forwarder = perRequest.forwarders
			fmt.Fprintf(b.out, "one forwarder: %v per request, %.0f requests/s per core; %.0f requests/s in this run\n", perRequest.forwarders, perCore(perRequest.forwarders), rate)
			continue
		}
		printCPU(b.out, "entry", perRequest.entry, forwarder, maxRequestCPURatio)
		printCPU(b.out, "companion", perRequest.companions, forwarder, maxRequestCPURatio)
		fmt.Fprintf(b.out, "entry and companion: %.0f requests/s per core; %.0f requests/s in this run\n", perCore(perRequest.entry+perRequest.companions), rate)
	}
	return nil
}

func (b *bench) sendConcurrently(ctx context.Context, t *target, body []byte) error {
	var sent atomic.Int64
	group, ctx := errgroup.WithContext(ctx)
	for range cpuWorkers {
		group.Go(func() error {
			for sent.Add(1) <= int64(b.Requests) {
				if _, err := t.send(ctx, body, false); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}
