package journal

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"filbertusher/pkg/usher"
)

// maxStoredBodyBytes is the length of the longest response body that is stored in
// the journal. Of longer ones only the digest is stored; the body is kept in the
// memory of the holder alone.
const maxStoredBodyBytes = 512

// writeBurst is the number of writes that a slot may make without waiting for the
// rate limit, so that a single key is written without delay.
const writeBurst = 3

// KeyEntry is the in-memory state of one key in a slot.
type KeyEntry struct {
	Record

	slot *Slot
	// maybeStored is set once the journal may contain the key.
	maybeStored bool
	// outcome is the record with the outcome, once the entry is finished.
	outcome Record
	// response is the complete response, as long as the holder keeps it.
	response *usher.Response
	refusal  *usher.Refusal
	finished bool
	done     chan struct{}
}

// Slot is the state of a slot that this incarnation holds. The fields below mu are
// protected by it; only the goroutine with writeLock changes version, value and
// unconfirmed, so it reads them without mu. inFlight counts the entries that are not
// finished, and idle is closed when their number falls to 0 during a release. lost
// is the error that callers get once this incarnation no longer holds the slot.
type Slot struct {
	table     *SlotTable
	id        slotID
	retention time.Duration
	local     bool
	limiter   *rate.Limiter
	// writeLock is a semaphore of capacity 1. The goroutine that has it writes the
	// pending changes of all waiting goroutines.
	writeLock chan struct{}

	mu      sync.Mutex
	version usher.Version
	value   head
	// writtenAt is when the store last confirmed a write, and confirmedAt when a write
	// or a read last confirmed that the slot is held.
	writtenAt   time.Time
	confirmedAt time.Time
	// unconfirmed is a write that the store has not confirmed. It has to be resolved
	// before the next write.
	unconfirmed *batch
	pending     []*change
	entries     map[KeyHash]*KeyEntry
	// epoch counts the refusals with the outcome "not run". refusedEpochs maps each
	// refused key to its epoch; minEpoch is the epoch of the newest refusal that was
	// dropped from it.
	epoch         uint64
	minEpoch      uint64
	refusedEpochs map[KeyHash]uint64
	inFlight      int
	idle          chan struct{}
	lost          *MovedError
	releasing     bool
	flushTimer    *time.Timer
}

func newSlot(table *SlotTable, id slotID, retention time.Duration, version usher.Version, value head) *Slot {
	return &Slot{
		table: table, id: id, retention: retention,
		limiter: rate.NewLimiter(rate.Limit(table.options.WritesPerSecond), writeBurst), writeLock: make(chan struct{}, 1),
		version: version, value: value, confirmedAt: time.Now(), entries: make(map[KeyHash]*KeyEntry),
		refusedEpochs: make(map[KeyHash]uint64), idle: make(chan struct{}),
	}
}

// NewLocalSlot returns an in-memory slot for tickets, which are keys that contain the
// name of this incarnation. No other incarnation can hold it, so it needs no store.
func NewLocalSlot(retention time.Duration, maxKeys int) *Slot {
	table := NewSlotTable(Options{MaxKeys: maxKeys}, nil, nil)
	slot := newSlot(table, slotID{}, retention, 0, head{})
	slot.local = true
	return slot
}

// View returns the view that entry processes need to send requests to the slot.
func (s *Slot) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view()
}

func (s *Slot) view() View {
	return View{Holder: s.table.options.Holder, Fence: s.value.Fence, Epoch: s.epoch}
}

// markRefused makes messages stale that were sent with the key up to now. The
// caller holds mu.
func (s *Slot) markRefused(key KeyHash) {
	s.epoch++
	s.refusedEpochs[key] = s.epoch
	if len(s.refusedEpochs) <= maxRefusedKeys {
		return
	}
	s.minEpoch = s.epoch
	s.refusedEpochs = make(map[KeyHash]uint64)
}

// maxRefusedKeys is the maximum number of keys in refusedEpochs. When it is
// exceeded, the map is cleared and every message in flight to the slot has to be
// resent once.
const maxRefusedKeys = 4096

// restore adds the records of the journal to the slot. A request without an
// outcome may have run, so its key is never dispatched again.
func (s *Slot) restore(records []Record) {
	for _, record := range records {
		if record.Outcome == usher.OutcomeNotRun {
			delete(s.entries, record.Key)
			continue
		}
		entry := &KeyEntry{Record: record, outcome: record, slot: s, maybeStored: true, finished: true, done: make(chan struct{})}
		close(entry.done)
		switch {
		case record.Outcome != usher.OutcomeRan:
			entry.refusal = usher.NewUnknownOutcome(usher.RefusalEndpointFailed, "the companion that had the key is gone; the request may have run")
		case record.Body != nil || record.BodyDigest == usher.DigestOf(nil):
			entry.response = &usher.Response{Status: record.Status, ContentType: record.ContentType, Body: record.Body}
		default:
			entry.refusal = responseExpired()
		}
		s.entries[record.Key] = entry
	}
}

func responseExpired() *usher.Refusal {
	return &usher.Refusal{
		Kind: usher.RefusalResponseExpired, Outcome: usher.OutcomeRan,
		Message: "the request ran; its answer is no longer kept",
	}
}

// GetOrCreate returns the entry of a key and creates it if there is none. If isNew is
// set, the caller owns the entry and has to call Commit and Finish. Otherwise it
// waits for Done and reads Result.
//
// Errors are *usher.Refusal if the key was used with another request or the slot
// is full, *StaleError and *MovedError.
func (s *Slot) GetOrCreate(key KeyHash, digest usher.Digest, id usher.RequestID, view View) (entry *KeyEntry, isNew bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		return nil, false, s.lost
	}
	now := time.Now()
	existing, ok := s.entries[key]
	if ok && existing.finished && now.Sub(existing.Taken) > s.retention {
		delete(s.entries, key)
		ok = false
	}
	switch {
	case ok && existing.Digest != digest:
		return nil, false, usher.NewRefusal(usher.RefusalKeyConflict, "the key was used before with another request")
	case ok:
		s.table.counts.replays.Add(1)
		return existing, false, nil
	case s.releasing:
		return nil, false, &MovedError{}
	case s.isStale(key, view):
		return nil, false, &StaleError{View: s.view()}
	}
	if len(s.entries) >= s.table.options.MaxKeys {
		s.removeExpired(now)
	}
	if len(s.entries) >= s.table.options.MaxKeys {
		return nil, false, usher.NewRefusal(usher.RefusalOverloaded, "too many keys are remembered").WithRetryAfter(time.Second)
	}
	entry = &KeyEntry{Record: Record{Key: key, Digest: digest, ID: id, Taken: now}, slot: s, done: make(chan struct{})}
	s.entries[key] = entry
	s.inFlight++
	return entry, true, nil
}

// firstFencingToken is the fencing token of the first holder of a slot.
const firstFencingToken usher.FencingToken = 1

// isStale reports whether a message may have been sent before its key was
// refused. The first holder knows all refusals of the slot; a later one accepts
// only messages that were sent to itself. The caller holds mu.
func (s *Slot) isStale(key KeyHash, view View) bool {
	if view.Fence != s.value.Fence && s.value.Fence > firstFencingToken {
		return true
	}
	return view.Epoch < max(s.minEpoch, s.refusedEpochs[key])
}

// Has reports whether the slot has an entry for the key.
func (s *Slot) Has(key KeyHash) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.entries[key]
	return ok
}

// removeExpired removes finished entries that are older than the retention. The
// caller holds mu.
func (s *Slot) removeExpired(now time.Time) {
	for key, entry := range s.entries {
		if entry.finished && now.Sub(entry.Taken) > s.retention {
			delete(s.entries, key)
		}
	}
}

// Commit writes the key to the journal. The request may be dispatched only
// after it returned nil. After an error the caller has to call Finish: this
// request was not dispatched, but an earlier request with the same key may have
// been dispatched by another holder.
//
// Errors are *MovedError and *UnconfirmedError.
func (e *KeyEntry) Commit(ctx context.Context) error {
	e.slot.mu.Lock()
	e.maybeStored = true
	e.slot.mu.Unlock()
	e.slot.table.counts.keys.Add(1)
	return e.slot.submit(ctx, &change{record: &e.Record, done: make(chan struct{})})
}

// ConfirmHeld checks with the store that this incarnation still holds the slot. If it
// returns nil, a key without an entry has not run anywhere so far.
//
// Errors are *MovedError and *UnconfirmedError.
func (s *Slot) ConfirmHeld(ctx context.Context) error {
	return s.submit(ctx, &change{done: make(chan struct{})})
}

// Finish completes a new entry with its response or refusal. The key of a request
// that did not run can be used again.
func (e *KeyEntry) Finish(response *usher.Response, refusal *usher.Refusal) {
	s := e.slot
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.finished {
		return
	}
	e.response, e.refusal, e.finished = response, refusal, true
	record := e.Record
	switch {
	case refusal == nil:
		record.Outcome, record.Status, record.ContentType, record.BodyDigest = usher.OutcomeRan, response.Status, response.ContentType, response.Digest()
		if len(response.Body) <= maxStoredBodyBytes {
			record.Body = response.Body
		}
	case refusal.NotDispatched():
		record.Outcome = usher.OutcomeNotRun
		delete(s.entries, e.Key)
		if refusal.Outcome == usher.OutcomeNotRun {
			s.markRefused(e.Key)
		}
	default:
		record.Outcome = refusal.Outcome
	}
	e.outcome = record
	close(e.done)
	if e.maybeStored && s.lost == nil && !s.local {
		s.pending = append(s.pending, &change{record: &record})
		s.scheduleFlush()
	}
	s.inFlight--
	if s.inFlight == 0 && s.releasing {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// Done returns a channel that is closed when the entry is finished.
func (e *KeyEntry) Done() <-chan struct{} { return e.done }

// Result returns the response or the refusal of a finished entry.
func (e *KeyEntry) Result() (*usher.Response, *usher.Refusal) {
	e.slot.mu.Lock()
	defer e.slot.mu.Unlock()
	return e.response, e.refusal
}

// scheduleFlush writes the pending outcomes after OutcomeDelay, unless another write
// of the slot includes them earlier. The caller holds mu.
func (s *Slot) scheduleFlush() {
	delay := s.table.options.OutcomeDelay
	if delay <= 0 || s.flushTimer != nil {
		return
	}
	s.flushTimer = time.AfterFunc(delay, func() {
		s.mu.Lock()
		s.flushTimer = nil
		hasPending := len(s.pending) > 0 && s.lost == nil
		s.mu.Unlock()
		if !hasPending {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
		defer cancel()
		if s.flush(ctx) != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.lost == nil {
				s.scheduleFlush()
			}
		}
	})
}

// outcomeTimeout is the timeout of one attempt to write pending outcomes.
const outcomeTimeout = 5 * time.Second

// release waits until the requests in the slot have finished and clears its holder
// in the store.
func (s *Slot) release(ctx context.Context) error {
	s.mu.Lock()
	s.releasing = true
	var idle chan struct{}
	if s.inFlight > 0 {
		idle = s.idle
	}
	s.mu.Unlock()
	if idle != nil {
		select {
		case <-idle:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	err := s.submit(ctx, &change{release: true, done: make(chan struct{})})
	if err == nil {
		s.markLost(&MovedError{})
	}
	return err
}

func (s *Slot) markLost(moved *MovedError) {
	s.mu.Lock()
	if s.lost == nil {
		s.lost = moved
	}
	for _, change := range s.pending {
		change.complete(s.lost)
	}
	s.pending = nil
	s.mu.Unlock()
	s.table.removeSlot(s)
}

func (s *Slot) state() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"fence": s.value.Fence, "version": s.version, "keys": len(s.entries), "running": s.inFlight,
		"segments": len(s.value.Segments), "pending": len(s.pending), "unsettled": s.unconfirmed != nil,
	}
}
