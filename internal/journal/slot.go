package journal

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"filbertusher/pkg/usher"
)

// maxBody is how long an answer may be to be kept in the journal, in bytes.
// Longer ones are kept by the holder alone, and by their digest.
const maxBody = 512

// writeBurst is how many writes of a slot may follow each other at once, so
// that a key which comes alone does not wait.
const writeBurst = 3

// Entry is one key in a slot.
type Entry struct {
	Record

	slot *Slot
	// written is set when the journal may hold the key.
	written bool
	// answer is the whole answer while the holder keeps it.
	answer  *usher.Answer
	refusal *usher.Refusal
	ended   bool
	done    chan struct{}
}

// Slot is a slot while this incarnation holds it.
type Slot struct {
	book      *Book
	id        slotID
	retention time.Duration
	local     bool
	limiter   *rate.Limiter
	// writing is the right to write; its holder writes for all that wait.
	writing chan struct{}

	mu      sync.Mutex
	version usher.Version
	value   head
	// limbo is a write whose fate is unsure; it has to be settled first.
	limbo   *batch
	pending []*change
	entries map[KeyHash]*Entry
	// epoch counts the keys that were refused as not run; refusedAt has the
	// epoch of each, and floor that of the newest one it no longer has.
	epoch     uint64
	floor     uint64
	refusedAt map[KeyHash]uint64
	running   int
	idle      chan struct{}
	lost      *MovedError
	closing   bool
	timer     *time.Timer
}

func newSlot(book *Book, id slotID, retention time.Duration, version usher.Version, value head) *Slot {
	return &Slot{
		book: book, id: id, retention: retention,
		limiter: rate.NewLimiter(rate.Limit(book.options.WritesPerSecond), writeBurst), writing: make(chan struct{}, 1),
		version: version, value: value, entries: make(map[KeyHash]*Entry),
		refusedAt: make(map[KeyHash]uint64), idle: make(chan struct{}),
	}
}

// NewLocal returns a slot that only this incarnation can ever hold, for keys
// that name the incarnation themselves. It needs no store.
func NewLocal(retention time.Duration, maxKeys int) *Slot {
	book := NewBook(Options{MaxKeys: maxKeys}, nil, nil)
	slot := newSlot(book, slotID{}, retention, 0, head{})
	slot.local = true
	return slot
}

// View returns what entries have to know to send requests of the slot.
func (s *Slot) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view()
}

func (s *Slot) view() View {
	return View{Holder: s.book.options.Holder, Fence: s.value.Fence, Epoch: s.epoch}
}

// refuse needs the lock. A message about the key that was sent before now will
// not be taken any more.
func (s *Slot) refuse(key KeyHash) {
	s.epoch++
	s.refusedAt[key] = s.epoch
	if len(s.refusedAt) <= maxRefused {
		return
	}
	s.floor = s.epoch
	s.refusedAt = make(map[KeyHash]uint64)
}

// maxRefused bounds the refused keys that are told apart. When it is passed,
// every message that is on its way has to be sent again once.
const maxRefused = 4096

// restore takes over the records of the journal. A key without an outcome may
// have run and is never dispatched again.
func (s *Slot) restore(records []Record) {
	for _, record := range records {
		if record.Outcome == usher.OutcomeNotRun {
			delete(s.entries, record.Key)
			continue
		}
		entry := &Entry{Record: record, slot: s, written: true, ended: true, done: make(chan struct{})}
		close(entry.done)
		switch {
		case record.Outcome != usher.OutcomeRan:
			entry.refusal = usher.NewUnknown(usher.RefusalEndpointFailed, "the companion that had the key is gone; the request may have run")
		case record.Body != nil || record.Sum == usher.DigestOf(nil):
			entry.answer = &usher.Answer{Status: record.Status, ContentType: record.ContentType, Body: record.Body}
		default:
			entry.refusal = answerGone()
		}
		s.entries[record.Key] = entry
	}
}

func answerGone() *usher.Refusal {
	return &usher.Refusal{
		Kind: usher.RefusalAnswerGone, Outcome: usher.OutcomeRan,
		Message: "the request ran; its answer is no longer kept",
	}
}

// Open finds the entry of a key or makes one. fresh entries belong to the
// caller, which has to Commit and Finish them. For others, the caller waits
// for Done and reads Result.
//
// Errors are *usher.Refusal for a reused key, *StaleError and *MovedError.
func (s *Slot) Open(key KeyHash, digest usher.Digest, id usher.RequestID, seen View) (entry *Entry, fresh bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		return nil, false, s.lost
	}
	now := time.Now()
	existing, ok := s.entries[key]
	if ok && existing.ended && now.Sub(existing.Taken) > s.retention {
		delete(s.entries, key)
		ok = false
	}
	switch {
	case ok && existing.Digest != digest:
		return nil, false, usher.NewRefusal(usher.RefusalKeyConflict, "the key was used before with another request")
	case ok:
		s.book.counts.replays.Add(1)
		return existing, false, nil
	case s.closing:
		return nil, false, &MovedError{}
	case s.stale(key, seen):
		return nil, false, &StaleError{View: s.view()}
	}
	if len(s.entries) >= s.book.options.MaxKeys {
		s.prune(now)
	}
	if len(s.entries) >= s.book.options.MaxKeys {
		return nil, false, usher.NewRefusal(usher.RefusalOverloaded, "too many keys are remembered").WithRetryAfter(time.Second)
	}
	entry = &Entry{Record: Record{Key: key, Digest: digest, ID: id, Taken: now}, slot: s, done: make(chan struct{})}
	s.entries[key] = entry
	s.running++
	return entry, true, nil
}

// firstFence is the fencing number of the first holder of a slot.
const firstFence usher.Fence = 1

// stale needs the lock. It says whether a message may have been sent before
// its key was refused. The first holder knows all refusals of the slot; a later
// one takes only messages that were sent to itself.
func (s *Slot) stale(key KeyHash, seen View) bool {
	if seen.Fence != s.value.Fence && s.value.Fence > firstFence {
		return true
	}
	return seen.Epoch < max(s.floor, s.refusedAt[key])
}

// Has says whether the key is known.
func (s *Slot) Has(key KeyHash) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.entries[key]
	return ok
}

// prune needs the lock. It forgets keys that are out of the retention.
func (s *Slot) prune(now time.Time) {
	for key, entry := range s.entries {
		if entry.ended && now.Sub(entry.Taken) > s.retention {
			delete(s.entries, key)
		}
	}
}

// Commit writes the key to the journal. The request may be dispatched only
// after it returned nil. After an error the caller has to Finish the entry;
// the request was not dispatched, but what was asked before with the same key
// elsewhere is not known.
//
// Errors are *MovedError and *UnsettledError.
func (e *Entry) Commit(ctx context.Context) error {
	e.slot.mu.Lock()
	e.written = true
	e.slot.mu.Unlock()
	e.slot.book.counts.keys.Add(1)
	return e.slot.apply(ctx, &change{record: &e.Record, done: make(chan struct{})})
}

// Confirm checks with the store that the slot is still held. After nil, a key
// without entry has not run up to now, wherever it was sent.
//
// Errors are *MovedError and *UnsettledError.
func (s *Slot) Confirm(ctx context.Context) error {
	return s.apply(ctx, &change{done: make(chan struct{})})
}

// Finish ends a fresh entry with its answer or refusal. A key that did not run
// is free again.
func (e *Entry) Finish(answer *usher.Answer, refusal *usher.Refusal) {
	s := e.slot
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.ended {
		return
	}
	e.answer, e.refusal, e.ended = answer, refusal, true
	record := e.Record
	switch {
	case refusal == nil:
		record.Outcome, record.Status, record.ContentType, record.Sum = usher.OutcomeRan, answer.Status, answer.ContentType, answer.Digest()
		if len(answer.Body) <= maxBody {
			record.Body = answer.Body
		}
	case refusal.NotDispatched():
		record.Outcome = usher.OutcomeNotRun
		delete(s.entries, e.Key)
		if refusal.Outcome == usher.OutcomeNotRun {
			s.refuse(e.Key)
		}
	default:
		record.Outcome = refusal.Outcome
	}
	close(e.done)
	if e.written && s.lost == nil && !s.local {
		s.pending = append(s.pending, &change{record: &record})
		s.schedule()
	}
	s.running--
	if s.running == 0 && s.closing {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// Done is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Result returns the answer or the refusal of an entry that has ended.
func (e *Entry) Result() (*usher.Answer, *usher.Refusal) {
	e.slot.mu.Lock()
	defer e.slot.mu.Unlock()
	return e.answer, e.refusal
}

// schedule needs the lock. It lets outcomes be written a little later, unless
// a key is written before.
func (s *Slot) schedule() {
	delay := s.book.options.OutcomeDelay
	if delay <= 0 || s.timer != nil {
		return
	}
	s.timer = time.AfterFunc(delay, func() {
		s.mu.Lock()
		s.timer = nil
		waiting := len(s.pending) > 0 && s.lost == nil
		s.mu.Unlock()
		if !waiting {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
		defer cancel()
		if s.flush(ctx) != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.lost == nil {
				s.schedule()
			}
		}
	})
}

// outcomeTimeout bounds one try to write outcomes.
const outcomeTimeout = 5 * time.Second

// release waits for the requests in the slot and names no holder any more.
func (s *Slot) release(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	var idle chan struct{}
	if s.running > 0 {
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
	err := s.apply(ctx, &change{leave: true, done: make(chan struct{})})
	if err == nil {
		s.lose(&MovedError{})
	}
	return err
}

func (s *Slot) lose(moved *MovedError) {
	s.mu.Lock()
	if s.lost == nil {
		s.lost = moved
	}
	for _, change := range s.pending {
		change.end(s.lost)
	}
	s.pending = nil
	s.mu.Unlock()
	s.book.drop(s)
}

func (s *Slot) state() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"fence": s.value.Fence, "version": s.version, "keys": len(s.entries), "running": s.running,
		"segments": len(s.value.Segments), "pending": len(s.pending), "unsettled": s.limbo != nil,
	}
}
