package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"filbertusher/internal/standin/store"
)

// Guards against requests to a replica that has left while a lost watch looks like one without news.
func TestLeavingReplicaIsNoticedThoughWatchesAreLost(t *testing.T) {
	const drainTime, silence, calm = 2 * time.Second, 7 * time.Second, 3 * time.Second
	for name, test := range map[string]struct {
		gateways int
		lose     func(c *cluster)
	}{
		"store silent for a time": {3, func(c *cluster) {
			c.setStoreFaults(store.Faults{Silent: true})
			time.Sleep(silence)
			c.setStoreFaults(store.Faults{})
			time.Sleep(calm)
		}},
		"watches only": {1, func(c *cluster) {
			c.setStoreFaults(store.Faults{SilentWatches: true})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.revokeMS = 60000
			leaving, staying := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "d2", "desk", 4, 0)
			for _, r := range []*replica{leaving, staying} {
				r.update(func() { r.processingTime = 20 * time.Millisecond })
			}
			c.register(leaving, "ready")
			c.register(staying, "ready")
			var gateways []*gateway
			for i := range test.gateways {
				gateways = append(gateways, c.startGateway(fmt.Sprint("g", i)))
				c.awaitServed(gateways[i], "/check/a")
			}
			test.lose(c)
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for _, g := range gateways {
				callers.Go(func() {
					for _, got := range g.callMany(stop, 6, "/check/a") {
						if got.status != http.StatusOK {
							t.Errorf("status %d although a replica is ready", got.status)
						}
					}
				})
			}
			c.eventually("the replica is used", func() bool { return leaving.totalExecutions() > 0 })
			c.register(leaving, "draining")
			time.Sleep(drainTime)
			left := time.Now()
			time.Sleep(time.Second)
			close(stop)
			callers.Wait()
			if got := leaving.arrivalsSince(left); got != 0 {
				t.Errorf("a replica that had left %v before received %d requests", drainTime, got)
			}
		})
	}
}
