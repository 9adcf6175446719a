// Package record_test kills processes, drops responses of the store and takes the
// store down, and then checks that the decision record contains what callers were told.
package record_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/klauspost/compress/zstd"

	"filbertusher/internal/archive"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

var binaries fleet.Binaries

func TestMain(m *testing.M) { os.Exit(fleet.RunTests(&binaries, m.Run)) }

// testTimeout ends a test that hangs. The results depend on it in no other way.
const testTimeout = 2 * time.Minute

// fixture is a running cluster that stores decisions in the record at short intervals,
// and a reader of the record.
type fixture struct {
	*testing.T
	*fleet.Deployment
	ctx    context.Context
	reader *archive.Reader
}

func newFixture(t *testing.T, plan fleet.Plan) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	plan.EntryArgs = append([]string{"--record-interval", "200ms"}, plan.EntryArgs...)
	plan.CompanionArgs = append([]string{"--record-silence", "1s"}, plan.CompanionArgs...)
	cluster, err := fleet.Deploy(ctx, binaries, plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return &fixture{T: t, Deployment: cluster, ctx: ctx, reader: archive.NewReader(cluster.Client)}
}

func (f *fixture) setStoreFaults(faults store.Faults) {
	f.Helper()
	if err := f.Store.PutControl(f.ctx, "faults", faults); err != nil {
		f.Fatal(err)
	}
}

// callerResult is what a caller was told about its request.
type callerResult struct {
	ID      usher.RequestID
	Status  int
	Refusal usher.RefusalKind
	Digest  usher.Digest
}

// send sends a request and returns what the caller was told.
func (f *fixture) send(entry int, path, body string, headers map[string]string) callerResult {
	f.Helper()
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.Entries[entry].Address+path, strings.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.Fatal(err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		f.Fatal(err)
	}
	got := callerResult{ID: usher.RequestID(response.Header.Get("X-Request-Id")), Status: response.StatusCode, Digest: usher.DigestOf(responseBody)}
	var failure struct{ Error *usher.Refusal }
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(responseBody, &failure) == nil && failure.Error != nil {
		got.Refusal = failure.Error.Kind
	}
	return got
}

func chatBody(model string, stream bool) string {
	return `{"model":"` + model + `","max_tokens":4,"stream":` + strconv.FormatBool(stream) + `,"messages":[{"role":"user","content":"Which pump fits?"}]}`
}

func (f *fixture) sendChat() callerResult {
	f.Helper()
	return f.send(0, "/v1/chat/completions", chatBody(string(fleet.Model), false), nil)
}

func (f *fixture) sendOrder(key string) callerResult {
	f.Helper()
	return f.send(0, "/v1/services/orders/orders", `{"pump":"RP-7"}`, map[string]string{"Idempotency-Key": key})
}

// sendRefused sends a request that the entry refuses without asking a companion.
func (f *fixture) sendRefused() callerResult {
	f.Helper()
	return f.send(0, "/v1/chat/completions", chatBody("no-such-model", false), nil)
}

// awaitRecord waits until the record contains a line for every result, and returns
// all lines.
func (f *fixture) awaitRecord(results ...callerResult) map[usher.RequestID]archive.StoredDecision {
	f.Helper()
	for {
		found := make(map[usher.RequestID]archive.StoredDecision)
		lines, err := f.reader.Find(f.ctx, archive.Query{}, 1<<20)
		for _, line := range lines {
			found[line.ID] = line
		}
		missing := 0
		for _, result := range results {
			if _, ok := found[result.ID]; !ok {
				missing++
			}
		}
		if err == nil && missing == 0 {
			return found
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-f.ctx.Done():
			f.Fatalf("%d of %d decisions are missing from the record; last error: %v", missing, len(results), err)
		}
	}
}

// checkRecord waits for the lines of the results and compares them with what the
// callers were told.
func (f *fixture) checkRecord(results ...callerResult) {
	f.Helper()
	found := f.awaitRecord(results...)
	for _, result := range results {
		line := found[result.ID]
		if line.Refusal != result.Refusal {
			f.Errorf("request %s: the caller was told refusal %q, but the record has %q", result.ID, result.Refusal, line.Refusal)
		}
		if result.Refusal == "" && line.AnswerSHA256 != string(result.Digest) {
			f.Errorf("request %s: the recorded digest differs from that of the caller's response", result.ID)
		}
	}
}

func (f *fixture) verify() *archive.Report {
	f.Helper()
	report, err := f.reader.Verify(f.ctx, nil)
	if err != nil {
		f.Fatal(err)
	}
	if diff := cmp.Diff([]archive.Break(nil), report.Breaks); diff != "" {
		f.Errorf("breaks (-want +got):\n%s", diff)
	}
	return report
}

func TestEveryOutcomeIsStored(t *testing.T) {
	f := newFixture(t, fleet.Plan{Entries: 2, Engines: [][]string{{}}, OrderServices: 1})
	results := []callerResult{f.sendChat(), f.sendOrder("order-1"), f.sendOrder("order-1"), f.sendRefused()}
	f.checkRecord(results...)
	lines, err := f.reader.Find(f.ctx, archive.Query{Key: "order-1", Workspace: fleet.Regenfass, Outcome: usher.OutcomeRan}, 10)
	if err != nil || len(lines) != 2 {
		t.Errorf("found %d lines by key, want 2; error: %v", len(lines), err)
	}
	line := f.awaitRecord(results...)[results[0].ID]
	want := usher.Decision{
		ID: results[0].ID, View: usher.ViewEntry, Workspace: fleet.Regenfass, TokenName: "main", Service: fleet.Advice,
		Tier: fleet.TierNormal, Preset: fleet.PresetOrdinary, Endpoint: "advice-0", Attempts: 1, Outcome: usher.OutcomeRan,
		Status: http.StatusOK, AnswerSHA256: string(results[0].Digest),
	}
	got := line.Decision
	if got.ConfigVersion == 0 || got.Time.IsZero() || got.Duration == 0 || got.AnswerBytes == 0 || len(got.Candidates) != 1 ||
		got.RequestSHA256 == "" {
		t.Errorf("a field of the decision is empty: %+v", got)
	}
	got.Time, got.ConfigVersion, got.Duration, got.AnswerBytes, got.Candidates, got.RequestSHA256 = time.Time{}, 0, 0, 0, nil, ""
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decision (-want +got):\n%s", diff)
	}
	for _, member := range f.Deployment.Entries {
		if err := member.Stop(); err != nil {
			t.Error(err)
		}
	}
	report := f.verify()
	if len(report.Unrecorded) != 0 {
		t.Errorf("unrecorded requests, want none: %+v", report.Unrecorded)
	}
	f.checkNoSecrets(fleet.TokenOf(fleet.Regenfass), "Which pump fits?", "RP-7")
}

// checkNoSecrets checks that no object of the record contains one of the secrets.
func (f *fixture) checkNoSecrets(secrets ...string) {
	f.Helper()
	objects, _, err := f.Client.List(f.ctx, "record/")
	if err != nil || len(objects) == 0 {
		f.Fatal(len(objects), err)
	}
	decoder, err := zstd.NewReader(nil)
	if err != nil {
		f.Fatal(err)
	}
	defer decoder.Close()
	for _, object := range objects {
		text := object.Value
		if decompressed, err := decoder.DecodeAll(object.Value, nil); err == nil {
			text = decompressed
		}
		for _, secret := range secrets {
			if strings.Contains(string(text), secret) {
				f.Errorf("object %s contains the secret %q", object.Key, secret)
			}
		}
	}
}

// TestEntryKilledBeforeStore kills the entry after it has responded and before it has
// stored the batch, which an outage of the store delays.
func TestEntryKilledBeforeStore(t *testing.T) {
	f := newFixture(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, OrderServices: 1})
	f.setStoreFaults(store.Faults{Down: true})
	results := []callerResult{f.sendChat(), f.sendOrder("order-1"), f.sendRefused()}
	f.Entries[0].Kill()
	f.setStoreFaults(store.Faults{})
	f.checkRecord(results...)
	f.verify()
}

// TestEntryKilledBeforeResponse kills the entry while the request runs. The caller
// gets no response, but the request ran and must be in the record.
func TestEntryKilledBeforeResponse(t *testing.T) {
	f := newFixture(t, fleet.Plan{Entries: 1, Engines: [][]string{{"--decode-step", "300ms"}}})
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.Entries[0].Address+"/v1/chat/completions", strings.NewReader(chatBody(string(fleet.Model), false)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}()
	f.awaitDump(f.Companions[0], func(dump map[string]any) bool {
		requests, _ := dump["companion"].(map[string]any)["requests"].(map[string]any)
		return requests["dispatched"] == float64(1)
	})
	f.Entries[0].Kill()
	<-ended
	for {
		lines, err := f.reader.Find(f.ctx, archive.Query{Outcome: usher.OutcomeRan}, 10)
		if err == nil && len(lines) == 1 {
			break
		}
		if f.ctx.Err() != nil {
			t.Fatalf("the request ran, but is not in the record; error: %v", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.verify()
}

// awaitDump waits until the dump of a process satisfies a condition.
func (f *fixture) awaitDump(member *fleet.Member, satisfied func(map[string]any) bool) {
	f.Helper()
	var last []byte
	for f.ctx.Err() == nil {
		response, err := http.Get("http://" + member.Admin + "/dump")
		if err != nil {
			f.Fatal(err)
		}
		last, _ = io.ReadAll(response.Body)
		response.Body.Close()
		var dump map[string]any
		if json.Unmarshal(last, &dump) == nil && satisfied(dump) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.Fatalf("the dump never satisfied the condition; the last one is %s", last)
}

// TestFrozenEntry freezes the entry until its companion has stored the copies of the
// entry's decisions, and then resumes it, so that it stores the same decisions again.
func TestFrozenEntry(t *testing.T) {
	f := newFixture(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, EntryArgs: []string{"--record-interval", "30s"}})
	results := []callerResult{f.sendChat(), f.sendChat()}
	if err := f.Entries[0].Freeze(); err != nil {
		f.Fatal(err)
	}
	for id, line := range f.awaitRecord(results...) {
		if line.View != usher.ViewCompanion {
			t.Errorf("request %s was stored by the %s, want the companion", id, line.View)
		}
	}
	f.Entries[0].Resume()
	if err := f.Entries[0].Stop(); err != nil {
		t.Error(err)
	}
	for id, line := range f.awaitRecord(results...) {
		if line.View != usher.ViewEntry {
			t.Errorf("request %s was found as stored by the %s, want the entry", id, line.View)
		}
	}
	f.checkRecord(results...)
	if report := f.verify(); report.Lines != 2*len(results) {
		t.Errorf("the batches of the record have %d lines, want %d", report.Lines, 2*len(results))
	}
}

func TestCompanionsKilled(t *testing.T) {
	f := newFixture(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, OrderServices: 1})
	f.setStoreFaults(store.Faults{Down: true})
	results := []callerResult{f.sendChat(), f.sendOrder("order-1"), f.sendRefused()}
	for _, companion := range f.Companions {
		companion.Kill()
	}
	f.setStoreFaults(store.Faults{})
	f.checkRecord(results...)
	f.verify()
}

// TestHolderThenEntryKilled kills the companion with the copy of the entry's batch,
// waits until the entry has sent a copy to the other companion, and then kills the
// entry, all during one outage of the store.
func TestHolderThenEntryKilled(t *testing.T) {
	f := newFixture(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, OrderServices: 1})
	f.setStoreFaults(store.Faults{Down: true})
	results := []callerResult{f.sendChat(), f.sendChat()}
	holder, other := f.awaitHolder()
	holder.Kill()
	for !f.holdsBatch(other) {
		time.Sleep(20 * time.Millisecond)
	}
	f.Entries[0].Kill()
	f.setStoreFaults(store.Faults{})
	f.checkRecord(results...)
	f.verify()
}

// awaitHolder waits until one of two companions holds a copy of a sealed batch. other
// is the other companion.
func (f *fixture) awaitHolder() (holder, other *fleet.Member) {
	f.Helper()
	holder, other = f.Companions[0], f.Companions[1]
	for !f.holdsBatch(holder) {
		holder, other = other, holder
		time.Sleep(20 * time.Millisecond)
	}
	return holder, other
}

// holdsBatch reports whether a companion holds a copy of a sealed batch.
func (f *fixture) holdsBatch(companion *fleet.Member) (holds bool) {
	f.Helper()
	f.awaitDump(companion, func(dump map[string]any) bool {
		holds = dump["record"].(map[string]any)["sealedBatches"].(float64) >= 1
		return true
	})
	return holds
}

// TestEntryAndHolderKilled kills the entry and the only companion with copies of its
// decisions at the same time. The decisions are lost, and the verification must
// report their number.
func TestEntryAndHolderKilled(t *testing.T) {
	f := newFixture(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, OrderServices: 1, EntryArgs: []string{"--record-interval", "30s"}})
	lost := []callerResult{f.sendChat(), f.sendChat()}
	kept := f.sendOrder("order-1")
	f.Entries[0].Signal(syscall.SIGKILL)
	f.Companions[0].Signal(syscall.SIGKILL)
	found := f.awaitRecord(kept)
	for _, result := range lost {
		if _, ok := found[result.ID]; ok {
			t.Errorf("request %s is in the record, although both processes that held it were killed", result.ID)
		}
	}
	report := f.verify()
	want := []archive.UnrecordedRequests{{Entry: entryPrefix(kept.ID), Highest: 3, Missing: 2}}
	if diff := cmp.Diff(want, report.Unrecorded); diff != "" {
		t.Errorf("unrecorded requests (-want +got):\n%s", diff)
	}
}

func entryPrefix(id usher.RequestID) string {
	return string(id[:strings.LastIndexByte(string(id), '-')])
}

func TestLostAndLateWrites(t *testing.T) {
	f := newFixture(t, fleet.Plan{Entries: 2, Engines: [][]string{{}, {}}})
	var results []callerResult
	// There are no orders, so the faults hit only writes of the record. With the short
	// delay a delayed write takes effect before it is retried, with the long one after.
	writeDelays := []time.Duration{0, 20 * time.Millisecond, 0, 400 * time.Millisecond}
	for round, delay := range writeDelays {
		f.setStoreFaults(store.Faults{LostResponses: 2 * (1 - round%2), DelayedWrites: round % 2, WriteDelay: usher.Duration(delay)})
		results = append(results, f.sendChat(), f.sendChat(), f.sendRefused())
		f.awaitRecord(results...)
		// The outcome of every write is known before the faults change.
		f.awaitDump(f.Entries[0], func(dump map[string]any) bool {
			return dump["record"].(map[string]any)["batches"] == float64(0)
		})
	}
	f.checkRecord(results...)
	for _, entry := range f.Entries {
		if err := entry.Stop(); err != nil {
			t.Error(err)
		}
	}
	report := f.verify()
	if report.Lines != len(results) {
		t.Errorf("the batches of the record have %d lines, want one for each of the %d decisions", report.Lines, len(results))
	}
}

// TestLongOutage keeps the store down until the entry's memory for the record is full
// for every tier. Lower tiers must be refused first, the memory must stay within its
// limit, and no decision on a request that got a response may be lost.
func TestLongOutage(t *testing.T) {
	const limit = 64 << 10
	f := newFixture(t, fleet.Plan{
		Entries: 1, Engines: [][]string{{"--decode-step", "1ms"}}, OrderServices: 1,
		EntryArgs: []string{"--record-memory", strconv.Itoa(limit), "--record-interval", "500ms"},
	})
	f.setStoreFaults(store.Faults{Down: true})
	tiers := []usher.TierName{fleet.TierBatch, fleet.TierNormal, fleet.TierUrgent}
	firstRefused := make(map[usher.TierName]int)
	var results []callerResult
	for round := 0; len(firstRefused) < len(tiers); round++ {
		for _, tier := range tiers {
			got := f.send(0, "/v1/chat/completions", chatBody(string(fleet.Model), false), map[string]string{"Filbertusher-Tier": string(tier)})
			if got.Refusal == "" {
				results = append(results, got)
				continue
			}
			if got.Refusal != usher.RefusalRecordFull || got.Status != http.StatusServiceUnavailable {
				t.Fatalf("tier %s: unexpected refusal %+v", tier, got)
			}
			if _, ok := firstRefused[tier]; !ok {
				firstRefused[tier] = round
			}
		}
	}
	t.Log("rounds before the first refusal of each tier:", firstRefused)
	if firstRefused[fleet.TierBatch] >= firstRefused[fleet.TierNormal] || firstRefused[fleet.TierNormal] >= firstRefused[fleet.TierUrgent] {
		t.Errorf("lower tiers were not refused first: %v", firstRefused)
	}
	f.awaitDump(f.Entries[0], func(dump map[string]any) bool {
		if used := dump["record"].(map[string]any)["bytes"].(float64); used > limit {
			t.Errorf("the record uses %v bytes of memory, the limit is %d", used, limit)
		}
		return true
	})
	f.setStoreFaults(store.Faults{})
	f.checkRecord(results...)
	f.verify()
}

// TestGracefulStopDuringOutage stops the entry gracefully while the store is down.
// The entry must leave its batches with two companions, so that none is lost when the
// companion that held the first batch alone is killed.
func TestGracefulStopDuringOutage(t *testing.T) {
	f := newFixture(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, OrderServices: 1, EntryArgs: []string{"--drain-timeout", "10s"}})
	f.setStoreFaults(store.Faults{Down: true})
	results := []callerResult{f.sendChat(), f.sendOrder("order-1"), f.sendRefused()}
	holder, _ := f.awaitHolder()
	if err := f.Entries[0].Stop(); err != nil {
		t.Error(err)
	}
	holder.Kill()
	f.setStoreFaults(store.Faults{})
	f.checkRecord(results...)
	report := f.verify()
	if len(report.Unrecorded) != 0 {
		t.Errorf("unrecorded requests, want none: %+v", report.Unrecorded)
	}
}

// TestRecordCommands runs the command line for inspecting the record.
func TestRecordCommands(t *testing.T) {
	f := newFixture(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, OrderServices: 1})
	ordered := f.sendOrder("order-1")
	f.awaitRecord(ordered)
	run := func(args ...string) (string, int) {
		command := exec.CommandContext(f.ctx, f.Scheduler, append([]string{"record"}, args...)...)
		out, err := command.Output()
		if err != nil && command.ProcessState == nil {
			t.Fatal(err)
		}
		return string(out), command.ProcessState.ExitCode()
	}
	for _, args := range [][]string{
		{"find", "--workspace", "regenfass", "--key", "order-1", "--outcome", "ran", "--since", "1h"},
		{"find", "--endpoint", "orders-0", "--full", "true"},
		{"show", string(ordered.ID)},
		{"export"},
	} {
		out, status := run(append(args, "--store", f.Store.Address)...)
		if status != 0 || !strings.Contains(out, string(ordered.ID)) {
			t.Errorf("%v: status %d\n%s", args, status, out)
		}
	}
	if out, status := run("show", "no-such-id", "--store", f.Store.Address); status != 1 {
		t.Errorf("show of an unknown ID: status %d\n%s", status, out)
	}
	if out, status := run("verify", "--store", f.Store.Address); status != 0 {
		t.Errorf("verify: status %d\n%s", status, out)
	}
	f.corruptBatch()
	if out, status := run("verify", "--store", f.Store.Address); status != 3 || !strings.Contains(out, `"unreadable"`) {
		t.Errorf("verify after a batch was overwritten: status %d\n%s", status, out)
	}
	if out, status := run("find", "--outcome", "maybe", "--store", f.Store.Address); status != 2 {
		t.Errorf("find with an invalid outcome: status %d\n%s", status, out)
	}
}

// corruptBatch overwrites a stored batch.
func (f *fixture) corruptBatch() {
	f.Helper()
	objects, _, err := f.Client.List(f.ctx, "record/batch/")
	if err != nil || len(objects) == 0 {
		f.Fatal(len(objects), err)
	}
	if _, err := f.Client.Put(f.ctx, objects[0].Key, objects[0].Version, []byte("nothing")); err != nil {
		f.Fatal(err)
	}
}
