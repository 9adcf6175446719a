package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"filbertusher/internal/standin/store"
)

// arrivalsSince returns the number of requests that have arrived since a time.
func (r *replica) arrivalsSince(since time.Time) (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.at.After(since) {
			count++
		}
	}
	return count
}

// A gateway that can't reach the store learns from responses that a replica leaves, and
// the store's older word does not count afterwards.
func TestReplicaThatLeavesIsKnownFromItsResponses(t *testing.T) {
	for _, c := range []struct{ path, service string }{{"/check/a", "desk"}, {"/plan/a", "model"}} {
		t.Run(c.service, func(t *testing.T) {
			cl := newCluster(t)
			cl.revokeMS = 60000
			events := 0
			if c.service == "model" {
				events = 3
			}
			one, two := newReplica(t, "r1", c.service, 8, events), newReplica(t, "r2", c.service, 8, events)
			cl.register(one, "ready")
			cl.register(two, "ready")
			g := cl.startGateway("g1")
			method := http.MethodGet
			if c.service == "model" {
				method = http.MethodPost
			}
			n := 0
			call := func() callResult {
				n++
				return g.call(t.Context(), method, c.path, fmt.Sprint("r", n))
			}
			cl.eventually("a replica serves", func() bool { return call().status == http.StatusOK })
			if two.totalExecutions() > 0 {
				one, two = two, one
			}
			cl.setStoreFaults(store.Faults{Down: true})
			cl.awaitLogged(g, "dependencyLost")
			one.update(func() { one.leaving = true })
			cl.eventually("the replica has said that it leaves", func() bool {
				call()
				return g.logs("endpointChanged", "leaving=true")
			})
			since := time.Now()
			for range 30 {
				if got := call(); got.status != http.StatusOK {
					t.Errorf("status %d although a replica is ready", got.status)
				}
			}
			// The registration says ready all the time.
			cl.setStoreFaults(store.Faults{})
			cl.awaitLogged(g, "dependencyRegained")
			cl.register(two, "ready")
			time.Sleep(time.Second)
			for range 30 {
				call()
			}
			if got := one.arrivalsSince(since); got != 0 {
				t.Errorf("the replica that leaves received %d requests", got)
			}
			one.update(func() { one.leaving = false })
			one.born++
			cl.register(one, "ready")
			cl.register(two, "draining")
			cl.eventually("the next incarnation serves", func() bool {
				call()
				return one.arrivalsSince(since) > 0
			})
		})
	}
}

// logs reports whether the gateway has logged an event with a field.
func (g *gateway) logs(event, field string) bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := g.Await(ctx, event, field)
	return err == nil
}
