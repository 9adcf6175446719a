package entry

import (
	"context"
	"sync"

	"filbertusher/internal/intake"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// maxQueuedBytes is the maximum amount of buffered data of one stream. If a slow
// caller falls further behind, its stream fails.
const maxQueuedBytes = 4 << 20

// chargedBytes is the part by which the data of a stream is charged to the process's memory.
// What is queued of most streams is less, and not charged. A stream that needs another part
// where memory is scarce fails like one that has too much queued.
const chargedBytes = 32 << 10

// incomingStream buffers one streamed response. The peer's collect loop appends
// to it without blocking, and the request's handler reads from it. nextOffset is
// the offset of the next expected event, queuedBytes the size of the data in
// events.
type incomingStream struct {
	peer   *peer
	number uint64
	// connState is the peer's connection state when the request was sent.
	connState *connState

	mu          sync.Mutex
	nextOffset  uint64
	events      []wire.Event
	queuedBytes int
	// memory is charged for queued, and for what read returned last. It may be nil.
	memory                     *intake.Budget
	chargedQueued, chargedRead int64
	isClosed                   bool
	// failure ends the stream after the events buffered before it.
	failure *usher.Refusal
	// ready has a buffer of one, so that notify never blocks.
	ready chan struct{}
}

// add appends an event. It returns false for a duplicate and after a failure. A
// gap in the offsets fails the stream.
func (s *incomingStream) add(event wire.Event) bool {
	s.mu.Lock()
	if event.Offset < s.nextOffset || s.failure != nil {
		s.mu.Unlock()
		return false
	}
	s.queuedBytes += len(event.Data)
	switch {
	case event.Offset > s.nextOffset:
		s.failure = usher.NewUnknownOutcome(usher.RefusalInternal, "a part of the answer was lost")
	case s.queuedBytes > maxQueuedBytes || !s.charge():
		s.failure = usher.NewUnknownOutcome(usher.RefusalRequestTimeout, "the answer was read too slowly")
	default:
		s.nextOffset++
		s.events = append(s.events, event)
	}
	s.mu.Unlock()
	s.notify()
	return true
}

// charge takes memory for queuedBytes. It returns false if that is scarce.
func (s *incomingStream) charge() bool {
	for s.memory != nil && !s.isClosed && int64(s.queuedBytes) > s.chargedQueued+chargedBytes {
		if s.memory.IsScarce() {
			return false
		}
		s.memory.Take(chargedBytes)
		s.chargedQueued += chargedBytes
	}
	return true
}

// release returns what is charged for what read returned last.
func (s *incomingStream) release() {
	if s.chargedRead > 0 {
		s.memory.Give(s.chargedRead)
		s.chargedRead = 0
	}
}

// close ends the stream and returns its memory.
func (s *incomingStream) close() {
	s.peer.mu.Lock()
	delete(s.peer.streams, s.number)
	s.peer.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	s.chargedRead += s.chargedQueued
	s.chargedQueued = 0
	s.release()
}

// fail ends the stream with a failure. Only the first failure is kept.
func (s *incomingStream) fail(refusal *usher.Refusal) {
	s.mu.Lock()
	if s.failure == nil {
		s.failure = refusal
	}
	s.mu.Unlock()
	s.notify()
}

func (s *incomingStream) notify() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// read waits for events and returns all that are buffered. Both are nil if ctx
// is done first. The stream takes over into as its next buffer, so a slice that
// read returned is valid until it is passed as into.
func (s *incomingStream) read(ctx context.Context, into []wire.Event) ([]wire.Event, *usher.Refusal) {
	for {
		s.mu.Lock()
		s.release()
		if len(s.events) > 0 {
			events := s.events
			s.events = into[:0]
			s.queuedBytes = 0
			s.chargedRead, s.chargedQueued = s.chargedQueued, 0
			s.mu.Unlock()
			return events, nil
		}
		failure := s.failure
		s.mu.Unlock()
		if failure != nil {
			return nil, failure
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			return nil, nil
		}
	}
}
