package companion_test

import (
	"testing"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// A request with a key that may not wait is busy at a full endpoint, like any other, and
// its key stays free.
func TestKeyedRequestAtFullEndpoint(t *testing.T) {
	f := newFixture(t)
	running := f.submit("running")
	<-f.backend.started
	var issued wire.TicketReply
	if err := f.rpc.Ticket(&wire.TicketArgs{Workspace: "w", Service: "s"}, &issued); err != nil || issued.Ticket == "" {
		t.Fatalf("Ticket: %v, %+v", err, issued)
	}
	submit := func(id usher.RequestID) wire.SubmitReply {
		header := usher.RequestHeader{ID: id, Attempt: 1, Key: issued.Ticket, Workspace: "w", Service: "s", Digest: "d"}
		var reply wire.SubmitReply
		if err := f.rpc.Submit(&wire.SubmitArgs{Header: header, Remaining: time.Minute}, &reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	if reply := submit("r1"); reply.State != wire.StateBusy {
		t.Errorf("at the full endpoint: %+v", reply)
	}
	close(f.backend.release)
	<-running
	if reply := submit("r2"); reply.State != wire.StateAnswered {
		t.Errorf("at the idle endpoint: %+v", reply)
	}
}
