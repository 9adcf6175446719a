package member_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"filbertusher/internal/config"
	"filbertusher/internal/member"
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

func names(endpoints []*usher.Endpoint) map[usher.EndpointName]bool {
	found := make(map[usher.EndpointName]bool)
	for _, endpoint := range endpoints {
		found[endpoint.Name] = true
	}
	return found
}

// A subset has the wanted size where there are enough endpoints, none that
// leave, enough of other zones, and changes by one endpoint when one goes.
func TestSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		subset := member.Subset{Self: "p", Zone: "a", Size: rapid.IntRange(1, 8).Draw(t, "size")}
		subset.Elsewhere = rapid.IntRange(0, subset.Size).Draw(t, "elsewhere")
		var endpoints []usher.Endpoint
		staying, elsewhere := 0, 0
		for i := range rapid.IntRange(subset.Size+2, 30).Draw(t, "endpoints") {
			endpoint := usher.Endpoint{Name: usher.EndpointName(fmt.Sprint("e", i)), Service: "s", AvailabilityZone: usher.AvailabilityZone(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")), Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0}
			if !endpoint.Leaving {
				staying++
				if endpoint.AvailabilityZone != "a" {
					elsewhere++
				}
			}
			endpoints = append(endpoints, endpoint)
		}
		chosen := subset.Choose(snapshot(endpoints))["s"]
		if want := min(subset.Size, staying); len(chosen) != want {
			t.Fatalf("chose %d of %d, want %d", len(chosen), staying, want)
		}
		abroad := 0
		for _, endpoint := range chosen {
			if endpoint.Leaving {
				t.Fatal("a leaving endpoint was chosen")
			}
			if endpoint.AvailabilityZone != "a" {
				abroad++
			}
		}
		if abroad < min(subset.Elsewhere, elsewhere, len(chosen)) {
			t.Fatalf("%d of other zones, want %d", abroad, subset.Elsewhere)
		}
		gone := rapid.IntRange(0, len(endpoints)-1).Draw(t, "gone")
		after := names(subset.Choose(snapshot(append(endpoints[:gone:gone], endpoints[gone+1:]...)))["s"])
		moved := 0
		for name := range names(chosen) {
			if !after[name] {
				moved++
			}
		}
		if moved > 1 {
			t.Fatalf("%d endpoints moved when one went", moved)
		}
	})
}

// At the target size every replica has about as many entries.
func TestSubsetCoversEvenly(t *testing.T) {
	var endpoints []usher.Endpoint
	for i := range 50 {
		endpoints = append(endpoints, usher.Endpoint{Name: usher.EndpointName(fmt.Sprint("e", i)), Service: "s", AvailabilityZone: usher.AvailabilityZone(fmt.Sprint("z", i%5))})
	}
	fleet := snapshot(endpoints)
	covered := make(map[usher.EndpointName]int)
	for i := range 330 {
		subset := member.Subset{Self: usher.Incarnation(fmt.Sprint("entry-", i)), Zone: usher.AvailabilityZone(fmt.Sprint("z", i%5)), Size: 8, Elsewhere: 2}
		for _, endpoint := range subset.Choose(fleet)["s"] {
			covered[endpoint.Name]++
		}
	}
	least, most := 330, 0
	for _, count := range covered {
		least, most = min(least, count), max(most, count)
	}
	if diff := cmp.Diff(50, len(covered)); diff != "" {
		t.Error("covered endpoints:", diff)
	}
	if least < 30 || most > 80 {
		t.Errorf("an endpoint has %d to %d entries; 53 are the mean", least, most)
	}
}
