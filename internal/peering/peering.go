// Package peering lets the instances that serve callers tell one another what
// each alone can't know: what is under way at the endpoints, what workspaces
// ask for, which requests crash endpoints, and how fresh the configuration
// is. Everything here makes decisions better or keeps them possible while the
// store is away; without it an instance falls back to its own equal share.
package peering

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/boottime"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/link"
	"filbertusher/internal/quota"
	"filbertusher/internal/roster"
	"filbertusher/internal/routing"
	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

const (
	// exchangeEvery is the pause between two exchanges with each of a few peers.
	exchangeEvery = 100 * time.Millisecond
	// fewPeers is up to how many peers the pause holds. With more it grows, so
	// that what an instance spends on exchanges stays the same.
	fewPeers = 8
	// exchangeTimeout bounds one exchange. A connection that takes longer is
	// made anew, because it may have gone silent for good.
	exchangeTimeout = 600 * time.Millisecond
	// fetchTimeout bounds the transfer of a configuration or a roster.
	fetchTimeout = 2 * time.Second
	// silentAfter is how old the news of a peer may be before its load is no
	// longer counted.
	silentAfter = 1500 * time.Millisecond
	// staleRoster is how old this instance's own view of the endpoints has to be
	// before it takes over that of a peer.
	staleRoster = 1200 * time.Millisecond
)

// serviceName is the name of the methods on the wire.
const serviceName = "Gateway"

// News is what an instance tells another.
type News struct {
	Name        string
	Incarnation usher.Incarnation
	Address     string
	// Version is the configuration in force, and ProofAge how long ago it was
	// known to be the newest one.
	Version  usher.Version
	ProofAge time.Duration
	// RosterRevision is the store's revision of its view of the endpoints.
	RosterRevision usher.Version
	// Members is how many instances it knows of.
	Members  int
	Dispatch dispatch.Report
	Quota    quota.Report
	Suspects []suspect.CrashRecord
}

// Parts are what the exchange reads and feeds.
type Parts struct {
	Routes    *routing.Holder
	Roster    *roster.Roster
	Scheduler *dispatch.Scheduler
	Quota     *quota.Quota
	Suspects  *suspect.Table
	Log       zerolog.Logger
	// RosterAge is how long ago the store last confirmed the roster.
	RosterAge func() time.Duration
	// EndpointsChanged is told after the roster was taken over from a peer.
	EndpointsChanged func()
}

// Peering is the state of one process.
type Peering struct {
	self  usher.GatewayInstance
	parts Parts

	mu    sync.Mutex
	peers map[string]*peer
	// seeds are addresses to ask while no instance is known.
	seeds []string
	// fetching keeps transfers from piling up.
	fetching atomic.Bool
}

type peer struct {
	instance usher.GatewayInstance
	link     *link.Link
	stop     context.CancelFunc
	heard    time.Time
	silent   bool
}

// New returns a peering without peers.
func New(self usher.GatewayInstance, seeds []string, parts Parts) *Peering {
	return &Peering{self: self, parts: parts, seeds: seeds, peers: make(map[string]*peer)}
}

// Serve answers peers until ctx ends.
func (p *Peering) Serve(ctx context.Context, server *link.Server) error {
	if err := server.Register(serviceName, &methods{p}); err != nil {
		return err
	}
	return server.Serve(ctx)
}

// SetInstances tells which instances there are. The exchange with each runs
// until it is no longer among them or ctx ends.
func (p *Peering) SetInstances(ctx context.Context, instances []usher.GatewayInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.Name == p.self.Name {
			continue
		}
		listed[instance.Name] = true
		known := p.peers[instance.Name]
		if known != nil && known.instance.Address == instance.Address {
			continue
		}
		if known != nil {
			p.end(known)
		}
		p.begin(ctx, instance)
	}
	for name, known := range p.peers {
		if !listed[name] {
			p.end(known)
			delete(p.peers, name)
			p.parts.Quota.RemovePeer(name)
		}
	}
}

func (p *Peering) begin(ctx context.Context, instance usher.GatewayInstance) {
	ctx, cancel := context.WithCancel(ctx)
	known := &peer{instance: instance, link: link.New(instance.Address), stop: cancel}
	p.peers[instance.Name] = known
	p.parts.Quota.AddPeer(instance.Name)
	go p.talk(ctx, known)
}

func (p *Peering) end(known *peer) {
	known.stop()
	known.link.Close()
}

// talk exchanges news with one peer until ctx ends.
func (p *Peering) talk(ctx context.Context, known *peer) {
	for ctx.Err() == nil {
		p.exchange(ctx, known)
		timer := time.NewTimer(p.every())
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (p *Peering) every() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return exchangeEvery * time.Duration(max(1, (len(p.peers)+fewPeers-1)/fewPeers))
}

func (p *Peering) exchange(ctx context.Context, known *peer) {
	limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked := boottime.Now()
	var reply News
	err := known.link.Call(limited, serviceName+".Exchange", p.news(false), &reply)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		known.link.Reset()
		p.missed(known, err)
		return
	}
	p.heard(known)
	p.learn(&reply)
	// The peer answered after it was asked, so its proof is at least as young
	// as one of that age at the moment of asking.
	p.parts.Routes.ConfirmNewest(reply.Version, asked.Add(-reply.ProofAge))
	p.catchUp(ctx, known, &reply)
}

// news returns what a peer should know. What only a process needs that has just
// started makes up a sixth of them and is left out for others.
func (p *Peering) news(started bool) *News {
	p.mu.Lock()
	members := len(p.peers) + 1
	p.mu.Unlock()
	return &News{
		Members: members,
		Name:    p.self.Name, Incarnation: p.self.Incarnation, Address: p.self.Address,
		Version: p.parts.Routes.Version(), ProofAge: p.parts.Routes.Age(),
		RosterRevision: p.parts.Roster.Snapshot().Revision,
		Dispatch:       p.parts.Scheduler.Report(), Quota: p.parts.Quota.Report(started), Suspects: p.parts.Suspects.Recent(),
	}
}

// learn takes in the part of the news that holds whenever it was sent.
func (p *Peering) learn(news *News) {
	p.parts.Quota.Merge(news.Name, news.Quota)
	p.parts.Scheduler.ApplyReport(news.Name, news.Dispatch)
	p.parts.Suspects.Merge(news.Suspects)
}

func (p *Peering) heard(known *peer) {
	p.mu.Lock()
	back := known.silent
	known.heard, known.silent = time.Now(), false
	p.mu.Unlock()
	if back {
		p.parts.Log.Info().Str("peer", known.instance.Name).Msg("peerRegained")
	}
}

func (p *Peering) missed(known *peer, cause error) {
	p.mu.Lock()
	lost := !known.silent && time.Since(known.heard) > silentAfter
	if lost {
		known.silent = true
	}
	p.mu.Unlock()
	if lost {
		p.parts.Scheduler.MarkPeerLost(known.instance.Name)
		p.parts.Log.Warn().Err(cause).Str("peer", known.instance.Name).Msg("peerLost")
	}
}

// catchUp fetches what the peer has newer.
func (p *Peering) catchUp(ctx context.Context, known *peer, news *News) {
	newer := news.Version > p.parts.Routes.Version()
	roster := news.RosterRevision > p.parts.Roster.Snapshot().Revision && p.parts.RosterAge() > staleRoster
	if !newer && !roster || !p.fetching.CompareAndSwap(false, true) {
		return
	}
	defer p.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if newer {
		var table usher.RouteTable
		if err := known.link.Call(ctx, serviceName+".Routes", &Nothing{}, &table); err != nil {
			p.parts.Log.Warn().Err(err).Str("peer", known.instance.Name).Msg("routesNotFetched")
			return
		}
		p.parts.Routes.Adopt(&table, known.instance.Name)
	}
	if roster {
		var list EndpointList
		if err := known.link.Call(ctx, serviceName+".Endpoints", &Nothing{}, &list); err != nil {
			p.parts.Log.Warn().Err(err).Str("peer", known.instance.Name).Msg("endpointsNotFetched")
			return
		}
		p.parts.Roster.Replace(list.Endpoints, list.Revision)
		p.parts.EndpointsChanged()
	}
}

// AskSeeds exchanges news with instances known by address only. A process that
// starts while the store is away finds a configuration and peers that way.
//
// It returns the instances that answered and how many they know of.
func (p *Peering) AskSeeds(ctx context.Context) (found []usher.GatewayInstance, members int) {
	for _, address := range p.seeds {
		if address == p.self.Address || ctx.Err() != nil {
			continue
		}
		l := link.New(address)
		limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
		var reply News
		err := l.Call(limited, serviceName+".Exchange", p.news(false), &reply)
		cancel()
		if err == nil && reply.Name != "" {
			instance := usher.GatewayInstance{Name: reply.Name, Incarnation: reply.Incarnation, Address: address}
			found = append(found, instance)
			members = max(members, reply.Members)
			p.catchUp(ctx, &peer{instance: instance, link: l}, &reply)
		}
		l.Close()
	}
	return found, members
}

// State is the peering's part of the dump.
func (p *Peering) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	type line struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Age     string `json:"age"`
		Silent  bool   `json:"silent"`
	}
	lines := make([]line, 0, len(p.peers))
	for _, known := range p.peers {
		lines = append(lines, line{known.instance.Name, known.instance.Address, time.Since(known.heard).String(), known.silent})
	}
	return lines
}
