package control_test

import (
	"context"
	"testing"
	"time"

	"filbertusher/internal/standin/scale"
)

// The short form of make scale: it has to come to an end with every version in
// force, and only the first companions of each zone may watch the store. Times
// are measured by make scale and not judged here.
func TestScaleShortForm(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	const zones, treesPerZone = 2, 2
	result, err := scale.Run(ctx, binaries, scale.Plan{
		Companions: 8, Entries: 3, Zones: zones, Services: 2, Workspaces: 50,
		Changes: 3, Rate: 5, Burst: 20, Idle: 100 * time.Millisecond, Outage: 300 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Idle.WatchesWaiting < 1 || result.Idle.WatchesWaiting > zones*treesPerZone {
		t.Errorf("%d watches wait at the store", result.Idle.WatchesWaiting)
	}
}
