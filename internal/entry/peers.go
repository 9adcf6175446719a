package entry

import (
	"context"
	"sync"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/link"
	"filbertusher/pkg/usher"
)

// unusedTerm is how long a peer outside the chosen endpoints is kept after its
// last use, for example by requests whose key belongs to its endpoint.
const unusedTerm = time.Minute

// peers keeps one peer for each endpoint that the entry works with, and for
// others as long as they are used.
type peers struct {
	entry *Entry
	ctx   context.Context

	mu     sync.RWMutex
	byName map[usher.EndpointName]*peer
}

func newPeers(entry *Entry) *peers {
	return &peers{entry: entry, byName: make(map[usher.EndpointName]*peer)}
}

// run follows the configuration: chosen endpoints get a peer, and endpoints
// that are not declared any more lose it.
func (p *peers) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	for ctx.Err() == nil {
		changed := p.entry.Config.Changed()
		p.align(p.entry.Config.Current())
		select {
		case <-changed:
		case <-time.After(unusedTerm):
		case <-ctx.Done():
		}
	}
	p.closeAll()
}

func (p *peers) align(snapshot *config.Snapshot) {
	near := make(map[usher.EndpointName]*usher.Endpoint)
	for _, endpoints := range snapshot.Near {
		for _, endpoint := range endpoints {
			near[endpoint.Name] = endpoint
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, existing := range p.byName {
		endpoint, declared := snapshot.Endpoints[name]
		_, wanted := near[name]
		if !declared || endpoint.Companion != existing.link.Address() || !wanted && existing.unused() {
			existing.close()
			delete(p.byName, name)
		}
	}
	for name, endpoint := range near {
		if _, ok := p.byName[name]; !ok {
			p.byName[name] = p.connect(p.ctx, endpoint)
		}
	}
}

// of returns the peer of an endpoint. One that is declared but not among the
// chosen ones is connected to; it is closed when it is not used any more.
func (p *peers) of(endpoint usher.EndpointName) *peer {
	p.mu.RLock()
	existing := p.byName[endpoint]
	p.mu.RUnlock()
	if existing == nil {
		existing = p.connectLate(endpoint)
	}
	if existing != nil {
		existing.used.Store(time.Now().UnixNano())
	}
	return existing
}

func (p *peers) connectLate(name usher.EndpointName) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint, declared := p.entry.Config.Current().Endpoints[name]
	if existing := p.byName[name]; existing != nil || !declared || p.ctx == nil {
		return existing
	}
	connected := p.connect(p.ctx, endpoint)
	p.byName[name] = connected
	return connected
}

// idlePerPeer is added to the idle wait for each peer, so that an entry with
// many peers exchanges at most eight idle messages a second with all of them.
const idlePerPeer = 125 * time.Millisecond

// idleWait is how long a Collect waits while nothing is under way.
func (p *peers) idleWait() time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return max(idleWait, time.Duration(len(p.byName))*idlePerPeer)
}

func (p *peers) connect(ctx context.Context, endpoint *usher.Endpoint) *peer {
	ctx, cancel := context.WithCancel(ctx)
	connected := newPeer(p.entry, endpoint.Name, link.New(endpoint.Companion), cancel)
	go connected.collect(ctx)
	return connected
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
