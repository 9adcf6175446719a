package gateway_test

import (
	"net"
	"net/http"
	"testing"
)

// A crashed replica is known by its port, on which nothing listens any more. On an address that
// others use too, one of them could take the port.
func TestReplicasHaveAddressesOfTheirOwn(t *testing.T) {
	scripted := newScriptedReplica(t, "m1", func(net.Conn, *http.Request) {})
	seen := map[string]bool{"127.0.0.1": true, newCluster(t).ip: true}
	for _, address := range []string{newReplica(t, "d1", "desk", 1, 0).address(), newReplica(t, "d2", "desk", 1, 0).address(), scripted.address} {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if seen[host] {
			t.Errorf("%s is used by others too", host)
		}
		seen[host] = true
	}
}
