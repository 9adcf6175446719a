package discovery

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"filbertusher/internal/roster"
	"filbertusher/internal/routing"
	"filbertusher/pkg/usher"
)

// lossyDirectory answers no watch. Of the lists of each kind it leaves out those whose numbers,
// from 0 on, isLost holds for: they get no answer either.
type lossyDirectory struct {
	*directory
	isLost                     func(list int32) bool
	endpointLists, routesLists atomic.Int32
}

func (d *lossyDirectory) Endpoints(ctx context.Context) ([]usher.EndpointChange, usher.Version, error) {
	if d.isLost(d.endpointLists.Add(1) - 1) {
		<-ctx.Done()
		return nil, 0, &usher.UnavailableError{Operation: "list", Cause: ctx.Err()}
	}
	return d.directory.Endpoints(ctx)
}

func (d *lossyDirectory) Routes(ctx context.Context) (*usher.RouteTable, usher.Version, error) {
	if d.isLost(d.routesLists.Add(1) - 1) {
		<-ctx.Done()
		return nil, 0, &usher.UnavailableError{Operation: "list", Cause: ctx.Err()}
	}
	return d.directory.Routes(ctx)
}

func (d *lossyDirectory) WatchRoutes(ctx context.Context, _ usher.Version, _ time.Duration) (*usher.RouteTable, usher.Version, error) {
	<-ctx.Done()
	return nil, 0, &usher.UnavailableError{Operation: "watch", Cause: ctx.Err()}
}

func (d *lossyDirectory) WatchEndpoints(ctx context.Context, _ usher.Version, _ time.Duration) ([]usher.EndpointChange, usher.Version, error) {
	<-ctx.Done()
	return nil, 0, &usher.UnavailableError{Operation: "watch", Cause: ctx.Err()}
}

// Guards against state that is older than the time for which old state may be used, because a
// watch or a list of it waits.
func TestProofsAreRenewedThoughCallsAreLost(t *testing.T) {
	// bound is both how long leaving endpoints serve and how long an older configuration may.
	const bound = 2 * time.Second
	for name, isLost := range map[string]func(int32) bool{
		"watches only":         func(int32) bool { return false },
		"and each second list": func(list int32) bool { return list%2 == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := &lossyDirectory{directory: &directory{revision: 1, table: &usher.RouteTable{Version: 4}}, isLost: isLost}
			r, routes := roster.New(time.Second, time.Now, nil), routing.NewHolder(nil)
			w := New(Options{
				Directory: d, Routes: routes, Roster: r, Self: usher.GatewayInstance{Name: "self"}, DrainTime: bound,
				Log: zerolog.Nop(), OnInstances: func(context.Context, []usher.GatewayInstance) {}, OnEndpointsChanged: func() {},
			})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); _ = w.Run(ctx) }()
			defer func() { cancel(); <-done }()
			waitUntil(t, "all is listed", func() bool { return r.Age() < time.Second && routes.Age() < time.Second })
			for range 80 {
				time.Sleep(50 * time.Millisecond)
				if rosterAge, routesAge := r.Age(), routes.Age(); max(rosterAge, routesAge) > bound {
					t.Fatalf("the proof of the roster is %v old and that of the configuration %v, want at most %v", rosterAge, routesAge, bound)
				}
			}
		})
	}
}

func TestInstancesTakeTurnsToListEndpoints(t *testing.T) {
	w := New(Options{DrainTime: 2 * time.Second})
	live := []usher.GatewayInstance{{Name: "c"}, {Name: "a"}, {Name: "d"}, {Name: "b"}}
	var ages []time.Duration
	for _, name := range []string{"a", "b", "c", "d"} {
		w.position.Store(position(live, name))
		ages = append(ages, w.renewalAge())
	}
	want := []time.Duration{700 * time.Millisecond, 850 * time.Millisecond, time.Second, time.Second}
	if diff := cmp.Diff(want, ages); diff != "" {
		t.Error(diff)
	}
}
