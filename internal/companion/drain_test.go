package companion_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"filbertusher/internal/admission"
	"filbertusher/internal/blame"
	"filbertusher/internal/companion"
	"filbertusher/internal/config"
	"filbertusher/internal/journal"
	"filbertusher/internal/ledger"
	"filbertusher/internal/suspect"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// blockingBackend blocks each call until release is closed.
type blockingBackend struct {
	usher.Backend
	started chan struct{}
	release chan struct{}
}

func (b *blockingBackend) Call(context.Context, usher.RequestID, usher.FencingToken, *usher.Call) (*usher.Response, error) {
	b.started <- struct{}{}
	<-b.release
	return &usher.Response{Status: 200}, nil
}

// unboundedReplica accepts every decision.
type unboundedReplica struct{ usher.RecordReplica }

func (unboundedReplica) CheckCapacity(usher.Rank) error { return nil }
func (unboundedReplica) Hold(usher.Decision) bool       { return true }

// fixture is a companion that runs one request at a time.
type fixture struct {
	*companion.Companion
	rpc     *companion.RPC
	holder  *config.Holder
	backend *blockingBackend
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	backend := &blockingBackend{started: make(chan struct{}, 9), release: make(chan struct{})}
	f := newFixtureWith(t, backend)
	f.backend = backend
	return f
}

func newFixtureWith(t *testing.T, backend usher.Backend) *fixture {
	t.Helper()
	return newFixtureWithAdmission(t, backend, admission.Options{MaxRunning: 1, MaxWaiting: 9})
}

func newFixtureWithAdmission(t *testing.T, backend usher.Backend, options admission.Options) *fixture {
	t.Helper()
	f := &fixture{holder: config.NewHolder()}
	f.Companion = companion.New(companion.Options{
		Endpoint: "e", Incarnation: "i", MaxCrashes: 1, TicketLifetime: time.Minute, TicketRetention: time.Minute, MaxUsedTickets: 9,
	}, companion.Dependencies{
		// The journal holds no key slot, so it needs neither a store nor a prober.
		Journal: journal.NewSlotTable(journal.Options{}, nil, nil), Suspects: suspect.NewTable(), Blame: blame.New(time.Now, func(blame.Trait, int) {}),
		Config: f.holder, Backend: backend, Admission: admission.New("e", options),
		Ledger: ledger.New(time.Minute), Fence: func() usher.FencingToken { return 1 }, RecordReplica: unboundedReplica{}, Log: zerolog.Nop(),
	})
	f.rpc = companion.NewRPC(f.Companion)
	f.applyEndpoint(t, 1, false)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.WatchLeaving(ctx) }()
	return f
}

func (f *fixture) applyEndpoint(t *testing.T, version usher.Version, leaving bool) {
	t.Helper()
	value, _ := json.Marshal(usher.Endpoint{Name: "e", Leaving: leaving})
	snapshot, err := config.Build([]usher.Object{{Key: config.Key(config.KindEndpoint, "e"), Value: value}}, version)
	if err != nil || !f.holder.Offer(snapshot) {
		t.Fatal("snapshot was not accepted:", err)
	}
}

func (f *fixture) submit(id usher.RequestID) <-chan wire.SubmitReply {
	replies := make(chan wire.SubmitReply, 1)
	go func() {
		var reply wire.SubmitReply
		args := &wire.SubmitArgs{Header: usher.RequestHeader{ID: id, Attempt: 1}, Remaining: time.Minute, MayWait: true}
		_ = f.rpc.Submit(args, &reply)
		replies <- reply
	}()
	return replies
}

func (f *fixture) awaitLoad(t *testing.T, until func(usher.LoadReport) bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		var reply wire.WithdrawReply
		_ = f.rpc.Withdraw(&wire.WithdrawArgs{ID: "unknown"}, &reply)
		if until(reply.Load) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("load is %+v", reply.Load)
		}
	}
}

func refusal(reply wire.SubmitReply) [2]string {
	if reply.Refusal == nil {
		return [2]string{}
	}
	return [2]string{string(reply.Refusal.Kind), string(reply.Refusal.Outcome)}
}

// Guards against losing requests when an endpoint leaves: the running request
// completes, queued requests are returned as not run, and later requests are
// refused as not run, even with free capacity. After the departure is cancelled,
// requests are accepted again.
func TestLeavingRejectsQueuedRequests(t *testing.T) {
	f := newFixture(t)
	running := f.submit("running")
	<-f.backend.started
	queued := f.submit("queued")
	f.awaitLoad(t, func(load usher.LoadReport) bool { return load.Waiting == 1 })
	f.applyEndpoint(t, 2, true)
	notRun := [2]string{string(usher.RefusalLeaving), string(usher.OutcomeNotRun)}
	if diff := cmp.Diff(notRun, refusal(<-queued)); diff != "" {
		t.Error("queued request:", diff)
	}
	if diff := cmp.Diff(notRun, refusal(<-f.submit("later"))); diff != "" {
		t.Error("later request:", diff)
	}
	close(f.backend.release)
	if reply := <-running; reply.State != wire.StateAnswered {
		t.Errorf("running request: %+v", reply)
	}
	for _, id := range []usher.RequestID{"idle-1", "idle-2", "idle-3"} {
		if diff := cmp.Diff(notRun, refusal(<-f.submit(id))); diff != "" {
			t.Error("request at the idle endpoint:", diff)
		}
	}
	f.applyEndpoint(t, 3, false)
	f.awaitLoad(t, func(load usher.LoadReport) bool { return !load.Leaving })
	if reply := <-f.submit("again"); reply.State != wire.StateAnswered {
		t.Errorf("after the departure was cancelled: %+v", reply)
	}
}

// Guards against requests that were admitted before a companion stops, are sent to the
// endpoint late and are cut at the end of the stop: one that runs alone had to wait for
// another one.
func TestStoppingCompanionBeginsNothingItCannotFinish(t *testing.T) {
	backend := &blockingBackend{started: make(chan struct{}, 9), release: make(chan struct{})}
	f := newFixtureWithAdmission(t, backend, admission.Options{MaxRunning: 2, MaxWaiting: 9, FixedLimit: true})
	const duration, grace = 1200 * time.Millisecond, time.Second
	finish := func() { backend.release <- struct{}{} }
	earlier := f.submit("earlier")
	<-backend.started
	time.AfterFunc(duration, finish)
	if reply := <-earlier; reply.State != wire.StateAnswered {
		t.Fatalf("%+v", reply)
	}
	running := f.submit("running")
	<-backend.started
	alone := make(chan wire.SubmitReply, 1)
	go func() {
		var reply wire.SubmitReply
		args := &wire.SubmitArgs{Header: usher.RequestHeader{ID: "alone", Attempt: 1, ProbesCrash: true}, Remaining: time.Minute, MayWait: true}
		_ = f.rpc.Submit(args, &reply)
		alone <- reply
	}()
	f.awaitLoad(t, func(load usher.LoadReport) bool { return load.Running == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), grace)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(ctx) }()
	f.awaitLoad(t, func(load usher.LoadReport) bool { return load.Leaving })
	finish()
	if reply := <-running; reply.State != wire.StateAnswered {
		t.Errorf("running request: %+v", reply)
	}
	select {
	case reply := <-alone:
		if diff := cmp.Diff([2]string{string(usher.RefusalLeaving), string(usher.OutcomeNotRun)}, refusal(reply)); diff != "" {
			t.Error("request that had to run alone:", diff)
		}
	case <-backend.started:
		t.Error("the request was begun")
		finish()
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Guards against reservations that a leaving endpoint grants: the entry takes its request
// back from another endpoint for them, and is refused.
func TestLeavingEndsReservations(t *testing.T) {
	f := newFixture(t)
	running := f.submit("running")
	<-f.backend.started
	reserved := make(chan wire.ReserveReply, 1)
	go func() {
		var reply wire.ReserveReply
		_ = f.rpc.Reserve(&wire.ReserveArgs{Header: usher.RequestHeader{ID: "reserved"}, Remaining: time.Minute}, &reply)
		reserved <- reply
	}()
	f.awaitLoad(t, func(load usher.LoadReport) bool { return load.Waiting == 1 })
	f.applyEndpoint(t, 2, true)
	f.awaitLoad(t, func(load usher.LoadReport) bool { return load.Leaving })
	close(f.backend.release)
	reply := <-reserved
	if diff := cmp.Diff(usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving"), reply.Refusal); diff != "" || reply.Grant != 0 {
		t.Errorf("reservation: grant %d, %s", reply.Grant, diff)
	}
	if reply := <-running; reply.State != wire.StateAnswered {
		t.Errorf("running request: %+v", reply)
	}
}
