package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// slowRoutes are routes whose requests may wait and run for longer than the grace of a stop.
var slowRoutes = []map[string]any{
	{"name": "slow-order", "hostname": "site.example", "path_prefix": "/slow-order/", "route_type": "unsafe", "timeout_ms": 15000, "target_latency_ms": 14000, "priority": 2, "service": "desk", "max_attempts": 1},
	{"name": "slow-check", "hostname": "site.example", "path_prefix": "/slow-check/", "route_type": "safe", "timeout_ms": 15000, "target_latency_ms": 14000, "priority": 2, "service": "desk", "max_attempts": 2},
	{"name": "slow-plan", "hostname": "site.example", "path_prefix": "/slow-plan/", "route_type": "streaming", "timeout_ms": 15000, "target_latency_ms": 14000, "priority": 2, "service": "model", "max_attempts": 1},
}

// stopCase is a gateway whose one replica takes processingTime for each request, which it has
// learned from three earlier ones.
type stopCase struct {
	*cluster
	gateway *gateway
	replica *replica
	path    string
	// signalled is when the gateway got the signal to stop.
	signalled time.Time
}

func newStopCase(t *testing.T, service, path string, processingTime time.Duration) *stopCase {
	t.Helper()
	c := newCluster(t)
	c.routes = append(c.routes, slowRoutes...)
	c.configure()
	events := 0
	if service == "model" {
		events = 2
	}
	const slots = 3
	s := &stopCase{cluster: c, replica: newReplica(t, "r1", service, slots, events), path: path}
	c.register(s.replica, "ready")
	s.gateway = c.startGateway("g1")
	c.awaitServed(s.gateway, path)
	s.replica.update(func() { s.replica.processingTime = processingTime })
	var wait sync.WaitGroup
	for n := range slots {
		wait.Go(func() {
			if status, err := s.send(fmt.Sprint("earlier-", n)); err != nil || status != http.StatusOK {
				t.Errorf("earlier-%d: status %d, %v", n, status, err)
			}
		})
	}
	wait.Wait()
	return s
}

func (s *stopCase) stop() {
	s.signalled = time.Now()
	s.gateway.Signal(syscall.SIGTERM)
	s.awaitLogged(s.gateway, "stopping")
}

// sleepUntil waits until the given time after the signal.
func (s *stopCase) sleepUntil(after time.Duration) { time.Sleep(time.Until(s.signalled.Add(after))) }

// send sends a request on a connection of its own and returns the status of its response. err
// says that the response is incomplete.
func (s *stopCase) send(id string, header ...string) (status int, err error) {
	result := s.gateway.call(s.t.Context(), http.MethodPost, s.path, id, append(header, "X-Filbertusher-Deadline-Ms", "15000")...)
	return result.status, result.err
}

// checkRefused fails unless the request was answered 503 and has not run.
func (s *stopCase) checkRefused(id string, status int, err error) {
	s.t.Helper()
	if err != nil || status != http.StatusServiceUnavailable {
		s.t.Errorf("%s: status %d, error %v, want 503", id, status, err)
	}
	if runs := s.replica.executionsOf(id); runs != 0 {
		s.t.Errorf("%s was run", id)
	}
}

// A request that waits was granted a slot late in the grace, run and cut.
func TestStoppingGatewayRefusesWaitingRequestThatItCantFinish(t *testing.T) {
	for service, path := range map[string]string{"desk": "/slow-order/a", "model": "/slow-plan/a"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			s := newStopCase(t, service, path, 4*time.Second)
			var wait sync.WaitGroup
			s.stop()
			s.sleepUntil(time.Second)
			for n := range cap(s.replica.slots) {
				wait.Go(func() {
					if status, err := s.send(fmt.Sprint("running-", n)); err != nil || status != http.StatusOK {
						t.Errorf("running-%d: status %d, %v", n, status, err)
					}
				})
			}
			s.sleepUntil(1200 * time.Millisecond)
			status, err := s.send("waits")
			s.checkRefused("waits", status, err)
			wait.Wait()
		})
	}
}

// A request that takes longer than the rest of the grace was run and cut, although a slot was
// free for it at once.
func TestStoppingGatewayRefusesRequestThatTakesTooLong(t *testing.T) {
	for service, path := range map[string]string{"desk": "/slow-order/a", "model": "/slow-plan/a"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			s := newStopCase(t, service, path, 4*time.Second)
			s.stop()
			s.sleepUntil(2200 * time.Millisecond)
			status, err := s.send("long")
			s.checkRefused("long", status, err)
		})
	}
}

// A retry that can't end within the grace was begun after an attempt had failed.
func TestStoppingGatewayDoesNotRetryWhatItCantFinish(t *testing.T) {
	t.Parallel()
	s := newStopCase(t, "desk", "/slow-check/a", 3*time.Second)
	other := newReplica(t, "r2", "desk", 3, 0)
	s.stop()
	s.replica.update(func() { s.replica.pendingFailures = 1 })
	done := make(chan int, 1)
	go func() {
		status, err := s.send("retried")
		if err != nil {
			t.Error(err)
		}
		done <- status
	}()
	s.eventually("the first attempt runs", func() bool { return s.replica.executionsOf("retried") == 1 })
	other.update(func() { other.processingTime = 3 * time.Second })
	s.register(other, "ready")
	if status := <-done; status != http.StatusInternalServerError {
		t.Errorf("status %d, want the one of the replica's failure", status)
	}
	if runs := other.executionsOf("retried"); runs != 0 {
		t.Error("the retry was begun")
	}
}

// busyCaller returns a caller whose connection is busy with a stream until the given time after
// the signal, which it sends to the gateway, and which has returned when the stream has ended.
func busyCaller(c *cluster, g *gateway, model *replica, until time.Duration) *rawCaller {
	c.t.Helper()
	model.update(func() { model.eventInterval = until / time.Duration(model.eventsPerStream) })
	caller := dialRaw(c.t, g)
	if err := caller.post("/question/a", "busy", 0); err != nil {
		c.t.Fatal(err)
	}
	c.eventually("the stream runs", func() bool { return model.executionsOf("busy") == 1 })
	g.Signal(syscall.SIGTERM)
	if _, err := caller.receive(); err != nil {
		c.t.Fatal(err)
	}
	return caller
}

// Requests that come late are run as long as their deadlines lie within the grace.
func TestStoppingGatewayRunsLateRequestWithNearDeadline(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	desk, model := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "m1", "model", 4, 12)
	c.register(desk, "ready")
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/order/a")
	c.awaitServed(g, "/question/a")
	caller := busyCaller(c, g, model, lastTaken+500*time.Millisecond)
	if err := caller.postUntil("/order/a", "late", 1500); err != nil {
		t.Fatal(err)
	}
	if response, err := caller.receive(); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("%v, %v, want status 200", response, err)
	}
}

// Requests that come late and whose route's timeout ends within the grace were refused, since only
// the time that their callers wait was compared.
func TestStoppingGatewayRunsLateRequestOfRouteWithShortTimeout(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.routes = append(c.routes, map[string]any{"name": "quick-order", "hostname": "site.example", "path_prefix": "/quick-order/", "route_type": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "service": "desk", "max_attempts": 1})
	c.configure()
	desk, model := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "m1", "model", 4, 12)
	c.register(desk, "ready")
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/quick-order/a")
	c.awaitServed(g, "/question/a")
	caller := busyCaller(c, g, model, lastTaken+500*time.Millisecond)
	if err := caller.post("/quick-order/a", "late", 0); err != nil {
		t.Fatal(err)
	}
	if response, err := caller.receive(); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("%v, %v, want status 200", response, err)
	}
}
