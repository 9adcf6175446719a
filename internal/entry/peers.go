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
}

func newPeers(entry *Entry) *peers {
	return &peers{entry: entry, byName: make(map[usher.EndpointName]*peer)}
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
	connected := newPeer(p.entry, endpoint.Name, link.New(endpoint.Companion), cancel)
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
		state[name] = one.state()
	}
	return state
}
