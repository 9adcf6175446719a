package control_test

import (
	"context"
	"testing"
	"time"

	"filbertusher/internal/standin/scale"
)

// TestScale is a short run of make scale: it must finish with every version in
// force, and only the first companions of each zone may watch the store. It checks
// no times; make scale measures them.
func TestScale(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	const zones, watchesPerZone = 2, 2
	result, err := scale.Run(ctx, binaries, scale.Plan{
		Companions: 8, Entries: 3, Zones: zones, Services: 2, Workspaces: 50,
		Changes: 3, Rate: 5, Burst: 20, IdleDuration: 100 * time.Millisecond, OutageDuration: 300 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Idle.WatchesWaiting < 1 || result.Idle.WatchesWaiting > zones*watchesPerZone {
		t.Errorf("%d watches are open at the store", result.Idle.WatchesWaiting)
	}
}
