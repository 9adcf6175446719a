package discovery

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"filbertusher/internal/boottime"
	"filbertusher/internal/roster"
	"filbertusher/internal/routing"
	"filbertusher/internal/standin/store"
	"filbertusher/pkg/usher"
)

// directory is a fake usher.Directory that returns what a test sets.
type directory struct {
	store.SingleEra
	mu               sync.Mutex
	table            *usher.RouteTable
	endpoints        []usher.EndpointChange
	instances        []usher.GatewayInstance
	revision         usher.Version
	err              error
	historyCompacted bool
	calls            int
}

// startCall counts a call and returns the error that a test has set for all calls.
func (d *directory) startCall() error {
	d.calls++
	return d.err
}

func (d *directory) Routes(context.Context) (*usher.RouteTable, usher.Version, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.startCall(); err != nil {
		return nil, 0, err
	}
	if d.table == nil {
		return nil, 0, &usher.NotFoundError{}
	}
	return d.table, d.revision, nil
}

func (d *directory) WatchRoutes(ctx context.Context, _ usher.Version, wait time.Duration) (*usher.RouteTable, usher.Version, error) {
	return nil, 1, d.watch(ctx, wait)
}

// watch waits without reporting changes, or returns the error that a test has set.
func (d *directory) watch(ctx context.Context, wait time.Duration) error {
	d.mu.Lock()
	err := d.startCall()
	if d.historyCompacted {
		err = &usher.HistoryCompactedError{}
	}
	d.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(wait, 50*time.Millisecond)):
	}
	return nil
}

func (d *directory) Endpoints(context.Context) ([]usher.EndpointChange, usher.Version, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoints, d.revision, d.startCall()
}

func (d *directory) WatchEndpoints(ctx context.Context, since usher.Version, wait time.Duration) ([]usher.EndpointChange, usher.Version, error) {
	return nil, since, d.watch(ctx, wait)
}

func (d *directory) Announce(context.Context, usher.GatewayInstance) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startCall()
}

func (d *directory) Withdraw(context.Context, string) error { return nil }

func (d *directory) Instances(context.Context) ([]usher.GatewayInstance, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instances, d.startCall()
}

func (d *directory) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// fixture is a running watcher with a fake directory.
type fixture struct {
	*directory
	routes  *routing.Holder
	roster  *roster.Roster
	watcher *Watcher
}

// newFixture starts a watcher. The directory lists the given endpoints from the start:
// it reports no changes to watches, so that endpoints that are set later stay unknown
// if the watcher has listed before.
func newFixture(t *testing.T, endpoints ...usher.EndpointChange) *fixture {
	t.Helper()
	fx := &fixture{directory: &directory{revision: 1, endpoints: endpoints}, routes: routing.NewHolder(nil), roster: roster.New(400*time.Millisecond, time.Now, nil)}
	fx.watcher = New(Options{
		Directory: fx.directory, Routes: fx.routes, Roster: fx.roster, Self: usher.GatewayInstance{Name: "self"}, Log: zerolog.Nop(),
		OnInstances: func(context.Context, []usher.GatewayInstance) {}, OnEndpointsChanged: func() {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = fx.watcher.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return fx
}

func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

func TestProofsRenewedWhileStoreAvailable(t *testing.T) {
	fx := newFixture(t)
	fx.set(func() { fx.table = &usher.RouteTable{Version: 4} })
	waitUntil(t, "the configuration is proven", func() bool { return fx.routes.Age() < time.Second })
	for range 30 {
		time.Sleep(50 * time.Millisecond)
		if age := fx.routes.Age(); age > 1500*time.Millisecond {
			t.Fatalf("the proof is %v old although the store is available", age)
		}
	}
	fx.set(func() { fx.err = &usher.UnavailableError{Operation: "test"} })
	waitUntil(t, "the proof becomes older than 1.5 s", func() bool { return fx.routes.Age() > 1500*time.Millisecond })
	fx.set(func() { fx.err = nil })
	waitUntil(t, "the configuration is proven again", func() bool { return fx.routes.Age() < time.Second })
}

// TestCompactedHistoryBacksOff guards against a busy loop of lists and watches when
// the store reports for each watch that it no longer has the changes since then.
func TestCompactedHistoryBacksOff(t *testing.T) {
	fx := newFixture(t)
	fx.set(func() { fx.table, fx.historyCompacted = &usher.RouteTable{Version: 4}, true })
	waitUntil(t, "the configuration is known", func() bool { return fx.routes.Version() == 4 })
	fx.set(func() { fx.calls = 0 })
	time.Sleep(time.Second)
	calls := 0
	fx.set(func() { calls = fx.calls })
	if calls > 80 {
		t.Errorf("%d calls in a second, want at most 80", calls)
	}
}

func TestMissingEndpointsExpireAfterOutage(t *testing.T) {
	registration := usher.Registration{Name: "e", Service: "s", Slots: 1}
	fx := newFixture(t, usher.EndpointChange{Registration: registration, Usable: true})
	known := func() bool { return len(fx.roster.Snapshot().ByService["s"]) == 1 }
	waitUntil(t, "the endpoint is known", known)
	fx.set(func() { fx.err = &usher.UnavailableError{Operation: "test"} })
	time.Sleep(2 * time.Second)
	if !known() {
		t.Fatal("the endpoint of the last list is gone during the outage of the store")
	}
	fx.set(func() { fx.err, fx.endpoints = nil, nil })
	waitUntil(t, "the endpoint that did not register again is gone", func() bool { return !known() })
}

// TestShortFailureIsNoOutage checks that an endpoint deleted shortly after failed
// calls is dropped at once. It may be kept only after an outage that is long
// enough for registrations to lapse.
func TestShortFailureIsNoOutage(t *testing.T) {
	registration := usher.Registration{Name: "e", Service: "s", Slots: 1}
	fx := newFixture(t, usher.EndpointChange{Registration: registration, Usable: true})
	r := fx.watcher.options.Roster
	waitUntil(t, "the endpoint is known", func() bool { return len(r.Snapshot().ByService["s"]) == 1 })
	fx.set(func() { fx.err = &usher.UnavailableError{Operation: "test"} })
	time.Sleep(300 * time.Millisecond)
	fx.set(func() { fx.err = nil })
	time.Sleep(300 * time.Millisecond)
	r.Apply([]usher.EndpointChange{{Registration: usher.Registration{Name: "e"}}}, 100)
	if len(r.Snapshot().ByService["s"]) != 0 {
		t.Error("the deleted endpoint is still in the roster")
	}
}

func TestLiveInstances(t *testing.T) {
	w := New(Options{Self: usher.GatewayInstance{Name: "self"}, Log: zerolog.Nop()})
	names := func(instances []usher.GatewayInstance) (names []string) {
		for _, instance := range instances {
			names = append(names, instance.Name)
		}
		return names
	}
	all := []usher.GatewayInstance{{Name: "lost", Heartbeat: 1}, {Name: "live", Heartbeat: 1}}
	if diff := cmp.Diff([]string{"lost", "live", "self"}, names(w.liveInstances(all, 1))); diff != "" {
		t.Error(diff)
	}
	w.heartbeats["lost"] = heartbeat{counter: 1, changedAt: time.Now().Add(-time.Minute)}
	w.heartbeats["live"] = heartbeat{counter: 0, changedAt: time.Now().Add(-time.Minute)}
	if diff := cmp.Diff([]string{"live", "self"}, names(w.liveInstances(all, 1))); diff != "" {
		t.Error(diff)
	}
}

// Guards against retaining an endpoint that is gone because a process without calls missed nothing.
func TestIdleTimeIsNoOutage(t *testing.T) {
	registration := usher.Registration{Name: "e", Service: "s", Slots: 1}
	fx := newFixture(t, usher.EndpointChange{Registration: registration, Usable: true})
	waitUntil(t, "the endpoint is known", func() bool { return len(fx.roster.Snapshot().ByService["s"]) == 1 })
	store := &dependency{name: "store", log: zerolog.Nop(), onRecovery: fx.watcher.store.onRecovery}
	watchStarted := boottime.Now()
	store.succeeded()
	time.Sleep(minLapseOutage + 100*time.Millisecond)
	store.failed(t.Context(), "endpoints", watchStarted, &usher.UnavailableError{Operation: "watch"})
	store.succeeded()
	fx.roster.Apply([]usher.EndpointChange{{Registration: usher.Registration{Name: "e"}}}, 100)
	if len(fx.roster.Snapshot().ByService["s"]) != 0 {
		t.Error("an endpoint that was removed counts as lapsed in an outage, though none of the calls begun since the last answer has failed")
	}
}
