package entry

import (
	"context"
	"sync"

	"filbertusher/internal/link"
	"filbertusher/pkg/usher"
)

// peers keeps one peer for each declared endpoint.
type peers struct {
	entry *Entry

	mu     sync.RWMutex
	byName map[usher.EndpointName]*peer
	// aligned is the configuration that the peers follow; moved is closed and
	// replaced when it changes.
	aligned usher.Version
	moved   chan struct{}
}

func newPeers(entry *Entry) *peers {
	return &peers{entry: entry, byName: make(map[usher.EndpointName]*peer), moved: make(chan struct{})}
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
	snapshot := p.entry.Config.Current()
	declared := snapshot.Endpoints
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
	p.aligned = snapshot.Version
	close(p.moved)
	p.moved = make(chan struct{})
}

func (p *peers) connect(ctx context.Context, endpoint *usher.Endpoint) *peer {
	ctx, cancel := context.WithCancel(ctx)
	connected := newPeer(p.entry, endpoint.Name, link.New(endpoint.Companion), cancel)
	go connected.collect(ctx)
	return connected
}

// of returns the peer of an endpoint, or nil when it has none. A request may
// know a newer configuration than the peers follow yet; it waits for them.
func (p *peers) of(ctx context.Context, endpoint usher.EndpointName, version usher.Version) *peer {
	for {
		p.mu.RLock()
		found, aligned, moved := p.byName[endpoint], p.aligned, p.moved
		p.mu.RUnlock()
		if found != nil || aligned >= version {
			return found
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return nil
		}
	}
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
		state[name] = one.state()
	}
	return state
}
