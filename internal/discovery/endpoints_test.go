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

// lossyDirectory answers no watch. Of the lists it leaves out those whose numbers, from 0 on,
// isLost holds for: they get no answer either.
type lossyDirectory struct {
	*directory
	isLost func(list int32) bool
	lists  atomic.Int32
}

func (d *lossyDirectory) Endpoints(ctx context.Context) ([]usher.EndpointChange, usher.Version, error) {
	if d.isLost(d.lists.Add(1) - 1) {
		<-ctx.Done()
		return nil, 0, &usher.UnavailableError{Operation: "list", Cause: ctx.Err()}
	}
	return d.directory.Endpoints(ctx)
}

func (d *lossyDirectory) WatchEndpoints(ctx context.Context, _ usher.Version, _ time.Duration) ([]usher.EndpointChange, usher.Version, error) {
	<-ctx.Done()
	return nil, 0, &usher.UnavailableError{Operation: "watch", Cause: ctx.Err()}
}

// Guards against a roster that nobody compares with the store while a watch of it waits.
func TestRosterIsProvenThoughCallsAreLost(t *testing.T) {
	const drainTime = 2 * time.Second
	for name, isLost := range map[string]func(int32) bool{
		"watches only":         func(int32) bool { return false },
		"and each second list": func(list int32) bool { return list%2 == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := &lossyDirectory{directory: &directory{revision: 1}, isLost: isLost}
			r := roster.New(time.Second, time.Now, nil)
			w := New(Options{
				Directory: d, Routes: routing.NewHolder(nil), Roster: r, Self: usher.GatewayInstance{Name: "self"}, DrainTime: drainTime,
				Log: zerolog.Nop(), OnInstances: func(context.Context, []usher.GatewayInstance) {}, OnEndpointsChanged: func() {},
			})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); _ = w.Run(ctx) }()
			defer func() { cancel(); <-done }()
			waitUntil(t, "the endpoints are listed", func() bool { return r.Age() < time.Second })
			for range 80 {
				time.Sleep(50 * time.Millisecond)
				if age := r.Age(); age > drainTime {
					t.Fatalf("the roster was last known to be complete %v ago, though a leaving endpoint serves for %v only", age, drainTime)
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
