// Package record_test kills processes, loses the store's answers and cuts the
// store off, and then looks for what callers were told in the record.
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

// testTimeout ends a test that hangs; no verdict depends on it otherwise.
const testTimeout = 2 * time.Minute

// scene is a whole path with short intervals of the record.
type scene struct {
	*testing.T
	*fleet.Whole
	ctx    context.Context
	reader *archive.Reader
}

func newScene(t *testing.T, plan fleet.Plan) *scene {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	plan.EntryArgs = append([]string{"--record-interval", "200ms"}, plan.EntryArgs...)
	plan.CompanionArgs = append([]string{"--record-silence", "1s"}, plan.CompanionArgs...)
	whole, err := fleet.NewWhole(ctx, binaries, plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(whole.Close)
	return &scene{T: t, Whole: whole, ctx: ctx, reader: archive.NewReader(whole.Client)}
}

func (s *scene) store(faults store.Faults) {
	s.Helper()
	if err := s.Store.Control(s.ctx, "faults", faults); err != nil {
		s.Fatal(err)
	}
}

// told is what a caller was told of its request.
type told struct {
	ID      usher.RequestID
	Status  int
	Refusal usher.RefusalKind
	Digest  usher.Digest
}

// ask sends a request and returns what came back.
func (s *scene) ask(entry int, path, body string, headers map[string]string) told {
	s.Helper()
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+s.Entries[entry].Address+path, strings.NewReader(body))
	if err != nil {
		s.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TokenOf(fleet.Regenfass))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		s.Fatal(err)
	}
	got := told{ID: usher.RequestID(response.Header.Get("X-Request-Id")), Status: response.StatusCode, Digest: usher.DigestOf(answer)}
	var failure struct{ Error *usher.Refusal }
	if response.StatusCode >= http.StatusBadRequest && json.Unmarshal(answer, &failure) == nil && failure.Error != nil {
		got.Refusal = failure.Error.Kind
	}
	return got
}

func question(model string, stream bool) string {
	return `{"model":"` + model + `","max_tokens":4,"stream":` + strconv.FormatBool(stream) + `,"messages":[{"role":"user","content":"Which pump fits?"}]}`
}

func (s *scene) question() told {
	s.Helper()
	return s.ask(0, "/v1/chat/completions", question(string(fleet.Model), false), nil)
}

func (s *scene) order(key string) told {
	s.Helper()
	return s.ask(0, "/v1/services/orders/orders", `{"pump":"RP-7"}`, map[string]string{"Idempotency-Key": key})
}

// refusal is refused by the entry alone: no companion sees it.
func (s *scene) refusal() told {
	s.Helper()
	return s.ask(0, "/v1/chat/completions", question("no-such-model", false), nil)
}

// awaitRecord waits until the record holds every id and returns their lines.
func (s *scene) awaitRecord(all ...told) map[usher.RequestID]archive.StoredDecision {
	s.Helper()
	for {
		found := make(map[usher.RequestID]archive.StoredDecision)
		lines, err := s.reader.Find(s.ctx, archive.Query{}, 1<<20)
		for _, line := range lines {
			found[line.ID] = line
		}
		missing := 0
		for _, one := range all {
			if _, ok := found[one.ID]; !ok {
				missing++
			}
		}
		if err == nil && missing == 0 {
			return found
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-s.ctx.Done():
			s.Fatalf("%d of %d decisions are not in the record; last error: %v", missing, len(all), err)
		}
	}
}

// compare checks the lines against what the callers were told.
func (s *scene) compare(all ...told) {
	s.Helper()
	found := s.awaitRecord(all...)
	for _, one := range all {
		line := found[one.ID]
		if line.Refusal != one.Refusal {
			s.Errorf("request %s: caller was told %q, recorded is %q", one.ID, one.Refusal, line.Refusal)
		}
		if one.Refusal == "" && line.AnswerSHA256 != string(one.Digest) {
			s.Errorf("request %s: the recorded digest is not that of the caller's answer", one.ID)
		}
	}
}

func (s *scene) verify() *archive.Report {
	s.Helper()
	report, err := s.reader.Verify(s.ctx, nil)
	if err != nil {
		s.Fatal(err)
	}
	if diff := cmp.Diff([]archive.Break(nil), report.Breaks); diff != "" {
		s.Errorf("breaks (-want +got):\n%s", diff)
	}
	return report
}

func TestEveryOutcomeIsStored(t *testing.T) {
	s := newScene(t, fleet.Plan{Entries: 2, Engines: [][]string{{}}, Desks: 1})
	all := []told{s.question(), s.order("order-1"), s.order("order-1"), s.refusal()}
	s.compare(all...)
	lines, err := s.reader.Find(s.ctx, archive.Query{Key: "order-1", Workspace: fleet.Regenfass, Outcome: usher.OutcomeRan}, 10)
	if err != nil || len(lines) != 2 {
		t.Errorf("found %d lines by key, want 2; %v", len(lines), err)
	}
	line := s.awaitRecord(all...)[all[0].ID]
	want := usher.Decision{
		ID: all[0].ID, View: usher.ViewEntry, Workspace: fleet.Regenfass, TokenName: "main", Service: fleet.Advice,
		Tier: fleet.TierNormal, Preset: fleet.PresetDay, Endpoint: "advice-0", Attempts: 1, Outcome: usher.OutcomeRan,
		Status: http.StatusOK, AnswerSHA256: string(all[0].Digest),
	}
	got := line.Decision
	if got.ConfigVersion == 0 || got.Time.IsZero() || got.Duration == 0 || got.AnswerBytes == 0 || len(got.Candidates) != 1 ||
		got.RequestSHA256 == "" {
		t.Errorf("a field is missing: %+v", got)
	}
	got.Time, got.ConfigVersion, got.Duration, got.AnswerBytes, got.Candidates, got.RequestSHA256 = time.Time{}, 0, 0, 0, nil, ""
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decision (-want +got):\n%s", diff)
	}
	for _, member := range s.Whole.Entries {
		if err := member.Stop(); err != nil {
			t.Error(err)
		}
	}
	report := s.verify()
	if len(report.Unrecorded) != 0 {
		t.Errorf("unrecorded: %+v", report.Unrecorded)
	}
	s.searchSecrets(fleet.TokenOf(fleet.Regenfass), "Which pump fits?", "RP-7")
}

// searchSecrets looks for texts that must not be in the record.
func (s *scene) searchSecrets(secrets ...string) {
	s.Helper()
	objects, _, err := s.Client.List(s.ctx, "record/")
	if err != nil || len(objects) == 0 {
		s.Fatal(len(objects), err)
	}
	decoder, err := zstd.NewReader(nil)
	if err != nil {
		s.Fatal(err)
	}
	defer decoder.Close()
	for _, object := range objects {
		text := object.Value
		if unpacked, err := decoder.DecodeAll(object.Value, nil); err == nil {
			text = unpacked
		}
		for _, secret := range secrets {
			if strings.Contains(string(text), secret) {
				s.Errorf("object %s has %q", object.Key, secret)
			}
		}
	}
}

// TestDeathOfTheEntry holds the moment between answer and stored batch open by
// an outage, and kills the entry in it.
func TestDeathOfTheEntry(t *testing.T) {
	s := newScene(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, Desks: 1})
	s.store(store.Faults{Down: true})
	all := []told{s.question(), s.order("order-1"), s.refusal()}
	s.Entries[0].Kill()
	s.store(store.Faults{})
	s.compare(all...)
	s.verify()
}

// TestDeathOfTheEntryDuringAnswer kills the entry before it has the answer.
// The caller gets none, but the order ran and has to be in the record.
func TestDeathOfTheEntryDuringAnswer(t *testing.T) {
	s := newScene(t, fleet.Plan{Entries: 1, Engines: [][]string{{"--decode-step", "300ms"}}})
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+s.Entries[0].Address+"/v1/chat/completions", strings.NewReader(question(string(fleet.Model), false)))
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
	s.awaitDump(s.Companions[0], func(dump map[string]any) bool {
		requests, _ := dump["companion"].(map[string]any)["requests"].(map[string]any)
		return requests["dispatched"] == float64(1)
	})
	s.Entries[0].Kill()
	<-ended
	for {
		lines, err := s.reader.Find(s.ctx, archive.Query{Outcome: usher.OutcomeRan}, 10)
		if err == nil && len(lines) == 1 {
			break
		}
		if s.ctx.Err() != nil {
			t.Fatalf("the request ran and is not in the record: %v", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.verify()
}

// awaitDump waits until the dump of a process is as wanted.
func (s *scene) awaitDump(member *fleet.Member, wanted func(map[string]any) bool) {
	s.Helper()
	var last []byte
	for s.ctx.Err() == nil {
		response, err := http.Get("http://" + member.Admin + "/dump")
		if err != nil {
			s.Fatal(err)
		}
		last, _ = io.ReadAll(response.Body)
		response.Body.Close()
		var dump map[string]any
		if json.Unmarshal(last, &dump) == nil && wanted(dump) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.Fatalf("the dump never was as wanted: %s", last)
}

// TestFrozenEntry pauses the entry until its companion has taken over, and lets
// it store the same decisions once more.
func TestFrozenEntry(t *testing.T) {
	s := newScene(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, EntryArgs: []string{"--record-interval", "30s"}})
	all := []told{s.question(), s.question()}
	s.Entries[0].Signal(syscall.SIGSTOP)
	for id, line := range s.awaitRecord(all...) {
		if line.View != usher.ViewCompanion {
			t.Errorf("request %s was stored by the %s, want the companion", id, line.View)
		}
	}
	s.Entries[0].Signal(syscall.SIGCONT)
	if err := s.Entries[0].Stop(); err != nil {
		t.Error(err)
	}
	for id, line := range s.awaitRecord(all...) {
		if line.View != usher.ViewEntry {
			t.Errorf("request %s is found as the %s saw it, want the entry", id, line.View)
		}
	}
	s.compare(all...)
	if report := s.verify(); report.Lines != 2*len(all) {
		t.Errorf("the chains have %d lines, want %d", report.Lines, 2*len(all))
	}
}

func TestDeathOfTheCompanion(t *testing.T) {
	s := newScene(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, Desks: 1})
	s.store(store.Faults{Down: true})
	all := []told{s.question(), s.order("order-1"), s.refusal()}
	for _, companion := range s.Companions {
		companion.Kill()
	}
	s.store(store.Faults{})
	s.compare(all...)
	s.verify()
}

// TestDeathOfBothInTurn kills the companion that holds the entry's batch, lets
// the entry make up for it, and then kills the entry, all within one outage.
func TestDeathOfBothInTurn(t *testing.T) {
	s := newScene(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, Desks: 1})
	s.store(store.Faults{Down: true})
	all := []told{s.question(), s.question()}
	holder, other := s.awaitHolder()
	holder.Kill()
	for !s.holdsBatch(other) {
		time.Sleep(20 * time.Millisecond)
	}
	s.Entries[0].Kill()
	s.store(store.Faults{})
	s.compare(all...)
	s.verify()
}

// awaitHolder waits until one of two companions holds a sealed batch.
func (s *scene) awaitHolder() (holder, other *fleet.Member) {
	s.Helper()
	holder, other = s.Companions[0], s.Companions[1]
	for !s.holdsBatch(holder) {
		holder, other = other, holder
		time.Sleep(20 * time.Millisecond)
	}
	return holder, other
}

// holdsBatch says whether a companion holds a sealed batch.
func (s *scene) holdsBatch(companion *fleet.Member) (holds bool) {
	s.Helper()
	s.awaitDump(companion, func(dump map[string]any) bool {
		holds = dump["record"].(map[string]any)["sealedBatches"].(float64) >= 1
		return true
	})
	return holds
}

// TestDeathOfBothAtOnce loses what only the two held, and the record tells how
// many requests that were.
func TestDeathOfBothAtOnce(t *testing.T) {
	s := newScene(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, Desks: 1, EntryArgs: []string{"--record-interval", "30s"}})
	lost := []told{s.question(), s.question()}
	kept := s.order("order-1")
	s.Entries[0].Signal(syscall.SIGKILL)
	s.Companions[0].Signal(syscall.SIGKILL)
	found := s.awaitRecord(kept)
	for _, one := range lost {
		if _, ok := found[one.ID]; ok {
			t.Errorf("request %s is in the record, though both holders died", one.ID)
		}
	}
	report := s.verify()
	want := []archive.UnrecordedRequests{{Entry: entryOf(kept.ID), Highest: 3, Missing: 2}}
	if diff := cmp.Diff(want, report.Unrecorded); diff != "" {
		t.Errorf("unrecorded (-want +got):\n%s", diff)
	}
}

func entryOf(id usher.RequestID) string {
	return string(id[:strings.LastIndexByte(string(id), '-')])
}

func TestLostAndLateWrites(t *testing.T) {
	s := newScene(t, fleet.Plan{Entries: 2, Engines: [][]string{{}, {}}})
	var all []told
	// There are no orders here, so that the faults hit writes of the record. A write that takes effect late does so before it is tried again, or after.
	lateBy := []time.Duration{0, 20 * time.Millisecond, 0, 400 * time.Millisecond}
	for round, late := range lateBy {
		s.store(store.Faults{LoseAnswers: 2 * (1 - round%2), LateWrites: round % 2, LateBy: usher.Duration(late)})
		all = append(all, s.question(), s.question(), s.refusal())
		s.awaitRecord(all...)
		// The entry has settled its writes before the faults change.
		s.awaitDump(s.Entries[0], func(dump map[string]any) bool {
			return dump["record"].(map[string]any)["batches"] == float64(0)
		})
	}
	s.compare(all...)
	for _, entry := range s.Entries {
		if err := entry.Stop(); err != nil {
			t.Error(err)
		}
	}
	report := s.verify()
	if report.Lines != len(all) {
		t.Errorf("the chains have %d lines, want each of the %d decisions once", report.Lines, len(all))
	}
}

// TestLongOutage fills the bounds: the lowest tier is refused first, memory
// stays below the bound, and nothing that was answered is lost.
func TestLongOutage(t *testing.T) {
	const limit = 64 << 10
	s := newScene(t, fleet.Plan{
		Entries: 1, Engines: [][]string{{"--decode-step", "1ms"}}, Desks: 1,
		EntryArgs: []string{"--record-memory", strconv.Itoa(limit), "--record-interval", "500ms"},
	})
	s.store(store.Faults{Down: true})
	tiers := []usher.TierName{fleet.TierBatch, fleet.TierNormal, fleet.TierUrgent}
	refusedAt := make(map[usher.TierName]int)
	var all []told
	for sent := 0; len(refusedAt) < len(tiers); sent++ {
		for _, tier := range tiers {
			got := s.ask(0, "/v1/chat/completions", question(string(fleet.Model), false), map[string]string{"Filbertusher-Tier": string(tier)})
			if got.Refusal == "" {
				all = append(all, got)
				continue
			}
			if got.Refusal != usher.RefusalRecordFull || got.Status != http.StatusServiceUnavailable {
				t.Fatalf("tier %s was refused with %+v", tier, got)
			}
			if _, ok := refusedAt[tier]; !ok {
				refusedAt[tier] = sent
			}
		}
	}
	t.Log("first refused after rounds:", refusedAt)
	if refusedAt[fleet.TierBatch] >= refusedAt[fleet.TierNormal] || refusedAt[fleet.TierNormal] >= refusedAt[fleet.TierUrgent] {
		t.Errorf("the tiers were not refused from the lowest up: %v", refusedAt)
	}
	s.awaitDump(s.Entries[0], func(dump map[string]any) bool {
		if used := dump["record"].(map[string]any)["bytes"].(float64); used > limit {
			t.Errorf("the backlog takes %v bytes, the bound is %d", used, limit)
		}
		return true
	})
	s.store(store.Faults{})
	s.compare(all...)
	s.verify()
}

// TestPlannedStopInOutage stops the entry while the store is down: two
// companions have its batches. The one dies that had the first of them alone.
func TestPlannedStopInOutage(t *testing.T) {
	s := newScene(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, Desks: 1, EntryArgs: []string{"--drain-timeout", "10s"}})
	s.store(store.Faults{Down: true})
	all := []told{s.question(), s.order("order-1"), s.refusal()}
	holder, _ := s.awaitHolder()
	if err := s.Entries[0].Stop(); err != nil {
		t.Error(err)
	}
	holder.Kill()
	s.store(store.Faults{})
	s.compare(all...)
	report := s.verify()
	if len(report.Unrecorded) != 0 {
		t.Errorf("unrecorded: %+v", report.Unrecorded)
	}
}

// TestCommands runs the inspector's commands as they are typed.
func TestCommands(t *testing.T) {
	s := newScene(t, fleet.Plan{Entries: 1, Engines: [][]string{{}}, Desks: 1})
	asked := s.order("order-1")
	s.awaitRecord(asked)
	run := func(args ...string) (string, int) {
		command := exec.CommandContext(s.ctx, s.Product, append([]string{"record"}, args...)...)
		out, err := command.Output()
		if err != nil && command.ProcessState == nil {
			t.Fatal(err)
		}
		return string(out), command.ProcessState.ExitCode()
	}
	for _, args := range [][]string{
		{"find", "--workspace", "regenfass", "--key", "order-1", "--outcome", "ran", "--since", "1h"},
		{"find", "--endpoint", "orders-0", "--full", "true"},
		{"show", string(asked.ID)},
		{"export"},
	} {
		out, status := run(append(args, "--store", s.Store.Address)...)
		if status != 0 || !strings.Contains(out, string(asked.ID)) {
			t.Errorf("%v: status %d\n%s", args, status, out)
		}
	}
	if out, status := run("show", "no-such-id", "--store", s.Store.Address); status != 1 {
		t.Errorf("show of an unknown id: status %d\n%s", status, out)
	}
	if out, status := run("verify", "--store", s.Store.Address); status != 0 {
		t.Errorf("verify: status %d\n%s", status, out)
	}
	s.tamper()
	if out, status := run("verify", "--store", s.Store.Address); status != 3 || !strings.Contains(out, `"unreadable"`) {
		t.Errorf("verify after tampering: status %d\n%s", status, out)
	}
	if out, status := run("find", "--outcome", "maybe", "--store", s.Store.Address); status != 2 {
		t.Errorf("find with a wrong setting: status %d\n%s", status, out)
	}
}

// tamper overwrites a stored batch.
func (s *scene) tamper() {
	s.Helper()
	objects, _, err := s.Client.List(s.ctx, "record/batch/")
	if err != nil || len(objects) == 0 {
		s.Fatal(len(objects), err)
	}
	if _, err := s.Client.Put(s.ctx, objects[0].Key, objects[0].Version, []byte("nothing")); err != nil {
		s.Fatal(err)
	}
}
