package archive_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"filbertusher/internal/archive"
	"filbertusher/internal/record"
	_ "filbertusher/internal/standin/property"
	"filbertusher/internal/standin/store"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// memoryStore is an in-memory object store without faults. It lists objects from a
// sorted list of keys, like a store that has an index of them.
type memoryStore struct {
	store.SingleEra
	mu      sync.Mutex
	version usher.Version
	keys    []string
	objects map[usher.ObjectKey]usher.Object
	// gets and lists are the numbers of Get and List calls.
	gets, lists int
}

var _ usher.Store = (*memoryStore)(nil)

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[usher.ObjectKey]usher.Object)}
}

func (m *memoryStore) Get(_ context.Context, key usher.ObjectKey) (usher.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gets++
	object, ok := m.objects[key]
	if !ok {
		return object, &usher.NotFoundError{Key: key}
	}
	return object, nil
}

func (m *memoryStore) List(_ context.Context, prefix usher.ObjectKey) ([]usher.Object, usher.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lists++
	if m.keys == nil {
		for key := range m.objects {
			m.keys = append(m.keys, string(key))
		}
		sort.Strings(m.keys)
	}
	var found []usher.Object
	for i := sort.SearchStrings(m.keys, string(prefix)); i < len(m.keys) && strings.HasPrefix(m.keys[i], string(prefix)); i++ {
		found = append(found, m.objects[usher.ObjectKey(m.keys[i])])
	}
	return found, m.version, nil
}

func (m *memoryStore) Put(_ context.Context, key usher.ObjectKey, expected usher.Version, value []byte) (usher.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.objects[key].Version; current != expected {
		return 0, &usher.ConflictError{Key: key, Expected: expected, Current: current}
	}
	m.version++
	m.objects[key] = usher.Object{Key: key, Version: m.version, Value: value}
	m.keys = nil
	return m.version, nil
}

func (m *memoryStore) Delete(_ context.Context, key usher.ObjectKey, _ usher.Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.objects[key]; !ok {
		return &usher.NotFoundError{Key: key}
	}
	delete(m.objects, key)
	m.keys = nil
	return nil
}

func (m *memoryStore) Watch(context.Context, usher.ObjectKey, usher.Version, time.Duration) ([]usher.WatchEvent, usher.Version, error) {
	return nil, 0, &usher.HistoryCompactedError{}
}

// set writes an object regardless of its version.
func (m *memoryStore) set(key usher.ObjectKey, value []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	m.objects[key] = usher.Object{Key: key, Version: m.version, Value: value}
	m.keys = nil
}

// start is the time at which the chains of the tests start.
var start = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

// testRecord is a generated record in a store.
type testRecord struct {
	*memoryStore
	// batches is the number of batches of each writer. closed has the writers whose
	// chains are closed.
	batches map[string]int
	closed  map[string]bool
	digests map[string][]usher.Digest
	// seen is the sequence number of the newest countersigned batch of each writer.
	seen    map[string]int
	written int
}

func newTestRecord(writers int) *testRecord {
	r := &testRecord{
		memoryStore: newMemoryStore(), batches: make(map[string]int), closed: make(map[string]bool),
		digests: make(map[string][]usher.Digest), seen: make(map[string]int),
	}
	for i := range writers {
		name := fmt.Sprintf("writer-%d", i)
		value, _ := json.Marshal(record.Writer{Format: record.FormatName, Version: 1, Name: name, Role: record.RoleEntry, Started: start})
		r.set(record.WriterKey(name, start), value)
		r.batches[name] = 0
	}
	return r
}

// appendBatch appends a batch that countersigns the newest batch of another writer.
func (r *testRecord) appendBatch(writer, other string, lines int, closed bool) {
	sequence := r.batches[writer]
	previous := record.GenesisDigest(writer)
	if sequence > 0 {
		previous = r.digests[writer][sequence-1]
	}
	decisions := make([]usher.Decision, lines)
	for i := range decisions {
		r.written++
		decisions[i] = usher.Decision{
			ID: usher.RequestID(fmt.Sprintf("entry-%d", r.written)), View: usher.ViewEntry, Time: r.time(writer),
			Workspace: usher.WorkspaceName(fmt.Sprintf("workspace-%d", r.written%7)), Outcome: usher.OutcomeRan,
		}
	}
	header := record.Header{
		Writer: writer, Role: record.RoleEntry, Sequence: uint64(sequence), Previous: previous,
		First: r.time(writer), Last: r.time(writer), Closed: closed,
	}
	if n := r.batches[other]; n > 0 && other != writer {
		header.Seen = []wire.RecordHead{{Writer: other, Sequence: uint64(n - 1), Digest: r.digests[other][n-1]}}
		r.seen[other] = n - 1
	}
	value := record.Encode(header, decisions)
	r.set(record.BatchKey(writer, uint64(sequence)), value)
	r.digests[writer] = append(r.digests[writer], usher.DigestOf(value))
	r.batches[writer]++
	r.closed[writer] = closed
}

// time returns the time at which the next batch of a writer is sealed.
func (r *testRecord) time(writer string) time.Time {
	return start.Add(time.Duration(r.batches[writer]) * time.Hour)
}

func (r *testRecord) value(writer string, sequence int) []byte {
	return r.objects[record.BatchKey(writer, uint64(sequence))].Value
}

func (r *testRecord) remove(writer string, sequence int) {
	_ = r.Delete(context.Background(), record.BatchKey(writer, uint64(sequence)), 0)
}

// countersigned reports whether another chain countersigns a batch or a later one of
// the writer.
func (r *testRecord) countersigned(writer string, sequence int) bool {
	seen, ok := r.seen[writer]
	return ok && seen >= sequence
}

func drawRecord(t *rapid.T) *testRecord {
	r := newTestRecord(rapid.IntRange(2, 4).Draw(t, "writers"))
	names := make([]string, 0, len(r.batches))
	for name := range r.batches {
		names = append(names, name)
	}
	sort.Strings(names)
	for i := range rapid.IntRange(2, 40).Draw(t, "batches") {
		writer := rapid.SampledFrom(names).Draw(t, "writer")
		if r.closed[writer] {
			continue
		}
		other := rapid.SampledFrom(names).Draw(t, "other")
		r.appendBatch(writer, other, rapid.IntRange(0, 4).Draw(t, "lines"), i > 20 && rapid.IntRange(0, 9).Draw(t, "closed") == 0)
	}
	return r
}

// drawBatch draws a batch of a chain that has at least minBatches batches.
func drawBatch(t *rapid.T, r *testRecord, minBatches int) (string, int) {
	var names []string
	for name, batches := range r.batches {
		if batches >= minBatches {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		t.Skip("no chain is long enough")
	}
	sort.Strings(names)
	writer := rapid.SampledFrom(names).Draw(t, "tampered")
	return writer, rapid.IntRange(0, r.batches[writer]-1).Draw(t, "sequence")
}

func verify(t interface{ Fatal(...any) }, store usher.Store) *archive.Report {
	report, err := archive.NewReader(store).Verify(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestIntactRecordVerifies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRecord(t)
		report := verify(t, r)
		if diff := cmp.Diff([]archive.Break(nil), report.Breaks); diff != "" {
			t.Fatalf("breaks (-want +got):\n%s", diff)
		}
		if report.Lines != r.written {
			t.Fatalf("read %d lines, want %d", report.Lines, r.written)
		}
		open := 0
		for _, closed := range r.closed {
			if !closed {
				open++
			}
		}
		if unused := len(r.batches) - len(r.closed); len(report.OpenChains) != open+unused {
			t.Fatalf("open chains %v, want %d chains", report.OpenChains, open+unused)
		}
	})
}

// tampering is a way to change a record. change returns the changed chain and
// whether Verify must detect the change there, as a break of one of the kinds.
type tampering struct {
	kinds  []archive.BreakKind
	change func(t *rapid.T, r *testRecord) (writer string, detectable bool)
}

// TestTampering changes an intact record in ways that Verify must detect and in ways
// that it can't. Which ones these are follows from the rules in
// docs/record-format.md, so the property fails both if a break is missed and if an
// undetectable change is reported.
func TestTampering(t *testing.T) {
	tamperings := map[string]tampering{
		"gap": {[]archive.BreakKind{archive.BreakGap, archive.BreakCutOff}, func(t *rapid.T, r *testRecord) (string, bool) {
			writer, sequence := drawBatch(t, r, 2)
			r.remove(writer, sequence)
			return writer, sequence < r.batches[writer]-1 || r.countersigned(writer, sequence)
		}},
		"edit": {[]archive.BreakKind{archive.BreakEdited}, func(t *rapid.T, r *testRecord) (string, bool) {
			writer, sequence := drawBatch(t, r, 1)
			batch, err := record.Decode(r.value(writer, sequence))
			if err != nil {
				t.Fatal(err)
			}
			batch.Decisions = append(batch.Decisions, usher.Decision{ID: "entry-zz", Outcome: usher.OutcomeNotRun})
			r.set(record.BatchKey(writer, uint64(sequence)), record.Encode(batch.Header, batch.Decisions))
			seen, ok := r.seen[writer]
			return writer, sequence < r.batches[writer]-1 || (ok && seen == sequence)
		}},
		"reordering": {[]archive.BreakKind{archive.BreakMisplaced}, func(t *rapid.T, r *testRecord) (string, bool) {
			writer, one := drawBatch(t, r, 2)
			other := (one + rapid.IntRange(1, r.batches[writer]-1).Draw(t, "apart")) % r.batches[writer]
			first, second := r.value(writer, one), r.value(writer, other)
			r.set(record.BatchKey(writer, uint64(one)), second)
			r.set(record.BatchKey(writer, uint64(other)), first)
			return writer, true
		}},
		"batch of another chain": {[]archive.BreakKind{archive.BreakMisplaced}, func(t *rapid.T, r *testRecord) (string, bool) {
			writer, sequence := drawBatch(t, r, 1)
			r.set(record.BatchKey(writer, uint64(sequence)), record.Encode(record.Header{
				Writer: "elsewhere", Sequence: uint64(sequence), Previous: record.GenesisDigest("elsewhere"),
			}, nil))
			return writer, true
		}},
		"cut-off tail": {[]archive.BreakKind{archive.BreakCutOff}, func(t *rapid.T, r *testRecord) (string, bool) {
			writer, sequence := drawBatch(t, r, 1)
			for i := sequence; i < r.batches[writer]; i++ {
				r.remove(writer, i)
			}
			return writer, r.countersigned(writer, sequence)
		}},
		"lost chain": {[]archive.BreakKind{archive.BreakChainMissing}, func(t *rapid.T, r *testRecord) (string, bool) {
			writer, _ := drawBatch(t, r, 1)
			for i := range r.batches[writer] {
				r.remove(writer, i)
			}
			_ = r.Delete(context.Background(), record.WriterKey(writer, start), 0)
			return writer, r.countersigned(writer, 0)
		}},
		"damage": {[]archive.BreakKind{archive.BreakUnreadable, archive.BreakEdited}, func(t *rapid.T, r *testRecord) (string, bool) {
			writer, sequence := drawBatch(t, r, 1)
			value := append([]byte(nil), r.value(writer, sequence)...)
			at := rapid.IntRange(0, len(value)-1).Draw(t, "at")
			value[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
			r.set(record.BatchKey(writer, uint64(sequence)), value)
			if _, err := record.Decode(value); err == nil {
				// zstd does not use the changed bits, so the decoded batch is the same.
				seen, ok := r.seen[writer]
				return writer, sequence < r.batches[writer]-1 || (ok && seen == sequence)
			}
			return writer, true
		}},
		"continuation": {[]archive.BreakKind{archive.BreakContinued}, func(t *rapid.T, r *testRecord) (string, bool) {
			writer, _ := drawBatch(t, r, 1)
			closed := r.closed[writer]
			r.appendBatch(writer, writer, 1, false)
			return writer, closed
		}},
	}
	for name, tamper := range tamperings {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				r := drawRecord(t)
				writer, detectable := tamper.change(t, r)
				breaks := verify(t, r).Breaks
				detected := false
				for _, one := range breaks {
					detected = detected || one.Writer == writer && slices.Contains(tamper.kinds, one.Kind)
				}
				if detectable && !detected {
					t.Fatalf("tampering with %s was not detected: %+v", writer, breaks)
				}
				if !detectable && len(breaks) > 0 {
					t.Fatalf("breaks reported for an undetectable change: %+v", breaks)
				}
			})
		})
	}
}

// TestAnchors guards against undetected truncation of a chain that no other writer
// countersigns. Only heads that are kept outside the store reveal it.
func TestAnchors(t *testing.T) {
	r := newTestRecord(1)
	for range 3 {
		r.appendBatch("writer-0", "", 2, false)
	}
	heads := verify(t, r).Heads
	r.remove("writer-0", 2)
	if breaks := verify(t, r).Breaks; len(breaks) != 0 {
		t.Errorf("without anchors: %+v", breaks)
	}
	report, err := archive.NewReader(r).Verify(t.Context(), heads)
	if err != nil {
		t.Fatal(err)
	}
	want := []archive.Break{{Writer: "writer-0", Sequence: 2, Kind: archive.BreakCutOff, Detail: "an anchor refers to this batch"}}
	if diff := cmp.Diff(want, report.Breaks); diff != "" {
		t.Errorf("with anchors (-want +got):\n%s", diff)
	}
}

// TestRateLimit checks that a reader stops with an error if the rate limit does not
// allow the next call before the deadline. Until then it makes no more calls than the
// burst of the limit allows.
func TestRateLimit(t *testing.T) {
	r := newTestRecord(1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	callsPerHour := rate.Limit(1.0 / time.Hour.Seconds())
	if _, err := archive.NewRateLimitedReader(r, callsPerHour).Verify(ctx, nil); err == nil {
		t.Error("Verify succeeded, but the rate limit does not allow its calls before the deadline")
	}
	if r.lists > 20 {
		t.Errorf("%d list calls, want at most 20", r.lists)
	}
}

// TestExpiry expires a random prefix of the chains in two runs and checks that the
// remaining batches verify and that no other batch was deleted.
func TestExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRecord(t)
		reader := archive.NewReader(r)
		retained := 0
		hours := rapid.IntRange(0, 20).Draw(t, "hours")
		for _, after := range []int{hours / 2, hours} {
			now := start.Add(time.Duration(after)*time.Hour + 100*time.Hour)
			if _, err := reader.Expire(context.Background(), now, 100*time.Hour); err != nil {
				t.Fatal(err)
			}
		}
		for _, batches := range r.batches {
			retained += max(batches-hours, 0)
		}
		report := verify(t, r)
		if diff := cmp.Diff([]archive.Break(nil), report.Breaks); diff != "" {
			t.Fatalf("breaks (-want +got):\n%s", diff)
		}
		if report.Batches != retained {
			t.Fatalf("%d batches remain, want %d", report.Batches, retained)
		}
	})
}

// TestBrokenChainDoesNotExpire guards against a checkpoint that hides a break: a chain
// with a missing batch must not expire.
func TestBrokenChainDoesNotExpire(t *testing.T) {
	r := newTestRecord(1)
	for range 4 {
		r.appendBatch("writer-0", "", 1, false)
	}
	r.remove("writer-0", 1)
	_, err := archive.NewReader(r).Expire(t.Context(), start.Add(1000*time.Hour), time.Hour)
	if _, ok := err.(*archive.BrokenChainError); !ok {
		t.Errorf("got %v, want a BrokenChainError", err)
	}
}

// TestBrokenChainsDoNotKeepOthers checks that every sound chain expires although several
// others are broken, and that each of these is named.
func TestBrokenChainsDoNotKeepOthers(t *testing.T) {
	r := newTestRecord(6)
	for writer := range 6 {
		for range 4 {
			r.appendBatch(fmt.Sprint("writer-", writer), "", 1, false)
		}
	}
	r.remove("writer-1", 1)
	r.remove("writer-4", 2)
	result, err := archive.NewReader(r).Expire(t.Context(), start.Add(1000*time.Hour), time.Hour)
	if diff := cmp.Diff(4, result.Chains); diff != "" {
		t.Errorf("chains that expired (-want +got):\n%s", diff)
	}
	for _, writer := range []string{"writer-1", "writer-4"} {
		if err == nil || !strings.Contains(err.Error(), writer) {
			t.Errorf("the error %v does not name %s", err, writer)
		}
	}
}
