package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"filbertusher/internal/standin/store"
)

// restoreStore takes the store away, brings it back in the state of the last backup,
// and waits until the gateway has noticed both.
func (c *cluster) restoreStore(g *gateway) {
	c.t.Helper()
	c.setStoreFaults(store.Faults{Down: true})
	c.awaitLogged(g, "dependencyLost")
	c.memory.Restore()
	c.setStoreFaults(store.Faults{})
	c.awaitLogged(g, "storeWentBack")
}

// awaitLogged waits until the gateway has logged an event with the fields.
func (c *cluster) awaitLogged(g *gateway, event string, fields ...string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if _, err := g.Await(ctx, event, fields...); err != nil {
		c.t.Fatal(err)
	}
}

// awaitConfigured waits until the newest version of the configuration is in force.
func (c *cluster) awaitConfigured(g *gateway) {
	c.t.Helper()
	c.awaitLogged(g, "configurationInForce", fmt.Sprintf("to=%d", c.configVersion))
}

func TestDrainingIsNoticedAfterStoreRestored(t *testing.T) {
	c := newCluster(t)
	one, two := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "d2", "desk", 4, 0)
	c.register(one, "ready")
	c.register(two, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	c.memory.Backup()
	for range 20 {
		c.configure()
	}
	c.awaitConfigured(g)
	// A change of the endpoints makes the gateway know a revision after the backup.
	c.register(two, "ready")
	_, revision := c.memory.List("")
	c.eventually("the gateway knows the newest revision", func() bool {
		dump, err := g.dump()
		return err == nil && dump.Roster.Revision >= uint64(revision)
	})
	c.restoreStore(g)
	c.writeConfiguration()
	c.register(one, "draining")
	time.Sleep(1500 * time.Millisecond)
	before := one.totalExecutions()
	for i := range 20 {
		if got := g.call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("l", i)); got.status != http.StatusOK {
			t.Errorf("status %d although a replica is ready", got.status)
		}
	}
	if got := one.totalExecutions() - before; got != 0 {
		t.Errorf("a replica that left after the store was restored received %d requests", got)
	}
}

func TestAddedRouteIsServedAfterStoreRestored(t *testing.T) {
	c := newCluster(t)
	desk := newReplica(t, "d1", "desk", 4, 0)
	c.register(desk, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	c.memory.Backup()
	c.register(desk, "ready")
	c.configure()
	c.awaitConfigured(g)
	c.restoreStore(g)
	c.writeConfiguration()
	// The next version gets the revision that the last one had before the restoration.
	c.routes = append(c.routes, map[string]any{
		"name": "added", "hostname": "site.example", "path_prefix": "/added/", "route_type": "safe", "timeout_ms": 4000,
		"target_latency_ms": 500, "priority": 2, "service": "desk", "max_attempts": 2,
	})
	c.configure()
	c.awaitServed(g, "/added/a")
}
