package outcome_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// restartingCluster is a running cluster that restarts each crashed engine at the
// same address, after a delay.
type restartingCluster struct {
	t       *testing.T
	ctx     context.Context
	cluster *fleet.Deployment
	delay   time.Duration
	crashes atomic.Int64
}

func newRestartingCluster(ctx context.Context, t *testing.T, delay time.Duration) *restartingCluster {
	engineArgs := []string{"--decode-step", "5ms"}
	cluster, err := fleet.Deploy(ctx, binaries, fleet.Plan{Entries: 2, Engines: [][]string{engineArgs, engineArgs}})
	if err != nil {
		t.Fatal(err)
	}
	c := &restartingCluster{t: t, ctx: ctx, cluster: cluster, delay: delay}
	var restarting sync.WaitGroup
	restartCtx, stop := context.WithCancel(ctx)
	t.Cleanup(func() {
		stop()
		restarting.Wait()
		if t.Failed() {
			for _, member := range cluster.Members() {
				t.Logf("%s:\n%s", member.Name, member.Log())
			}
		}
		cluster.Close()
	})
	for _, process := range cluster.Engines {
		restarting.Go(func() { c.restartOnExit(restartCtx, process) })
	}
	return c
}

func (c *restartingCluster) restartOnExit(ctx context.Context, crashing *fleet.Member) {
	address := crashing.Address
	for {
		select {
		case <-crashing.Exited():
		case <-ctx.Done():
			return
		}
		pause.For(ctx, c.delay)
		restarted, err := c.cluster.Engine(crashing.Name, "--model", string(fleet.Model), "--decode-step", "5ms", "--listen", address)
		if err != nil {
			c.t.Error(err)
			return
		}
		crashing = restarted
		c.crashes.Add(1)
	}
}

// awaitCrashes waits until that many engine crashes have been followed by a
// restart.
func (c *restartingCluster) awaitCrashes(want int64) {
	for c.crashes.Load() < want && c.ctx.Err() == nil {
		time.Sleep(pollDelay)
	}
}

// sendChat sends a chat request through an entry and returns "answered", the kind
// of the refusal, or the transport error.
func (c *restartingCluster) sendChat(entry int, prompt string, tokens int) string {
	c.t.Helper()
	response, err := c.post(entry, engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: tokens, Messages: []engine.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	responseBody, _ := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK {
		return "answered"
	}
	var refusal struct{ Error usher.Refusal }
	_ = json.Unmarshal(responseBody, &refusal)
	return string(refusal.Error.Kind)
}

// sendStream sends a chat request whose response is streamed. It returns "answered", or
// the kind and the outcome of the refusal before or at the end of the stream.
func (c *restartingCluster) sendStream(entry int, prompt string, tokens int) string {
	c.t.Helper()
	response, err := c.post(entry, engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: tokens, Stream: true, Messages: []engine.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	// A broken stream ends with an error, after its refusal.
	responseBody, _ := io.ReadAll(response.Body)
	if bytes.Contains(responseBody, []byte("data: [DONE]")) {
		return "answered"
	}
	var refusal struct{ Error usher.Refusal }
	lines := strings.Split(strings.TrimSpace(string(responseBody)), "\n")
	last := strings.TrimPrefix(lines[len(lines)-1], "data: ")
	if err := json.Unmarshal([]byte(last), &refusal); err != nil {
		return "malformed end " + last
	}
	return string(refusal.Error.Kind) + ", " + string(refusal.Error.Outcome)
}

func (c *restartingCluster) post(entry int, chat engine.ChatRequest) (*http.Response, error) {
	c.t.Helper()
	body, err := json.Marshal(chat)
	if err != nil {
		c.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+c.cluster.Entries[entry].Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	return http.DefaultClient.Do(request)
}

// awaitSuspects polls "suspects list" until it lists that many suspects, and
// returns the output.
func (c *restartingCluster) awaitSuspects(want int) string {
	c.t.Helper()
	for {
		out, err := exec.CommandContext(c.ctx, binaries.Scheduler, "suspects", "list", "--store", c.cluster.Store.Address).CombinedOutput()
		if err != nil {
			c.t.Fatalf("suspects list: %v\n%s", err, out)
		}
		if strings.Count(string(out), "\n") == want+1 {
			return string(out)
		}
		time.Sleep(pollDelay)
	}
}

// awaitExecutions waits until the engines have executed that many requests in total.
func (c *restartingCluster) awaitExecutions(want int64) {
	c.t.Helper()
	for {
		var executions int64
		for _, member := range c.cluster.Engines {
			var totals engine.Totals
			if err := member.GetControl(c.ctx, "totals", &totals); err != nil {
				c.t.Fatal(err)
			}
			executions += totals.Executions
		}
		if executions >= want {
			return
		}
		time.Sleep(pollDelay)
	}
}

// TestCrashingRequest sends a request that crashes every engine that executes it,
// while the store is down and harmless requests run in the same engines. The
// crashing request must be retried only once, alone in an engine, and then be
// refused by every entry. The harmless requests must be answered when they are sent
// again, and an operator must be able to list and clear the suspect.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c := newRestartingCluster(ctx, t, 0)
	if err := c.cluster.Store.PutControl(ctx, "faults", store.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	crashingPrompt, harmlessPrompt := "please "+engine.CrashMarker, "which pump fits?"
	harmlessDone := make(chan string, 2)
	for entry := range 2 {
		go func() { harmlessDone <- c.sendChat(entry, harmlessPrompt+strconv.Itoa(entry), 300) }()
	}
	c.awaitExecutions(2)

	// The caller retries it through both entries in turn until it is refused.
	const maxRetries = 10
	retries := 0
	for c.sendChat(retries%2, crashingPrompt, 4) != string(usher.RefusalCrashSuspect) && retries < maxRetries {
		retries++
	}
	<-harmlessDone
	<-harmlessDone
	c.awaitCrashes(2)
	for _, entry := range []int{1, 0, 1} {
		if got := c.sendChat(entry, crashingPrompt, 4); got != string(usher.RefusalCrashSuspect) {
			t.Errorf("the crashing request got %s from entry %d", got, entry)
		}
	}
	if got := c.sendChat(0, harmlessPrompt+"0", 300); got != "answered" {
		t.Errorf("the harmless request got %s", got)
	}
	if got := c.sendChat(1, harmlessPrompt+"1", 300); got != "answered" {
		t.Errorf("the harmless request got %s", got)
	}
	if got := c.crashes.Load(); got != 2 {
		t.Errorf("the request crashed %d engines, want 2", got)
	}
	if err := c.cluster.Store.PutControl(ctx, "faults", store.Faults{}); err != nil {
		t.Fatal(err)
	}
	if list := c.awaitSuspects(1); !strings.Contains(list, string(fleet.Regenfass)) {
		t.Errorf("suspects list does not contain the workspace:\n%s", list)
	}
	out, err := exec.CommandContext(ctx, binaries.Scheduler, "suspects", "clear", "--store", c.cluster.Store.Address).CombinedOutput()
	if err != nil || string(out) != "cleared 1\n" {
		t.Errorf("suspects clear: %v, %s", err, out)
	}
	c.awaitSuspects(0)
	// Once the entry has learned that the suspect was cleared, it dispatches the
	// request again, which crashes a third engine.
	for c.sendChat(0, crashingPrompt, 4) == string(usher.RefusalCrashSuspect) {
		time.Sleep(pollDelay)
	}
	c.awaitCrashes(3)
}

// TestCrashingStream sends a request that crashes every engine after it has begun to
// stream the response. It must be refused once it has crashed two engines, and not be
// said not to have run.
func TestCrashingStream(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c := newRestartingCluster(ctx, t, time.Second)
	if got := c.sendStream(0, "which pump fits?", 4); got != "answered" {
		t.Fatalf("a harmless request got %s", got)
	}
	const requests = 6
	for i := range requests {
		got := c.sendStream(i%2, "please "+engine.CrashHalfwayMarker, 40)
		if strings.HasPrefix(got, string(usher.RefusalCrashSuspect)) {
			break
		}
		if want := string(usher.RefusalEndpointFailed) + ", " + string(usher.OutcomeUnknown); got != want {
			t.Errorf("a request that crashed an engine got %s, want %s", got, want)
		}
		c.awaitCrashes(int64(i + 1))
	}
	if got := c.crashes.Load(); got != 2 {
		t.Errorf("the request crashed %d engines, want 2", got)
	}
}

// TestCrashingPrefix sends requests of which no two are alike and which share the
// beginning of their prompt, under which engines crash, beside harmless ones that share
// an earlier part of it. The entries must find out and refuse the former.
func TestCrashingPrefix(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c := newRestartingCluster(ctx, t, 0)
	instructions := strings.Repeat("answer in one word. ", 60)
	manual := strings.Repeat("the pump has three seals. ", 60)
	for entry := range 2 {
		if got := c.sendChat(entry, instructions+"which pump fits?", 4); got != "answered" {
			t.Fatalf("a harmless request got %s", got)
		}
	}
	const requests = 16
	refused, answered := 0, 0
	for i := range requests {
		if c.sendChat(i%2, instructions+engine.CrashMarker+manual+"question "+strconv.Itoa(i), 4) == string(usher.RefusalCrashSuspect) {
			refused++
		}
		if c.sendChat((i+1)%2, instructions+manual+"question "+strconv.Itoa(i), 4) == "answered" {
			answered++
		}
	}
	const maxCrashes = 5
	if got := c.crashes.Load(); got > maxCrashes || refused < requests/2 {
		t.Errorf("%d engines crashed, want at most %d; %d of %d requests were refused, want at least half", got, maxCrashes, refused, requests)
	}
	if answered < requests/2 {
		t.Errorf("%d of %d harmless requests were answered, want at least half", answered, requests)
	}
}
