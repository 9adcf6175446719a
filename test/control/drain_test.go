package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/operator"
	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

// balancer sends to the entries that say they are ready, as the platform's
// does, and never tries a request twice.
type balancer struct {
	mu      sync.Mutex
	entries []*fleet.Member
	next    int
}

func (b *balancer) set(entries ...*fleet.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = append([]*fleet.Member(nil), entries...)
}

// pick returns the next entry that is ready now.
func (b *balancer) pick(ctx context.Context) *fleet.Member {
	for ctx.Err() == nil {
		b.mu.Lock()
		b.next++
		chosen := b.entries[b.next%len(b.entries)]
		b.mu.Unlock()
		if ready(ctx, chosen) {
			return chosen
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func ready(ctx context.Context, member *fleet.Member) bool {
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member.Admin+"/readyz", nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// load is callers that ask without a pause until it is stopped.
type load struct {
	balancer *balancer
	answered atomic.Int64
	mu       sync.Mutex
	failures []string
	wait     sync.WaitGroup
	stop     context.CancelFunc
}

func startLoad(ctx context.Context, callers int, b *balancer) *load {
	ctx, stop := context.WithCancel(ctx)
	l := &load{balancer: b, stop: stop}
	for caller := range callers {
		l.wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.ask(fmt.Sprintf("caller %d question %d", caller, n), n%2 == 0)
			}
		})
	}
	return l
}

func (l *load) ask(prompt string, stream bool) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	entry := l.balancer.pick(ctx)
	status, body, err := ask(ctx, entry, prompt, 8, stream)
	switch {
	case err != nil:
		l.fail(prompt + ": " + err.Error())
	case status != http.StatusOK:
		l.fail(fmt.Sprint(prompt, ": ", status, " ", body))
	case stream && !strings.Contains(body, "[DONE]"):
		l.fail(prompt + ": the stream ended early: " + body)
	default:
		l.answered.Add(1)
	}
}

func (l *load) fail(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, what)
}

// more waits until that many more requests were answered.
func (l *load) more(ctx context.Context, t *testing.T, count int64) {
	t.Helper()
	goal := l.answered.Load() + count
	for l.answered.Load() < goal {
		if ctx.Err() != nil {
			t.Fatal("no more answers; failures:", l.failures)
		}
		time.Sleep(pollDelay)
	}
}

func (l *load) end(t *testing.T) {
	t.Helper()
	l.stop()
	l.wait.Wait()
	if diff := cmp.Diff([]string(nil), l.failures); diff != "" {
		t.Errorf("%d of %d requests failed: %s", len(l.failures), l.answered.Load()+int64(len(l.failures)), diff)
	}
}

func ask(ctx context.Context, entry *fleet.Member, prompt string, tokens int, stream bool) (int, string, error) {
	body, _ := json.Marshal(engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: tokens, Stream: stream, Messages: []engine.Message{{Role: "user", Content: prompt}},
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

func newWhole(ctx context.Context, t *testing.T, plan fleet.Plan) *fleet.Whole {
	t.Helper()
	whole, err := fleet.NewWhole(ctx, binaries, plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(whole.Close)
	return whole
}

// Every process is stopped and started again under load, one after the other,
// and no request fails.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	step := []string{"--decode-step", "1ms"}
	whole := newWhole(ctx, t, fleet.Plan{Entries: 2, Engines: [][]string{step, step, step}})
	b := &balancer{}
	b.set(whole.Entries...)
	l := startLoad(ctx, 6, b)
	l.more(ctx, t, 50)
	for i, old := range whole.Companions {
		if err := old.Stop(); err != nil {
			t.Errorf("%s: %v\n%s", old.Name, err, old.Log())
		}
		endpoint := usher.Endpoint{Name: usher.EndpointName(fmt.Sprint("advice-", i)), AvailabilityZone: fleet.Zone}
		replacement, err := whole.Companion(whole.Store.Address, endpoint, whole.Engines[i].Address, usher.ServiceModel, "--listen", old.Address)
		if err != nil {
			t.Fatal(err)
		}
		if err := replacement.Ready(ctx); err != nil {
			t.Fatal(err)
		}
		l.more(ctx, t, 50)
	}
	for i, old := range whole.Entries {
		if err := old.Stop(); err != nil {
			t.Errorf("%s: %v\n%s", old.Name, err, old.Log())
		}
		replacement, err := whole.Entry(fmt.Sprint("replacement-", i), whole.Store.Address, fleet.Zone)
		if err != nil {
			t.Fatal(err)
		}
		if err := replacement.Ready(ctx); err != nil {
			t.Fatal(err)
		}
		whole.Entries[i] = replacement
		b.set(whole.Entries...)
		l.more(ctx, t, 50)
	}
	l.end(t)
}

// An endpoint that was announced to leave gets no new work once the
// announcement is in force; what waits there is run elsewhere, also when every
// endpoint is full.
func TestLeavingUnderOverload(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	step := []string{"--decode-step", "5ms"}
	whole := newWhole(ctx, t, fleet.Plan{Entries: 1, Engines: [][]string{step, step}, CompanionArgs: []string{"--max-running", "1"}})
	b := &balancer{}
	b.set(whole.Entries...)
	l := startLoad(ctx, 12, b)
	l.more(ctx, t, 20)
	if _, err := operator.New(whole.Client, "ann").SetLeaving(ctx, []usher.EndpointName{"advice-0"}, true, ""); err != nil {
		t.Fatal(err)
	}
	if _, err := whole.Companions[0].Await(ctx, "leavingAnnounced"); err != nil {
		t.Fatal(err)
	}
	awaitIdle(ctx, t, whole.Companions[0])
	before := dispatched(ctx, t, whole.Companions[0])
	l.more(ctx, t, 40)
	if diff := cmp.Diff(before, dispatched(ctx, t, whole.Companions[0])); diff != "" {
		t.Error("the leaving endpoint got new work:", diff)
	}
	// The departure is called off.
	if _, err := operator.New(whole.Client, "ann").SetLeaving(ctx, []usher.EndpointName{"advice-0"}, false, ""); err != nil {
		t.Fatal(err)
	}
	for dispatched(ctx, t, whole.Companions[0]) == before && ctx.Err() == nil {
		time.Sleep(pollDelay)
	}
	l.end(t)
}

// dispatched returns how many requests a companion has sent to its endpoint.
func dispatched(ctx context.Context, t *testing.T, companion *fleet.Member) int64 {
	t.Helper()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+companion.Admin+"/debug/vars", nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var found struct {
		Companion struct {
			Dispatched int64 `json:"dispatched"`
		} `json:"companion"`
	}
	if err := json.NewDecoder(response.Body).Decode(&found); err != nil {
		t.Fatal(err)
	}
	return found.Companion.Dispatched
}

// awaitIdle waits until nothing runs or waits at a companion.
func awaitIdle(ctx context.Context, t *testing.T, companion *fleet.Member) {
	t.Helper()
	for {
		found, err := dump(ctx, companion)
		if err == nil && found.Companion.Load.Running == 0 && found.Companion.Load.Waiting == 0 {
			return
		}
		if ctx.Err() != nil {
			t.Fatal("the companion did not finish its work")
		}
		time.Sleep(pollDelay)
	}
}

// A stream that is longer than the drain timeout is reported before it is cut,
// and the process does not claim that all went well.
func TestDrainTimeoutIsReported(t *testing.T) {
	t.Parallel()
	for _, stopped := range []string{"entry", "companion"} {
		t.Run(stopped, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			short := []string{"--drain-timeout", "300ms"}
			whole := newWhole(ctx, t, fleet.Plan{Entries: 1, Engines: [][]string{{"--decode-step", "20ms"}}, CompanionArgs: short, EntryArgs: short})
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _, _ = ask(ctx, whole.Entries[0], "a long answer", 4000, true)
			}()
			for dispatched(ctx, t, whole.Companions[0]) == 0 && ctx.Err() == nil {
				time.Sleep(pollDelay)
			}
			member := map[string]*fleet.Member{"entry": whole.Entries[0], "companion": whole.Companions[0]}[stopped]
			err := member.Stop()
			if _, ok := err.(*exec.ExitError); !ok {
				t.Errorf("exit: %v", err)
			}
			if !strings.Contains(member.Log(), "event=drainCuts") {
				t.Error("the cut stream was not reported:", member.Log())
			}
			cancel()
			<-done
		})
	}
}

// A stream that ends within the drain timeout is delivered whole, and the stop
// of all processes of a zone by one command exits with status 0.
func TestPlannedStopFinishesStreams(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	whole := newWhole(ctx, t, fleet.Plan{Entries: 1, Engines: [][]string{{"--decode-step", "10ms"}}})
	type result struct {
		status int
		body   string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		status, body, err := ask(ctx, whole.Entries[0], "a long answer", 200, true)
		results <- result{status, body, err}
	}()
	for dispatched(ctx, t, whole.Companions[0]) == 0 && ctx.Err() == nil {
		time.Sleep(pollDelay)
	}
	admins := whole.Companions[0].Admin + "," + whole.Entries[0].Admin
	if output, err := exec.CommandContext(ctx, binaries.Product, "stop", "announce", admins).CombinedOutput(); err != nil {
		t.Fatal(err, string(output))
	}
	got := <-results
	if got.err != nil || got.status != http.StatusOK || !strings.Contains(got.body, "[DONE]") {
		t.Error(got)
	}
	for _, member := range []*fleet.Member{whole.Companions[0], whole.Entries[0]} {
		if err := member.Err(); err != nil {
			t.Errorf("%s: %v\n%s", member.Name, err, member.Log())
		}
	}
}
