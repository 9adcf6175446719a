// Package bench measures what the path through entry and companion costs, next
// to the same load sent direct and through two bare forwarders, in one run.
// Ratios between the three hold on any machine; times do not.
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

// Options say how much is measured.
type Options struct {
	Binaries fleet.Binaries
	// Samples is how many requests each way gets where times are measured.
	Samples int
	// Requests is how many short requests each way gets where processor time
	// is measured.
	Requests int
	// Streams are concurrent, of StreamTokens each.
	Streams      int
	StreamTokens int
	// Waiting requests are held in front of a full endpoint.
	Waiting int
	// Profiles is a folder for processor profiles of the path, or empty.
	Profiles string
}

const (
	// engines are the model engines behind every way.
	engines = 2
	// questionBytes and answerTokens make a short request: 4 KB in, 1 KB out.
	questionBytes = 4 << 10
	answerTokens  = 150
	// quietWorkers send the requests whose times are measured, busyWorkers
	// those whose processor time is.
	quietWorkers = 4
	busyWorkers  = 32
	// sampleTokens is the length of a stream whose times are measured.
	sampleTokens = 20
	// tokenStep is the engine's time for a token of the concurrent streams.
	tokenStep = 20 * time.Millisecond
)

// Run measures and prints as it goes.
func Run(ctx context.Context, options Options, out io.Writer) error {
	b := &bench{Options: options, out: out}
	steps := []func(context.Context) error{b.short, b.streams, b.waiting}
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

// ways are the three ways to the same engines.
type ways struct {
	whole      *fleet.Whole
	forwarders []*fleet.Member
	targets    []*target
}

// open starts the processes. args are given to every engine.
func (b *bench) open(ctx context.Context, args ...string) (*ways, error) {
	// The pace is no bound here, so that the cost of the path is measured and
	// not that of waiting; make experiment measures decisions under load.
	plan := fleet.Plan{Entries: 1, CompanionArgs: []string{"--max-running", "4096", "--token-pace", "1m"}}
	for range engines {
		plan.Engines = append(plan.Engines, append([]string{"--prefill-per-token", "0s", "--decode-per-request", "0s", "--max-batch", "10000"}, args...))
	}
	whole, err := fleet.NewWhole(ctx, b.Binaries, plan)
	if err != nil {
		return nil, err
	}
	w := &ways{whole: whole}
	var direct, outer []string
	for i, one := range whole.Engines {
		inner, err := whole.Forwarder(fmt.Sprintf("inner-%d", i), one.Address)
		if err != nil {
			whole.Close()
			return nil, err
		}
		first, err := whole.Forwarder(fmt.Sprintf("outer-%d", i), inner.Address)
		if err != nil {
			whole.Close()
			return nil, err
		}
		direct, outer = append(direct, one.Address), append(outer, first.Address)
		w.forwarders = append(w.forwarders, inner, first)
	}
	w.targets = []*target{
		newTarget("direct", direct...), newTarget("forwarders", outer...), newTarget("path", whole.Entries[0].Address),
	}
	return w, nil
}

// spent is the processor time of the processes in the middle of each way.
type spent struct{ forwarders, entry, companions time.Duration }

func (w *ways) spent() (spent, error) {
	forwarders, err := processorTime(w.forwarders...)
	if err != nil {
		return spent{}, err
	}
	entry, err := processorTime(w.whole.Entries...)
	if err != nil {
		return spent{}, err
	}
	companions, err := processorTime(w.whole.Companions...)
	return spent{forwarders, entry, companions}, err
}

// short measures requests of 4 KB in and 1 KB out, then short streams.
func (b *bench) short(ctx context.Context) error {
	w, err := b.open(ctx, "--decode-step", "0s")
	if err != nil {
		return err
	}
	defer w.whole.Close()
	body := chat(questionBytes, answerTokens, false)
	if err := b.added(ctx, w, "whole answer, 4 KB in, 1 KB out", body, false); err != nil {
		return err
	}
	if err := b.added(ctx, w, "streamed answer of 20 tokens", chat(questionBytes, sampleTokens, true), true); err != nil {
		return err
	}
	return b.shortCost(ctx, w, body)
}

// added compares the times of the three ways. Their requests alternate, so
// that whatever else the machine does hits all alike.
func (b *bench) added(ctx context.Context, w *ways, title string, body []byte, stream bool) error {
	samples := make([]samples, len(w.targets))
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	for range quietWorkers {
		group.Go(func() error {
			for range b.Samples / quietWorkers {
				for i, t := range w.targets {
					seen, err := t.ask(ctx, body, stream)
					if err != nil {
						return err
					}
					mu.Lock()
					samples[i].add(seen)
					mu.Unlock()
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Fprintf(b.out, "\n== %s: added time, %d requests each way\n", title, len(samples[0].first))
	printAdded(b.out, "first byte", samples[0].first, samples[1].first, samples[2].first)
	printAdded(b.out, "whole", samples[0].total, samples[1].total, samples[2].total)
	return nil
}

// shortCost measures the processor time of a short request.
func (b *bench) shortCost(ctx context.Context, w *ways, body []byte) error {
	fmt.Fprintf(b.out, "\n== processor time for a short request, %d requests, %d at once\n", b.Requests, busyWorkers)
	var forwarder time.Duration
	for _, t := range w.targets[1:] {
		before, err := w.spent()
		if err != nil {
			return err
		}
		started := time.Now()
		stop := b.profile(ctx, w, t, "short")
		if err := b.flood(ctx, t, body); err != nil {
			return err
		}
		elapsed := time.Since(started)
		stop()
		after, err := w.spent()
		if err != nil {
			return err
		}
		each := spent{
			(after.forwarders - before.forwarders) / time.Duration(2*b.Requests),
			(after.entry - before.entry) / time.Duration(b.Requests),
			(after.companions - before.companions) / time.Duration(b.Requests),
		}
		rate := float64(b.Requests) / elapsed.Seconds()
		if t.name == "forwarders" {
			forwarder = each.forwarders
			fmt.Fprintf(b.out, "one forwarder %v a request, %.0f requests/s a core; %.0f requests/s in this run\n", each.forwarders, perCore(each.forwarders), rate)
			continue
		}
		printCost(b.out, "entry", each.entry, forwarder, shortTarget)
		printCost(b.out, "companion", each.companions, forwarder, shortTarget)
		fmt.Fprintf(b.out, "entry and companion: %.0f requests/s a core; %.0f requests/s in this run\n", perCore(each.entry+each.companions), rate)
	}
	return nil
}

func (b *bench) flood(ctx context.Context, t *target, body []byte) error {
	var sent atomic.Int64
	group, ctx := errgroup.WithContext(ctx)
	for range busyWorkers {
		group.Go(func() error {
			for sent.Add(1) <= int64(b.Requests) {
				if _, err := t.ask(ctx, body, false); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}
