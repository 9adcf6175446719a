// Package ledger remembers what a companion decided on each request: whether
// it was dispatched, withdrawn or finished. It is the one place where "not
// run" can be promised, because a withdrawn id can never be dispatched again.
package ledger

import (
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// State is where a request stands. It only moves down this list.
type State int

const (
	// StateWaiting requests were accepted but not dispatched.
	StateWaiting State = iota
	// StateWithdrawn requests will never be dispatched.
	StateWithdrawn
	// StateDispatched requests may have reached the endpoint.
	StateDispatched
	// StateFinished requests have their answer or refusal.
	StateFinished
)

// Entry is what is known of one request.
type Entry struct {
	Header usher.RequestHeader

	ledger  *Ledger
	state   State
	answer  *usher.Answer
	refusal *usher.Refusal
	done    chan struct{}
	// streaming is closed when the endpoint began to stream its answer.
	streaming chan struct{}
	cancel    func()
	ended     time.Time
}

// Ledger keeps the entries of one companion incarnation.
type Ledger struct {
	retention time.Duration

	mu      sync.Mutex
	entries map[usher.RequestID]*Entry
	// ended lists finished and withdrawn entries, oldest first.
	ended []*Entry
}

// New returns an empty ledger that remembers ended requests for retention.
func New(retention time.Duration) *Ledger {
	return &Ledger{retention: retention, entries: make(map[usher.RequestID]*Entry)}
}

// Open adds a request. If its id is known already, it returns that entry and
// false: the request must not be run a second time. cancel is called when a
// withdrawal ends the request.
func (l *Ledger) Open(header usher.RequestHeader, cancel func()) (*Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(time.Now())
	if existing, ok := l.entries[header.ID]; ok {
		return existing, false
	}
	entry := l.newEntry(header, cancel)
	l.entries[header.ID] = entry
	return entry, true
}

func (l *Ledger) newEntry(header usher.RequestHeader, cancel func()) *Entry {
	return &Entry{
		Header: header, ledger: l, cancel: cancel,
		done: make(chan struct{}), streaming: make(chan struct{}),
	}
}

// Forget drops a request that was neither dispatched nor withdrawn, so that
// its id can be opened again.
func (l *Ledger) Forget(entry *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry.state == StateWaiting {
		delete(l.entries, entry.Header.ID)
	}
}

// Find returns the entry of an id.
func (l *Ledger) Find(id usher.RequestID) (*Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.entries[id]
	return entry, ok
}

// Withdraw takes a request back. After OutcomeNotRun the id can't be
// dispatched here any more, even if its message arrives only now. With cancel
// set, a dispatched request is also ended in the endpoint.
func (l *Ledger) Withdraw(id usher.RequestID, cancel bool) usher.Outcome {
	l.mu.Lock()
	entry, ok := l.entries[id]
	if !ok {
		entry = l.newEntry(usher.RequestHeader{ID: id}, func() {})
		l.entries[id] = entry
	}
	outcome, stop := entry.withdraw(cancel)
	l.mu.Unlock()
	if stop {
		entry.cancel()
	}
	return outcome
}

// TakeBack ends a request that waits here, so that it can be run elsewhere, and
// forgets it: the caller has the reply to its offer before it offers the
// request here again. It returns false, and changes nothing, when the request
// does not wait here; a message that is still under way is not overtaken.
func (l *Ledger) TakeBack(id usher.RequestID) bool {
	l.mu.Lock()
	entry, ok := l.entries[id]
	if !ok || entry.state != StateWaiting {
		l.mu.Unlock()
		return false
	}
	entry.withdraw(true)
	delete(l.entries, id)
	l.mu.Unlock()
	entry.cancel()
	return true
}

// withdraw needs the ledger's lock. It says whether the work has to be ended.
func (e *Entry) withdraw(cancel bool) (usher.Outcome, bool) {
	switch e.state {
	case StateWaiting:
		e.refusal = usher.NewRefusal(usher.RefusalCancelled, "the request was withdrawn")
		e.end(StateWithdrawn)
		return e.withdrawn(), true
	case StateWithdrawn:
		return e.withdrawn(), false
	case StateDispatched:
		return usher.OutcomeUnknown, cancel
	}
	if e.refusal != nil {
		return e.refusal.Outcome, false
	}
	return usher.OutcomeRan, false
}

// withdrawn is what a withdrawal promises. The id will not run, but a key that
// may run only once can have run under another id.
func (e *Entry) withdrawn() usher.Outcome {
	if e.Header.Key != "" && !e.Header.Idempotent {
		return usher.OutcomeUnknown
	}
	return usher.OutcomeNotRun
}

// Dispatch marks the request as dispatched, just before it is sent to the
// endpoint. It returns false when the request was withdrawn.
func (e *Entry) Dispatch() bool {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	if e.state != StateWaiting {
		return false
	}
	e.state = StateDispatched
	return true
}

// BeginStream tells that the endpoint began to stream its answer.
func (e *Entry) BeginStream() { close(e.streaming) }

// Streaming is closed when the endpoint began to stream its answer.
func (e *Entry) Streaming() <-chan struct{} { return e.streaming }

// Finish keeps the answer or the refusal. A request that was refused without
// being dispatched can't be dispatched after it.
func (e *Entry) Finish(answer *usher.Answer, refusal *usher.Refusal) {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	if e.state == StateWithdrawn || e.state == StateFinished {
		return
	}
	e.answer, e.refusal = answer, refusal
	e.end(StateFinished)
}

func (e *Entry) end(state State) {
	e.state = state
	e.ended = time.Now()
	e.ledger.ended = append(e.ledger.ended, e)
	close(e.done)
}

// Done is closed when the request was withdrawn or finished.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Result returns the answer or the refusal of an entry that is done.
func (e *Entry) Result() (*usher.Answer, *usher.Refusal) {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	return e.answer, e.refusal
}

// Counts is the number of entries by state, for the dump.
type Counts struct {
	Waiting    int `json:"waiting"`
	Withdrawn  int `json:"withdrawn"`
	Dispatched int `json:"dispatched"`
	Finished   int `json:"finished"`
}

// Counts returns the number of entries by state.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counts Counts
	for _, entry := range l.entries {
		switch entry.state {
		case StateWaiting:
			counts.Waiting++
		case StateWithdrawn:
			counts.Withdrawn++
		case StateDispatched:
			counts.Dispatched++
		case StateFinished:
			counts.Finished++
		}
	}
	return counts
}

// prune forgets entries that ended before the retention began.
func (l *Ledger) prune(now time.Time) {
	cut := now.Add(-l.retention)
	gone := 0
	for gone < len(l.ended) && l.ended[gone].ended.Before(cut) {
		// An id that was taken back may be in use again.
		if id := l.ended[gone].Header.ID; l.entries[id] == l.ended[gone] {
			delete(l.entries, id)
		}
		l.ended[gone] = nil
		gone++
	}
	l.ended = l.ended[gone:]
}
