package placement

import (
	"math"
	"strconv"
	"testing"

	"filbertusher/internal/config"
	"filbertusher/pkg/usher"
)

// snapshotOf returns a configuration with endpoints of one service. Their names are numbers
// from first on.
func snapshotOf(first, count int) *config.Snapshot {
	snapshot := &config.Snapshot{
		Endpoints: make(map[usher.EndpointName]*usher.Endpoint), SelectedByService: make(map[usher.ServiceName][]*usher.Endpoint),
	}
	for n := range count {
		e := &usher.Endpoint{Name: usher.EndpointName(strconv.Itoa(first + n)), Service: "s"}
		snapshot.Endpoints[e.Name] = e
		snapshot.SelectedByService["s"] = append(snapshot.SelectedByService["s"], e)
	}
	return snapshot
}

// countWithoutID returns how many endpoints have no ID in the prefix table, and fails if two
// have the same.
func countWithoutID(t *testing.T, table *endpointTable) int {
	t.Helper()
	without := 0
	owners := make(map[uint16]usher.EndpointName)
	for name, e := range table.byName {
		if e.id == 0 {
			without++
			continue
		}
		if other, taken := owners[e.id]; taken {
			t.Fatalf("endpoints %s and %s have the ID %d", other, name, e.id)
		}
		owners[e.id] = name
	}
	return without
}

// With more endpoints than IDs, several had the same one, and each was taken to have the
// prefixes of the others.
func TestMoreEndpointsThanIDs(t *testing.T) {
	const beyond = 10
	empty := &endpointTable{snapshot: config.Empty()}
	table := buildTable(snapshotOf(0, math.MaxUint16+beyond), empty)
	if got := countWithoutID(t, table); got != beyond {
		t.Errorf("%d endpoints have no ID, want %d", got, beyond)
	}
	// Endpoints that leave free IDs for those without one.
	table = buildTable(snapshotOf(beyond, math.MaxUint16), table)
	if got := countWithoutID(t, table); got != 0 {
		t.Errorf("%d endpoints have no ID after others have left", got)
	}
	prefixes := newPrefixTable(1)
	prefixes.add([]uint64{1}, 0)
	var found prefixMatches
	if prefixes.find([]uint64{1}, &found); found.count != 0 {
		t.Error("an endpoint without an ID has a prefix")
	}
}
