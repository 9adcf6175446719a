package bench

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertusher/internal/standin/fleet"
)

const (
	// streamPromptBytes is the size of the prompt of a concurrent stream.
	streamPromptBytes = 200
	// memorySettleDelay lets memory use become stable before it is measured.
	memorySettleDelay = time.Second
	// blockingPrefillTime is the prefill time per prompt token of an engine that is
	// to stay busy while requests wait for it.
	blockingPrefillTime = "1s"
)

// measureStreams measures many concurrent streams on each target.
func (b *bench) measureStreams(ctx context.Context) error {
	tb, err := b.startTestbed(ctx, "--decode-step", decodeStep.String())
	if err != nil {
		return err
	}
	defer tb.system.Close()
	fmt.Fprintf(b.out, "\n== %d concurrent streams, %d tokens each, one every %v\n", b.Streams, b.StreamTokens, decodeStep)
	tokens := time.Duration(b.Streams * b.StreamTokens)
	var directGap, forwarder time.Duration
	for _, t := range tb.targets {
		idleMemory, err := tb.residentBytes()
		if err != nil {
			return err
		}
		before, err := tb.cpuTimes()
		if err != nil {
			return err
		}
		stop := b.startProfiles(ctx, tb, t, "streams")
		gaps, loadedMemory, err := b.runStreams(ctx, tb, t)
		stop()
		if err != nil {
			return err
		}
		after, err := tb.cpuTimes()
		if err != nil {
			return err
		}
		p95Gap := quantile(gaps, 0.95)
		switch t.name {
		case "direct":
			directGap = p95Gap
			fmt.Fprintf(b.out, "direct: p95 gap %v\n", p95Gap)
		case "forwarders":
			// Each token passes through two forwarders.
			forwarder = (after.forwarders - before.forwarders) / (2 * tokens)
			fmt.Fprintf(b.out, "forwarders: p95 gap %v; one forwarder: %v per token, %.0f tokens/s per core\n", p95Gap, forwarder, perCore(forwarder))
		default:
			entry, companion := (after.entry-before.entry)/tokens, (after.companions-before.companions)/tokens
			fmt.Fprintf(b.out, "path: p95 gap %v, added %v (target: at most %v)\n", p95Gap, p95Gap-directGap, maxAddedGap)
			printCPU(b.out, "entry", entry, forwarder, maxTokenCPURatio)
			printCPU(b.out, "companion", companion, forwarder, maxTokenCPURatio)
			fmt.Fprintf(b.out, "entry and companion: %.0f tokens/s per core\n", perCore(entry+companion))
			fmt.Fprintf(b.out, "memory per stream: entry %d bytes, companions %d bytes\n", (loadedMemory.entry-idleMemory.entry)/int64(b.Streams), (loadedMemory.companions-idleMemory.companions)/int64(b.Streams))
		}
	}
	return nil
}

// runStreams runs the streams and measures memory halfway through. It returns the
// gaps between the events of all streams.
func (b *bench) runStreams(ctx context.Context, tb *testbed, t *target) ([]time.Duration, residentBytes, error) {
	body := chat(streamPromptBytes, b.StreamTokens, true)
	var mu sync.Mutex
	var gaps []time.Duration
	group, ctx := errgroup.WithContext(ctx)
	for range b.Streams {
		group.Go(func() error {
			measured, err := t.send(ctx, body, true)
			mu.Lock()
			gaps = append(gaps, measured.gaps...)
			mu.Unlock()
			return err
		})
	}
	var loadedMemory residentBytes
	group.Go(func() error {
		time.Sleep(time.Duration(b.StreamTokens) * decodeStep / 2)
		var err error
		loadedMemory, err = tb.residentBytes()
		return err
	})
	err := group.Wait()
	return gaps, loadedMemory, err
}

// residentBytes is the resident memory of the product's processes, in bytes.
type residentBytes struct{ entry, companions int64 }

func (tb *testbed) residentBytes() (residentBytes, error) {
	var total residentBytes
	entry, err := residentMemory(tb.system.Entries[0])
	if err != nil {
		return total, err
	}
	total.entry = entry
	for _, companion := range tb.system.Companions {
		resident, err := residentMemory(companion)
		if err != nil {
			return total, err
		}
		total.companions += resident
	}
	return total, nil
}

// measureWaiting measures the memory per request that waits for a full endpoint.
func (b *bench) measureWaiting(ctx context.Context) error {
	system, err := fleet.Deploy(ctx, b.Binaries, fleet.Plan{
		Entries: 1,
		// No request finishes: the engine's first step takes longer than the run.
		Engines:       [][]string{{"--prefill-per-token", blockingPrefillTime}},
		CompanionArgs: []string{"--max-running", "1", "--max-waiting", "100000", "--max-waiting-tokens", "1000000000"},
	})
	if err != nil {
		return err
	}
	defer system.Close()
	tb := &testbed{system: system}
	idleMemory, err := tb.residentBytes()
	if err != nil {
		return err
	}
	conns, err := b.openWaitingRequests(system.Entries[0].Address)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	if err != nil {
		return err
	}
	waiting, err := tb.awaitWaiting(ctx, b.Waiting)
	if err != nil {
		return err
	}
	time.Sleep(memorySettleDelay)
	loadedMemory, err := tb.residentBytes()
	if err != nil {
		return err
	}
	fmt.Fprintf(b.out, "\n== %d requests of 4 KB wait for one endpoint\n", waiting)
	const mebi = 1 << 20
	fmt.Fprintf(b.out, "entry %d MB (%d bytes per request), companion %d MB (%d bytes per request); target: under 256 MB each\n",
		loadedMemory.entry/mebi, (loadedMemory.entry-idleMemory.entry)/int64(waiting), loadedMemory.companions/mebi, (loadedMemory.companions-idleMemory.companions)/int64(waiting))
	return nil
}

// openWaitingRequests sends the requests and leaves their connections open. It
// writes them to raw connections, because an http.Client would use a lot of memory
// per request in the benchmark's own process.
func (b *bench) openWaitingRequests(address string) ([]net.Conn, error) {
	body := chat(promptBytes, answerTokens, false)
	header := "POST /v1/chat/completions HTTP/1.1\r\nHost: " + address + "\r\nAuthorization: Bearer " +
		fleet.TokenOf(fleet.Regenfass) + "\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	request := append([]byte(header), body...)
	var conns []net.Conn
	for range b.Waiting {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return conns, err
		}
		conns = append(conns, conn)
		if _, err := conn.Write(request); err != nil {
			return conns, err
		}
	}
	return conns, nil
}

// awaitWaiting waits until the companion has the requests in its queue or running,
// and returns how many it has.
func (tb *testbed) awaitWaiting(ctx context.Context, want int) (int, error) {
	deadlineCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		var dump struct {
			Companion struct {
				Load struct{ Waiting, Running int }
			}
		}
		if err := tb.system.Companions[0].Dump(deadlineCtx, &dump); err != nil {
			return 0, err
		}
		if waiting := dump.Companion.Load.Waiting + dump.Companion.Load.Running; waiting >= want {
			return waiting, nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-deadlineCtx.Done():
			return 0, deadlineCtx.Err()
		}
	}
}
