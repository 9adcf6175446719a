package control_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"filbertusher/internal/link"
	"filbertusher/internal/standin/fleet"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// An entry that has not heard of a planned stop still gets "not run" from the
// companion, although nothing is left to do there, and not a closed port.
func TestStoppedCompanionStillRefuses(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	whole := newWhole(ctx, t, fleet.Plan{Entries: 1, Engines: [][]string{{"--decode-step", "1ms"}}})
	companion := whole.Companions[0]
	stopped := make(chan error, 1)
	go func() { stopped <- companion.Stop() }()
	if _, err := companion.Await(ctx, "stopping"); err != nil {
		t.Fatal(err)
	}
	// A connection of its own, as an entry has that starts just now.
	late := link.New(companion.Address)
	defer late.Close()
	reply := &wire.SubmitReply{}
	args := &wire.SubmitArgs{
		Caller: wire.Caller{Incarnation: "late"}, Header: usher.RequestHeader{ID: "late", Attempt: 1}, Remaining: time.Minute,
	}
	if err := late.Call(ctx, wire.MethodSubmit, args, reply); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving"), reply.Refusal); diff != "" {
		t.Error(diff)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
