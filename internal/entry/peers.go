package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/internal/link"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// collectWait is how long a companion holds a Collect without events.
	collectWait = 5 * time.Second
	// collectGrace is how much longer the entry waits for the reply before it
	// takes the connection for dead.
	collectGrace = 2 * time.Second
	// reconnectDelay is the pause after a failed Collect.
	reconnectDelay = 100 * time.Millisecond
)

// peers keeps one peer for each declared endpoint.
type peers struct {
	entry *Entry

	mu     sync.RWMutex
	byName map[usher.EndpointName]*peer
}

func newPeers(entry *Entry) *peers {
	return &peers{entry: entry, byName: make(map[usher.EndpointName]*peer)}
}

// peer is the companion of one endpoint as seen by the entry.
type peer struct {
	entry    *Entry
	endpoint usher.EndpointName
	link     *link.Link
	cancel   context.CancelFunc

	next atomic.Uint64
	mu   sync.Mutex
	// streams holds the streams that are being received, by number.
	streams map[uint64]*incoming
}

// incoming is one streamed answer on its way in.
type incoming struct {
	peer   *peer
	number uint64
	next   uint64
	// events never blocks the collector: its sender appends to the queue and
	// a reader that is slow only holds back its own stream.
	events chan wire.Event
	queue  *eventQueue
}

// run follows the configuration: new endpoints get a peer, others lose it.
func (p *peers) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.entry.Config.Changed()
		p.align(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	p.closeAll()
}

func (p *peers) align(ctx context.Context) {
	declared := p.entry.Config.Current().Endpoints
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, existing := range p.byName {
		endpoint, ok := declared[name]
		if !ok || endpoint.Companion != existing.link.Address() {
			existing.close()
			delete(p.byName, name)
		}
	}
	for name, endpoint := range declared {
		if _, ok := p.byName[name]; !ok {
			p.byName[name] = p.connect(ctx, endpoint)
		}
	}
}

func (p *peers) connect(ctx context.Context, endpoint *usher.Endpoint) *peer {
	ctx, cancel := context.WithCancel(ctx)
	connected := &peer{
		entry: p.entry, endpoint: endpoint.Name, link: link.New(endpoint.Companion),
		cancel: cancel, streams: make(map[uint64]*incoming),
	}
	go connected.collect(ctx)
	return connected
}

func (p *peers) of(endpoint usher.EndpointName) *peer {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.byName[endpoint]
}

func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.byName {
		one.close()
	}
}

func (p *peers) state() any {
	p.mu.RLock()
	defer p.mu.RUnlock()
	state := make(map[usher.EndpointName]any, len(p.byName))
	for name, one := range p.byName {
		one.mu.Lock()
		state[name] = map[string]any{"address": one.link.Address(), "streams": len(one.streams)}
		one.mu.Unlock()
	}
	return state
}

func (p *peer) close() {
	p.cancel()
	p.link.Close()
}

// open registers a stream before the request is sent, because its events may
// arrive before the reply.
func (p *peer) open(accepted *request) *incoming {
	stream := &incoming{peer: p, number: p.next.Add(1)}
	if !accepted.Stream {
		return stream
	}
	stream.events = make(chan wire.Event)
	stream.queue = newEventQueue(stream.events)
	p.mu.Lock()
	p.streams[stream.number] = stream
	p.mu.Unlock()
	return stream
}

func (s *incoming) close() {
	if s.queue == nil {
		return
	}
	s.peer.mu.Lock()
	delete(s.peer.streams, s.number)
	s.peer.mu.Unlock()
	s.queue.close()
}

// collect fetches batches of events from the companion until ctx ends.
func (p *peer) collect(ctx context.Context) {
	var ack uint64
	for ctx.Err() == nil {
		args := &wire.CollectArgs{Caller: p.entry.caller(), Ack: ack, Wait: collectWait}
		reply := &wire.CollectReply{}
		limit, cancel := context.WithTimeout(ctx, collectWait+collectGrace)
		err := p.link.Call(limit, wire.MethodCollect, args, reply)
		cancel()
		if err != nil {
			p.link.Reset()
			sleep(ctx, reconnectDelay)
			continue
		}
		p.entry.Placer.Observe(reply.Load)
		p.entry.Config.Hear(p.link.Address(), reply.ConfigVersion)
		if reply.Batch != ack {
			p.deliver(reply.Events)
		}
		ack = reply.Batch
	}
}

// deliver hands each event to its stream. Events of streams that ended are
// dropped and counted, and so are events that came before.
func (p *peer) deliver(events []wire.Event) {
	for _, event := range events {
		p.mu.Lock()
		stream := p.streams[event.Stream]
		p.mu.Unlock()
		if stream == nil || event.Offset != stream.next {
			p.entry.metrics.stray(1)
			continue
		}
		stream.next++
		stream.queue.add(event)
	}
}
