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
	// batchInterval is the least time between two batches that hold only
	// middle events of streams. First and last events never wait for it.
	batchInterval = 2 * time.Millisecond
	// maxPending bounds the data of the events that wait for one entry, in
	// bytes. Streams are read no further while it is passed.
	maxPending = 16 << 20
	// callerGrace is how long an entry may go without a Collect before its
	// work is cancelled.
	callerGrace = 10 * time.Second
	// wakeGrace is added to callerGrace. A companion that was itself paused
	// finds every timer expired when it continues; the entries get this long
	// to come back.
	wakeGrace = 3 * time.Second
)

// outlet gathers the events of all streams of one entry incarnation. The entry
// fetches them in batches, so that one message carries tokens of many streams.
//
// An entry is alive as long as it collects. When it stops, its context ends
// and with it the work that only it could have delivered.
type outlet struct {
	session uint64
	ctx     context.Context
	cancel  context.CancelFunc
	wake    chan struct{}

	mu      sync.Mutex
	pending []wire.Event
	// size is the data in pending, in bytes.
	size int
	// urgent is set while pending holds a first or a last event.
	urgent bool
	// room is closed and replaced when pending was handed out.
	room chan struct{}
	// sent is the batch that the entry has not acknowledged yet.
	sent  []wire.Event
	batch uint64
	// handedOut is when the last batch was.
	handedOut time.Time
	// superseded ends a Collect when a later one begins. The connection of the
	// earlier one is gone then, and it must not take events with it.
	superseded chan struct{}
	// empty is closed and replaced whenever nothing is left to deliver.
	empty chan struct{}

	collecting int
	suspected  bool
	idle       *time.Timer
}

func newOutlet(gone func(*outlet)) *outlet {
	ctx, cancel := context.WithCancel(context.Background())
	o := &outlet{
		// A random number does not repeat in a later incarnation.
		session: rand.Uint64() | 1, ctx: ctx, cancel: cancel,
		wake: make(chan struct{}, 1), room: make(chan struct{}),
		superseded: make(chan struct{}), empty: make(chan struct{}),
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.idle = time.AfterFunc(callerGrace, func() { o.expire(gone) })
	return o
}

// expire gives the entry up when it has not collected for the whole grace.
func (o *outlet) expire(gone func(*outlet)) {
	o.mu.Lock()
	alive := o.collecting > 0
	first := !o.suspected
	o.suspected = true
	if !alive && first {
		o.idle.Reset(wakeGrace)
	}
	o.mu.Unlock()
	if !alive && !first {
		o.cancel()
		gone(o)
	}
}

// add hands an event over, waiting while too much data is pending. It returns
// false when the entry is gone or ctx ended.
func (o *outlet) add(ctx context.Context, event wire.Event) bool {
	urgent := event.Offset == 0 || event.End != wire.EndNone
	o.mu.Lock()
	for o.size > maxPending {
		room := o.room
		o.mu.Unlock()
		select {
		case <-room:
		case <-ctx.Done():
			return false
		case <-o.ctx.Done():
			return false
		}
		o.mu.Lock()
	}
	o.pending = append(o.pending, event)
	o.size += len(event.Data)
	// A collector that waits for the interval to pass needs no second signal.
	signal := len(o.pending) == 1 || (urgent && !o.urgent)
	o.urgent = o.urgent || urgent
	o.mu.Unlock()
	if signal {
		o.signal()
	}
	return true
}

func (o *outlet) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// collect returns the next batch, waiting up to wait for it. A batch that was
// not acknowledged is returned again.
func (o *outlet) collect(session, ack uint64, wait time.Duration) (uint64, []wire.Event) {
	if session != o.session {
		ack = 0
	}
	superseded := o.enter()
	defer o.leave()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, events, delay := o.take(ack)
		if len(events) > 0 || wait == 0 {
			return batch, events
		}
		if !o.await(superseded, timer.C, delay) {
			return batch, nil
		}
	}
}

// await waits for a reason to look for events again. It returns false when
// the Collect has to end.
func (o *outlet) await(superseded <-chan struct{}, timeout <-chan time.Time, delay time.Duration) bool {
	var interval <-chan time.Time
	if delay > 0 {
		interval = time.After(delay)
	}
	select {
	case <-o.wake:
		return true
	case <-interval:
		return true
	case <-superseded:
		// The signal may have been meant for the later Collect.
		o.signal()
		return false
	case <-timeout:
		return false
	}
}

func (o *outlet) enter() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.superseded)
	o.superseded = make(chan struct{})
	o.collecting++
	o.suspected = false
	o.idle.Stop()
	return o.superseded
}

func (o *outlet) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.collecting--
	if o.collecting == 0 {
		o.idle.Reset(callerGrace)
	}
}

// take returns the batch to send, or how long the pending events may still
// wait for others.
func (o *outlet) take(ack uint64) (uint64, []wire.Event, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.sent) > 0 && ack != o.batch {
		return o.batch, o.sent, 0
	}
	o.sent = nil
	if len(o.pending) == 0 {
		close(o.empty)
		o.empty = make(chan struct{})
		return o.batch, nil, 0
	}
	now := time.Now()
	if wait := batchInterval - now.Sub(o.handedOut); !o.urgent && wait > 0 {
		return o.batch, nil, wait
	}
	o.batch++
	o.handedOut = now
	o.sent, o.pending = o.pending, make([]wire.Event, 0, len(o.pending))
	o.size, o.urgent = 0, false
	close(o.room)
	o.room = make(chan struct{})
	return o.batch, o.sent, 0
}

// drained returns a channel that is closed when all events were acknowledged,
// or nil when that is the case already.
func (o *outlet) drained() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) == 0 && len(o.sent) == 0 {
		return nil
	}
	return o.empty
}

// outlets keeps the outlet of each entry incarnation.
type outlets struct {
	mu       sync.Mutex
	byCaller map[usher.Incarnation]*outlet
}

func newOutlets() *outlets { return &outlets{byCaller: make(map[usher.Incarnation]*outlet)} }

func (o *outlets) of(caller usher.Incarnation) *outlet {
	o.mu.Lock()
	defer o.mu.Unlock()
	existing, ok := o.byCaller[caller]
	if !ok {
		existing = newOutlet(func(gone *outlet) { o.remove(caller, gone) })
		o.byCaller[caller] = existing
	}
	return existing
}

func (o *outlets) remove(caller usher.Incarnation, gone *outlet) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byCaller[caller] == gone {
		delete(o.byCaller, caller)
	}
}

// context returns the context of a request: that of the calling entry, whose
// end cancels the work. A request with a key is finished even then, because
// its caller may ask for the outcome by the key through another entry.
func (o *outlets) context(args *wire.SubmitArgs) context.Context {
	if args.Header.Key != "" {
		return context.Background()
	}
	return o.of(args.Incarnation).ctx
}

// count is how many entries are heard from.
func (o *outlets) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byCaller)
}

func (o *outlets) all() []*outlet {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]*outlet, 0, len(o.byCaller))
	for _, one := range o.byCaller {
		all = append(all, one)
	}
	return all
}

// wakeAll ends the wait of every entry, so that each hears the status at once.
func (o *outlets) wakeAll() {
	for _, one := range o.all() {
		one.mu.Lock()
		close(one.superseded)
		one.superseded = make(chan struct{})
		one.mu.Unlock()
	}
}

// flushed waits until the entries have acknowledged every event. Entries that
// are gone are not waited for.
func (o *outlets) flushed(ctx context.Context) error {
	for _, one := range o.all() {
		for empty := one.drained(); empty != nil && one.ctx.Err() == nil; empty = one.drained() {
			select {
			case <-empty:
			case <-one.ctx.Done():
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
	}
	return nil
}
