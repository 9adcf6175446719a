package companion

import (
	"context"
	"sync"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// outlet gathers the events of all streams of one entry incarnation. The entry
// fetches them in batches, so that one message carries tokens of many streams.
type outlet struct {
	mu      sync.Mutex
	pending []wire.Event
	// sent is the batch that the entry has not acknowledged yet.
	sent  []wire.Event
	batch uint64
	ready chan struct{}
	// woken ends one wait of the entry without events.
	woken chan struct{}
	// empty is closed and replaced whenever nothing is left to deliver.
	empty chan struct{}
}

func newOutlet() *outlet {
	return &outlet{ready: make(chan struct{}, 1), woken: make(chan struct{}, 1), empty: make(chan struct{})}
}

func (o *outlet) add(event wire.Event) {
	o.mu.Lock()
	o.pending = append(o.pending, event)
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// collect returns the next batch, waiting up to wait for it. A batch that was
// not acknowledged is returned again.
func (o *outlet) collect(ack uint64, wait time.Duration) (uint64, []wire.Event) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, events := o.take(ack)
		if len(events) > 0 {
			return batch, events
		}
		select {
		case <-o.ready:
		case <-o.woken:
			return batch, nil
		case <-timer.C:
			return batch, nil
		}
	}
}

func (o *outlet) take(ack uint64) (uint64, []wire.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.sent) > 0 && ack != o.batch {
		return o.batch, o.sent
	}
	o.sent = nil
	if len(o.pending) == 0 {
		close(o.empty)
		o.empty = make(chan struct{})
		return o.batch, nil
	}
	o.batch++
	o.sent, o.pending = o.pending, nil
	return o.batch, o.sent
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
		existing = newOutlet()
		o.byCaller[caller] = existing
	}
	return existing
}

// wake ends the wait of every entry, so that each hears the status at once.
func (o *outlets) wake() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, one := range o.byCaller {
		select {
		case one.woken <- struct{}{}:
		default:
		}
	}
}

// flushed waits until the entries have acknowledged every event.
func (o *outlets) flushed(ctx context.Context) error {
	o.mu.Lock()
	all := make([]*outlet, 0, len(o.byCaller))
	for _, one := range o.byCaller {
		all = append(all, one)
	}
	o.mu.Unlock()
	for _, one := range all {
		for empty := one.drained(); empty != nil; empty = one.drained() {
			select {
			case <-empty:
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
	}
	return nil
}
