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

	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// crashFleet restarts each engine that crashes, at the same address.
type crashFleet struct {
	t       *testing.T
	ctx     context.Context
	whole   *fleet.Whole
	crashes atomic.Int64
}

func newCrashFleet(ctx context.Context, t *testing.T) *crashFleet {
	slow := []string{"--decode-step", "5ms"}
	whole, err := fleet.NewWhole(ctx, binaries, fleet.Plan{Entries: 2, Engines: [][]string{slow, slow}})
	if err != nil {
		t.Fatal(err)
	}
	f := &crashFleet{t: t, ctx: ctx, whole: whole}
	var restarting sync.WaitGroup
	stopped, stop := context.WithCancel(ctx)
	t.Cleanup(func() {
		stop()
		restarting.Wait()
		if t.Failed() {
			for _, member := range whole.Members() {
				t.Logf("%s:\n%s", member.Name, member.Log())
			}
		}
		whole.Close()
	})
	for _, one := range whole.Engines {
		restarting.Go(func() { f.restart(stopped, one) })
	}
	return f
}

func (f *crashFleet) restart(ctx context.Context, one *fleet.Member) {
	address := one.Address
	for {
		select {
		case <-one.Exited():
		case <-ctx.Done():
			return
		}
		again, err := f.whole.Engine(one.Name, "--model", string(fleet.Model), "--decode-step", "5ms", "--listen", address)
		if err != nil {
			f.t.Error(err)
			return
		}
		one = again
		f.crashes.Add(1)
	}
}

// awaitCrashes waits until that many engines have crashed and are back.
func (f *crashFleet) awaitCrashes(want int64) {
	for f.crashes.Load() < want && f.ctx.Err() == nil {
		time.Sleep(pollDelay)
	}
}

// ask sends a question through an entry and returns what its caller sees.
func (f *crashFleet) ask(entry int, prompt string, tokens int) string {
	f.t.Helper()
	body, err := json.Marshal(engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: tokens, Messages: []engine.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.whole.Entries[entry].Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK {
		return "answered"
	}
	var refusal struct{ Error usher.Refusal }
	_ = json.Unmarshal(answer, &refusal)
	return string(refusal.Error.Kind)
}

// awaitLines polls "suspects list" until it names that many suspects.
func (f *crashFleet) awaitLines(want int) string {
	f.t.Helper()
	for {
		out, err := exec.CommandContext(f.ctx, binaries.Product, "suspects", "list", "--store", f.whole.Store.Address).CombinedOutput()
		if err != nil {
			f.t.Fatalf("suspects list: %v\n%s", err, out)
		}
		if strings.Count(string(out), "\n") == want+1 {
			return string(out)
		}
		time.Sleep(pollDelay)
	}
}

// awaitExecutions waits until the engines have run that many requests.
func (f *crashFleet) awaitExecutions(want int64) {
	f.t.Helper()
	for {
		var sum int64
		for _, one := range f.whole.Engines {
			var totals engine.Totals
			if err := one.Inspect(f.ctx, "totals", &totals); err != nil {
				f.t.Fatal(err)
			}
			sum += totals.Executions
		}
		if sum >= want {
			return
		}
		time.Sleep(pollDelay)
	}
}

// TestCrashingRequest sends a question that crashes each engine which runs it,
// while the store is down and an innocent question runs beside it. It is tried
// once more, alone, and then refused by every entry; the innocent one is
// answered, and an operator can see and clear the suspect.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newCrashFleet(ctx, t)
	if err := f.whole.Store.Control(ctx, "faults", store.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	crash, innocent := "please "+engine.CrashMarker, "which pump fits?"
	innocentDone := make(chan string, 2)
	for entry := range 2 {
		go func() { innocentDone <- f.ask(entry, innocent+strconv.Itoa(entry), 300) }()
	}
	f.awaitExecutions(2)

	// Its caller sends it again and again, through one entry or the other.
	const mostAsks = 10
	asks := 0
	for f.ask(asks%2, crash, 4) != string(usher.RefusalCrashSuspect) && asks < mostAsks {
		asks++
	}
	<-innocentDone
	<-innocentDone
	f.awaitCrashes(2)
	for _, entry := range []int{1, 0, 1} {
		if got := f.ask(entry, crash, 4); got != string(usher.RefusalCrashSuspect) {
			t.Errorf("the question that crashed engines got %s from entry %d", got, entry)
		}
	}
	if got := f.ask(0, innocent+"0", 300); got != "answered" {
		t.Errorf("the innocent question got %s", got)
	}
	if got := f.ask(1, innocent+"1", 300); got != "answered" {
		t.Errorf("the innocent question got %s", got)
	}
	if got := f.crashes.Load(); got != 2 {
		t.Errorf("the question crashed %d engines", got)
	}
	if err := f.whole.Store.Control(ctx, "faults", store.Faults{}); err != nil {
		t.Fatal(err)
	}
	if list := f.awaitLines(1); !strings.Contains(list, string(fleet.Regenfass)) {
		t.Errorf("suspects list shows\n%s", list)
	}
	out, err := exec.CommandContext(ctx, binaries.Product, "suspects", "clear", "--store", f.whole.Store.Address).CombinedOutput()
	if err != nil || string(out) != "cleared 1\n" {
		t.Errorf("suspects clear: %v, %s", err, out)
	}
	f.awaitLines(0)
	// Every process knows of the clearance after a while, and the question
	// gets its chance again.
	for f.ask(0, crash, 4) == string(usher.RefusalCrashSuspect) {
		time.Sleep(pollDelay)
	}
	f.awaitCrashes(3)
}
