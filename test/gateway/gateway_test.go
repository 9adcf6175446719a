// Package gateway_test runs gateways as processes with a fake platform store and
// fake replicas, and checks what callers and replicas receive.
package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
)

// awaitServed sends requests until a gateway knows the replicas that serve path.
func (c *cluster) awaitServed(g *gateway, path string) {
	c.t.Helper()
	n := 0
	var last callResult
	defer func() {
		if last.status != http.StatusOK {
			c.t.Logf("after %d requests, the last response is %d %s %v, the log of the gateway:\n%s", n, last.status, last.body, last.err, g.Log())
		}
	}()
	c.eventually(path+" is served", func() bool {
		n++
		last = g.call(context.Background(), http.MethodGet, path, fmt.Sprint("warm", path, n))
		return last.status == http.StatusOK
	})
}

func TestRequestsWithoutFaults(t *testing.T) {
	c := newCluster(t)
	desk, model := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "m1", "model", 4, 5)
	c.register(desk, "ready")
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	c.awaitServed(g, "/plan/a")

	got := g.call(t.Context(), http.MethodPost, "/order/x%2Fy?q=1", "o1", "X-Filbertusher-Tenant-Id", "forged", "X-Filbertusher-Pin-Ms", "100")
	if diff := cmp.Diff("answer to o1 /order/x%2Fy?q=1", got.body); diff != "" || got.header.Get("X-Filbertusher-Response-Seal") != "seal-o1" {
		t.Errorf("%v %v", diff, got)
	}
	seen := desk.requestHeaders[len(desk.requestHeaders)-1]
	for name, want := range map[string]string{
		"X-Filbertusher-Tenant-Id": "school", "X-Filbertusher-Credential": "", "X-Filbertusher-Pin-Ms": "",
		"X-Filbertusher-Expect-Instance": "d1", "X-Filbertusher-Attempt-Id": "o1",
	} {
		if diff := cmp.Diff(want, seen.Get(name)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	got = g.call(t.Context(), http.MethodPost, "/plan/b", "p1")
	if diff := cmp.Diff(model.completeStream("p1"), got.body); diff != "" || got.err != nil {
		t.Error(diff, got.err)
	}
	for path, want := range map[string]int{"/none/": http.StatusNotFound, "/order": http.StatusNotFound} {
		if got := g.call(t.Context(), http.MethodGet, path, "n"); got.status != want {
			t.Errorf("%s: %d, want %d", path, got.status, want)
		}
	}
	if got := g.call(t.Context(), http.MethodPost, "/order/a", "o2", "X-Filbertusher-Credential", "wrong"); got.status != http.StatusUnauthorized || desk.executionsOf("o2") != 0 {
		t.Errorf("a request with an unknown credential: %v", got)
	}
}

// A non-idempotent request is not retried when its response is lost, and the
// caller gets no claim about whether it ran. An idempotent request is retried.
func TestLostResponses(t *testing.T) {
	c := newCluster(t)
	one, two := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "d2", "desk", 4, 0)
	c.register(one, "ready")
	c.register(two, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	one.update(func() { one.pendingResets = 1 })
	two.update(func() { two.pendingResets = 1 })
	if got := g.call(t.Context(), http.MethodPost, "/order/a", "o1"); got.status != http.StatusBadGateway || one.executionsOf("o1")+two.executionsOf("o1") != 1 {
		t.Errorf("a non-idempotent request: status %d after %d executions", got.status, one.executionsOf("o1")+two.executionsOf("o1"))
	}
	if got := g.call(t.Context(), http.MethodGet, "/check/a", "c1"); got.status != http.StatusOK {
		t.Errorf("an idempotent request after a lost response: %v", got)
	}
	one.update(func() { one.pendingFailures = 1 })
	two.update(func() { two.pendingFailures = 1 })
	if got := g.call(t.Context(), http.MethodPost, "/order/a", "o2"); got.status != http.StatusInternalServerError || got.header.Get("X-Filbertusher-Response-Seal") != "seal-o2" {
		t.Errorf("the replica's status 500 was not relayed: %v", got)
	}
	if got := g.call(t.Context(), http.MethodGet, "/check/a", "c2"); got.status != http.StatusOK {
		t.Errorf("an idempotent request was not retried at the other replica: %v", got)
	}
}

// A resumable stream whose connection breaks continues at another replica, with
// each event once. A stream that is not resumable ends with a broken connection,
// so that the caller can't mistake the part for the complete response.
func TestInterruptedStreams(t *testing.T) {
	c := newCluster(t)
	one, two := newReplica(t, "m1", "model", 4, 8), newReplica(t, "m2", "model", 4, 8)
	c.register(one, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/plan/a")
	c.register(two, "ready")
	one.update(func() { one.abortAfter = 3 })
	two.update(func() { two.abortAfter = 3 })
	if got := g.call(t.Context(), http.MethodPost, "/question/a", "q1"); got.err == nil || one.executionsOf("q1")+two.executionsOf("q1") != 1 {
		t.Errorf("an interrupted stream looks complete: %v", got)
	}
	two.update(func() { two.abortAfter = -1 })
	c.eventually("the second replica is known", func() bool {
		g.call(context.Background(), http.MethodPost, "/plan/a", fmt.Sprint("w", time.Now()))
		return two.totalExecutions() > 0
	})
	for i := range 6 {
		id := fmt.Sprint("p", i)
		got := g.call(t.Context(), http.MethodPost, "/plan/a", id)
		if diff := cmp.Diff(one.completeStream(id), got.body); diff != "" || got.err != nil {
			t.Fatal(diff, got.err)
		}
	}
}

// A request that crashes every replica which executes it is refused before it has
// crashed all of them, also when the caller repeats it through another gateway.
// Other requests are still served.
func TestRequestThatCrashesReplicas(t *testing.T) {
	c := newCluster(t)
	desks := startCrashingDesks(c, 5)
	gateways := []*gateway{c.startGateway("g1"), c.startGateway("g2")}
	for _, g := range gateways {
		c.awaitServed(g, "/check/a")
	}
	refused := 0
	for i := range 30 {
		got := gateways[i%2].call(t.Context(), http.MethodGet, "/check/poison", fmt.Sprint("poison", i))
		if got.status == http.StatusOK {
			t.Fatal("a replica responded to a request that crashes it")
		}
		if strings.Contains(got.body, "crashedEndpoints") {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	crashed := 0
	for i := range 30 {
		crashed += desks.executionsOf(fmt.Sprint("poison", i))
	}
	if crashed > 3 || refused < 20 {
		t.Errorf("%d replicas crashed, want at most 3; %d of 30 requests were refused as suspects, want at least 20", crashed, refused)
	}
	for i, g := range gateways {
		if got := g.call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("other", i)); got.status != http.StatusOK {
			t.Errorf("a request that crashes no replica: %v", got)
		}
	}
}

// A stream moves away from a replica that stops sending events, but only if there
// is another replica. Silence alone doesn't end a stream.
func TestSilentReplica(t *testing.T) {
	c := newCluster(t)
	one, two := newReplica(t, "m1", "model", 4, 8), newReplica(t, "m2", "model", 4, 8)
	c.register(one, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/plan/a")
	one.update(func() { one.stall = 2500 * time.Millisecond })
	if got := g.call(t.Context(), http.MethodPost, "/plan/a", "alone"); got.body != one.completeStream("alone") || got.err != nil {
		t.Errorf("a stream was interrupted because its only replica was silent: %v", got)
	}
	c.register(two, "ready")
	c.eventually("the second replica is known", func() bool {
		g.call(context.Background(), http.MethodPost, "/plan/a", fmt.Sprint("w", time.Now()))
		return two.totalExecutions() > 0
	})
	one.update(func() { one.stall = time.Minute })
	for i := range 8 {
		id := fmt.Sprint("p", i)
		if got := g.call(t.Context(), http.MethodPost, "/plan/a", id, "X-Filbertusher-Deadline-Ms", "10000"); got.body != one.completeStream(id) || got.err != nil {
			t.Fatalf("a stream did not move to the other replica: %v", got)
		}
	}
}

// A caller that stops reading for a while gets its stream from one replica: a slow
// caller does not make the replica silent. When it closes its connection while the
// gateway writes to it, no slot of another replica stays taken.
func TestCallerThatStopsReading(t *testing.T) {
	c := newCluster(t)
	one, two := newReplica(t, "m1", "model", 1, 400), newReplica(t, "m2", "model", 1, 400)
	one.padding, two.padding = 60<<10, 60<<10
	c.register(one, "ready")
	c.register(two, "ready")
	g := c.startGateway("g1")
	// Each replica runs one request at a time.
	bothServe := func() bool {
		var wait sync.WaitGroup
		served := make([]bool, 2)
		for i := range served {
			wait.Go(func() {
				got := g.call(context.Background(), http.MethodPost, "/plan/a", fmt.Sprint("two", i, time.Now()), "X-Filbertusher-Deadline-Ms", "15000")
				served[i] = got.status == http.StatusOK && got.err == nil
			})
		}
		wait.Wait()
		return served[0] && served[1]
	}
	c.eventually("both replicas serve", bothServe)
	for _, closes := range []bool{false, true} {
		id := fmt.Sprint("slow-", closes)
		conn, err := net.Dial("tcp", g.callerAddress)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /plan/a HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\nContent-Length: 2\r\nX-Filbertusher-Attempt-Id: %s\r\nX-Filbertusher-Deadline-Ms: 14000\r\nX-Filbertusher-Credential: key\r\n\r\n{}", id)
		// Longer than the time after which a silent replica is left.
		time.Sleep(4 * time.Second)
		if runs := one.executionsOf(id) + two.executionsOf(id); runs != 1 {
			t.Errorf("the stream of a slow caller was executed %d times, want once", runs)
		}
		if !closes {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if string(body) != one.completeStream(id) || err != nil {
				t.Errorf("got %d bytes and %v, want the complete stream", len(body), err)
			}
		}
		_ = conn.Close()
	}
	c.eventually("both slots are free", bothServe)
}

// The revocation of a credential while its stream is open and stalled doesn't
// interrupt the stream.
func TestRevocationDoesNotInterruptStream(t *testing.T) {
	c := newCluster(t)
	one, two := newReplica(t, "m1", "model", 4, 8), newReplica(t, "m2", "model", 4, 8)
	c.register(one, "ready")
	c.register(two, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/plan/a")
	c.eventually("both replicas are known", func() bool {
		var group sync.WaitGroup
		for i := range 6 {
			group.Go(func() { g.call(context.Background(), http.MethodPost, "/plan/a", fmt.Sprint("w", i, time.Now())) })
		}
		group.Wait()
		return one.totalExecutions() > 0 && two.totalExecutions() > 0
	})
	for _, r := range []*replica{one, two} {
		r.update(func() { r.stall = 2500 * time.Millisecond })
	}
	held := make(chan callResult, 1)
	go func() { held <- g.call(context.Background(), http.MethodPost, "/plan/a", "held") }()
	c.eventually("the stream runs", func() bool { return one.executionsOf("held")+two.executionsOf("held") == 1 })
	c.credentials = []string{"other"}
	c.configure()
	if got := <-held; got.body != one.completeStream("held") || got.err != nil {
		t.Errorf("the stream was interrupted: %v", got)
	}
}

// Requests beyond the capacity of the engines are refused immediately with a
// Retry-After header, and none of the refused requests ran.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	c := newCluster(t)
	model := newReplica(t, "m1", "model", 4, 3)
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/plan/a")
	model.update(func() { model.processingTime = 1500 * time.Millisecond })
	var group sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i := range 24 {
		group.Go(func() {
			id := fmt.Sprint("q", i)
			got := g.call(context.Background(), http.MethodPost, "/question/a", id)
			if got.status != http.StatusServiceUnavailable {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			refused++
			if model.executionsOf(id) != 0 || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"outcome":"not run"`) {
				t.Errorf("a refused request ran %d times, or its response does not say so: %v", model.executionsOf(id), got)
			}
		})
	}
	group.Wait()
	if refused < 10 {
		t.Errorf("only %d of 24 requests were refused with an engine of 4 slots", refused)
	}
}

func TestQuota(t *testing.T) {
	c := newCluster(t)
	c.quota = 2000
	c.configure()
	desk := newReplica(t, "d1", "desk", 4, 0)
	c.register(desk, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	refused := 0
	for i := range 40 {
		if got := g.call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("c", i)); got.status == http.StatusTooManyRequests {
			refused++
			if desk.executionsOf(fmt.Sprint("c", i)) != 0 {
				t.Error("a request over the quota ran")
			}
		}
	}
	if refused == 0 {
		t.Error("8000 tokens at once were admitted under a quota of 2000 tokens per second")
	}
}

func TestConfigurationUpdate(t *testing.T) {
	c := newCluster(t)
	old, next := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "d2", "desk2", 4, 0)
	c.register(old, "ready")
	c.register(next, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	c.routes[1]["service"] = "desk2"
	c.credentials = []string{"other"}
	c.configure()
	c.eventually("the credential is refused", func() bool {
		return g.call(context.Background(), http.MethodGet, "/check/a", "c").status == http.StatusUnauthorized
	})
	before := old.totalExecutions()
	if got := g.call(t.Context(), http.MethodGet, "/check/a", "moved", "X-Filbertusher-Credential", "other"); got.status != http.StatusOK || next.executionsOf("moved") != 1 || old.totalExecutions() != before {
		t.Errorf("the request did not follow the changed route: %v", got)
	}
}

// A request that is queued while its route changes to another service is sent to
// the new service.
func TestQueuedRequestFollowsRouteChange(t *testing.T) {
	c := newCluster(t)
	old, next := newReplica(t, "m1", "model", 4, 3), newReplica(t, "x1", "desk2", 4, 3)
	c.register(old, "ready")
	c.register(next, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/question/a")
	old.update(func() { old.processingTime = 450 * time.Millisecond })
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() { g.call(context.Background(), http.MethodPost, "/question/a", fmt.Sprint("first", i)) })
	}
	c.eventually("the engine is full", func() bool { return len(old.slots) == 4 })
	queued := make(chan callResult, 1)
	go func() { queued <- g.call(context.Background(), http.MethodPost, "/question/a", "waits") }()
	time.Sleep(50 * time.Millisecond)
	c.routes[3]["service"] = "desk2"
	c.configure()
	got := <-queued
	group.Wait()
	if old.executionsOf("waits") != 0 || (got.status == http.StatusOK && next.executionsOf("waits") != 1) {
		t.Errorf("status %d after %d executions at the old service and %d at the new one", got.status, old.executionsOf("waits"), next.executionsOf("waits"))
	}
	if got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
		t.Errorf("the queued request: %v", got)
	}
}

// A caller's keep-alive connection still serves requests long after the deadline
// of a stream that it carried.
func TestKeepAliveOutlivesStreamDeadline(t *testing.T) {
	c := newCluster(t)
	desk, model := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "m1", "model", 4, 3)
	c.register(desk, "ready")
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	c.awaitServed(g, "/plan/a")
	g.transport = &http.Transport{MaxIdleConns: 1}
	t.Cleanup(g.transport.CloseIdleConnections)
	if got := g.call(t.Context(), http.MethodPost, "/plan/a", "p1", "X-Filbertusher-Deadline-Ms", "300"); got.status != http.StatusOK || got.err != nil {
		t.Fatal(got)
	}
	time.Sleep(1500 * time.Millisecond)
	for i := range 2 {
		if got := g.call(t.Context(), http.MethodPost, "/order/a", fmt.Sprint("o", i)); got.status != http.StatusOK || got.err != nil {
			t.Errorf("a request on the same connection: %v", got)
		}
	}
}

// While the store is unavailable, credentials are accepted only as long as the
// configuration is known to be recent. After that, requests are refused with status
// 503 and not as errors of the caller. They are served again once the store is
// available.
func TestCredentialsNeedRecentConfiguration(t *testing.T) {
	c := newCluster(t)
	c.revokeMS = 3000
	desk := newReplica(t, "d1", "desk", 4, 0)
	c.register(desk, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	c.setStoreFaults(store.Faults{Down: true})
	began := time.Now()
	n := 0
	c.eventually("the credential is no longer accepted", func() bool {
		n++
		return g.call(context.Background(), http.MethodGet, "/check/a", fmt.Sprint("c", n)).status == http.StatusServiceUnavailable
	})
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the credential was accepted for %v without the store", took)
	}
	if got := g.call(t.Context(), http.MethodGet, "/none/", "n"); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d for a route that may have been added since, want 503", got.status)
	}
	c.setStoreFaults(store.Faults{})
	c.awaitServed(g, "/check/a")
}

func TestDrainingReplicaGetsNoNewRequests(t *testing.T) {
	c := newCluster(t)
	one, two := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "d2", "desk", 4, 0)
	c.register(one, "ready")
	c.register(two, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	c.register(one, "draining")
	time.Sleep(1200 * time.Millisecond)
	before := one.totalExecutions()
	for i := range 20 {
		g.call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("l", i))
	}
	c.deregister(two)
	c.eventually("no replica is available", func() bool {
		return g.call(context.Background(), http.MethodGet, "/check/a", "x").status == http.StatusServiceUnavailable
	})
	if got := one.totalExecutions() - before; got != 0 {
		t.Errorf("a draining replica received %d requests", got)
	}
}

// When a caller disconnects, its request is cancelled at the replica.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	c := newCluster(t)
	model := newReplica(t, "m1", "model", 4, 1000)
	c.register(model, "ready")
	g := c.startGateway("g1")
	c.eventually("the stream starts", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		g.call(ctx, http.MethodPost, "/plan/a", fmt.Sprint("p", time.Now()))
		return model.totalExecutions() > 0
	})
	cancelled := 0
	c.eventually("the replica has cancelled the request", func() bool {
		model.update(func() { cancelled = model.cancelled })
		return cancelled > 0
	})
}

// After SIGTERM the readiness probe fails, requests in flight and new ones are
// still served, and the process exits by itself within the grace period.
func TestGracefulShutdown(t *testing.T) {
	c := newCluster(t)
	desk := newReplica(t, "d1", "desk", 4, 0)
	c.register(desk, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	desk.update(func() { desk.processingTime = 2 * time.Second })
	slow := make(chan callResult, 1)
	go func() { slow <- g.call(context.Background(), http.MethodPost, "/order/a", "slow") }()
	c.eventually("the slow request runs", func() bool { return desk.executionsOf("slow") == 1 })
	g.Signal(syscall.SIGTERM)
	c.eventually("the readiness probe fails", func() bool { return g.readyStatus() == http.StatusServiceUnavailable })
	desk.update(func() { desk.processingTime = time.Millisecond })
	if got := g.call(t.Context(), http.MethodGet, "/check/a", "new"); got.status != http.StatusOK || !got.closesConnection {
		t.Errorf("a request during shutdown: %v", got)
	}
	if got := <-slow; got.status != http.StatusOK {
		t.Errorf("a request in flight was interrupted: %v", got)
	}
	select {
	case <-g.Exited():
		if err := g.Err(); err != nil {
			t.Errorf("the process exited with %v", err)
		}
	case <-time.After(7 * time.Second):
		t.Error("the process still runs after its grace period")
	}
}

// A reload of an invalid settings file keeps the previous settings, and a process
// that was killed serves again after a restart.
func TestInvalidReloadAndRestart(t *testing.T) {
	c := newCluster(t)
	desk := newReplica(t, "d1", "desk", 4, 0)
	c.register(desk, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	good, err := os.ReadFile(g.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(g.settingsPath, []byte("node_name = 3"), 0o600); err != nil {
		t.Fatal(err)
	}
	g.Signal(syscall.SIGHUP)
	if _, err := g.Await(t.Context(), "settingsKept"); err != nil {
		t.Fatal(err)
	}
	c.awaitServed(g, "/check/b")
	if err := os.WriteFile(g.settingsPath, good, 0o600); err != nil {
		t.Fatal(err)
	}
	g.Kill()
	c.start(g)
	c.awaitServed(g, "/check/a")
}

// A SIGHUP that arrives during startup doesn't end the process.
func TestSIGHUPDuringStartup(t *testing.T) {
	c := newCluster(t)
	desk := newReplica(t, "d1", "desk", 4, 0)
	c.register(desk, "ready")
	g := c.newGateway("g1")
	text, err := os.ReadFile(g.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	// The settings file is a named pipe, so startup blocks until it is written.
	if err := errors.Join(os.Remove(g.settingsPath), syscall.Mkfifo(g.settingsPath, 0o600)); err != nil {
		t.Fatal(err)
	}
	if err := c.launch(g); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(g.settingsPath, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	g.Signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	if err := errors.Join(os.Remove(g.settingsPath), os.WriteFile(g.settingsPath, text, 0o600)); err != nil {
		t.Fatal(err)
	}
	_, _ = file.Write(text)
	_ = file.Close()
	c.awaitServed(g, "/check/a")
}

// Two gateways exchange the usage of workspaces and enforce one quota together.
func TestGatewaysShareQuota(t *testing.T) {
	c := newCluster(t)
	c.quota = 20000
	c.configure()
	desk := newReplica(t, "d1", "desk", 8, 0)
	c.register(desk, "ready")
	one, two := c.startGateway("g1"), c.startGateway("g2")
	c.awaitServed(one, "/check/a")
	c.awaitServed(two, "/check/a")
	c.eventually("the gateways have connected to each other", func() bool {
		var dump struct {
			Peers []struct {
				Name   string `json:"name"`
				Silent bool   `json:"silent"`
			} `json:"peers"`
		}
		response, err := http.Get("http://" + one.metricsAddress + "/dump")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return json.NewDecoder(response.Body).Decode(&dump) == nil && len(dump.Peers) == 1 && dump.Peers[0].Name == "g2" && !dump.Peers[0].Silent
	})
	const requests, callers, tokens = 600, 16, 200
	var sent, served atomic.Int64
	var wait sync.WaitGroup
	started := time.Now()
	for caller := range callers {
		wait.Go(func() {
			for i := sent.Add(1); i <= requests; i = sent.Add(1) {
				if []*gateway{one, two}[caller%2].call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("c", i)).status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	wait.Wait()
	elapsed := time.Since(started)
	// The quota with the tolerance of the settings: rate and burst, a tenth, and the slack.
	allowed := (c.quota*elapsed.Seconds()+c.quota)*1.1 + 1000
	if requests*tokens < allowed {
		t.Fatalf("%d requests in %v are within the quota, so that nothing is shown", requests, elapsed)
	}
	if used := float64(served.Load() * tokens); used > allowed {
		t.Errorf("%.0f tokens were admitted in %v under a quota shared by two gateways, want at most %.0f", used, elapsed, allowed)
	}
}

func TestInvalidSettingsFailStartup(t *testing.T) {
	c := newCluster(t)
	good := c.settings("g1", [3]string{"127.0.1.3:1", "127.0.1.3:2", "127.0.1.3:3"}, "")
	for name, text := range map[string]string{
		"listen.frontend": strings.Replace(good, `frontend = "127.0.1.3:1"`, `frontend = "nowhere"`, 1),
		"bounds.grace_s":  strings.Replace(good, "grace_s = 6", "grace_s = -1", 1),
		"node_name":       strings.Replace(good, `node_name = "g1"`, `node_name = ""`, 1),
		"config":          "this is no TOML",
	} {
		path := t.TempDir() + "/settings.toml"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		process, err := fleet.Start("gateway", binaries.Scheduler, "gateway", "--config", path)
		if err != nil {
			t.Fatal(err)
		}
		exit := new(exec.ExitError)
		if !errors.As(process.Err(), &exit) || exit.ExitCode() != 2 || !strings.Contains(process.Log(), "setting "+name) {
			t.Errorf("%s: exit %v, output %q", name, process.Err(), process.Log())
		}
	}
}

// "record find" finds the decision on a request by its key, and "record verify"
// reports nothing missing.
func TestRecordFindAndVerify(t *testing.T) {
	c := newCluster(t)
	desk := newReplica(t, "d1", "desk", 4, 0)
	c.register(desk, "ready")
	g := c.startGateway("g1")
	c.awaitServed(g, "/check/a")
	g.call(t.Context(), http.MethodPost, "/order/a", "order-17")
	g.Signal(syscall.SIGTERM)
	<-g.Exited()
	address := c.store.Listener.Addr().String()
	found, err := exec.Command(binaries.Scheduler, "record", "find", "--store", address, "--key", "order-17").CombinedOutput()
	if err != nil || !strings.Contains(string(found), "school") || !strings.Contains(string(found), "d1") {
		t.Errorf("%v: %s", err, found)
	}
	if verified, err := exec.Command(binaries.Scheduler, "record", "verify", "--store", address).CombinedOutput(); err != nil || strings.Contains(string(verified), "missing") {
		t.Errorf("%v: %s", err, verified)
	}
}
