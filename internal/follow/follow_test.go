package follow

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"filbertusher/internal/roster"
	"filbertusher/internal/routing"
	"filbertusher/pkg/usher"
)

// directory is a directory whose answers a test sets.
type directory struct {
	mu        sync.Mutex
	table     *usher.RouteTable
	endpoints []usher.EndpointChange
	instances []usher.GatewayInstance
	revision  usher.Version
	down      error
	forgotten bool
	calls     int
}

// begin counts a call and returns the error that it ends with.
func (d *directory) begin() error {
	d.calls++
	return d.down
}

func (d *directory) Routes(context.Context) (*usher.RouteTable, usher.Version, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(); err != nil {
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

// watch waits without news, or ends with the fault that is set.
func (d *directory) watch(ctx context.Context, wait time.Duration) error {
	d.mu.Lock()
	err := d.begin()
	if d.forgotten {
		err = &usher.HistoryLostError{}
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
	return d.endpoints, d.revision, d.begin()
}

func (d *directory) WatchEndpoints(ctx context.Context, since usher.Version, wait time.Duration) ([]usher.EndpointChange, usher.Version, error) {
	return nil, since, d.watch(ctx, wait)
}

func (d *directory) Announce(context.Context, usher.GatewayInstance) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.begin()
}

func (d *directory) Withdraw(context.Context, string) error { return nil }

func (d *directory) Instances(context.Context) ([]usher.GatewayInstance, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instances, d.begin()
}

func (d *directory) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

type bench struct {
	*directory
	routes *routing.Holder
	roster *roster.Roster
	follow *Follower
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{directory: &directory{revision: 1}, routes: routing.NewHolder(nil), roster: roster.New(400*time.Millisecond, time.Now, nil)}
	b.follow = New(Options{
		Directory: b.directory, Routes: b.routes, Roster: b.roster, Self: usher.GatewayInstance{Name: "self"}, Log: zerolog.Nop(),
		Instances: func(context.Context, []usher.GatewayInstance) {}, EndpointsChanged: func() {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = b.follow.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return b
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

func TestProofsStayYoungAndEndWithTheStore(t *testing.T) {
	b := newBench(t)
	b.set(func() { b.table = &usher.RouteTable{Version: 4} })
	until(t, "the configuration is proven", func() bool { return b.routes.Age() < time.Second })
	for range 30 {
		time.Sleep(50 * time.Millisecond)
		if age := b.routes.Age(); age > 1500*time.Millisecond {
			t.Fatalf("the proof is %v old while the store answers", age)
		}
	}
	b.set(func() { b.down = &usher.UnavailableError{Operation: "test"} })
	until(t, "the proof ages", func() bool { return b.routes.Age() > 1500*time.Millisecond })
	b.set(func() { b.down = nil })
	until(t, "it is proven again", func() bool { return b.routes.Age() < time.Second })
}

// A store that has forgotten its history is not asked without a pause.
func TestForgottenHistoryIsNoStorm(t *testing.T) {
	b := newBench(t)
	b.set(func() { b.table, b.forgotten = &usher.RouteTable{Version: 4}, true })
	until(t, "the configuration is known", func() bool { return b.routes.Version() == 4 })
	b.set(func() { b.calls = 0 })
	time.Sleep(time.Second)
	calls := 0
	b.set(func() { calls = b.calls })
	if calls > 80 {
		t.Errorf("%d calls in a second", calls)
	}
}

func TestVanishedEndpointsAfterAnOutage(t *testing.T) {
	b := newBench(t)
	registration := usher.Registration{Name: "e", Service: "s", Slots: 1}
	b.set(func() { b.endpoints = []usher.EndpointChange{{Registration: registration, Usable: true}} })
	known := func() bool { return len(b.roster.Snapshot().ByService["s"]) == 1 }
	until(t, "the endpoint is known", known)
	b.set(func() { b.down = &usher.UnavailableError{Operation: "test"} })
	time.Sleep(2 * time.Second)
	if !known() {
		t.Fatal("the last list does not stand while the store is away")
	}
	b.set(func() { b.down, b.endpoints = nil, nil })
	until(t, "the endpoint that did not come back is gone", func() bool { return !known() })
}

// A short failure of one call is no outage in which entries could lapse: what
// is deleted then is gone at once.
func TestShortFailureIsNoOutage(t *testing.T) {
	b := newBench(t)
	registration := usher.Registration{Name: "e", Service: "s", Slots: 1}
	b.set(func() { b.endpoints = []usher.EndpointChange{{Registration: registration, Usable: true}} })
	r := b.follow.options.Roster
	until(t, "the endpoint is known", func() bool { return len(r.Snapshot().ByService["s"]) == 1 })
	b.set(func() { b.down = &usher.UnavailableError{Operation: "test"} })
	time.Sleep(300 * time.Millisecond)
	b.set(func() { b.down = nil })
	time.Sleep(300 * time.Millisecond)
	r.Apply([]usher.EndpointChange{{Registration: usher.Registration{Name: "e"}}}, 100)
	if len(r.Snapshot().ByService["s"]) != 0 {
		t.Error("an endpoint whose entry was deleted still gets requests")
	}
}

func TestInstancesThatDoNotBeatAreLost(t *testing.T) {
	f := New(Options{Self: usher.GatewayInstance{Name: "self"}, Log: zerolog.Nop()})
	names := func(instances []usher.GatewayInstance) (names []string) {
		for _, instance := range instances {
			names = append(names, instance.Name)
		}
		return names
	}
	all := []usher.GatewayInstance{{Name: "dead", Beat: 1}, {Name: "live", Beat: 1}}
	if diff := cmp.Diff([]string{"dead", "live", "self"}, names(f.alive(all))); diff != "" {
		t.Error(diff)
	}
	f.beats["dead"] = beat{number: 1, seen: time.Now().Add(-time.Minute)}
	f.beats["live"] = beat{number: 0, seen: time.Now().Add(-time.Minute)}
	if diff := cmp.Diff([]string{"live", "self"}, names(f.alive(all))); diff != "" {
		t.Error(diff)
	}
}
