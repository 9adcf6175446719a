package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Gateways kept as many connections to a replica as they had needed once, also where that
// accepts fewer from all of them together. It resets those beyond, and requests on them were
// lost.
func TestGatewaysShareConnectionsOfReplica(t *testing.T) {
	const slots, maxConnections = 12, 15
	c := newCluster(t)
	c.maxConnections = maxConnections
	c.configure()
	streams := newScriptedReplica(t, "streams", func(conn net.Conn, request *http.Request) {
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(conn, responseHead(request)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: all\n\n\r\n0\r\n\r\n")
	})
	c.registerScripted(streams, "model", slots, "ready")
	gateways := []*gateway{c.startGateway("g1"), c.startGateway("g2"), c.startGateway("g3")}
	for _, g := range gateways {
		c.eventually("the gateways know each other", func() bool { return g.reaches(len(gateways) - 1) })
		c.awaitServed(g, "/plan/a")
	}
	// The load moves from gateway to gateway, and their shares of the slots with it.
	for at, g := range gateways {
		var wait sync.WaitGroup
		for n := range slots {
			wait.Go(func() {
				for round := range 10 {
					// A gateway may have no share of the slots when its requests arrive.
					got := g.call(t.Context(), http.MethodGet, "/plan/a", fmt.Sprint("burst", at, n, round))
					if got.err != nil || got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
						t.Errorf("a stream: %d and %v", got.status, got.err)
					}
				}
			})
		}
		wait.Wait()
	}
	t.Logf("the replica had up to %d connections", streams.mostConnections())
	if most := streams.mostConnections(); most > maxConnections {
		t.Errorf("the replica had %d connections, it accepts %d", most, maxConnections)
	}
}

// mostConnections returns the highest number of connections that were open at once.
func (r *scriptedReplica) mostConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.most
}
