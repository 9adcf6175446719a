package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// object draws a declared object out of a small space, so that changes often
// meet the same names, tokens and models.
func object(t *rapid.T) usher.Object {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "name")
	var kind config.Kind
	var value any
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		kind = config.KindWorkspace
		var tokens []usher.Token
		for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 0, 2, rapid.ID).Draw(t, "tokens") {
			// Tokens are distinct between workspaces, as Check demands.
			tokens = append(tokens, usher.Token{Name: fmt.Sprint("t", n), SHA256: string(usher.DigestOf([]byte(fmt.Sprint(name, n))))})
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

// texts returns the objects by key, in a form that is quick to compare.
func texts(objects []usher.Object) map[usher.ObjectKey]string {
	byKey := make(map[usher.ObjectKey]string, len(objects))
	for _, one := range objects {
		byKey[one.Key] = string(one.Value)
	}
	return byKey
}

// The naive version of a snapshot is a build of all objects from nothing. An
// update must give the same after any sequence of changes.
func TestUpdateEqualsPlainBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := make(map[usher.ObjectKey]usher.Object)
		snapshot := config.Empty()
		for version := range rapid.IntRange(1, 12).Draw(t, "changes") {
			var put []usher.Object
			var deleted []usher.ObjectKey
			touched := make(map[usher.ObjectKey]bool)
			for _, one := range rapid.SliceOfN(rapid.Custom(object), 0, 6).Draw(t, "objects") {
				if touched[one.Key] {
					continue
				}
				touched[one.Key] = true
				if _, known := plain[one.Key]; known && rapid.Bool().Draw(t, "delete") {
					deleted = append(deleted, one.Key)
					delete(plain, one.Key)
					continue
				}
				put = append(put, one)
				plain[one.Key] = one
			}
			before := texts(snapshot.Objects())
			next, err := snapshot.With(&config.Head{Version: usher.Version(version + 1)}, put, deleted)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(before, texts(snapshot.Objects()), cmpopts.EquateEmpty()); diff != "" {
				t.Fatal("the older snapshot was changed:", diff)
			}
			snapshot = next
		}
		var all []usher.Object
		for _, one := range plain {
			all = append(all, one)
		}
		built, err := config.Build(all, snapshot.Version)
		if err != nil {
			t.Fatal(err)
		}
		compare(t, built, snapshot)
	})
}

func compare(t *rapid.T, want, got *config.Snapshot) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(config.Snapshot{}), cmpopts.EquateEmpty()); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(texts(want.Objects()), texts(got.Objects()), cmpopts.EquateEmpty()); diff != "" {
		t.Fatal(diff)
	}
	changed, deleted := config.Difference(want, got)
	if len(changed)+len(deleted) > 0 {
		t.Fatal("the trees differ:", changed, deleted)
	}
	if diff := cmp.Diff(pages(want), pages(got)); diff != "" {
		t.Fatal("the digests differ:", diff)
	}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		for n := range 4 {
			digest := usher.DigestOf([]byte(fmt.Sprint(name, n)))
			a, okA := want.Identify(digest)
			b, okB := got.Identify(digest)
			if okA != okB || okA && (a.Workspace.Name != b.Workspace.Name || a.TokenName != b.TokenName) {
				t.Fatal("a token is known to one and not to the other:", name, n)
			}
		}
	}
}

// pages returns the digests that a head on top of the snapshot would have.
func pages(snapshot *config.Snapshot) []usher.Digest {
	next, err := snapshot.Successor(config.Head{}, nil, nil)
	if err != nil {
		panic(err)
	}
	return next.Head.Pages
}

// Lines of changes that parted must be told from successors.
func TestHolderNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := []*config.Snapshot{config.Empty()}
		descends := map[config.ChangeID]map[config.ChangeID]bool{"": {"": true}}
		holder := config.NewHolder()
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			parent := rapid.SampledFrom(lines).Draw(t, "parent")
			id := config.ChangeID(fmt.Sprint("c", n))
			next, err := parent.Successor(config.Head{ID: id}, nil, nil)
			if err != nil {
				t.Fatal(err)
			}
			lines = append(lines, next)
			descends[id] = map[config.ChangeID]bool{id: true}
			for ancestor := range descends[parent.Head.ID] {
				descends[id][ancestor] = true
			}
			offered := rapid.SampledFrom(lines).Draw(t, "offered")
			before := holder.Current()
			taken := holder.Offer(offered)
			should := offered.Version > before.Version && descends[offered.Head.ID][before.Head.ID]
			if taken != should {
				t.Fatalf("offer of %s at %d over %s at %d: taken %v", offered.Head.ID, offered.Version, before.Head.ID, before.Version, taken)
			}
		}
	})
}
