// Package ledger records the state of each request at a companion: whether it was
// dispatched, withdrawn or finished. Only the ledger can guarantee that a request
// did not run, because it never allows a withdrawn ID to be dispatched.
package ledger

import (
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// State is the state of a request. It only changes to a later one in this list,
// and withdrawn requests keep theirs.
type State int

const (
	// StateWaiting requests were accepted but not dispatched.
	StateWaiting State = iota
	// StateWithdrawn requests will never be dispatched.
	StateWithdrawn
	// StateDispatched requests may have reached the endpoint.
	StateDispatched
	// StateFinished requests have their response or refusal.
	StateFinished
)

// Request is the ledger's record of one request.
type Request struct {
	Header usher.RequestHeader

	ledger   *Ledger
	state    State
	response *usher.Response
	refusal  *usher.Refusal
	done     chan struct{}
	// streamStarted is closed when the endpoint has begun to stream its response.
	streamStarted chan struct{}
	cancel        func()
	endedAt       time.Time
}

// Ledger records the requests of one companion incarnation by ID.
type Ledger struct {
	retention time.Duration

	mu       sync.Mutex
	requests map[usher.RequestID]*Request
	// ended lists finished and withdrawn requests, oldest first.
	ended []*Request
	// answered lists finished requests whose responses are kept, oldest first, keptBytes is the
	// size of those and maxKeptBytes its bound, or 0 if there is none.
	answered                []*Request
	keptBytes, maxKeptBytes int64
}

// New returns an empty ledger that keeps ended requests for retention.
func New(retention time.Duration) *Ledger {
	return &Ledger{retention: retention, requests: make(map[usher.RequestID]*Request)}
}

// KeepAtMost bounds the responses that are kept to bytes. Beyond that the oldest ones are given
// up: their requests have the outcome "ran". It has to be called before Open.
func (l *Ledger) KeepAtMost(bytes int64) { l.maxKeptBytes = bytes }

// keep is called with the mutex held.
func (l *Ledger) keep(request *Request) {
	if l.maxKeptBytes == 0 || request.response == nil {
		return
	}
	l.answered = append(l.answered, request)
	l.keptBytes += int64(len(request.response.Body))
	for l.keptBytes > l.maxKeptBytes && len(l.answered) > 1 {
		l.giveUpOldest()
	}
}

func (l *Ledger) giveUpOldest() {
	oldest := l.answered[0]
	l.answered[0] = nil
	l.answered = l.answered[1:]
	l.keptBytes -= int64(len(oldest.response.Body))
	oldest.response = nil
	oldest.refusal = &usher.Refusal{Kind: usher.RefusalResponseExpired, Message: "the request ran; its answer is not kept any more", Outcome: usher.OutcomeRan}
}

// Open adds a request. If its ID is already known, it returns the known
// request and false: the request must not run a second time. cancel is called if a
// withdrawal ends the request.
func (l *Ledger) Open(header usher.RequestHeader, cancel func()) (*Request, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(time.Now())
	if existing, ok := l.requests[header.ID]; ok {
		return existing, false
	}
	request := l.newRequest(header, cancel)
	l.requests[header.ID] = request
	return request, true
}

func (l *Ledger) newRequest(header usher.RequestHeader, cancel func()) *Request {
	return &Request{
		Header: header, ledger: l, cancel: cancel,
		done: make(chan struct{}), streamStarted: make(chan struct{}),
	}
}

// Forget removes a request that was neither dispatched nor withdrawn, so that its
// ID can be opened again.
func (l *Ledger) Forget(request *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if request.state == StateWaiting {
		delete(l.requests, request.Header.ID)
	}
}

// Find returns the request with an ID.
func (l *Ledger) Find(id usher.RequestID) (*Request, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request, ok := l.requests[id]
	return request, ok
}

// Withdraw withdraws a request. If it returns OutcomeNotRun, the ID can't be
// dispatched here any more, even if the request arrives later. With cancel set,
// a dispatched request is also cancelled at the endpoint.
func (l *Ledger) Withdraw(id usher.RequestID, cancel bool) usher.Outcome {
	l.mu.Lock()
	request, ok := l.requests[id]
	if !ok {
		request = l.newRequest(usher.RequestHeader{ID: id}, func() {})
		l.requests[id] = request
	}
	outcome, mustCancel := request.withdraw(cancel)
	l.mu.Unlock()
	if mustCancel {
		request.cancel()
	}
	return outcome
}

// TakeBack ends a request that waits here, so that it can run elsewhere, and
// forgets it. The ID can be opened again: the entry receives the reply to its
// first offer before it offers the request here again. TakeBack returns false and
// changes nothing if the request does not wait here, also if its offer has not
// arrived yet.
func (l *Ledger) TakeBack(id usher.RequestID) bool {
	l.mu.Lock()
	request, ok := l.requests[id]
	if !ok || request.state != StateWaiting {
		l.mu.Unlock()
		return false
	}
	request.withdraw(true)
	delete(l.requests, id)
	l.mu.Unlock()
	request.cancel()
	return true
}

// withdraw must be called with the ledger's lock held. It returns whether the
// caller has to call cancel.
func (r *Request) withdraw(cancel bool) (usher.Outcome, bool) {
	switch r.state {
	case StateWaiting:
		r.refusal = usher.NewRefusal(usher.RefusalCancelled, "the request was withdrawn")
		r.markEnded(StateWithdrawn)
		return r.withdrawalOutcome(), true
	case StateWithdrawn:
		return r.withdrawalOutcome(), false
	case StateDispatched:
		return usher.OutcomeUnknown, cancel
	}
	if r.refusal != nil {
		return r.refusal.Outcome, false
	}
	return usher.OutcomeRan, false
}

// withdrawalOutcome returns the outcome of a withdrawn request. The ID will not
// run, but a key that may run only once can have run under another ID.
func (r *Request) withdrawalOutcome() usher.Outcome {
	if r.Header.Key != "" && !r.Header.Idempotent {
		return usher.OutcomeUnknown
	}
	return usher.OutcomeNotRun
}

// Dispatch marks the request as dispatched, just before it is sent to the
// endpoint. It returns false if the request is no longer waiting.
func (r *Request) Dispatch() bool {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	if r.state != StateWaiting {
		return false
	}
	r.state = StateDispatched
	return true
}

// MarkStreamStarted records that the endpoint has begun to stream its response.
func (r *Request) MarkStreamStarted() { close(r.streamStarted) }

// StreamStarted is closed when the endpoint has begun to stream its response.
func (r *Request) StreamStarted() <-chan struct{} { return r.streamStarted }

// Finish stores the response or the refusal. A request that was refused before its
// dispatch can't be dispatched afterwards.
func (r *Request) Finish(response *usher.Response, refusal *usher.Refusal) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	if r.state == StateWithdrawn || r.state == StateFinished {
		return
	}
	r.response, r.refusal = response, refusal
	r.markEnded(StateFinished)
	r.ledger.keep(r)
}

func (r *Request) markEnded(state State) {
	r.state = state
	r.endedAt = time.Now()
	r.ledger.ended = append(r.ledger.ended, r)
	close(r.done)
}

// Done is closed when the request was withdrawn or finished.
func (r *Request) Done() <-chan struct{} { return r.done }

// Result returns the response or the refusal of a request that is done.
func (r *Request) Result() (*usher.Response, *usher.Refusal) {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	return r.response, r.refusal
}

// Counts is the number of requests by state, for the diagnostic dump.
type Counts struct {
	Waiting    int `json:"waiting"`
	Withdrawn  int `json:"withdrawn"`
	Dispatched int `json:"dispatched"`
	Finished   int `json:"finished"`
}

// Counts returns the number of requests by state.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counts Counts
	for _, request := range l.requests {
		switch request.state {
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

// prune removes requests that ended longer ago than the retention.
func (l *Ledger) prune(now time.Time) {
	cutoff := now.Add(-l.retention)
	pruned := 0
	for pruned < len(l.ended) && l.ended[pruned].endedAt.Before(cutoff) {
		// An ID that was taken back may be in use again.
		if id := l.ended[pruned].Header.ID; l.requests[id] == l.ended[pruned] {
			delete(l.requests, id)
		}
		// Requests end in the order in which their responses are listed.
		if len(l.answered) > 0 && l.answered[0] == l.ended[pruned] {
			l.giveUpOldest()
		}
		l.ended[pruned] = nil
		pruned++
	}
	l.ended = l.ended[pruned:]
}
