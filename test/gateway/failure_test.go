package gateway_test

import (
	"net/http"
	"testing"
)

// A request that had run and failed was answered 503, which promises that it has not run, when
// no endpoint was left for its retry.
func TestFailureIsDeliveredWhenNoRetryIsPossible(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	desk := newReplica(t, "d1", "desk", 4, 0)
	c.register(desk, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	desk.update(func() { desk.pendingFailures = 1 })
	got := g.call(t.Context(), http.MethodGet, "/check/a", "failed")
	if got.err != nil || got.status != http.StatusInternalServerError || desk.executionsOf("failed") != 1 {
		t.Errorf("status %d, error %v, %d executions; want the replica's 500 and one execution", got.status, got.err, desk.executionsOf("failed"))
	}
}
