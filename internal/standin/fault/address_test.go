package fault_test

import (
	"net"
	"sync"
	"testing"

	"filbertusher/internal/standin/fault"
)

// The race detector fails this test if an address is read from a proxy that starts.
func TestAddressWhileProxyRestarts(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	proxies := fault.New()
	defer proxies.Close()
	address, err := proxies.StartProxy("link", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	var reader sync.WaitGroup
	done := make(chan struct{})
	reader.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
			}
			if got, err := proxies.Address("link"); err != nil || got != address {
				t.Errorf("address %q and error %v, want %q", got, err, address)
				return
			}
		}
	})
	for range 20 {
		if err := proxies.CloseConnections("link"); err != nil {
			t.Error(err)
		}
	}
	close(done)
	reader.Wait()
}
