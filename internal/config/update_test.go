package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"filbertusher/internal/config"
	_ "filbertusher/internal/standin/property"
	"filbertusher/pkg/usher"
)

// drawObject draws a declared object from a small set of names and values, so
// that changes often collide in names, tokens and models.
func drawObject(t *rapid.T) usher.Object {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "name")
	var kind config.Kind
	var value any
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		kind = config.KindWorkspace
		var tokens []usher.BearerToken
		for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 0, 2, rapid.ID).Draw(t, "tokens") {
			// Tokens are unique across workspaces, as Validate requires.
			tokens = append(tokens, usher.BearerToken{Name: fmt.Sprint("t", n), SHA256: string(usher.DigestOf([]byte(fmt.Sprint(name, n))))})
		}
		value = usher.Workspace{Name: usher.WorkspaceName(name), Tokens: tokens, Tiers: []usher.TierName{"x"}}
	case 1:
		kind = config.KindService
		value = usher.Service{Name: usher.ServiceName(name), Kind: usher.ServiceModel, Model: usher.ModelName("m" + name)}
	case 2:
		kind = config.KindEndpoint
		value = usher.Endpoint{Name: usher.EndpointName(name), Service: usher.ServiceName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"))}
	case 3:
		kind = config.KindTier
		value = usher.Tier{Name: usher.TierName(name), Rank: usher.Rank(rapid.IntRange(0, 3).Draw(t, "rank"))}
	default:
		kind = config.KindPreset
		value = usher.Preset{Name: usher.PresetName(name), Preemption: rapid.Bool().Draw(t, "preemption")}
	}
	encoded, _ := json.Marshal(value)
	return usher.Object{Key: config.Key(kind, name), Value: encoded}
}

// encodedByKey returns the encoded objects as strings by key, which are quick
// to compare.
func encodedByKey(objects []usher.Object) map[usher.ObjectKey]string {
	byKey := make(map[usher.ObjectKey]string, len(objects))
	for _, object := range objects {
		byKey[object.Key] = string(object.Value)
	}
	return byKey
}

// After any sequence of changes, an incrementally updated snapshot must equal
// one that is built from all objects at once.
func TestUpdateMatchesFullBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objects := make(map[usher.ObjectKey]usher.Object)
		snapshot := config.Empty()
		for version := range rapid.IntRange(1, 12).Draw(t, "changes") {
			var put []usher.Object
			var deleted []usher.ObjectKey
			touched := make(map[usher.ObjectKey]bool)
			for _, object := range rapid.SliceOfN(rapid.Custom(drawObject), 0, 6).Draw(t, "objects") {
				if touched[object.Key] {
					continue
				}
				touched[object.Key] = true
				if _, known := objects[object.Key]; known && rapid.Bool().Draw(t, "delete") {
					deleted = append(deleted, object.Key)
					delete(objects, object.Key)
					continue
				}
				put = append(put, object)
				objects[object.Key] = object
			}
			before := encodedByKey(snapshot.Objects())
			next, err := snapshot.With(&config.Head{Version: usher.Version(version + 1)}, put, deleted)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(before, encodedByKey(snapshot.Objects()), cmpopts.EquateEmpty()); diff != "" {
				t.Fatal("With modified the snapshot it was called on:", diff)
			}
			snapshot = next
		}
		var all []usher.Object
		for _, object := range objects {
			all = append(all, object)
		}
		built, err := config.Build(all, snapshot.Version)
		if err != nil {
			t.Fatal(err)
		}
		requireEqual(t, built, snapshot)
	})
}

func requireEqual(t *rapid.T, want, got *config.Snapshot) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(config.Snapshot{}), cmpopts.EquateEmpty()); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(encodedByKey(want.Objects()), encodedByKey(got.Objects()), cmpopts.EquateEmpty()); diff != "" {
		t.Fatal(diff)
	}
	changed, deleted := config.Diff(want, got)
	if len(changed)+len(deleted) > 0 {
		t.Fatal("Diff reports changes between equal snapshots:", changed, deleted)
	}
	if diff := cmp.Diff(pageDigests(want), pageDigests(got)); diff != "" {
		t.Fatal("page digests differ:", diff)
	}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		for n := range 4 {
			digest := usher.DigestOf([]byte(fmt.Sprint(name, n)))
			a, okA := want.Identify(digest)
			b, okB := got.Identify(digest)
			if okA != okB || okA && (a.Workspace.Name != b.Workspace.Name || a.TokenName != b.TokenName) {
				t.Fatal("Identify results differ for token:", name, n)
			}
		}
	}
}

// pageDigests returns the page digests of a head that is based on the snapshot.
func pageDigests(snapshot *config.Snapshot) []usher.Digest {
	next, err := snapshot.Successor(config.Head{}, nil, nil)
	if err != nil {
		panic(err)
	}
	return next.Head.Pages
}

// The holder must accept a snapshot only if it is newer than and descends from
// the current one; a diverged one would revert an accepted change.
func TestHolderRejectsDivergedSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshots := []*config.Snapshot{config.Empty()}
		descends := map[config.ChangeID]map[config.ChangeID]bool{"": {"": true}}
		holder := config.NewHolder()
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			parent := rapid.SampledFrom(snapshots).Draw(t, "parent")
			id := config.ChangeID(fmt.Sprint("c", n))
			next, err := parent.Successor(config.Head{ID: id}, nil, nil)
			if err != nil {
				t.Fatal(err)
			}
			snapshots = append(snapshots, next)
			descends[id] = map[config.ChangeID]bool{id: true}
			for ancestor := range descends[parent.Head.ID] {
				descends[id][ancestor] = true
			}
			offered := rapid.SampledFrom(snapshots).Draw(t, "offered")
			before := holder.Current()
			accepted := holder.Offer(offered)
			want := offered.Version > before.Version && descends[offered.Head.ID][before.Head.ID]
			if accepted != want {
				t.Fatalf("Offer of %s at version %d over %s at version %d: accepted = %v", offered.Head.ID, offered.Version, before.Head.ID, before.Version, accepted)
			}
		}
	})
}
