package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Callers leave their streams while these pause and the gateway looks for another place, or
// stop to read and leave while the gateway writes, just before the replica crashes. No slot
// may stay taken by a request that ended.
func TestLeavingCallersLeakNoSlots(t *testing.T) {
	const callers, leaveWithin = 20, 4 * time.Second
	c := newCluster(t)
	first, other := newReplica(t, "m1", "model", 4*callers, 60), newReplica(t, "m2", "model", 4*callers, 60)
	c.register(first, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/plan/a")
	for _, r := range []*replica{first, other} {
		r.update(func() { r.stall, r.padding = 2500*time.Millisecond, 60<<10 })
	}
	var wait sync.WaitGroup
	for n := range callers {
		pauses := c.beginRequest(g, "/plan/a", fmt.Sprint("pauses", n), 9*time.Second, 1<<20)
		unread := c.beginRequest(g, "/plan/a", fmt.Sprint("unread", n), 9*time.Second, 4<<10)
		wait.Go(func() {
			time.Sleep(time.Duration(n) * leaveWithin / callers)
			_ = pauses.Close()
		})
		wait.Go(func() {
			time.Sleep(leaveWithin)
			_ = unread.Close()
		})
	}
	c.register(other, "ready")
	wait.Wait()
	first.server.CloseClientConnections()
	first.server.Close()
	// The gateway looks at streams that pause for as long.
	time.Sleep(leaveWithin)
	c.eventually("no slot is taken", func() bool { return g.takenSlots(t) == 0 })
	if got := g.call(t.Context(), http.MethodGet, "/plan/a", "after", "X-Filbertusher-Deadline-Ms", "9000"); got.status != http.StatusOK || got.err != nil {
		t.Errorf("a later stream: %d and %v", got.status, got.err)
	}
}

// takenSlots returns how many requests the gateway counts as running at all endpoints.
func (g *gateway) takenSlots(t *testing.T) int {
	t.Helper()
	dump, err := g.dump()
	if err != nil {
		t.Fatal(err)
	}
	taken := 0
	for _, service := range dump.Dispatch {
		for _, e := range service.Endpoints {
			taken += e.Own.Running
		}
	}
	return taken
}
