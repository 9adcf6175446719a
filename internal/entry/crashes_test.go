package entry

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/blame"
	"filbertusher/internal/config"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/suspect"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// scriptedCompanion replies to each Ping with its suspects, and holds each Collect open.
type scriptedCompanion struct {
	suspects *suspect.Table
	pings    atomic.Int64
	done     <-chan struct{}
}

func (s *scriptedCompanion) Ping(_ *wire.PingArgs, reply *wire.PingReply) error {
	s.pings.Add(1)
	reply.Suspects = s.suspects.Recent()
	return nil
}

func (s *scriptedCompanion) Collect(*wire.CollectArgs, *wire.CollectReply) error {
	// The entry under test has nothing that a reply could be passed to.
	<-s.done
	return context.Canceled
}

// startEntry returns an entry with one endpoint, whose companion is returned too.
func startEntry(t *testing.T) (*Entry, *scriptedCompanion) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	companion := &scriptedCompanion{suspects: suspect.NewTable(), done: t.Context().Done()}
	server := peerrpc.NewServer(listener, peerrpc.LargeMessages)
	if err := server.Register("Companion", companion); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context()) }()
	value, err := json.Marshal(usher.Endpoint{Name: "e", Service: "advice", Companion: listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := config.Build([]usher.Object{{Key: config.Key(config.KindEndpoint, "e"), Value: value}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	holder := config.NewHolder()
	if !holder.Offer(snapshot) {
		t.Fatal("the snapshot was not accepted")
	}
	e := New(Options{Incarnation: "i", MaxCrashes: 2}, Dependencies{
		Config: holder, Suspects: suspect.NewTable(), Blame: blame.New(time.Now, func(blame.Trait, int) {}), Log: zerolog.Nop(),
	})
	go func() { _ = e.Run(t.Context()) }()
	for len(e.peers.list()) == 0 {
		time.Sleep(time.Millisecond)
	}
	return e, companion
}

// A request that crashed one endpoint here and another one elsewhere, of which the entry
// has not heard, is refused before it reaches a third.
func TestSecondCrashElsewhereIsAskedFor(t *testing.T) {
	e, companion := startEntry(t)
	req := &request{RequestHeader: usher.RequestHeader{ID: "r", Service: "advice", Digest: "d"}}
	for range 3 {
		if refusal := e.checkCrashLimit(t.Context(), req); refusal != nil {
			t.Fatalf("a request without a crash was refused: %+v", refusal)
		}
	}
	if got := companion.pings.Load(); got != 0 {
		t.Errorf("the companion was asked %d times about a request without a crash", got)
	}
	e.Suspects.RecordCrash(&req.RequestHeader)
	if refusal := e.checkCrashLimit(t.Context(), req); refusal != nil {
		t.Errorf("a request with one crash was refused: %+v", refusal)
	}
	companion.suspects.Merge(e.Suspects.Recent())
	companion.suspects.RecordCrash(&req.RequestHeader)
	if refusal := e.checkCrashLimit(t.Context(), req); refusal == nil || refusal.Kind != usher.RefusalCrashSuspect {
		t.Errorf("a request with two crashes got %+v", refusal)
	}
}
