// Package gateway_test runs gateways as processes before stand-ins of the
// platform's store and replicas, and checks what callers and replicas see.
package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/standin/store"
)

// served calls until a gateway knows the replicas.
func (s *site) served(g *gateway, path string) {
	s.t.Helper()
	n := 0
	s.until(path+" is served", func() bool {
		n++
		return g.call(context.Background(), http.MethodGet, path, fmt.Sprint("warm", path, n)).status == http.StatusOK
	})
}

func TestCalmPath(t *testing.T) {
	s := newSite(t)
	desk, model := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "m1", "model", 4, 5)
	s.register(desk, "ready")
	s.register(model, "ready")
	g := s.gateway("g1")
	s.served(g, "/check/a")
	s.served(g, "/plan/a")

	got := g.call(t.Context(), http.MethodPost, "/order/x%2Fy?q=1", "o1", "X-Filbertusher-Tenant-Id", "forged", "X-Filbertusher-Pin-Ms", "100")
	if diff := cmp.Diff("answer to o1 /order/x%2Fy?q=1", got.body); diff != "" || got.header.Get("X-Filbertusher-Response-Seal") != "seal-o1" {
		t.Errorf("%v %v", diff, got)
	}
	seen := desk.headers[len(desk.headers)-1]
	for name, want := range map[string]string{
		"X-Filbertusher-Tenant-Id": "school", "X-Filbertusher-Credential": "", "X-Filbertusher-Pin-Ms": "",
		"X-Filbertusher-Expect-Instance": "d1", "X-Filbertusher-Attempt-Id": "o1",
	} {
		if diff := cmp.Diff(want, seen.Get(name)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	got = g.call(t.Context(), http.MethodPost, "/plan/b", "p1")
	if diff := cmp.Diff(model.wholeStream("p1"), got.body); diff != "" || got.err != nil {
		t.Error(diff, got.err)
	}
	for path, want := range map[string]int{"/none/": http.StatusNotFound, "/order": http.StatusNotFound} {
		if got := g.call(t.Context(), http.MethodGet, path, "n"); got.status != want {
			t.Errorf("%s: %d, want %d", path, got.status, want)
		}
	}
	if got := g.call(t.Context(), http.MethodPost, "/order/a", "o2", "X-Filbertusher-Credential", "wrong"); got.status != http.StatusUnauthorized || desk.ran("o2") != 0 {
		t.Errorf("a wrong credential: %v", got)
	}
}

// A request that may run once is not repeated when its answer is lost, and no
// promise is made; one that may be repeated is.
func TestLostAnswers(t *testing.T) {
	s := newSite(t)
	one, two := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "d2", "desk", 4, 0)
	s.register(one, "ready")
	s.register(two, "ready")
	g := s.gateway("g1")
	s.served(g, "/check/a")
	one.set(func() { one.resets = 1 })
	two.set(func() { two.resets = 1 })
	if got := g.call(t.Context(), http.MethodPost, "/order/a", "o1"); got.status != http.StatusBadGateway || one.ran("o1")+two.ran("o1") != 1 {
		t.Errorf("status %d after %d runs", got.status, one.ran("o1")+two.ran("o1"))
	}
	if got := g.call(t.Context(), http.MethodGet, "/check/a", "c1"); got.status != http.StatusOK {
		t.Errorf("a repeatable request: %v", got)
	}
	one.set(func() { one.failures = 1 })
	two.set(func() { two.failures = 1 })
	if got := g.call(t.Context(), http.MethodPost, "/order/a", "o2"); got.status != http.StatusInternalServerError || got.header.Get("X-Filbertusher-Response-Seal") != "seal-o2" {
		t.Errorf("the replica's own failure is passed on: %v", got)
	}
	if got := g.call(t.Context(), http.MethodGet, "/check/a", "c2"); got.status != http.StatusOK {
		t.Errorf("a failure that another replica may not have: %v", got)
	}
}

// A stream that breaks off goes on at another replica, whole and once; one that
// may not be resumed is cut, so that its part can't be taken for the whole.
func TestBrokenStreams(t *testing.T) {
	s := newSite(t)
	one, two := newReplica(t, "m1", "model", 4, 8), newReplica(t, "m2", "model", 4, 8)
	s.register(one, "ready")
	g := s.gateway("g1")
	s.served(g, "/plan/a")
	s.register(two, "ready")
	one.set(func() { one.cutAfter = 3 })
	two.set(func() { two.cutAfter = 3 })
	if got := g.call(t.Context(), http.MethodPost, "/question/a", "q1"); got.err == nil || one.ran("q1")+two.ran("q1") != 1 {
		t.Errorf("a cut stream looks whole: %v", got)
	}
	two.set(func() { two.cutAfter = -1 })
	s.until("the second replica is known", func() bool {
		g.call(context.Background(), http.MethodPost, "/plan/a", fmt.Sprint("w", time.Now()))
		return two.total() > 0
	})
	for i := range 6 {
		id := fmt.Sprint("p", i)
		got := g.call(t.Context(), http.MethodPost, "/plan/a", id)
		if diff := cmp.Diff(one.wholeStream(id), got.body); diff != "" || got.err != nil {
			t.Fatal(diff, got.err)
		}
	}
}

// A request that crashes each replica that runs it is kept from the last ones,
// whichever gateway it comes back to, and the rest is served.
func TestRequestThatCrashesReplicas(t *testing.T) {
	s := newSite(t)
	var desks []*replica
	for i := range 5 {
		desk := newReplica(t, fmt.Sprint("d", i), "desk", 4, 0)
		desk.poison = "/check/poison"
		s.register(desk, "ready")
		desks = append(desks, desk)
	}
	gateways := []*gateway{s.gateway("g1"), s.gateway("g2")}
	for _, g := range gateways {
		s.served(g, "/check/a")
	}
	refused := 0
	for i := range 30 {
		got := gateways[i%2].call(t.Context(), http.MethodGet, "/check/poison", fmt.Sprint("poison", i))
		if got.status == http.StatusOK {
			t.Fatal("a replica answered a request that crashes it")
		}
		if strings.Contains(got.body, "crashedEndpoints") {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	crashed := 0
	for _, desk := range desks {
		for i := range 30 {
			crashed += desk.ran(fmt.Sprint("poison", i))
		}
	}
	if crashed > 3 || refused < 20 {
		t.Errorf("%d replicas were crashed, %d of 30 requests were refused as suspects", crashed, refused)
	}
	for i, g := range gateways {
		if got := g.call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("other", i)); got.status != http.StatusOK {
			t.Errorf("another request: %v", got)
		}
	}
}

// A replica that falls silent is left for another one, but only if there is one:
// silence alone ends no stream.
func TestSilentReplica(t *testing.T) {
	s := newSite(t)
	one, two := newReplica(t, "m1", "model", 4, 8), newReplica(t, "m2", "model", 4, 8)
	s.register(one, "ready")
	g := s.gateway("g1")
	s.served(g, "/plan/a")
	one.set(func() { one.pause = 2500 * time.Millisecond })
	if got := g.call(t.Context(), http.MethodPost, "/plan/a", "alone"); got.body != one.wholeStream("alone") || got.err != nil {
		t.Errorf("a stream was cut for silence: %v", got)
	}
	s.register(two, "ready")
	s.until("the second replica is known", func() bool {
		g.call(context.Background(), http.MethodPost, "/plan/a", fmt.Sprint("w", time.Now()))
		return two.total() > 0
	})
	one.set(func() { one.pause = time.Minute })
	for i := range 8 {
		id := fmt.Sprint("p", i)
		if got := g.call(t.Context(), http.MethodPost, "/plan/a", id, "X-Filbertusher-Deadline-Ms", "10000"); got.body != one.wholeStream(id) || got.err != nil {
			t.Fatalf("a stream did not move: %v", got)
		}
	}
}

// A credential that is taken away while its stream runs, and stands still, does
// not cut the stream.
func TestRevocationDoesNotCutAStream(t *testing.T) {
	s := newSite(t)
	one, two := newReplica(t, "m1", "model", 4, 8), newReplica(t, "m2", "model", 4, 8)
	s.register(one, "ready")
	s.register(two, "ready")
	g := s.gateway("g1")
	s.served(g, "/plan/a")
	s.until("both replicas are known", func() bool {
		var group sync.WaitGroup
		for i := range 6 {
			group.Go(func() { g.call(context.Background(), http.MethodPost, "/plan/a", fmt.Sprint("w", i, time.Now())) })
		}
		group.Wait()
		return one.total() > 0 && two.total() > 0
	})
	for _, r := range []*replica{one, two} {
		r.set(func() { r.pause = 2500 * time.Millisecond })
	}
	answer := make(chan reply, 1)
	go func() { answer <- g.call(context.Background(), http.MethodPost, "/plan/a", "held") }()
	s.until("the stream runs", func() bool { return one.ran("held")+two.ran("held") == 1 })
	s.keys = []string{"other"}
	s.configure()
	if got := <-answer; got.body != one.wholeStream("held") || got.err != nil {
		t.Errorf("the stream was cut: %v", got)
	}
}

// What the engines can't take is refused at once with a time to come back, and
// did not run.
func TestRefusalsAreTrue(t *testing.T) {
	s := newSite(t)
	model := newReplica(t, "m1", "model", 4, 3)
	s.register(model, "ready")
	g := s.gateway("g1")
	s.served(g, "/plan/a")
	model.set(func() { model.work = 1500 * time.Millisecond })
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
			if model.ran(id) != 0 || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"outcome":"not run"`) {
				t.Errorf("a refused request ran %d times: %v", model.ran(id), got)
			}
		})
	}
	group.Wait()
	if refused < 10 {
		t.Errorf("only %d of 24 requests were refused by an engine of 4 places", refused)
	}
}

func TestQuota(t *testing.T) {
	s := newSite(t)
	s.quota = 2000
	s.configure()
	desk := newReplica(t, "d1", "desk", 4, 0)
	s.register(desk, "ready")
	g := s.gateway("g1")
	s.served(g, "/check/a")
	refused := 0
	for i := range 40 {
		if got := g.call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("c", i)); got.status == http.StatusTooManyRequests {
			refused++
			if desk.ran(fmt.Sprint("c", i)) != 0 {
				t.Error("a request over the quota ran")
			}
		}
	}
	if refused == 0 {
		t.Error("8000 tokens at once passed a quota of 2000 a second")
	}
}

func TestConfigurationComesIntoForce(t *testing.T) {
	s := newSite(t)
	old, next := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "d2", "desk2", 4, 0)
	s.register(old, "ready")
	s.register(next, "ready")
	g := s.gateway("g1")
	s.served(g, "/check/a")
	s.routes[1]["service"] = "desk2"
	s.keys = []string{"other"}
	s.configure()
	s.until("the credential is refused", func() bool {
		return g.call(context.Background(), http.MethodGet, "/check/a", "c").status == http.StatusUnauthorized
	})
	before := old.total()
	if got := g.call(t.Context(), http.MethodGet, "/check/a", "moved", "X-Filbertusher-Credential", "other"); got.status != http.StatusOK || next.ran("moved") != 1 || old.total() != before {
		t.Errorf("the route did not move: %v", got)
	}
}

// A request that waits while its route moves runs where the route goes then.
func TestWaitingRequestFollowsItsRoute(t *testing.T) {
	s := newSite(t)
	old, next := newReplica(t, "m1", "model", 4, 3), newReplica(t, "x1", "desk2", 4, 3)
	s.register(old, "ready")
	s.register(next, "ready")
	g := s.gateway("g1")
	s.served(g, "/question/a")
	old.set(func() { old.work = 450 * time.Millisecond })
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() { g.call(context.Background(), http.MethodPost, "/question/a", fmt.Sprint("first", i)) })
	}
	s.until("the engine is full", func() bool { return len(old.places) == 4 })
	waiting := make(chan reply, 1)
	go func() { waiting <- g.call(context.Background(), http.MethodPost, "/question/a", "waits") }()
	time.Sleep(50 * time.Millisecond)
	s.routes[3]["service"] = "desk2"
	s.configure()
	got := <-waiting
	group.Wait()
	if old.ran("waits") != 0 || (got.status == http.StatusOK && next.ran("waits") != 1) {
		t.Errorf("status %d after %d runs at the old service and %d at the new one", got.status, old.ran("waits"), next.ran("waits"))
	}
	if got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
		t.Errorf("got %v", got)
	}
}

// A caller's connection serves requests long after the deadline of a stream that
// it carried.
func TestKeptConnectionOutlivesItsStream(t *testing.T) {
	s := newSite(t)
	desk, model := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "m1", "model", 4, 3)
	s.register(desk, "ready")
	s.register(model, "ready")
	g := s.gateway("g1")
	s.served(g, "/check/a")
	s.served(g, "/plan/a")
	g.keep = &http.Transport{MaxIdleConns: 1}
	t.Cleanup(g.keep.CloseIdleConnections)
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

// While the store is away a credential is honoured only for as long as the
// configuration is proven to be young; the answer is then a refusal and not a
// failure of the caller, and serving goes on when the store is back.
func TestCredentialsNeedAYoungConfiguration(t *testing.T) {
	s := newSite(t)
	s.revokeMS = 3000
	desk := newReplica(t, "d1", "desk", 4, 0)
	s.register(desk, "ready")
	g := s.gateway("g1")
	s.served(g, "/check/a")
	s.fault(store.Faults{Down: true})
	began := time.Now()
	n := 0
	s.until("the credential is no longer honoured", func() bool {
		n++
		return g.call(context.Background(), http.MethodGet, "/check/a", fmt.Sprint("c", n)).status == http.StatusServiceUnavailable
	})
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the credential was honoured for %v without the store", took)
	}
	if got := g.call(t.Context(), http.MethodGet, "/none/", "n"); got.status != http.StatusServiceUnavailable {
		t.Errorf("a route that may have been added meanwhile: %d", got.status)
	}
	s.fault(store.Faults{})
	s.served(g, "/check/a")
}

func TestLeavingReplicaGetsNothingNew(t *testing.T) {
	s := newSite(t)
	one, two := newReplica(t, "d1", "desk", 4, 0), newReplica(t, "d2", "desk", 4, 0)
	s.register(one, "ready")
	s.register(two, "ready")
	g := s.gateway("g1")
	s.served(g, "/check/a")
	s.register(one, "draining")
	time.Sleep(1200 * time.Millisecond)
	before := one.total()
	for i := range 20 {
		g.call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("l", i))
	}
	s.deregister(two)
	s.until("no replica is left", func() bool {
		return g.call(context.Background(), http.MethodGet, "/check/a", "x").status == http.StatusServiceUnavailable
	})
	if got := one.total() - before; got != 0 {
		t.Errorf("a leaving replica got %d requests", got)
	}
}

// A caller that leaves takes its work with it.
func TestCallerThatLeavesCancelsItsWork(t *testing.T) {
	s := newSite(t)
	model := newReplica(t, "m1", "model", 4, 1000)
	s.register(model, "ready")
	g := s.gateway("g1")
	s.until("the stream begins", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		g.call(ctx, http.MethodPost, "/plan/a", fmt.Sprint("p", time.Now()))
		return model.total() > 0
	})
	left := 0
	s.until("the replica has stopped", func() bool {
		model.set(func() { left = model.left })
		return left > 0
	})
}

// A planned stop cuts nothing: the balancer is told, requests in flight and new
// ones are served, and the process ends by itself within its grace.
func TestPlannedStop(t *testing.T) {
	s := newSite(t)
	desk := newReplica(t, "d1", "desk", 4, 0)
	s.register(desk, "ready")
	g := s.gateway("g1")
	s.served(g, "/check/a")
	desk.set(func() { desk.work = 2 * time.Second })
	slow := make(chan reply, 1)
	go func() { slow <- g.call(context.Background(), http.MethodPost, "/order/a", "slow") }()
	s.until("the slow request runs", func() bool { return desk.ran("slow") == 1 })
	g.Signal(syscall.SIGTERM)
	s.until("the balancer is told", func() bool { return g.ready() == http.StatusServiceUnavailable })
	desk.set(func() { desk.work = time.Millisecond })
	if got := g.call(t.Context(), http.MethodGet, "/check/a", "new"); got.status != http.StatusOK || !got.closes {
		t.Errorf("a request while the instance stops: %v", got)
	}
	if got := <-slow; got.status != http.StatusOK {
		t.Errorf("a request in flight was cut: %v", got)
	}
	select {
	case <-g.Exited():
		if err := g.Err(); err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(7 * time.Second):
		t.Error("the process is still there after its grace")
	}
}

// A killed process that starts again serves as before, and a changed settings
// file that is wrong leaves the old one in force.
func TestKilledProcessAndReload(t *testing.T) {
	s := newSite(t)
	desk := newReplica(t, "d1", "desk", 4, 0)
	s.register(desk, "ready")
	g := s.gateway("g1")
	s.served(g, "/check/a")
	good, err := os.ReadFile(g.config)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(g.config, []byte("node_name = 3"), 0o600); err != nil {
		t.Fatal(err)
	}
	g.Signal(syscall.SIGHUP)
	if _, err := g.Await(t.Context(), "settingsKept"); err != nil {
		t.Fatal(err)
	}
	s.served(g, "/check/b")
	if err := os.WriteFile(g.config, good, 0o600); err != nil {
		t.Fatal(err)
	}
	g.Kill()
	s.start(g)
	s.served(g, "/check/a")
}

// A change of the settings that is signalled while a process starts does not end
// it.
func TestHangupWhileStarting(t *testing.T) {
	s := newSite(t)
	desk := newReplica(t, "d1", "desk", 4, 0)
	s.register(desk, "ready")
	g := s.prepare("g1")
	text, err := os.ReadFile(g.config)
	if err != nil {
		t.Fatal(err)
	}
	// The process waits in the middle of its start until the file is written.
	if err := errors.Join(os.Remove(g.config), syscall.Mkfifo(g.config, 0o600)); err != nil {
		t.Fatal(err)
	}
	if err := s.launch(g); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(g.config, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	g.Signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	if err := errors.Join(os.Remove(g.config), os.WriteFile(g.config, text, 0o600)); err != nil {
		t.Fatal(err)
	}
	_, _ = file.Write(text)
	_ = file.Close()
	s.served(g, "/check/a")
}

// Two gateways tell one another what workspaces use and what they know.
func TestGatewaysShareTheirNews(t *testing.T) {
	s := newSite(t)
	s.quota = 20000
	s.configure()
	desk := newReplica(t, "d1", "desk", 8, 0)
	s.register(desk, "ready")
	one, two := s.gateway("g1"), s.gateway("g2")
	s.served(one, "/check/a")
	s.served(two, "/check/a")
	s.until("the gateways know one another", func() bool {
		var dump struct {
			Peers []struct {
				Name   string `json:"name"`
				Silent bool   `json:"silent"`
			} `json:"peers"`
		}
		response, err := http.Get("http://" + one.metrics + "/dump")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return json.NewDecoder(response.Body).Decode(&dump) == nil && len(dump.Peers) == 1 && dump.Peers[0].Name == "g2" && !dump.Peers[0].Silent
	})
	served := 0
	for i := range 300 {
		g := []*gateway{one, two}[i%2]
		if g.call(t.Context(), http.MethodGet, "/check/a", fmt.Sprint("c", i)).status == http.StatusOK {
			served++
		}
	}
	// 300 requests of 200 tokens are three times the quota and its burst.
	if served > 250 {
		t.Errorf("%d of 300 requests passed a quota that two gateways share", served)
	}
}

func TestBadSettingsEndTheStart(t *testing.T) {
	s := newSite(t)
	good := s.settings("g1", [3]string{"127.0.1.3:1", "127.0.1.3:2", "127.0.1.3:3"}, "")
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
		process, err := fleet.Start("gateway", binaries.Product, "gateway", "--config", path)
		if err != nil {
			t.Fatal(err)
		}
		exit := new(exec.ExitError)
		if !errors.As(process.Err(), &exit) || exit.ExitCode() != 2 || !strings.Contains(process.Log(), "setting "+name) {
			t.Errorf("%s: exit %v, output %q", name, process.Err(), process.Log())
		}
	}
}

// An inspector finds what was decided, and the record verifies.
func TestRecordAnswersAnInspector(t *testing.T) {
	s := newSite(t)
	desk := newReplica(t, "d1", "desk", 4, 0)
	s.register(desk, "ready")
	g := s.gateway("g1")
	s.served(g, "/check/a")
	g.call(t.Context(), http.MethodPost, "/order/a", "order-17")
	g.Signal(syscall.SIGTERM)
	<-g.Exited()
	address := s.store.Listener.Addr().String()
	found, err := exec.Command(binaries.Product, "record", "find", "--store", address, "--key", "order-17").CombinedOutput()
	if err != nil || !strings.Contains(string(found), "school") || !strings.Contains(string(found), "d1") {
		t.Errorf("%v: %s", err, found)
	}
	if verified, err := exec.Command(binaries.Product, "record", "verify", "--store", address).CombinedOutput(); err != nil || strings.Contains(string(verified), "missing") {
		t.Errorf("%v: %s", err, verified)
	}
}
