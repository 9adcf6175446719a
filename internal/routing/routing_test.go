package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"filbertusher/internal/boottime"
	_ "filbertusher/internal/standin/property"
	"filbertusher/pkg/usher"
)

func table(version usher.Version) *usher.RouteTable {
	return &usher.RouteTable{
		Version: version,
		Routes: []usher.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Split: []usher.WeightedService{{Service: "one", Weight: 1}}},
			{Name: "long", Host: "A.example", Prefix: "/x/y/", Split: []usher.WeightedService{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}},
		},
		Workspaces: []usher.WorkspaceSpec{{Name: "w", Credentials: []string{"k1", "k2"}}},
	}
}

func ExampleIndex_Route() {
	index := New(table(1))
	fmt.Println(index.Route("a.example:80", "/x/y/z?q=/x/").Name, index.Route("a.example", "/x/yy").Name, index.Route("a.example", "/"))
	// Output: long short <nil>
}

func TestRoute(t *testing.T) {
	index := New(table(1))
	for path, want := range map[string]usher.RouteName{
		"/x/": "short", "/x/y": "short", "/x/y/": "long", "/x/y/z/": "long", "/X/y/": "", "/x": "", "": "",
	} {
		got := usher.RouteName("")
		if route := index.Route("A.EXAMPLE", path); route != nil {
			got = route.Name
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%q: %s", path, diff)
		}
	}
	if index.Route("b.example", "/x/") != nil {
		t.Error("a route of another host was found")
	}
	if index.Workspace("k2") == nil || index.Workspace("") != nil {
		t.Error("credentials are not found as declared")
	}
}

func TestPickFollowsWeights(t *testing.T) {
	route := &table(1).Routes[1]
	counts := map[usher.ServiceName]int{}
	for i := range 5000 {
		id := usher.RequestID(fmt.Sprint(i))
		picked := PickService(route, id)
		if PickService(route, id) != picked {
			t.Fatal("the same request was assigned two services")
		}
		counts[picked]++
	}
	if counts["two"] < 350 || counts["two"] > 650 {
		t.Errorf("the service with a tenth of the weight got %d of 5000 requests", counts["two"])
	}
	route.Split[1].Weight = 0
	if RoutesTo(route, "two") {
		t.Error("a service with weight 0 may get requests")
	}
}

// The store and the peers deliver versions and confirmations of the newest version
// in any order. The version in force must not decrease, and its age must be that
// of the latest valid confirmation.
func TestHolderVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder := NewHolder(nil)
		highest := usher.Version(0)
		var newestAt boottime.Time
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			version := usher.Version(rapid.IntRange(1, 9).Draw(t, "version"))
			if rapid.Bool().Draw(t, "adopt") {
				if adopted := holder.Adopt(table(version), "test"); adopted != (version > highest) {
					t.Fatalf("adopting version %d over %d: got %v", version, highest, adopted)
				}
				highest = max(highest, version)
			} else {
				at := boottime.Now().Add(-time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond)
				holder.ConfirmNewest(version, at)
				// A confirmation of a newer version only shows that this process is behind,
				// and one of an older version comes from a peer or a store that is behind.
				if highest > 0 && version == highest {
					newestAt = max(newestAt, at)
				}
			}
			if holder.Version() != highest {
				t.Fatalf("version %d is in force, want %d", holder.Version(), highest)
			}
			if newestAt == 0 {
				if holder.Age() < time.Hour {
					t.Fatal("a configuration that was never confirmed counts as fresh")
				}
			} else if older := holder.Age() > boottime.Since(newestAt)+time.Second; older {
				t.Fatal("a valid confirmation was dropped")
			} else if younger := holder.Age() < boottime.Since(newestAt)-time.Second; younger {
				t.Fatal("the configuration counts as fresher than its latest confirmation")
			}
		}
	})
}
