package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/peerrpc"
	"filbertusher/pkg/usher"
)

// unusedPeerTimeout is how long a peer outside the selected endpoints is kept
// after its last use, for example by a request whose key its endpoint holds.
const unusedPeerTimeout = time.Minute

// peerSet holds a peer for each endpoint of the subset selected for this entry,
// and for other endpoints as long as they are used.
type peerSet struct {
	entry *Entry
	ctx   context.Context

	mu     sync.RWMutex
	byName map[usher.EndpointName]*peer
}

func newPeerSet(entry *Entry) *peerSet {
	return &peerSet{entry: entry, byName: make(map[usher.EndpointName]*peer)}
}

// run reconciles the peers with the configuration, at each change and
// periodically, until ctx is done.
func (p *peerSet) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	for ctx.Err() == nil {
		changed := p.entry.Config.Changed()
		p.reconcile(p.entry.Config.Current())
		select {
		case <-changed:
		case <-time.After(unusedPeerTimeout):
		case <-ctx.Done():
		}
	}
	p.closeAll()
}

func (p *peerSet) reconcile(snapshot *config.Snapshot) {
	selected := make(map[usher.EndpointName]*usher.Endpoint)
	for _, endpoints := range snapshot.SelectedByService {
		for _, endpoint := range endpoints {
			selected[endpoint.Name] = endpoint
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, existing := range p.byName {
		endpoint, declared := snapshot.Endpoints[name]
		_, wanted := selected[name]
		if !declared || endpoint.Companion != existing.link.Address() || !wanted && existing.isUnused() {
			existing.close()
			delete(p.byName, name)
		}
	}
	for name, endpoint := range selected {
		if _, ok := p.byName[name]; !ok {
			p.byName[name] = p.connect(p.ctx, endpoint)
		}
	}
}

// get returns the peer of an endpoint, or nil if the endpoint is not declared.
// It connects to a declared endpoint outside the selected subset on demand; that
// peer is closed when unused.
func (p *peerSet) get(endpoint usher.EndpointName) *peer {
	p.mu.RLock()
	existing := p.byName[endpoint]
	p.mu.RUnlock()
	if existing == nil {
		existing = p.connectUnselected(endpoint)
	}
	if existing != nil {
		existing.lastUsed.Store(time.Now().UnixNano())
	}
	return existing
}

func (p *peerSet) connectUnselected(name usher.EndpointName) *peer {
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

// idleWaitPerPeer scales the idle wait with the number of peers, so that an
// entry with many peers exchanges at most eight idle messages per second in
// total.
const idleWaitPerPeer = 125 * time.Millisecond

// idleWait returns how long a Collect waits on an idle connection.
func (p *peerSet) idleWait() time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return max(idleCollectWait, time.Duration(len(p.byName))*idleWaitPerPeer)
}

func (p *peerSet) connect(ctx context.Context, endpoint *usher.Endpoint) *peer {
	ctx, cancel := context.WithCancel(ctx)
	connected := newPeer(p.entry, endpoint.Name, peerrpc.New(endpoint.Companion, peerrpc.LargeMessages), cancel)
	go connected.collect(ctx)
	return connected
}

// list returns the peers.
func (p *peerSet) list() []*peer {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.Collect(maps.Values(p.byName))
}

func (p *peerSet) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, existing := range p.byName {
		existing.close()
	}
}

func (p *peerSet) state() any {
	p.mu.RLock()
	defer p.mu.RUnlock()
	state := make(map[usher.EndpointName]any, len(p.byName))
	for name, existing := range p.byName {
		state[name] = existing.state()
	}
	return state
}
