package companion

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// minBatchInterval is the minimum time between two batches that hold only middle
	// events of streams. First and last events are not delayed by it.
	minBatchInterval = 2 * time.Millisecond
	// maxPendingBytes bounds the data of the events that wait for one entry. While
	// it is exceeded, no further events are read from the streams.
	maxPendingBytes = 16 << 20
	// collectTimeout is how long an entry may go without a Collect before its queue
	// starts to expire.
	collectTimeout = 10 * time.Second
	// expiryGrace is added to collectTimeout before the entry's requests are
	// cancelled. A companion whose own process was suspended finds every timer
	// expired when it continues; the entries get this long to call again.
	expiryGrace = 3 * time.Second
)

// eventQueue holds the events of all streams of one entry incarnation. The entry
// fetches them in batches with Collect, so that one message carries tokens of many
// streams.
//
// An entry counts as alive as long as it calls Collect. When it stops, ctx ends
// and cancels the requests whose responses only that entry could deliver.
//
// session identifies the queue to the entry, and batch is the number of the latest
// batch. expiring is set while expiryGrace runs.
type eventQueue struct {
	session uint64
	ctx     context.Context
	cancel  context.CancelFunc
	wake    chan struct{}

	mu      sync.Mutex
	pending []wire.Event
	// pendingBytes is the size of the data in pending.
	pendingBytes int
	// urgent is set while pending holds a first or a last event.
	urgent bool
	// spaceFreed is closed and replaced when pending was sent.
	spaceFreed chan struct{}
	// unacked is the batch that the entry has not acknowledged yet.
	unacked []wire.Event
	batch   uint64
	// lastSent is when the last batch was first sent.
	lastSent time.Time
	// interrupted is closed and replaced to end a Collect early: when a later one
	// begins, because the connection of the earlier one is then gone and events must
	// not be sent on it, or to send the status at once.
	interrupted chan struct{}
	// empty is closed and replaced whenever nothing is left to deliver.
	empty chan struct{}

	activeCollects int
	expiring       bool
	idleTimer      *time.Timer
}

func newEventQueue(onExpire func(*eventQueue)) *eventQueue {
	ctx, cancel := context.WithCancel(context.Background())
	q := &eventQueue{
		// A random number does not repeat in a later incarnation. It is odd because 0
		// stands for no session.
		session: rand.Uint64() | 1, ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), spaceFreed: make(chan struct{}),
		interrupted: make(chan struct{}), empty: make(chan struct{}),
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.idleTimer = time.AfterFunc(collectTimeout, func() { q.expire(onExpire) })
	return q
}

// expire ends the queue of an entry that did not call Collect during
// collectTimeout and expiryGrace.
func (q *eventQueue) expire(onExpire func(*eventQueue)) {
	q.mu.Lock()
	alive, ended := q.activeCollects > 0, q.expiring
	if !alive && !ended {
		q.expiring = true
		q.idleTimer.Reset(expiryGrace)
	}
	q.mu.Unlock()
	if !alive && ended {
		q.cancel()
		onExpire(q)
	}
}

// enqueue adds an event, blocking while too much data is pending. It returns false
// if the entry is gone or ctx ended.
func (q *eventQueue) enqueue(ctx context.Context, event wire.Event) bool {
	urgent := event.Offset == 0 || event.End != wire.EndNone
	q.mu.Lock()
	for q.pendingBytes > maxPendingBytes {
		spaceFreed := q.spaceFreed
		q.mu.Unlock()
		select {
		case <-spaceFreed:
		case <-ctx.Done():
			return false
		case <-q.ctx.Done():
			return false
		}
		q.mu.Lock()
	}
	q.pending = append(q.pending, event)
	q.pendingBytes += len(event.Data)
	// A Collect that waits for the interval to pass needs no second signal.
	signal := len(q.pending) == 1 || (urgent && !q.urgent)
	q.urgent = q.urgent || urgent
	q.mu.Unlock()
	if signal {
		q.signal()
	}
	return true
}

func (q *eventQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// collect returns the next batch, blocking up to wait until there is one. A batch
// that was not acknowledged is returned again.
func (q *eventQueue) collect(session, ack uint64, wait time.Duration) (uint64, []wire.Event) {
	if session != q.session {
		ack = 0
	}
	interrupted := q.beginCollect()
	defer q.endCollect()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, events, delay := q.nextBatch(ack)
		if len(events) > 0 || wait == 0 {
			return batch, events
		}
		if !q.waitForEvents(interrupted, timer.C, delay) {
			return batch, nil
		}
	}
}

// waitForEvents blocks until the queue should be checked again. It returns false
// if the Collect has to end.
func (q *eventQueue) waitForEvents(interrupted <-chan struct{}, timeout <-chan time.Time, delay time.Duration) bool {
	var interval <-chan time.Time
	if delay > 0 {
		interval = time.After(delay)
	}
	select {
	case <-q.wake:
		return true
	case <-interval:
		return true
	case <-interrupted:
		// The signal may have been meant for the later Collect.
		q.signal()
		return false
	case <-timeout:
		return false
	}
}

func (q *eventQueue) beginCollect() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.interrupted)
	q.interrupted = make(chan struct{})
	q.activeCollects++
	q.expiring = false
	q.idleTimer.Stop()
	return q.interrupted
}

func (q *eventQueue) endCollect() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.activeCollects--
	if q.activeCollects == 0 {
		q.idleTimer.Reset(collectTimeout)
	}
}

// nextBatch returns the batch to send, or how long the pending events may be
// delayed to be batched with others.
func (q *eventQueue) nextBatch(ack uint64) (uint64, []wire.Event, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.unacked) > 0 && ack != q.batch {
		return q.batch, q.unacked, 0
	}
	q.unacked = nil
	if len(q.pending) == 0 {
		close(q.empty)
		q.empty = make(chan struct{})
		return q.batch, nil, 0
	}
	now := time.Now()
	if wait := minBatchInterval - now.Sub(q.lastSent); !q.urgent && wait > 0 {
		return q.batch, nil, wait
	}
	q.batch++
	q.lastSent = now
	q.unacked, q.pending = q.pending, make([]wire.Event, 0, len(q.pending))
	q.pendingBytes, q.urgent = 0, false
	close(q.spaceFreed)
	q.spaceFreed = make(chan struct{})
	return q.batch, q.unacked, 0
}

// whenEmpty returns a channel that is closed when all events were acknowledged, or
// nil if they already are.
func (q *eventQueue) whenEmpty() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) == 0 && len(q.unacked) == 0 {
		return nil
	}
	return q.empty
}

// eventQueues holds the event queue of each entry incarnation.
type eventQueues struct {
	mu      sync.Mutex
	byEntry map[usher.Incarnation]*eventQueue
}

func newEventQueues() *eventQueues {
	return &eventQueues{byEntry: make(map[usher.Incarnation]*eventQueue)}
}

func (q *eventQueues) forEntry(entry usher.Incarnation) *eventQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	existing, ok := q.byEntry[entry]
	if !ok {
		existing = newEventQueue(func(expired *eventQueue) { q.remove(entry, expired) })
		q.byEntry[entry] = existing
	}
	return existing
}

func (q *eventQueues) remove(entry usher.Incarnation, expired *eventQueue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byEntry[entry] == expired {
		delete(q.byEntry, entry)
	}
}

// context returns the parent context of a request: that of the calling entry, so
// that the request is cancelled when the entry is gone. A request with a key
// runs to completion even then, because its caller may ask for the outcome by the
// key through another entry.
func (q *eventQueues) context(args *wire.SubmitArgs) context.Context {
	if args.Header.Key != "" {
		return context.Background()
	}
	return q.forEntry(args.Incarnation).ctx
}

// count returns the number of entries that count as alive.
func (q *eventQueues) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.byEntry)
}

func (q *eventQueues) list() []*eventQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make([]*eventQueue, 0, len(q.byEntry))
	for _, queue := range q.byEntry {
		all = append(all, queue)
	}
	return all
}

// interruptCollects ends every pending Collect, so that each entry receives the
// status at once.
func (q *eventQueues) interruptCollects() {
	for _, queue := range q.list() {
		queue.mu.Lock()
		close(queue.interrupted)
		queue.interrupted = make(chan struct{})
		queue.mu.Unlock()
	}
}

// waitFlushed blocks until the entries have acknowledged every event. It does not
// wait for entries that are gone.
func (q *eventQueues) waitFlushed(ctx context.Context) error {
	for _, queue := range q.list() {
		for empty := queue.whenEmpty(); empty != nil && queue.ctx.Err() == nil; empty = queue.whenEmpty() {
			select {
			case <-empty:
			case <-queue.ctx.Done():
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
	}
	return nil
}
