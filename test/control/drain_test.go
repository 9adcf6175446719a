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
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/operator"
	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

// balancer picks in turn from the entries that report that they are ready, like the
// platform's load balancer, and never retries a request.
type balancer struct {
	mu      sync.Mutex
	entries []*fleet.Member
	turn    int
}

func (b *balancer) set(entries ...*fleet.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = append([]*fleet.Member(nil), entries...)
}

// pick waits for an entry that is ready and returns it.
func (b *balancer) pick(ctx context.Context) *fleet.Member {
	for ctx.Err() == nil {
		b.mu.Lock()
		b.turn++
		chosen := b.entries[b.turn%len(b.entries)]
		b.mu.Unlock()
		if isReady(ctx, chosen) {
			return chosen
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func isReady(ctx context.Context, member *fleet.Member) bool {
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member.Admin+"/readyz", nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// loadGenerator is a set of callers that send requests without a pause until it is
// stopped.
type loadGenerator struct {
	balancer *balancer
	answered atomic.Int64
	mu       sync.Mutex
	failures []string
	callers  sync.WaitGroup
	stop     context.CancelFunc
}

func startLoad(ctx context.Context, callers int, b *balancer) *loadGenerator {
	ctx, stop := context.WithCancel(ctx)
	l := &loadGenerator{balancer: b, stop: stop}
	for caller := range callers {
		l.callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.send(fmt.Sprintf("caller %d request %d", caller, n), n%2 == 0)
			}
		})
	}
	return l
}

func (l *loadGenerator) send(prompt string, stream bool) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	entry := l.balancer.pick(ctx)
	status, body, err := sendChat(ctx, entry, prompt, 8, stream)
	switch {
	case err != nil:
		l.addFailure(prompt + ": " + err.Error())
	case status != http.StatusOK:
		l.addFailure(fmt.Sprint(prompt, ": ", status, " ", body))
	case stream && !strings.Contains(body, "[DONE]"):
		l.addFailure(prompt + ": the stream ended early: " + body)
	default:
		l.answered.Add(1)
	}
}

func (l *loadGenerator) addFailure(failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, failure)
}

// awaitAnswers waits until that many more requests have been answered.
func (l *loadGenerator) awaitAnswers(ctx context.Context, t *testing.T, count int64) {
	t.Helper()
	target := l.answered.Load() + count
	for l.answered.Load() < target {
		if ctx.Err() != nil {
			t.Fatal("too few requests were answered; failures:", l.failures)
		}
		time.Sleep(pollDelay)
	}
}

func (l *loadGenerator) stopAndCheck(t *testing.T) {
	t.Helper()
	l.stop()
	l.callers.Wait()
	if diff := cmp.Diff([]string(nil), l.failures); diff != "" {
		t.Errorf("%d of %d requests failed: %s", len(l.failures), l.answered.Load()+int64(len(l.failures)), diff)
	}
}

func sendChat(ctx context.Context, entry *fleet.Member, prompt string, tokens int, stream bool) (int, string, error) {
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
	responseBody, err := io.ReadAll(response.Body)
	return response.StatusCode, string(responseBody), err
}

func newCluster(ctx context.Context, t *testing.T, plan fleet.Plan) *fleet.Deployment {
	t.Helper()
	cluster, err := fleet.Deploy(ctx, binaries, plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

// TestRollingReplacement replaces every process under load, one after the other. No
// request may fail.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	engineArgs := []string{"--decode-step", "1ms"}
	cluster := newCluster(ctx, t, fleet.Plan{Entries: 2, Engines: [][]string{engineArgs, engineArgs, engineArgs}})
	b := &balancer{}
	b.set(cluster.Entries...)
	l := startLoad(ctx, 6, b)
	l.awaitAnswers(ctx, t, 50)
	for i, old := range cluster.Companions {
		if err := old.Stop(); err != nil {
			t.Errorf("%s: %v\n%s", old.Name, err, old.Log())
		}
		endpoint := usher.Endpoint{Name: usher.EndpointName(fmt.Sprint("advice-", i)), AvailabilityZone: fleet.Zone}
		replacement, err := cluster.Companion(cluster.Store.Address, endpoint, cluster.Engines[i].Address, usher.ServiceModel, "--listen", old.Address)
		if err != nil {
			t.Fatal(err)
		}
		if err := replacement.AwaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		l.awaitAnswers(ctx, t, 50)
	}
	for i, old := range cluster.Entries {
		if err := old.Stop(); err != nil {
			t.Errorf("%s: %v\n%s", old.Name, err, old.Log())
		}
		replacement, err := cluster.Entry(fmt.Sprint("replacement-", i), cluster.Store.Address, fleet.Zone)
		if err != nil {
			t.Fatal(err)
		}
		if err := replacement.AwaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		cluster.Entries[i] = replacement
		b.set(cluster.Entries...)
		l.awaitAnswers(ctx, t, 50)
	}
	l.stopAndCheck(t)
}

// TestLeavingUnderOverload announces that an endpoint leaves while every endpoint is
// full. Once the announcement is in force, the endpoint may get no new requests, and
// those in its queue must run elsewhere.
func TestLeavingUnderOverload(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	engineArgs := []string{"--decode-step", "5ms"}
	cluster := newCluster(ctx, t, fleet.Plan{Entries: 1, Engines: [][]string{engineArgs, engineArgs}, CompanionArgs: []string{"--max-running", "1"}})
	b := &balancer{}
	b.set(cluster.Entries...)
	l := startLoad(ctx, 12, b)
	l.awaitAnswers(ctx, t, 20)
	if _, err := operator.New(cluster.Client, "ann").SetLeaving(ctx, []usher.EndpointName{"advice-0"}, true, ""); err != nil {
		t.Fatal(err)
	}
	if _, err := cluster.Companions[0].Await(ctx, "leavingAnnounced"); err != nil {
		t.Fatal(err)
	}
	awaitIdle(ctx, t, cluster.Companions[0])
	before := dispatched(ctx, t, cluster.Companions[0])
	l.awaitAnswers(ctx, t, 40)
	if diff := cmp.Diff(before, dispatched(ctx, t, cluster.Companions[0])); diff != "" {
		t.Error("the leaving endpoint got new requests:", diff)
	}
	// The announcement is withdrawn, and the endpoint gets requests again.
	if _, err := operator.New(cluster.Client, "ann").SetLeaving(ctx, []usher.EndpointName{"advice-0"}, false, ""); err != nil {
		t.Fatal(err)
	}
	for dispatched(ctx, t, cluster.Companions[0]) == before && ctx.Err() == nil {
		time.Sleep(pollDelay)
	}
	l.stopAndCheck(t)
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

// awaitIdle waits until a companion has no running and no queued requests.
func awaitIdle(ctx context.Context, t *testing.T, companion *fleet.Member) {
	t.Helper()
	for {
		found, err := fetchState(ctx, companion)
		if err == nil && found.Companion.Load.Running == 0 && found.Companion.Load.Waiting == 0 {
			return
		}
		if ctx.Err() != nil {
			t.Fatal("the companion did not finish its requests")
		}
		time.Sleep(pollDelay)
	}
}

// TestDrainTimeoutIsReported stops a process during a stream that takes longer than
// the drain timeout. The process must log the stream before it cuts it off, and must
// exit with a status other than 0.
func TestDrainTimeoutIsReported(t *testing.T) {
	t.Parallel()
	for _, stopped := range []string{"entry", "companion"} {
		t.Run(stopped, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			drainTimeout := []string{"--drain-timeout", "300ms"}
			cluster := newCluster(ctx, t, fleet.Plan{Entries: 1, Engines: [][]string{{"--decode-step", "20ms"}}, CompanionArgs: drainTimeout, EntryArgs: drainTimeout})
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _, _ = sendChat(ctx, cluster.Entries[0], "a long answer", 4000, true)
			}()
			for dispatched(ctx, t, cluster.Companions[0]) == 0 && ctx.Err() == nil {
				time.Sleep(pollDelay)
			}
			member := map[string]*fleet.Member{"entry": cluster.Entries[0], "companion": cluster.Companions[0]}[stopped]
			err := member.Stop()
			if _, ok := err.(*exec.ExitError); !ok {
				t.Errorf("the process ended with %v, want an exit status other than 0", err)
			}
			if !strings.Contains(member.Log(), "event=drainCuts") {
				t.Error("the stream that was cut off is not logged:", member.Log())
			}
			cancel()
			<-done
		})
	}
}

// TestGracefulStopFinishesStreams stops all processes of a zone with one command
// during a stream that ends within the drain timeout. The stream must be delivered
// completely, and every process must exit with status 0.
func TestGracefulStopFinishesStreams(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	cluster := newCluster(ctx, t, fleet.Plan{Entries: 1, Engines: [][]string{{"--decode-step", "10ms"}}})
	type result struct {
		status int
		body   string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		status, body, err := sendChat(ctx, cluster.Entries[0], "a long answer", 200, true)
		results <- result{status, body, err}
	}()
	for dispatched(ctx, t, cluster.Companions[0]) == 0 && ctx.Err() == nil {
		time.Sleep(pollDelay)
	}
	admins := cluster.Companions[0].Admin + "," + cluster.Entries[0].Admin
	if output, err := exec.CommandContext(ctx, binaries.Scheduler, "stop", "announce", admins).CombinedOutput(); err != nil {
		t.Fatal(err, string(output))
	}
	got := <-results
	if got.err != nil || got.status != http.StatusOK || !strings.Contains(got.body, "[DONE]") {
		t.Error(got)
	}
	for _, member := range []*fleet.Member{cluster.Companions[0], cluster.Entries[0]} {
		if err := member.Err(); err != nil {
			t.Errorf("%s: %v\n%s", member.Name, err, member.Log())
		}
		if _, err := member.Await(ctx, "drained", "cut=0"); err != nil {
			t.Error(err)
		}
	}
}

// TestEntryRefusesLateRequest guards against requests that a stopping entry takes and then
// cuts: their callers send them on a connection that was busy with a stream until long
// after the signal.
func TestEntryRefusesLateRequest(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	cluster := newCluster(ctx, t, fleet.Plan{Entries: 1, Engines: [][]string{{"--decode-step", "50ms"}}})
	entry, err := cluster.Entry("stopping", cluster.Store.Address, fleet.Zone, "--readiness-delay", "0s", "--drain-timeout", "10s")
	if err != nil {
		t.Fatal(err)
	}
	if err := entry.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	caller := dialEntry(t, entry)
	const firstTokens, secondTokens = 40, 400
	caller.post(t, firstTokens, true, "")
	if _, err := caller.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	before := dispatched(ctx, t, cluster.Companions[0])
	entry.Signal(syscall.SIGTERM)
	if _, err := entry.Await(ctx, "stopping"); err != nil {
		t.Fatal(err)
	}
	// The request is sent before the stream ends: a connection on which nothing waits then is
	// closed. It is read after the stream, which lasts for two seconds.
	time.Sleep(time.Second)
	caller.post(t, secondTokens, true, "")
	if got := caller.receive(); got.err != nil || got.status != http.StatusOK || !strings.Contains(got.body, "[DONE]") {
		t.Fatalf("%+v", *got)
	}
	if got := caller.receive(); got.err != nil || got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, string(usher.RefusalLeaving)) {
		t.Errorf("want 503 because the instance leaves: %+v", *got)
	}
	if diff := cmp.Diff(before, dispatched(ctx, t, cluster.Companions[0])); diff != "" {
		t.Error("the request was sent to an endpoint:", diff)
	}
}
