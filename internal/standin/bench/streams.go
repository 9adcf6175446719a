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
	// shortQuestion is the size of a question whose answer is streamed, in bytes.
	shortQuestion = 200
	// settleDelay lets memory come to rest before it is read.
	settleDelay = time.Second
	// holdTime for each prompt token keeps the endpoint busy while others wait.
	holdTime = "1s"
)

// streams measures many concurrent streams on each way.
func (b *bench) streams(ctx context.Context) error {
	w, err := b.open(ctx, "--decode-step", tokenStep.String())
	if err != nil {
		return err
	}
	defer w.whole.Close()
	fmt.Fprintf(b.out, "\n== %d concurrent streams, %d tokens each, one in %v\n", b.Streams, b.StreamTokens, tokenStep)
	tokens := time.Duration(b.Streams * b.StreamTokens)
	var direct, forwarder time.Duration
	for _, t := range w.targets {
		idle, err := w.memory()
		if err != nil {
			return err
		}
		before, err := w.spent()
		if err != nil {
			return err
		}
		stop := b.profile(ctx, w, t, "streams")
		gaps, used, err := b.streamAll(ctx, w, t)
		stop()
		if err != nil {
			return err
		}
		after, err := w.spent()
		if err != nil {
			return err
		}
		late := quantile(gaps, 0.95)
		switch t.name {
		case "direct":
			direct = late
			fmt.Fprintf(b.out, "direct: 95 in 100 gaps up to %v\n", late)
		case "forwarders":
			forwarder = (after.forwarders - before.forwarders) / (2 * tokens)
			fmt.Fprintf(b.out, "forwarders: 95 in 100 gaps up to %v; one forwarder %v a token, %.0f tokens/s a core\n", late, forwarder, perCore(forwarder))
		default:
			entry, companion := (after.entry-before.entry)/tokens, (after.companions-before.companions)/tokens
			fmt.Fprintf(b.out, "path: 95 in 100 gaps up to %v, added %v (target: at most %v)\n", late, late-direct, gapTarget)
			printCost(b.out, "entry", entry, forwarder, tokenTarget)
			printCost(b.out, "companion", companion, forwarder, tokenTarget)
			fmt.Fprintf(b.out, "entry and companion: %.0f tokens/s a core\n", perCore(entry+companion))
			fmt.Fprintf(b.out, "memory a stream: entry %d bytes, companions %d bytes\n", (used.entry-idle.entry)/int64(b.Streams), (used.companions-idle.companions)/int64(b.Streams))
		}
	}
	return nil
}

// streamAll runs the streams and reads the memory in their midst.
func (b *bench) streamAll(ctx context.Context, w *ways, t *target) ([]time.Duration, memory, error) {
	body := chat(shortQuestion, b.StreamTokens, true)
	var mu sync.Mutex
	var gaps []time.Duration
	group, ctx := errgroup.WithContext(ctx)
	for range b.Streams {
		group.Go(func() error {
			seen, err := t.ask(ctx, body, true)
			mu.Lock()
			gaps = append(gaps, seen.gaps...)
			mu.Unlock()
			return err
		})
	}
	var used memory
	group.Go(func() error {
		time.Sleep(time.Duration(b.StreamTokens) * tokenStep / 2)
		var err error
		used, err = w.memory()
		return err
	})
	err := group.Wait()
	return gaps, used, err
}

// memory is the resident memory of the processes of the path, in bytes.
type memory struct{ entry, companions int64 }

func (w *ways) memory() (memory, error) {
	var m memory
	entry, err := residentMemory(w.whole.Entries[0])
	if err != nil {
		return m, err
	}
	m.entry = entry
	for _, companion := range w.whole.Companions {
		one, err := residentMemory(companion)
		if err != nil {
			return m, err
		}
		m.companions += one
	}
	return m, nil
}

// waiting measures the memory of requests that wait for a full endpoint.
func (b *bench) waiting(ctx context.Context) error {
	whole, err := fleet.NewWhole(ctx, b.Binaries, fleet.Plan{
		Entries: 1,
		// Nothing leaves the engine: its first step outlasts the run.
		Engines:       [][]string{{"--prefill-per-token", holdTime}},
		CompanionArgs: []string{"--max-running", "1", "--max-waiting", "100000", "--max-waiting-tokens", "1000000000"},
	})
	if err != nil {
		return err
	}
	defer whole.Close()
	w := &ways{whole: whole}
	idle, err := w.memory()
	if err != nil {
		return err
	}
	conns, err := b.hold(whole.Entries[0].Address)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	if err != nil {
		return err
	}
	held, err := w.awaitWaiting(ctx, b.Waiting)
	if err != nil {
		return err
	}
	time.Sleep(settleDelay)
	used, err := w.memory()
	if err != nil {
		return err
	}
	fmt.Fprintf(b.out, "\n== %d requests of 4 KB wait for one endpoint\n", held)
	const mebi = 1 << 20
	fmt.Fprintf(b.out, "entry %d MB (%d bytes a request), companion %d MB (%d bytes a request); target: under 256 MB each\n",
		used.entry/mebi, (used.entry-idle.entry)/int64(held), used.companions/mebi, (used.companions-idle.companions)/int64(held))
	return nil
}

// hold sends the requests and leaves their connections open. They are written
// by hand, because a client's own memory for each would be the bench's.
func (b *bench) hold(address string) ([]net.Conn, error) {
	body := chat(questionBytes, answerTokens, false)
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: " + address + "\r\nAuthorization: Bearer " +
		fleet.TokenOf(fleet.Regenfass) + "\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	request := append([]byte(head), body...)
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

// awaitWaiting waits until the companion holds the requests.
func (w *ways) awaitWaiting(ctx context.Context, want int) (int, error) {
	limit, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		var dump struct {
			Companion struct {
				Load struct{ Waiting, Running int }
			}
		}
		if err := w.whole.Companions[0].Dump(limit, &dump); err != nil {
			return 0, err
		}
		if held := dump.Companion.Load.Waiting + dump.Companion.Load.Running; held >= want {
			return held, nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-limit.Done():
			return 0, limit.Err()
		}
	}
}
