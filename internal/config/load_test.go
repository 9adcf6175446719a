package config_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"filbertusher/internal/config"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

// unlimitedRate is a rate limit that no test reaches.
var unlimitedRate = store.RateLimits{ReadsPerSecond: 1e9, WritesPerSecond: 1e9}

func newStore(t testing.TB) usher.Store {
	server := httptest.NewServer(store.New(store.NewMemory(), unlimitedRate, 0).Handler())
	t.Cleanup(server.Close)
	return platform.NewClientAt(server.Listener.Addr().String())
}

// workspaces returns n encoded workspaces with one token each.
func workspaces(n int) []usher.Object {
	objects := make([]usher.Object, n)
	for i := range objects {
		name := fmt.Sprintf("workspace-%05d", i)
		value, _ := json.Marshal(usher.Workspace{
			Name:   usher.WorkspaceName(name),
			Tokens: []usher.BearerToken{{Name: "main", SHA256: string(usher.DigestOf([]byte(name)))}},
			Tiers:  []usher.TierName{"normal", "urgent"},
		})
		objects[i] = usher.Object{Key: config.Key(config.KindWorkspace, name), Value: value}
	}
	return objects
}

func TestSaveAndLoad(t *testing.T) {
	ctx, client := t.Context(), newStore(t)
	first, err := config.Empty().Successor(config.Head{ID: "one"}, workspaces(2000), nil)
	if err != nil {
		t.Fatal(err)
	}
	objects := workspaces(2001)
	second, err := first.Successor(config.Head{ID: "two"}, objects[2000:], []usher.ObjectKey{objects[7].Key})
	if err != nil {
		t.Fatal(err)
	}
	for _, snapshot := range []*config.Snapshot{first, second} {
		if err := snapshot.SaveParts(ctx, client, config.Empty()); err != nil {
			t.Fatal(err)
		}
	}
	for _, from := range []*config.Snapshot{config.Empty(), first, second} {
		loaded, err := config.Load(ctx, client, &second.Head, from)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(encodedByKey(second.Objects()), encodedByKey(loaded.Objects()), cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	}
}

// A part whose content does not match the digest in its key must be rejected.
func TestLoadRejectsDigestMismatch(t *testing.T) {
	ctx, client := t.Context(), newStore(t)
	snapshot, err := config.Empty().Successor(config.Head{ID: "one"}, workspaces(3), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := snapshot.SaveParts(ctx, client, config.Empty()); err != nil {
		t.Fatal(err)
	}
	parts, _, err := client.List(ctx, config.Prefix+"bucket/")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(ctx, parts[0].Key, parts[0].Version, []byte(`{"objects":[]}`)); err != nil {
		t.Fatal(err)
	}
	_, err = config.Load(ctx, client, &snapshot.Head, config.Empty())
	if diff := cmp.Diff(&config.DigestError{Key: parts[0].Key}, err); diff != "" {
		t.Error(diff)
	}
}

// targetWorkspaces is the number of workspaces that the scheduler is designed
// for.
const targetWorkspaces = 34000

func BenchmarkBuild(b *testing.B) {
	objects := workspaces(targetWorkspaces)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var snapshot *config.Snapshot
	for b.Loop() {
		snapshot, _ = config.Build(objects, 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB-held")
	runtime.KeepAlive(snapshot)
	runtime.KeepAlive(objects)
}

func BenchmarkChangeOneWorkspace(b *testing.B) {
	objects := workspaces(targetWorkspaces)
	snapshot, err := config.Build(objects, 1)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := snapshot.With(&config.Head{Version: 2}, objects[:1], nil); err != nil {
			b.Fatal(err)
		}
	}
}
