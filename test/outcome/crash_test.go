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
	"testing"
	"time"

	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// crashFleet restarts its engine whenever that crashes.
type crashFleet struct {
	t       *testing.T
	ctx     context.Context
	whole   *fleet.Whole
	crashes int
	engine  *fleet.Member
}

func newCrashFleet(ctx context.Context, t *testing.T) *crashFleet {
	whole, err := fleet.NewWhole(ctx, binaries, fleet.Plan{Entries: 2, Engines: [][]string{{"--decode-step", "5ms"}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(whole.Close)
	return &crashFleet{t: t, ctx: ctx, whole: whole, engine: whole.Engines[0]}
}

// awaitCrash waits until the engine has crashed and starts it anew at the same
// address.
func (f *crashFleet) awaitCrash() {
	f.t.Helper()
	select {
	case <-f.engine.Exited():
	case <-f.ctx.Done():
		f.t.Fatal("the engine did not crash")
	}
	f.crashes++
	restarted, err := f.whole.Engine("engine-again-"+strconv.Itoa(f.crashes), "--model", string(fleet.Model), "--decode-step", "5ms", "--listen", f.engine.Address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.engine = restarted
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

// awaitExecutions waits until the engine runs that many requests.
func (f *crashFleet) awaitExecutions(want int64) {
	f.t.Helper()
	for {
		var totals engine.Totals
		if err := f.engine.Inspect(f.ctx, "totals", &totals); err != nil {
			f.t.Fatal(err)
		}
		if totals.Executions >= want {
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
	innocentDone := make(chan string, 1)
	go func() { innocentDone <- f.ask(1, innocent, 300) }()
	f.awaitExecutions(1)

	done := make(chan string, 1)
	go func() { done <- f.ask(0, crash, 4) }()
	f.awaitCrash()
	first := <-done
	<-innocentDone
	// Unless the entry has tried it alone by itself already, its caller does.
	if first != string(usher.RefusalSuspect) {
		go func() { done <- f.ask(1, crash, 4) }()
		f.awaitCrash()
		<-done
	}
	for _, entry := range []int{1, 0, 1} {
		if got := f.ask(entry, crash, 4); got != string(usher.RefusalSuspect) {
			t.Errorf("the question that crashed engines got %s from entry %d", got, entry)
		}
	}
	if f.crashes != 2 {
		t.Errorf("the question crashed %d engines", f.crashes)
	}
	if got := f.ask(0, innocent, 4); got != "answered" {
		t.Errorf("the innocent question got %s", got)
	}
	if got := f.ask(1, innocent, 300); got != "answered" {
		t.Errorf("the innocent question got %s", got)
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
	for f.ask(0, crash, 4) == string(usher.RefusalSuspect) {
		time.Sleep(pollDelay)
	}
	f.awaitCrash()
}
