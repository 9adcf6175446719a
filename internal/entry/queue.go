package entry

import (
	"sync"

	"filbertusher/internal/wire"
)

// eventQueue is an unbounded queue between the collector of a peer, which must
// never wait for one slow caller, and the handler of one stream. An answer is
// bounded by the engine, and so is the queue.
type eventQueue struct {
	out chan<- wire.Event

	mu     sync.Mutex
	events []wire.Event
	wake   chan struct{}
	closed chan struct{}
}

func newEventQueue(out chan<- wire.Event) *eventQueue {
	q := &eventQueue{out: out, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go q.run()
	return q
}

func (q *eventQueue) add(event wire.Event) {
	q.mu.Lock()
	q.events = append(q.events, event)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *eventQueue) close() { close(q.closed) }

func (q *eventQueue) run() {
	for {
		q.mu.Lock()
		events := q.events
		q.events = nil
		q.mu.Unlock()
		for _, event := range events {
			select {
			case q.out <- event:
			case <-q.closed:
				return
			}
		}
		if len(events) > 0 {
			continue
		}
		select {
		case <-q.wake:
		case <-q.closed:
			return
		}
	}
}
