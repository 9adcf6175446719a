package companion_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"filbertusher/internal/admission"
	"filbertusher/internal/companion"
	"filbertusher/internal/config"
	"filbertusher/internal/journal"
	"filbertusher/internal/ledger"
	"filbertusher/internal/suspect"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// blockingBackend runs each call until it is released.
type blockingBackend struct {
	usher.Backend
	began   chan struct{}
	release chan struct{}
}

func (b *blockingBackend) Call(context.Context, usher.RequestID, usher.Fence, *usher.Call) (*usher.Answer, error) {
	b.began <- struct{}{}
	<-b.release
	return &usher.Answer{Status: 200}, nil
}

// openKeeper has room for every decision.
type openKeeper struct{ usher.RecordKeeper }

func (openKeeper) Accept(usher.Rank) error  { return nil }
func (openKeeper) Hold(usher.Decision) bool { return true }

// setup is a companion with room for one request.
type setup struct {
	*companion.Companion
	rpc     *companion.RPC
	holder  *config.Holder
	backend *blockingBackend
}

func newSetup(t *testing.T) *setup {
	t.Helper()
	s := &setup{holder: config.NewHolder(), backend: &blockingBackend{began: make(chan struct{}, 9), release: make(chan struct{})}}
	s.Companion = companion.New(companion.Options{Endpoint: "e", Incarnation: "i", MaxCrashes: 1}, companion.Dependencies{
		// The book holds no slot, so it needs neither a store nor peers.
		Journal: journal.NewBook(journal.Options{}, nil, nil), Suspects: suspect.NewTable(),
		Config: s.holder, Backend: s.backend, Admission: admission.New("e", admission.Options{Running: 1, Waiting: 9}),
		Ledger: ledger.New(time.Minute), Fence: func() usher.Fence { return 1 }, Keeper: openKeeper{}, Log: zerolog.Nop(),
	})
	s.rpc = companion.NewRPC(s.Companion)
	s.declare(t, 1, false)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.FollowLeaving(ctx) }()
	return s
}

func (s *setup) declare(t *testing.T, version usher.Version, leaving bool) {
	t.Helper()
	value, _ := json.Marshal(usher.Endpoint{Name: "e", Leaving: leaving})
	snapshot, err := config.Build([]usher.Object{{Key: config.Key(config.KindEndpoint, "e"), Value: value}}, version)
	if err != nil || !s.holder.Offer(snapshot) {
		t.Fatal("not taken in:", err)
	}
}

func (s *setup) submit(id usher.RequestID) <-chan wire.SubmitReply {
	replies := make(chan wire.SubmitReply, 1)
	go func() {
		var reply wire.SubmitReply
		args := &wire.SubmitArgs{Header: usher.RequestHeader{ID: id, Attempt: 1}, Remaining: time.Minute, MayWait: true}
		_ = s.rpc.Submit(args, &reply)
		replies <- reply
	}()
	return replies
}

func (s *setup) awaitLoad(t *testing.T, until func(usher.LoadReport) bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		var reply wire.WithdrawReply
		_ = s.rpc.Withdraw(&wire.WithdrawArgs{ID: "nobody"}, &reply)
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

// When an endpoint leaves, what runs is finished, what waits is handed back as
// not run, and what comes later is refused as not run, whoever sends it.
func TestLeavingHandsBackWhatWaits(t *testing.T) {
	s := newSetup(t)
	running := s.submit("running")
	<-s.backend.began
	waits := s.submit("waiting")
	s.awaitLoad(t, func(load usher.LoadReport) bool { return load.Waiting == 1 })
	s.declare(t, 2, true)
	handedBack := [2]string{string(usher.RefusalLeaving), string(usher.OutcomeNotRun)}
	if diff := cmp.Diff(handedBack, refusal(<-waits)); diff != "" {
		t.Error("what waited:", diff)
	}
	if diff := cmp.Diff(handedBack, refusal(<-s.submit("later"))); diff != "" {
		t.Error("what came later:", diff)
	}
	close(s.backend.release)
	if reply := <-running; reply.State != wire.StateAnswered {
		t.Errorf("what ran: %+v", reply)
	}
	for _, id := range []usher.RequestID{"room-1", "room-2", "room-3"} {
		if diff := cmp.Diff(handedBack, refusal(<-s.submit(id))); diff != "" {
			t.Error("with room at the endpoint:", diff)
		}
	}
	s.declare(t, 3, false)
	s.awaitLoad(t, func(load usher.LoadReport) bool { return !load.Leaving })
	if reply := <-s.submit("again"); reply.State != wire.StateAnswered {
		t.Errorf("after the departure was called off: %+v", reply)
	}
}
