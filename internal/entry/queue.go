package entry

import (
	"context"
	"sync"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// maxQueued bounds the data of one stream that waits for a slow caller, in
// bytes. A caller that falls further behind loses its stream, with an error.
const maxQueued = 4 << 20

// incoming is one streamed answer on its way in. The collector of the peer
// appends to it and never waits; the handler of the request reads from it.
type incoming struct {
	peer   *peer
	number uint64
	// contact is what was known of the peer when the request was sent.
	contact *contact

	mu     sync.Mutex
	next   uint64
	events []wire.Event
	queued int
	// failure ends the stream after the events that came before it.
	failure *usher.Refusal
	// wake holds one signal, so that the collector does not wait for the reader.
	wake chan struct{}
}

// add appends an event. It returns false for an event that came before or
// after the end. An event that is missing ends the stream at once.
func (s *incoming) add(event wire.Event) bool {
	s.mu.Lock()
	if event.Offset < s.next || s.failure != nil {
		s.mu.Unlock()
		return false
	}
	s.queued += len(event.Data)
	switch {
	case event.Offset > s.next:
		s.failure = usher.NewUnknown(usher.RefusalInternal, "a part of the answer was lost")
	case s.queued > maxQueued:
		s.failure = usher.NewUnknown(usher.RefusalTooSlow, "the answer was read too slowly")
	default:
		s.next++
		s.events = append(s.events, event)
	}
	s.mu.Unlock()
	s.signal()
	return true
}

// fail ends the stream. Only the first failure counts.
func (s *incoming) fail(refusal *usher.Refusal) {
	s.mu.Lock()
	if s.failure == nil {
		s.failure = refusal
	}
	s.mu.Unlock()
	s.signal()
}

func (s *incoming) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// read waits for events and returns all that are there. The returned slice is
// valid until the next call, which gets into as the slice to fill anew.
func (s *incoming) read(ctx context.Context, into []wire.Event) ([]wire.Event, *usher.Refusal) {
	for {
		s.mu.Lock()
		if len(s.events) > 0 {
			events := s.events
			s.events = into[:0]
			s.queued = 0
			s.mu.Unlock()
			return events, nil
		}
		failure := s.failure
		s.mu.Unlock()
		if failure != nil {
			return nil, failure
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return nil, nil
		}
	}
}
