package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"filbertusher/internal/standin/fault"
)

// Callers whose idle connections a stopping gateway closed sent requests that crossed the close.
// They are far away, so that each close is crossed by what they send for a while. Their
// connections became idle late in the stop, and they use them for as long as they were told.
func TestStoppingGatewayAnswersRequestsOnIdleConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	desk, model := newReplica(t, "d1", "desk", 64, 0), newReplica(t, "m1", "model", 64, 10)
	c.register(desk, "ready")
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/order/a")
	c.awaitServed(g, "/question/a")
	proxies := fault.New()
	t.Cleanup(proxies.Close)
	address, err := proxies.StartProxy("callers", g.callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	for _, direction := range []fault.Direction{fault.Upstream, fault.Downstream} {
		if err := proxies.AddToxic("callers", fault.Toxic{Type: "latency", Stream: direction, Attributes: map[string]int{"latency": 100}}); err != nil {
			t.Fatal(err)
		}
	}
	far := *g
	far.callerAddress = address
	// The streams end about 2 s after the signal.
	model.update(func() { model.eventInterval = 250 * time.Millisecond })
	const callers, apart = 17, 100 * time.Millisecond
	var wait sync.WaitGroup
	var served atomic.Int64
	for n := range callers {
		caller := dialRaw(t, &far)
		wait.Go(func() {
			first := caller.post("/question/a", fmt.Sprint("first-", n), 0)
			response, err := caller.receive()
			if first != nil || err != nil {
				t.Errorf("first-%d: %v, %v", n, first, err)
				return
			}
			told, err := time.ParseDuration(strings.TrimPrefix(response.Header.Get("Keep-Alive"), "timeout=") + "s")
			idle := 200*time.Millisecond + time.Duration(n)*apart
			if err != nil || told < idle {
				t.Errorf("told to use idle connections for %v, %v", told, err)
				return
			}
			time.Sleep(idle)
			id := fmt.Sprint("second-", n)
			sent := time.Now()
			if err := caller.postUntil("/order/a", id, 1000); err != nil {
				t.Errorf("%s, sent after %v: %v", id, idle, err)
				return
			}
			if response, err = caller.receive(); err != nil {
				t.Errorf("%s, sent after %v, got no answer for %v: %v", id, idle, time.Since(sent), err)
				return
			}
			if response.StatusCode == http.StatusOK {
				served.Add(1)
			}
		})
	}
	c.eventually("all streams run", func() bool { return model.totalExecutions() >= callers+1 })
	time.Sleep(400 * time.Millisecond)
	g.Signal(syscall.SIGTERM)
	wait.Wait()
	if served.Load() != callers {
		t.Errorf("%d of %d requests were served", served.Load(), callers)
	}
}
