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

// Options configures a slot table. Holder is the incarnation that the table belongs
// to.
type Options struct {
	Holder
	// Retention is how long keys are remembered if their service does not declare a
	// retention.
	Retention time.Duration
	// WritesPerSecond limits the writes of one slot. Keys that arrive between two
	// writes share the next one. As the number of slots of a service is fixed, this
	// limits its writes regardless of the number of its companions.
	WritesPerSecond float64
	// OutcomeDelay is how long an outcome waits for another write of the slot that
	// includes it, before it is written on its own. If 0, it waits for the next write.
	OutcomeDelay time.Duration
	// MaxKeys is the maximum number of keys that one slot remembers.
	MaxKeys int
	// MaxHeadBytes is the estimated size of the records in a slot's head object, in
	// bytes, above which the next write moves them to a segment; 0 selects
	// defaultMaxHeadBytes.
	MaxHeadBytes int
}

// Prober checks whether the holder of a slot has stopped serving it. A wrong
// result causes an unneeded or a late takeover, but no request runs twice.
type Prober interface {
	Gone(ctx context.Context, holder Holder) bool
}

// maxClaimAttempts is how often one claim reads the head object and tries to update
// it. A claim starts again after it has probed the holder, and after its update
// failed, for example because of a concurrent update by another companion.
const maxClaimAttempts = 5

// slotID identifies a slot across all services.
type slotID struct {
	service usher.ServiceName
	number  SlotNumber
}

// SlotTable is the table of slots that one companion incarnation holds. writeNumber
// is the last number used in a write ID or in the name of a segment. claims has a
// channel for each slot that is being claimed, which is closed when the claim ends.
type SlotTable struct {
	options     Options
	store       usher.Store
	prober      Prober
	writeNumber atomic.Uint64
	counts      counters

	mu     sync.Mutex
	slots  map[slotID]*Slot
	claims map[slotID]chan struct{}
	closed bool
	// era is the store's era, and eraSeen when this incarnation first saw it. restored
	// is set if it has seen an earlier era.
	era      usher.StoreEra
	eraSeen  time.Time
	restored bool
}

// counters are the numbers that State reports: store writes and reads, committed
// keys, slots claimed and lost, requests with a key that the slot had already, slots
// written again after the store lost them, and checks of held slots that failed.
type counters struct {
	writes, reads, keys, takeovers, lost, replays, rewritten, unconfirmed atomic.Int64
}

// NewSlotTable returns an empty slot table.
func NewSlotTable(options Options, store usher.Store, prober Prober) *SlotTable {
	if options.MaxHeadBytes == 0 {
		options.MaxHeadBytes = defaultMaxHeadBytes
	}
	return &SlotTable{
		options: options, store: store, prober: prober,
		slots: make(map[slotID]*Slot), claims: make(map[slotID]chan struct{}),
	}
}

// Slot returns a slot that this incarnation holds, and claims it first if it has no
// holder or its holder is gone. retention is the one that the service declares, or 0.
//
// Errors are *MovedError, *UnconfirmedError and *MalformedError.
func (t *SlotTable) Slot(ctx context.Context, service usher.ServiceName, number SlotNumber, retention time.Duration) (*Slot, error) {
	id := slotID{service: service, number: number}
	for {
		t.mu.Lock()
		held, closed, claiming := t.slots[id], t.closed, t.claims[id]
		if held == nil && !closed && claiming == nil {
			claiming = make(chan struct{})
			t.claims[id] = claiming
			t.mu.Unlock()
			return t.claim(ctx, id, retention, claiming)
		}
		t.mu.Unlock()
		switch {
		case held != nil:
			return held, nil
		case closed:
			return nil, &MovedError{}
		}
		select {
		case <-claiming:
		case <-ctx.Done():
			return nil, &UnconfirmedError{Cause: context.Cause(ctx)}
		}
	}
}

// claim takes over a slot and wakes the callers that wait for it on claiming. Per
// slot, one call runs at a time.
func (t *SlotTable) claim(ctx context.Context, id slotID, retention time.Duration, claiming chan struct{}) (*Slot, error) {
	if retention <= 0 {
		retention = t.options.Retention
	}
	slot, err := t.takeOver(ctx, id, retention)
	t.mu.Lock()
	if err == nil {
		t.slots[id] = slot
	}
	delete(t.claims, id)
	close(claiming)
	t.mu.Unlock()
	return slot, err
}

// takeOver makes this incarnation the holder. After the conditional update, writes
// of the previous holder fail, so the object contains all keys that it may have
// dispatched.
func (t *SlotTable) takeOver(ctx context.Context, id slotID, retention time.Duration) (*Slot, error) {
	key := headKey(id.service, id.number)
	probed := Holder{}
	var lastErr error
	for range maxClaimAttempts {
		version, current, err := t.readHead(ctx, key)
		if err != nil {
			return nil, err
		}
		if t.mayLackKeys(version, &current) {
			return nil, &UnconfirmedError{Cause: &RestoredError{Key: key}}
		}
		if other := current.Holder; t.heldByOther(other) && other != probed {
			if !t.prober.Gone(ctx, other) {
				return nil, &MovedError{Holder: other}
			}
			probed = other
			// Read again: the holder may have written while it was probed.
			continue
		}
		next := current
		next.Holder, next.WriteID, next.Era = t.options.Holder, t.newWriteID(), t.store.Era()
		next.Fence = current.Fence.Next(next.Era)
		written, err := t.writeHead(ctx, key, version, next)
		if err == nil {
			t.counts.takeovers.Add(1)
			return t.loadSlot(ctx, id, retention, written, next)
		}
		lastErr = err
	}
	return nil, &UnconfirmedError{Cause: lastErr}
}

// heldByOther reports whether the holder is another companion. An earlier
// incarnation of this companion is replaced without a probe.
func (t *SlotTable) heldByOther(holder Holder) bool {
	return holder.Incarnation != "" && holder.Incarnation != t.options.Incarnation && holder.Endpoint != t.options.Endpoint
}

func (t *SlotTable) newWriteID() string {
	return string(t.options.Incarnation) + "/" + strconv.FormatUint(t.writeNumber.Add(1), 10)
}

// readHead reads a head object. One that does not exist is returned as an empty
// head with version 0.
func (t *SlotTable) readHead(ctx context.Context, key usher.ObjectKey) (usher.Version, head, error) {
	t.counts.reads.Add(1)
	object, err := t.store.Get(ctx, key)
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		return 0, head{}, nil
	}
	if err != nil {
		return 0, head{}, &UnconfirmedError{Cause: err}
	}
	var value head
	if err := json.Unmarshal(object.Value, &value); err != nil {
		return 0, head{}, &MalformedError{Key: key, Cause: err}
	}
	return object.Version, value, nil
}

// writeHead writes a head object. If the response is lost, it compares the write ID
// to find out whether the write took effect. After an error the caller has to read
// the object again.
func (t *SlotTable) writeHead(ctx context.Context, key usher.ObjectKey, expected usher.Version, value head) (usher.Version, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, &MalformedError{Key: key, Cause: err}
	}
	t.counts.writes.Add(1)
	version, err := t.store.Put(ctx, key, expected, encoded)
	var unavailable *usher.UnavailableError
	if err == nil || errors.As(err, &unavailable) {
		return version, err
	}
	version, current, readErr := t.readHead(ctx, key)
	if readErr == nil && current.WriteID == value.WriteID {
		return version, nil
	}
	return 0, err
}

// loadSlot restores a slot from its head and the segments that the head refers to.
// These segments are immutable.
func (t *SlotTable) loadSlot(ctx context.Context, id slotID, retention time.Duration, version usher.Version, value head) (*Slot, error) {
	slot := newSlot(t, id, retention, version, value)
	for _, ref := range value.Segments {
		t.counts.reads.Add(1)
		object, err := t.store.Get(ctx, segmentKey(id.service, id.number, ref.Name))
		if err != nil {
			return nil, &UnconfirmedError{Cause: err}
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

// removeSlot removes a slot that this incarnation no longer holds.
func (t *SlotTable) removeSlot(slot *Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.slots[slot.id] == slot {
		delete(t.slots, slot.id)
		t.counts.lost.Add(1)
	}
}

// Release gives up every slot once its requests have finished, so that a successor
// can claim it without waiting. Afterwards no slot is claimed until Reopen.
func (t *SlotTable) Release(ctx context.Context) error {
	t.mu.Lock()
	t.closed = true
	slots := make([]*Slot, 0, len(t.slots))
	for _, slot := range t.slots {
		slots = append(slots, slot)
	}
	t.mu.Unlock()
	var lastErr error
	for _, slot := range slots {
		if err := slot.release(ctx); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// Reopen allows slots to be claimed again after Release.
func (t *SlotTable) Reopen() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = false
}

// State returns the state of the slot table for the process's diagnostic dump.
func (t *SlotTable) State() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := make(map[string]any, len(t.slots))
	for id, slot := range t.slots {
		held[string(id.service)+"/"+strconv.Itoa(int(id.number))] = slot.state()
	}
	return map[string]any{
		"held": held, "writes": t.counts.writes.Load(), "reads": t.counts.reads.Load(), "keys": t.counts.keys.Load(),
		"takeovers": t.counts.takeovers.Load(), "lost": t.counts.lost.Load(), "replays": t.counts.replays.Load(),
		"rewritten": t.counts.rewritten.Load(), "unconfirmed": t.counts.unconfirmed.Load(),
	}
}
