package journal

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/pkg/usher"
)

// Options of a book.
type Options struct {
	Holder
	// Retention is how long keys are remembered when their service declares
	// no time of its own.
	Retention time.Duration
	// WritesPerSecond bounds the writes of one slot. Keys that come in between
	// share a write. As a service has a fixed number of slots, its writes are
	// bounded whatever the number of its companions is.
	WritesPerSecond float64
	// OutcomeDelay is how long an outcome may wait for a write to share; 0
	// leaves outcomes to the next write.
	OutcomeDelay time.Duration
	// MaxKeys bounds the keys that one slot remembers.
	MaxKeys int
	// MaxHead bounds the records in a slot's object, in bytes; 0 is a default.
	MaxHead int
}

// Prober finds out whether the holder of a slot still serves it. A wrong
// answer costs a takeover and never breaks a promise.
type Prober interface {
	Gone(ctx context.Context, holder Holder) bool
}

// claimAttempts bounds the races that one claim goes through.
const claimAttempts = 5

// slotID names a slot among all services.
type slotID struct {
	service usher.ServiceName
	number  SlotNumber
}

// Book is the slots that one companion incarnation holds.
type Book struct {
	options Options
	store   usher.Store
	prober  Prober
	writes  atomic.Uint64
	counts  counters

	mu     sync.Mutex
	slots  map[slotID]*Slot
	claims map[slotID]chan struct{}
	closed bool
}

type counters struct {
	writes, reads, keys, takeovers, lost, replays atomic.Int64
}

// NewBook returns a book without slots.
func NewBook(options Options, store usher.Store, prober Prober) *Book {
	if options.MaxHead == 0 {
		options.MaxHead = defaultMaxHead
	}
	return &Book{
		options: options, store: store, prober: prober,
		slots: make(map[slotID]*Slot), claims: make(map[slotID]chan struct{}),
	}
}

// Slot returns a slot that this incarnation holds, and claims it when its
// holder is gone. retention is the service's declared time or 0.
//
// Errors are *MovedError, *UnsettledError and *MalformedError.
func (b *Book) Slot(ctx context.Context, service usher.ServiceName, number SlotNumber, retention time.Duration) (*Slot, error) {
	id := slotID{service: service, number: number}
	for {
		b.mu.Lock()
		held, closed, claiming := b.slots[id], b.closed, b.claims[id]
		if held == nil && !closed && claiming == nil {
			claiming = make(chan struct{})
			b.claims[id] = claiming
			b.mu.Unlock()
			return b.claim(ctx, id, retention, claiming)
		}
		b.mu.Unlock()
		switch {
		case held != nil:
			return held, nil
		case closed:
			return nil, &MovedError{}
		}
		select {
		case <-claiming:
		case <-ctx.Done():
			return nil, &UnsettledError{Cause: context.Cause(ctx)}
		}
	}
}

// claim runs for one caller at a time for each slot.
func (b *Book) claim(ctx context.Context, id slotID, retention time.Duration, claiming chan struct{}) (*Slot, error) {
	if retention <= 0 {
		retention = b.options.Retention
	}
	slot, err := b.takeOver(ctx, id, retention)
	b.mu.Lock()
	if err == nil {
		b.slots[id] = slot
	}
	delete(b.claims, id)
	close(claiming)
	b.mu.Unlock()
	return slot, err
}

// takeOver makes this incarnation the holder. The conditional update ends the
// old holder's writes; what the object holds after it is complete.
func (b *Book) takeOver(ctx context.Context, id slotID, retention time.Duration) (*Slot, error) {
	key := headKey(id.service, id.number)
	probed := Holder{}
	var last error
	for range claimAttempts {
		version, current, err := b.read(ctx, key)
		if err != nil {
			return nil, err
		}
		if other := current.Holder; b.isOther(other) && other != probed {
			if !b.prober.Gone(ctx, other) {
				return nil, &MovedError{Holder: other}
			}
			probed = other
			// The holder may have written while it was probed.
			continue
		}
		next := current
		next.Holder, next.Fence, next.Stamp = b.options.Holder, current.Fence+1, b.stamp()
		written, err := b.put(ctx, key, version, next)
		if err == nil {
			b.counts.takeovers.Add(1)
			return b.load(ctx, id, retention, written, next)
		}
		last = err
	}
	return nil, &UnsettledError{Cause: last}
}

// isOther says whether the holder is neither this companion nor an earlier
// incarnation of it, which is replaced at once.
func (b *Book) isOther(holder Holder) bool {
	return holder.Incarnation != "" && holder.Incarnation != b.options.Incarnation && holder.Endpoint != b.options.Endpoint
}

func (b *Book) stamp() string {
	return string(b.options.Incarnation) + "/" + strconv.FormatUint(b.writes.Add(1), 10)
}

// read returns a head; one that does not exist is empty at version 0.
func (b *Book) read(ctx context.Context, key usher.ObjectKey) (usher.Version, head, error) {
	b.counts.reads.Add(1)
	object, err := b.store.Get(ctx, key)
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		return 0, head{}, nil
	}
	if err != nil {
		return 0, head{}, &UnsettledError{Cause: err}
	}
	var value head
	if err := json.Unmarshal(object.Value, &value); err != nil {
		return 0, head{}, &MalformedError{Key: key, Cause: err}
	}
	return object.Version, value, nil
}

// put writes a head and settles a lost answer by the stamp. An error means
// that the caller has to read again.
func (b *Book) put(ctx context.Context, key usher.ObjectKey, expected usher.Version, value head) (usher.Version, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, &MalformedError{Key: key, Cause: err}
	}
	b.counts.writes.Add(1)
	version, err := b.store.Put(ctx, key, expected, encoded)
	var unavailable *usher.UnavailableError
	if err == nil || errors.As(err, &unavailable) {
		return version, err
	}
	version, current, readErr := b.read(ctx, key)
	if readErr == nil && current.Stamp == value.Stamp {
		return version, nil
	}
	return 0, err
}

// load reads the segments that the head names. They never change once named.
func (b *Book) load(ctx context.Context, id slotID, retention time.Duration, version usher.Version, value head) (*Slot, error) {
	slot := newSlot(b, id, retention, version, value)
	for _, ref := range value.Segments {
		b.counts.reads.Add(1)
		object, err := b.store.Get(ctx, segmentKey(id.service, id.number, ref.Name))
		if err != nil {
			return nil, &UnsettledError{Cause: err}
		}
		var records []Record
		if err := json.Unmarshal(object.Value, &records); err != nil {
			return nil, &MalformedError{Key: object.Key, Cause: err}
		}
		slot.restore(records)
	}
	slot.restore(value.Records)
	return slot, nil
}

// drop forgets a slot that was lost.
func (b *Book) drop(slot *Slot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slots[slot.id] == slot {
		delete(b.slots, slot.id)
		b.counts.lost.Add(1)
	}
}

// Release gives every slot up once its requests have ended, so that a
// successor need not wait. No slot is claimed after it.
func (b *Book) Release(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	slots := make([]*Slot, 0, len(b.slots))
	for _, slot := range b.slots {
		slots = append(slots, slot)
	}
	b.mu.Unlock()
	var failed error
	for _, slot := range slots {
		if err := slot.release(ctx); err != nil {
			failed = err
		}
	}
	return failed
}

// Reopen lets slots be claimed again after a Release.
func (b *Book) Reopen() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = false
}

// State is the book's part of the dump.
func (b *Book) State() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := make(map[string]any, len(b.slots))
	for id, slot := range b.slots {
		held[string(id.service)+"/"+strconv.Itoa(int(id.number))] = slot.state()
	}
	return map[string]any{
		"held": held, "writes": b.counts.writes.Load(), "reads": b.counts.reads.Load(), "keys": b.counts.keys.Load(),
		"takeovers": b.counts.takeovers.Load(), "lost": b.counts.lost.Load(), "replays": b.counts.replays.Load(),
	}
}
