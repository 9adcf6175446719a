package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/standin/engine"
	"filbertusher/internal/standin/fleet"
	"filbertusher/pkg/usher"
)

// answer is what a caller got. err is set if its connection ended before the answer did.
type answer struct {
	status     int
	retryAfter string
	body       string
	err        error
}

// outcome summarizes an answer: "whole", "cut", or the error's kind and outcomes with
// whether it has a Retry-After.
func (a *answer) outcome() string {
	switch {
	case a.err != nil:
		return "cut"
	case a.status < http.StatusMultipleChoices && !strings.Contains(a.body, "event: error"):
		return "whole"
	}
	var found struct{ Error usher.Refusal }
	if json.Unmarshal([]byte(a.body), &found) != nil {
		return fmt.Sprint(a.status, " ", a.body)
	}
	return fmt.Sprintf("%s, outcome %s, attempt %s, Retry-After %v", found.Error.Kind, found.Error.Outcome, found.Error.Attempt, a.retryAfter != "")
}

const (
	leavingUnknown   = "leaving, outcome unknown, attempt , Retry-After true"
	leavingNotTried  = "leaving, outcome unknown, attempt not run, Retry-After true"
	leavingNotRun    = "leaving, outcome not run, attempt , Retry-After true"
	failedUnknown    = "endpointFailed, outcome unknown, attempt , Retry-After false"
	wholeAnswer      = "whole"
	noReadinessDelay = "0s"
)

func send(ctx context.Context, url string, body []byte, key string) *answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return &answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &answer{err: err}
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return &answer{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), body: string(got), err: err}
}

// ask sends a question with an answer of some tokens to an entry.
func ask(ctx context.Context, entry *fleet.Member, prompt string, tokens int, stream bool) <-chan *answer {
	body, _ := json.Marshal(engine.ChatRequest{
		Model: string(fleet.Model), MaxTokens: tokens, Stream: stream, Messages: []engine.Message{{Role: "user", Content: prompt}},
	})
	answers := make(chan *answer, 1)
	go func() { answers <- send(ctx, "http://"+entry.Address+"/v1/chat/completions", body, "") }()
	return answers
}

// order sends an order with a key to an entry.
func order(ctx context.Context, entry *fleet.Member, key string) <-chan *answer {
	answers := make(chan *answer, 1)
	go func() {
		answers <- send(ctx, "http://"+entry.Address+"/v1/services/orders/orders", []byte("order "+key), key)
	}()
	return answers
}

// awaitLoad waits until a companion has that many running and waiting requests.
func awaitLoad(ctx context.Context, t *testing.T, companion *fleet.Member, running, waiting int) {
	t.Helper()
	for {
		found, err := fetchState(ctx, companion)
		if err == nil && found.Companion.Load.Running == running && found.Companion.Load.Waiting == waiting {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("the companion has not come to %d running and %d waiting requests", running, waiting)
		}
		time.Sleep(pollDelay)
	}
}

func expectOutcome(t *testing.T, what string, answers <-chan *answer, want string) {
	t.Helper()
	got := <-answers
	if diff := cmp.Diff(want, got.outcome()); diff != "" {
		t.Errorf("%s: %s%+v", what, diff, *got)
	}
}

// learnDurations lets each companion learn how long answers take.
func learnDurations(ctx context.Context, t *testing.T, cluster *fleet.Deployment) {
	t.Helper()
	for round := 0; ; round++ {
		isComplete := true
		for _, companion := range cluster.Companions {
			isComplete = isComplete && dispatched(ctx, t, companion) > 0
		}
		if isComplete {
			return
		}
		var earlier []<-chan *answer
		for n := range cluster.Companions {
			earlier = append(earlier, ask(ctx, cluster.Entries[0], fmt.Sprint("earlier ", round, " ", n), 100, false))
		}
		for _, answers := range earlier {
			expectOutcome(t, "before the stop", answers, wholeAnswer)
		}
	}
}

// stoppingPlan is a deployment whose companions run one request at a time, and whose entry
// stops within the given time.
func stoppingPlan(engines int, drainTimeout string) fleet.Plan {
	plan := fleet.Plan{
		Entries: 1, EntryArgs: []string{"--readiness-delay", noReadinessDelay, "--drain-timeout", drainTimeout},
		CompanionArgs: []string{"--max-running", "1"},
	}
	for range engines {
		plan.Engines = append(plan.Engines, []string{"--decode-step", "10ms"})
	}
	return plan
}

// TestStoppingEntryBeginsNothingItCannotFinish guards against requests that wait at a
// companion, are granted late in the stop of their entry and are cut at its end.
func TestStoppingEntryBeginsNothingItCannotFinish(t *testing.T) {
	t.Parallel()
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint("stream=", stream), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			cluster := newCluster(ctx, t, stoppingPlan(1, "6s"))
			entry, companion := cluster.Entries[0], cluster.Companions[0]
			// The companion learns how long answers take.
			expectOutcome(t, "before the stop", ask(ctx, entry, "earlier", 100, stream), wholeAnswer)
			before := dispatched(ctx, t, companion)
			running := ask(ctx, entry, "running", 250, stream)
			awaitLoad(ctx, t, companion, 1, 0)
			long := ask(ctx, entry, "long", 600, stream)
			awaitLoad(ctx, t, companion, 1, 1)
			short := ask(ctx, entry, "short", 10, stream)
			awaitLoad(ctx, t, companion, 1, 2)
			entry.Signal(syscall.SIGTERM)
			expectOutcome(t, "running when the stop began", running, wholeAnswer)
			expectOutcome(t, "too long to begin", long, leavingNotRun)
			expectOutcome(t, "short enough to begin", short, wholeAnswer)
			<-entry.Exited()
			if err := entry.Err(); err != nil {
				t.Errorf("%v\n%s", err, entry.Log())
			}
			if diff := cmp.Diff(before+2, dispatched(ctx, t, companion)); diff != "" {
				t.Error("requests that were begun:", diff)
			}
		})
	}
}

// TestStoppingEntryUsesNoLateReservation guards against requests that wait at one companion,
// get the slot that they have reserved at another one late in the stop, and are cut.
func TestStoppingEntryUsesNoLateReservation(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	cluster := newCluster(ctx, t, stoppingPlan(2, "6s"))
	entry := cluster.Entries[0]
	begun := func() int64 {
		return dispatched(ctx, t, cluster.Companions[0]) + dispatched(ctx, t, cluster.Companions[1])
	}
	learnDurations(ctx, t, cluster)
	running := []<-chan *answer{ask(ctx, entry, "running 0", 250, true), ask(ctx, entry, "running 1", 250, true)}
	for _, companion := range cluster.Companions {
		awaitLoad(ctx, t, companion, 1, 0)
	}
	before := begun()
	long := ask(ctx, entry, "long", 600, false)
	for _, companion := range cluster.Companions {
		awaitLoad(ctx, t, companion, 1, 1)
	}
	entry.Signal(syscall.SIGTERM)
	expectOutcome(t, "too long to begin", long, leavingNotRun)
	if len(running[0])+len(running[1]) > 0 {
		t.Error("the request was refused only after one before it had ended")
	}
	for _, answers := range running {
		expectOutcome(t, "running when the stop began", answers, wholeAnswer)
	}
	if diff := cmp.Diff(before, begun()); diff != "" {
		t.Error("requests that were begun:", diff)
	}
}

// TestStoppingEntryRetriesNothingItCannotFinish guards against retries after the loss of a
// companion that are cut at the end of the stop.
func TestStoppingEntryRetriesNothingItCannotFinish(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	cluster := newCluster(ctx, t, stoppingPlan(2, "8s"))
	entry := cluster.Entries[0]
	learnDurations(ctx, t, cluster)
	before := []int64{dispatched(ctx, t, cluster.Companions[0]), dispatched(ctx, t, cluster.Companions[1])}
	question := ask(ctx, entry, "retried", 600, false)
	lost, other := 0, 1
	for dispatched(ctx, t, cluster.Companions[0]) == before[0] {
		if dispatched(ctx, t, cluster.Companions[1]) > before[1] {
			lost, other = 1, 0
			break
		}
		time.Sleep(pollDelay)
	}
	entry.Signal(syscall.SIGTERM)
	cluster.Companions[lost].Kill()
	expectOutcome(t, "retry", question, failedUnknown)
	if diff := cmp.Diff(before[other], dispatched(ctx, t, cluster.Companions[other])); diff != "" {
		t.Error("the retry was begun:", diff)
	}
}

// TestStoppingEntryBeginsNoOrderItCannotFinish guards against orders that are granted late
// in the stop of their entry and whose callers get no answer.
func TestStoppingEntryBeginsNoOrderItCannotFinish(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	plan := stoppingPlan(0, "5s")
	plan.OrderServices = 1
	cluster := newCluster(ctx, t, plan)
	successor, err := cluster.Entry("successor", cluster.Store.Address, fleet.Zone)
	if err != nil {
		t.Fatal(err)
	}
	if err := successor.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	entry, companion, service := cluster.Entries[0], cluster.Companions[0], cluster.OrderServices[0]
	if err := service.PutControl(ctx, "delay", "3s"); err != nil {
		t.Fatal(err)
	}
	expectOutcome(t, "before the stop", order(ctx, entry, "earlier"), wholeAnswer)
	running := order(ctx, entry, "running")
	awaitLoad(ctx, t, companion, 1, 0)
	late := order(ctx, entry, "late")
	awaitLoad(ctx, t, companion, 1, 1)
	entry.Signal(syscall.SIGTERM)
	expectOutcome(t, "running when the stop began", running, wholeAnswer)
	expectOutcome(t, "too long to begin", late, leavingNotRun)
	expectOutcome(t, "sent again", order(ctx, successor, "late"), wholeAnswer)
	executions := make(map[string]int)
	if err := service.GetControl(ctx, "executions", &executions); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]int{"earlier": 1, "running": 1, "late": 1}, executions); diff != "" {
		t.Error("executions:", diff)
	}
}

// TestWhatWaitsAtTheEndOfAnEntrysStopIsRefused guards against requests without an answer
// that still wait when the time for a stop is over.
func TestWhatWaitsAtTheEndOfAnEntrysStopIsRefused(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	plan := stoppingPlan(1, "2s")
	plan.Entries, plan.OrderServices = 2, 1
	cluster := newCluster(ctx, t, plan)
	entry, other := cluster.Entries[0], cluster.Entries[1]
	if err := cluster.OrderServices[0].PutControl(ctx, "delay", "1m"); err != nil {
		t.Fatal(err)
	}
	// No answer was complete yet, so the companions do not know how long they take.
	ask(ctx, other, "running", 6000, true)
	awaitLoad(ctx, t, cluster.Companions[0], 1, 0)
	waiting := ask(ctx, entry, "waiting", 3000, true)
	awaitLoad(ctx, t, cluster.Companions[0], 1, 1)
	order(ctx, other, "running")
	awaitLoad(ctx, t, cluster.Companions[1], 1, 0)
	waitingOrder := order(ctx, entry, "waiting")
	awaitLoad(ctx, t, cluster.Companions[1], 1, 1)
	entry.Signal(syscall.SIGTERM)
	expectOutcome(t, "waiting", waiting, leavingNotRun)
	expectOutcome(t, "waiting order", waitingOrder, leavingNotRun)
	<-entry.Exited()
	if err := entry.Err(); err != nil {
		t.Errorf("%v\n%s", err, entry.Log())
	}
}

// TestCallersAreToldWhatTheEndOfAnEntrysStopCuts guards against requests whose callers learn
// nothing, and that the record lacks, because the end of a stop cuts their connections.
func TestCallersAreToldWhatTheEndOfAnEntrysStopCuts(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	plan := stoppingPlan(1, "1s")
	plan.OrderServices, plan.CompanionArgs = 1, nil
	cluster := newCluster(ctx, t, plan)
	entry := cluster.Entries[0]
	if err := cluster.OrderServices[0].PutControl(ctx, "delay", "10s"); err != nil {
		t.Fatal(err)
	}
	question := ask(ctx, entry, "question", 3000, false)
	stream := ask(ctx, entry, "stream", 3000, true)
	placed := order(ctx, entry, "order")
	for i, running := range []int{2, 1} {
		awaitLoad(ctx, t, cluster.Companions[i], running, 0)
	}
	entry.Signal(syscall.SIGTERM)
	expectOutcome(t, "question", question, leavingUnknown)
	expectOutcome(t, "order", placed, leavingUnknown)
	got := <-stream
	if _, message, found := strings.Cut(got.body, "event: error\ndata: "); got.err == nil || !found || !strings.Contains(message, string(usher.RefusalLeaving)) {
		t.Errorf("stream: %v, its last bytes: %s", got.err, got.body[max(0, len(got.body)-300):])
	}
	<-entry.Exited()
	if entry.Err() == nil {
		t.Error("the exit status does not say that requests were cut")
	}
	if _, err := entry.Await(ctx, "drained", "cut=3"); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(3, strings.Count(entry.Log(), "cutByStop=true")); diff != "" {
		t.Errorf("lines about requests that were cut: %s\n%s", diff, entry.Log())
	}
}

// TestOrderWithoutHolderIsRefusedAtTheEndOfAnEntrysStop guards against orders whose holder
// can't be reached and that are cut without an answer although they have not run.
func TestOrderWithoutHolderIsRefusedAtTheEndOfAnEntrysStop(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	plan := stoppingPlan(0, "2s")
	plan.OrderServices = 1
	cluster := newCluster(ctx, t, plan)
	entry := cluster.Entries[0]
	cluster.Companions[0].Kill()
	if _, err := entry.Await(ctx, "peerUnreached"); err != nil {
		t.Fatal(err)
	}
	placed := order(ctx, entry, "order")
	for inFlight(ctx, t, entry) != 1 {
		time.Sleep(pollDelay)
	}
	entry.Signal(syscall.SIGTERM)
	expectOutcome(t, "order", placed, leavingNotTried)
}

// inFlight returns how many requests an entry has in flight.
func inFlight(ctx context.Context, t *testing.T, entry *fleet.Member) int {
	t.Helper()
	var dump struct{ Entry struct{ InFlight int } }
	if err := entry.Dump(ctx, &dump); err != nil {
		t.Fatal(err)
	}
	return dump.Entry.InFlight
}
