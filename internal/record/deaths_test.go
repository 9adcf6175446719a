package record

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"filbertusher/internal/link"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// keptStore keeps what is put, and can be down, lose answers, or do late what
// it said nothing of.
type keptStore struct {
	countingStore
	mu      sync.Mutex
	objects map[usher.ObjectKey][]byte
	off     bool
	lose    int
}

func (s *keptStore) Put(_ context.Context, key usher.ObjectKey, _ usher.Version, value []byte) (usher.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.off {
		return 0, &usher.UnavailableError{Operation: "put", Cause: context.DeadlineExceeded}
	}
	if _, ok := s.objects[key]; ok {
		return 0, &usher.ConflictError{Key: key, Current: 1}
	}
	s.objects[key] = value
	if s.lose > 0 {
		s.lose--
		return 0, &usher.AmbiguousError{Key: key, Cause: context.DeadlineExceeded}
	}
	return 1, nil
}

func (s *keptStore) Get(_ context.Context, key usher.ObjectKey) (usher.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[key]
	if s.off {
		return usher.Object{}, &usher.UnavailableError{Operation: "get", Cause: context.DeadlineExceeded}
	}
	if !ok {
		return usher.Object{}, &usher.NotFoundError{Key: key}
	}
	return usher.Object{Key: key, Version: 1, Value: value}, nil
}

// mortalPeers are keepers that can die.
type mortalPeers struct {
	mu      sync.Mutex
	keepers map[usher.EndpointName]*Keeper
	names   []usher.EndpointName
}

func (p *mortalPeers) Names() []usher.EndpointName {
	return append([]usher.EndpointName(nil), p.names...)
}

func (p *mortalPeers) of(name usher.EndpointName) *Keeper {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keepers[name]
}

func (p *mortalPeers) Exchange(_ context.Context, name usher.EndpointName, args *wire.RecordArgs) (*wire.RecordReply, error) {
	keeper := p.of(name)
	if keeper == nil {
		return nil, &link.UnreachableError{Address: string(name), Cause: context.Canceled}
	}
	reply := keeper.exchange(args)
	return &reply, nil
}

// world is one entry with its recorder, and the keepers around it.
type world struct {
	store    *keptStore
	peers    *mortalPeers
	recorder *Recorder
	cancel   context.CancelFunc
	next     int
	starts   int
	told     []usher.RequestID
}

func newWorld() *world {
	w := &world{store: &keptStore{objects: make(map[usher.ObjectKey][]byte)}}
	w.peers = &mortalPeers{keepers: make(map[usher.EndpointName]*Keeper)}
	for i := range 3 {
		name := usher.EndpointName(fmt.Sprintf("endpoint-%d", i))
		w.peers.names = append(w.peers.names, name)
		w.start(name)
	}
	w.recorder = NewRecorder(Options{Interval: time.Hour, WritesPerSecond: 1e9, Limit: 1 << 30}, w.store, "entry", zerolog.Nop())
	w.recorder.peers = w.peers
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(context.Background())
	go w.recorder.runHolds(ctx)
	return w
}

func (w *world) start(name usher.EndpointName) {
	w.starts++
	incarnation := usher.Incarnation(fmt.Sprintf("keeper-%d", w.starts))
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	w.peers.keepers[name] = NewKeeper(KeeperOptions{Incarnation: incarnation, Silence: time.Hour, Limit: 1 << 30}, w.store, zerolog.Nop())
}

func (w *world) kill(name usher.EndpointName) {
	w.peers.mu.Lock()
	defer w.peers.mu.Unlock()
	delete(w.peers.keepers, name)
}

// answer records a decision as an entry does for an answer, of which the
// companion has a copy, or for a refusal of its own.
func (w *world) answer(at usher.EndpointName, refusal bool) {
	w.next++
	decision := usher.Decision{ID: usher.RequestID(fmt.Sprintf("entry-%d", w.next)), View: usher.ViewEntry, Time: time.Now(), Attempts: 1}
	copies := usher.Copies{}
	if keeper := w.peers.of(at); keeper != nil && !refusal {
		seen := decision
		seen.View = usher.ViewCompanion
		copies = usher.Copies{At: []usher.EndpointName{at}, Same: keeper.Hold(seen), By: keeper.options.Incarnation}
	}
	w.recorder.Record(context.Background(), decision, copies)
	w.told = append(w.told, decision.ID)
}

// settle gives the entry two intervals, in which it makes up for a death.
func (w *world) settle() {
	for range 2 {
		w.recorder.step(context.Background())
	}
}

// stored returns the ids of all decisions in batches whose chain is announced.
func (w *world) stored(t *rapid.T) map[usher.RequestID]bool {
	found := make(map[usher.RequestID]bool)
	announced := make(map[string]bool)
	for key, value := range w.store.objects {
		var writer Writer
		if strings.HasPrefix(string(key), PrefixWriter) && json.Unmarshal(value, &writer) == nil {
			announced[writer.Name] = true
		}
	}
	for key, value := range w.store.objects {
		if !strings.HasPrefix(string(key), PrefixBatch) {
			continue
		}
		batch, err := Open(value)
		if err != nil {
			t.Fatal(key, err)
		}
		for i := range batch.Decisions {
			found[batch.Decisions[i].ID] = announced[batch.Writer]
		}
	}
	return found
}

// TestNoSingleDeathLosesADecision runs any history of answers, intervals,
// outages, lost answers and restarts of companions, kills the entry at the end
// or not, and looks for every decision that a caller was told. Deaths come one
// after the other, two of the entry's intervals apart at least.
func TestNoSingleDeathLosesADecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		defer w.cancel()
		endpoint := rapid.SampledFrom(w.peers.names)
		for range rapid.IntRange(1, 25).Draw(t, "length") {
			switch rapid.SampledFrom([]string{"answer", "answer", "answer", "refuse", "interval", "down", "up", "lose", "restart"}).Draw(t, "event") {
			case "answer":
				w.answer(endpoint.Draw(t, "at"), false)
			case "refuse":
				w.answer("", true)
			case "interval":
				w.recorder.step(context.Background())
			case "down":
				w.store.off = true
			case "up":
				w.store.off = false
			case "lose":
				w.store.lose++
			case "restart":
				name := endpoint.Draw(t, "restarted")
				w.kill(name)
				if rapid.Bool().Draw(t, "at once") {
					w.start(name)
				}
				w.settle()
				if w.peers.of(name) == nil {
					w.start(name)
				}
			}
		}
		entryDies := rapid.Bool().Draw(t, "entry dies")
		w.store.off = false
		if !entryDies {
			w.kill(endpoint.Draw(t, "last death"))
			w.settle()
		}
		for _, name := range w.peers.names {
			if keeper := w.peers.of(name); keeper != nil && entryDies {
				keeper.step(context.Background(), true)
				keeper.step(context.Background(), true)
			}
		}
		found := w.stored(t)
		for _, id := range w.told {
			if !found[id] {
				t.Fatalf("%s is lost; the entry died: %v", id, entryDies)
			}
		}
	})
}
