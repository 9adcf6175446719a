package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"filbertusher/internal/standin/fault"
)

// Callers whose idle connections a stopping gateway closed sent requests that crossed the close.
// The callers are far away, so that each close is crossed by what they send for a while.
func TestStoppingGatewayAnswersRequestsOnIdleConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	desk := newReplica(t, "d1", "desk", 64, 0)
	c.register(desk, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	proxies := fault.New()
	t.Cleanup(proxies.Close)
	address, err := proxies.StartProxy("callers", g.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	for _, direction := range []fault.Direction{fault.Upstream, fault.Downstream} {
		if err := proxies.AddToxic("callers", fault.Toxic{Type: "latency", Stream: direction, Attributes: map[string]int{"latency": 150}}); err != nil {
			t.Fatal(err)
		}
	}
	far := *g
	far.callerAddress = address
	const callers, apart = 30, 100 * time.Millisecond
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	signalled := make(chan time.Time)
	for n := range callers {
		caller := dialRaw(t, &far)
		if err := caller.post("/order/a", fmt.Sprint("first-", n), 0); err != nil {
			t.Fatal(err)
		}
		if _, err := caller.receive(); err != nil {
			t.Fatal(err)
		}
		wait.Go(func() {
			at := <-signalled
			time.Sleep(time.Until(at.Add(time.Second + time.Duration(n)*apart)))
			id := fmt.Sprint("second-", n)
			if err := caller.postUntil("/order/a", id, 1000); err != nil {
				t.Errorf("%s, sent %v after the signal: %v", id, time.Since(at), err)
				return
			}
			sent := time.Since(at)
			response, err := caller.receive()
			if err != nil {
				t.Errorf("%s, sent %v after the signal, got no answer: %v", id, sent, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[response.StatusCode]++
		})
	}
	at := time.Now()
	g.Signal(syscall.SIGTERM)
	for range callers {
		signalled <- at
	}
	wait.Wait()
	t.Logf("answers by status: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		t.Error("no request was served")
	}
}
