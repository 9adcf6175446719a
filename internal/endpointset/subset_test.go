package endpointset_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"filbertusher/internal/config"
	"filbertusher/internal/endpointset"
	_ "filbertusher/internal/standin/property"
	"filbertusher/pkg/usher"
)

func snapshot(endpoints []usher.Endpoint) *config.Snapshot {
	var objects []usher.Object
	for _, endpoint := range endpoints {
		value, _ := json.Marshal(endpoint)
		objects = append(objects, usher.Object{Key: config.Key(config.KindEndpoint, string(endpoint.Name)), Value: value})
	}
	built, err := config.Build(objects, 1)
	if err != nil {
		panic(err)
	}
	return built
}

func nameSet(endpoints []*usher.Endpoint) map[usher.EndpointName]bool {
	found := make(map[usher.EndpointName]bool)
	for _, endpoint := range endpoints {
		found[endpoint.Name] = true
	}
	return found
}

// A subset has the configured size if there are enough endpoints, contains no
// leaving ones and enough of other zones, and changes by at most one endpoint when
// one is removed.
func TestSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		subset := endpointset.Subset{Self: "p", Zone: "a", Size: rapid.IntRange(1, 8).Draw(t, "size")}
		subset.OtherZones = rapid.IntRange(0, subset.Size).Draw(t, "elsewhere")
		var endpoints []usher.Endpoint
		active, otherZones := 0, 0
		for i := range rapid.IntRange(subset.Size+2, 30).Draw(t, "endpoints") {
			endpoint := usher.Endpoint{Name: usher.EndpointName(fmt.Sprint("e", i)), Service: "s", AvailabilityZone: usher.AvailabilityZone(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")), Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0}
			if !endpoint.Leaving {
				active++
				if endpoint.AvailabilityZone != "a" {
					otherZones++
				}
			}
			endpoints = append(endpoints, endpoint)
		}
		selected := subset.Choose(snapshot(endpoints))["s"]
		if want := min(subset.Size, active); len(selected) != want {
			t.Fatalf("selected %d of %d endpoints, want %d", len(selected), active, want)
		}
		inOtherZones := 0
		for _, endpoint := range selected {
			if endpoint.Leaving {
				t.Fatal("a leaving endpoint was selected")
			}
			if endpoint.AvailabilityZone != "a" {
				inOtherZones++
			}
		}
		if inOtherZones < min(subset.OtherZones, otherZones, len(selected)) {
			t.Fatalf("%d endpoints of other zones, want at least %d", inOtherZones, subset.OtherZones)
		}
		removed := rapid.IntRange(0, len(endpoints)-1).Draw(t, "removed")
		after := nameSet(subset.Choose(snapshot(append(endpoints[:removed:removed], endpoints[removed+1:]...)))["s"])
		replaced := 0
		for name := range nameSet(selected) {
			if !after[name] {
				replaced++
			}
		}
		if replaced > 1 {
			t.Fatalf("%d endpoints were replaced when one was removed, want at most 1", replaced)
		}
	})
}

// At the target size, 330 entries with 8 endpoints each are spread evenly over 50
// endpoints.
func TestSubsetsCoverEndpointsEvenly(t *testing.T) {
	var endpoints []usher.Endpoint
	for i := range 50 {
		endpoints = append(endpoints, usher.Endpoint{Name: usher.EndpointName(fmt.Sprint("e", i)), Service: "s", AvailabilityZone: usher.AvailabilityZone(fmt.Sprint("z", i%5))})
	}
	all := snapshot(endpoints)
	covered := make(map[usher.EndpointName]int)
	for i := range 330 {
		subset := endpointset.Subset{Self: usher.Incarnation(fmt.Sprint("entry-", i)), Zone: usher.AvailabilityZone(fmt.Sprint("z", i%5)), Size: 8, OtherZones: 2}
		for _, endpoint := range subset.Choose(all)["s"] {
			covered[endpoint.Name]++
		}
	}
	fewest, most := 330, 0
	for _, count := range covered {
		fewest, most = min(fewest, count), max(most, count)
	}
	if diff := cmp.Diff(50, len(covered)); diff != "" {
		t.Error("covered endpoints:", diff)
	}
	if fewest < 30 || most > 80 {
		t.Errorf("endpoints have %d to %d entries, want 30 to 80 (mean 53)", fewest, most)
	}
}
