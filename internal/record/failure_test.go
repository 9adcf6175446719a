package record

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"filbertusher/internal/pause"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/standin/store"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// memoryStore is an in-memory store that can be unavailable, and can apply a write
// and lose the reply. lostReplies is the number of replies that it has yet to lose.
type memoryStore struct {
	store.SingleEra
	countingStore
	mu          sync.Mutex
	objects     map[usher.ObjectKey][]byte
	unavailable bool
	lostReplies int
	writeTime   time.Duration
}

func (s *memoryStore) Put(ctx context.Context, key usher.ObjectKey, _ usher.Version, value []byte) (usher.Version, error) {
	pause.For(ctx, s.writeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, &usher.UnavailableError{Operation: "put", Cause: context.DeadlineExceeded}
	}
	if _, ok := s.objects[key]; ok {
		return 0, &usher.ConflictError{Key: key, Current: 1}
	}
	s.objects[key] = value
	if s.lostReplies > 0 {
		s.lostReplies--
		return 0, &usher.AmbiguousError{Key: key, Cause: context.DeadlineExceeded}
	}
	return 1, nil
}

func (s *memoryStore) Get(_ context.Context, key usher.ObjectKey) (usher.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[key]
	if s.unavailable {
		return usher.Object{}, &usher.UnavailableError{Operation: "get", Cause: context.DeadlineExceeded}
	}
	if !ok {
		return usher.Object{}, &usher.NotFoundError{Key: key}
	}
	return usher.Object{Key: key, Version: 1, Value: value}, nil
}

// stoppablePeers are replicas that can be stopped and restarted.
type stoppablePeers struct {
	mu       sync.Mutex
	replicas map[usher.EndpointName]*Replica
	names    []usher.EndpointName
}

func (p *stoppablePeers) Names() []usher.EndpointName {
	return append([]usher.EndpointName(nil), p.names...)
}

func (p *stoppablePeers) replicaAt(name usher.EndpointName) *Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replicas[name]
}

func (p *stoppablePeers) Exchange(_ context.Context, name usher.EndpointName, args *wire.RecordArgs) (*wire.RecordReply, error) {
	replica := p.replicaAt(name)
	if replica == nil {
		return nil, &peerrpc.UnreachableError{Address: string(name), Cause: context.Canceled}
	}
	reply := replica.exchange(args)
	return &reply, nil
}

// harness runs the recorder of one entry, three replicas and a store.
type harness struct {
	store         *memoryStore
	peers         *stoppablePeers
	recorder      *Recorder
	cancel        context.CancelFunc
	decisionCount int
	startCount    int
	acknowledged  []usher.RequestID
}

func newHarness() *harness {
	h := &harness{store: &memoryStore{objects: make(map[usher.ObjectKey][]byte)}}
	h.peers = &stoppablePeers{replicas: make(map[usher.EndpointName]*Replica)}
	for i := range 3 {
		name := usher.EndpointName(fmt.Sprintf("endpoint-%d", i))
		h.peers.names = append(h.peers.names, name)
		h.startReplica(name)
	}
	h.recorder = NewRecorder(RecorderOptions{BatchInterval: time.Hour, WritesPerSecond: 1e9, MaxBacklogBytes: 1 << 30}, h.store, "entry", zerolog.Nop())
	h.recorder.peers = h.peers
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	go h.recorder.runReplication(ctx)
	return h
}

func (h *harness) startReplica(name usher.EndpointName) {
	h.startCount++
	incarnation := usher.Incarnation(fmt.Sprintf("replica-%d", h.startCount))
	h.peers.mu.Lock()
	defer h.peers.mu.Unlock()
	h.peers.replicas[name] = NewReplica(ReplicaOptions{Incarnation: incarnation, SilenceTimeout: time.Hour, MaxCopyBytes: 1 << 30}, h.store, zerolog.Nop())
}

func (h *harness) stopReplica(name usher.EndpointName) {
	h.peers.mu.Lock()
	defer h.peers.mu.Unlock()
	delete(h.peers.replicas, name)
}

// recordDecision records a decision as an entry does: for an answer, of which the
// companion holds a copy already, or for the entry's own refusal.
func (h *harness) recordDecision(endpoint usher.EndpointName, refusal bool) {
	h.decisionCount++
	decision := usher.Decision{ID: usher.RequestID(fmt.Sprintf("entry-%d", h.decisionCount)), View: usher.ViewEntry, Time: time.Now(), Attempts: 1}
	copies := usher.DecisionCopies{}
	if replica := h.peers.replicaAt(endpoint); replica != nil && !refusal {
		companionCopy := decision
		companionCopy.View = usher.ViewCompanion
		copies = usher.DecisionCopies{Holders: []usher.EndpointName{endpoint}, LastConfirmed: replica.Hold(companionCopy), ConfirmedBy: replica.options.Incarnation}
	}
	h.recorder.Record(context.Background(), decision, copies)
	h.acknowledged = append(h.acknowledged, decision.ID)
}

// runTwoCycles runs two of the recorder's cycles, in which it replaces the copies
// of a stopped replica.
func (h *harness) runTwoCycles() {
	for range 2 {
		h.recorder.runCycle(context.Background())
	}
}

// storedIDs returns the IDs of all stored decisions, with true if the chain of their
// batch is announced.
func (h *harness) storedIDs(t *rapid.T) map[usher.RequestID]bool {
	found := make(map[usher.RequestID]bool)
	announced := make(map[string]bool)
	for key, value := range h.store.objects {
		var writer Writer
		if strings.HasPrefix(string(key), PrefixWriter) && json.Unmarshal(value, &writer) == nil {
			announced[writer.Name] = true
		}
	}
	for key, value := range h.store.objects {
		if !strings.HasPrefix(string(key), PrefixBatch) {
			continue
		}
		batch, err := Decode(value)
		if err != nil {
			t.Fatal(key, err)
		}
		for i := range batch.Decisions {
			found[batch.Decisions[i].ID] = announced[batch.Writer]
		}
	}
	return found
}

// TestSingleFailureKeepsAcknowledgedDecisions guards against losing a decision whose
// caller got its answer when a single process fails. It generates sequences of
// answers, refusals, recorder cycles, store outages, lost store replies and
// companion restarts, and ends with the failure of the entry or of one more
// companion. Every acknowledged decision must be stored then. Failures are at least
// two of the entry's cycles apart, in which it replaces the lost copies.
func TestSingleFailureKeepsAcknowledgedDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		defer h.cancel()
		endpoint := rapid.SampledFrom(h.peers.names)
		for range rapid.IntRange(1, 25).Draw(t, "length") {
			switch rapid.SampledFrom([]string{"answer", "answer", "answer", "refuse", "interval", "down", "up", "loseReply", "restart"}).Draw(t, "event") {
			case "answer":
				h.recordDecision(endpoint.Draw(t, "endpoint"), false)
			case "refuse":
				h.recordDecision("", true)
			case "interval":
				h.recorder.runCycle(context.Background())
			case "down":
				h.store.unavailable = true
			case "up":
				h.store.unavailable = false
			case "loseReply":
				h.store.lostReplies++
			case "restart":
				name := endpoint.Draw(t, "restarted")
				h.stopReplica(name)
				if rapid.Bool().Draw(t, "restart at once") {
					h.startReplica(name)
				}
				h.runTwoCycles()
				if h.peers.replicaAt(name) == nil {
					h.startReplica(name)
				}
			}
		}
		entryFails := rapid.Bool().Draw(t, "entry fails")
		h.store.unavailable = false
		if !entryFails {
			h.stopReplica(endpoint.Draw(t, "last failure"))
			h.runTwoCycles()
		}
		for _, name := range h.peers.names {
			if replica := h.peers.replicaAt(name); replica != nil && entryFails {
				replica.takeOver(context.Background(), true)
				replica.takeOver(context.Background(), true)
			}
		}
		found := h.storedIDs(t)
		for _, id := range h.acknowledged {
			if !found[id] {
				t.Fatalf("decision %s is lost; entry failed: %v", id, entryFails)
			}
		}
	})
}

// A planned stop stores all batches, also if that takes longer than one attempt to store
// them may.
func TestCloseWithSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{objects: make(map[usher.ObjectKey][]byte), writeTime: closeDrainTimeout / 4}
		recorder := NewRecorder(RecorderOptions{BatchInterval: time.Hour, WritesPerSecond: 1e9, MaxBacklogBytes: 1 << 30}, store, "entry", zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const batches = 10
		for i := range batches {
			recorder.chain.add(&usher.Decision{ID: usher.RequestID(fmt.Sprint("r", i)), Time: time.Now()}, nil)
			recorder.chain.Seal(nil, false)
		}
		close(recorder.stopped)
		closeCtx, cancelClose := context.WithTimeout(ctx, 10*closeDrainTimeout)
		defer cancelClose()
		if !recorder.Close(closeCtx) {
			t.Error("Close gave up")
		}
		if left := recorder.chain.unstoredBatches(); len(left) != 0 {
			t.Errorf("%d batches were left behind", len(left))
		}
	})
}
