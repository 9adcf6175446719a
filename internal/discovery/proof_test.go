package discovery

import (
	"testing"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

func TestRestoredStoreProvesNothingUntilRewritten(t *testing.T) {
	const grace = 2 * time.Second
	written := func(version usher.Version, era usher.StoreEra, revision uint64) *usher.RouteTable {
		return &usher.RouteTable{Version: version, Written: usher.NewVersion(era, revision)}
	}
	type read struct {
		after   time.Duration
		era     usher.StoreEra
		read    *usher.RouteTable
		inForce *usher.RouteTable
		want    bool
	}
	for name, reads := range map[string][]read{
		"store that never went back": {
			{0, 1, written(5, 1, 10), nil, true},
			{time.Second, 1, written(5, 1, 10), written(5, 1, 10), true},
		},
		"store without eras": {
			{0, 0, written(5, 0, 10), nil, true},
			{time.Second, 0, written(6, 0, 12), written(5, 0, 10), true},
		},
		"process that starts after the restoration": {
			{0, 2, written(5, 2, 10), nil, true},
		},
		"unchanged copy": {
			{0, 1, written(5, 1, 10), nil, true},
			{time.Second, 2, written(5, 2, 10), written(5, 1, 10), false},
			{2 * time.Second, 2, written(5, 2, 10), written(5, 1, 10), false},
			{3 * time.Second, 2, written(5, 2, 10), written(5, 1, 10), true},
		},
		"older version, then the one in force is written again": {
			{0, 1, written(5, 1, 10), nil, true},
			{time.Second, 2, written(4, 2, 7), written(5, 1, 10), false},
			{1100 * time.Millisecond, 2, written(5, 2, 9), written(5, 1, 10), true},
		},
		"newer version": {
			{0, 1, written(5, 1, 10), nil, true},
			{time.Second, 2, written(6, 2, 9), written(5, 1, 10), false},
		},
		"restored twice": {
			{0, 1, written(5, 1, 10), nil, true},
			{time.Second, 2, written(5, 2, 9), written(5, 1, 10), true},
			{4 * time.Second, 3, written(5, 3, 10), written(5, 1, 10), false},
			{6 * time.Second, 3, written(5, 3, 10), written(5, 1, 10), true},
		},
	} {
		guard := proofGuard{rewriteGrace: grace}
		for i, r := range reads {
			if got := guard.isProof(r.read, r.inForce, r.era, boottime.Time(time.Hour).Add(r.after)); got != r.want {
				t.Errorf("%s, read %d: counts as proof: %v, want %v", name, i, got, r.want)
			}
		}
	}
}
