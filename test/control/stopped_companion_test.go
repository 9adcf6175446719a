package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/peerrpc"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// TestStoppedCompanionStillRefuses guards against unknown outcomes during a graceful
// stop. An entry that does not know of the stop yet must get the outcome "not run"
// from a companion without requests, instead of a refused connection.
func TestStoppedCompanionStillRefuses(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	cluster := newCluster(ctx, t, fleet.Plan{Entries: 1, Engines: [][]string{{"--decode-step", "1ms"}}})
	companion := cluster.Companions[0]
	stopped := make(chan error, 1)
	go func() { stopped <- companion.Stop() }()
	if _, err := companion.Await(ctx, "stopping"); err != nil {
		t.Fatal(err)
	}
	awaitLeaving(ctx, t, companion)
	// A new connection, like that of an entry that has just started.
	client := peerrpc.New(companion.Address, peerrpc.LargeMessages)
	defer client.Close()
	reply := &wire.SubmitReply{}
	args := &wire.SubmitArgs{
		Caller: wire.Caller{Incarnation: "late"}, Header: usher.RequestHeader{ID: "late", Attempt: 1}, Remaining: time.Minute,
	}
	if err := client.Call(ctx, wire.MethodSubmit, args, reply); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving"), reply.Refusal); diff != "" {
		t.Error(diff)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// awaitLeaving waits until the companion refuses new requests. It logs the stop a moment
// before.
func awaitLeaving(ctx context.Context, t *testing.T, companion *fleet.Member) {
	t.Helper()
	for {
		var dump struct{ Companion struct{ Leaving bool } }
		if err := companion.Dump(ctx, &dump); err != nil {
			t.Fatal(err)
		}
		if dump.Companion.Leaving {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
