// Package peering exchanges state between the gateway instances that none of
// them can observe alone: the requests in flight at the endpoints, the demand of
// workspaces, what crashes endpoints, and how recent the configuration
// is. The exchange improves decisions or allows them to continue while the store
// is unavailable; without it an instance falls back to an equal share of the
// limits.
package peering

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/blame"
	"filbertusher/internal/boottime"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/orderbook"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/peerstate"
	"filbertusher/internal/quota"
	"filbertusher/internal/rollout"
	"filbertusher/internal/roster"
	"filbertusher/internal/routing"
	"filbertusher/internal/streamorigin"
	"filbertusher/pkg/usher"
)

const (
	// minExchangeInterval is the time between two exchanges with the same peer, for up to
	// peersPerInterval peers. Each further peersPerInterval peers, or part of them, lengthen
	// it by as much, so that an instance's total exchange rate stays bounded.
	minExchangeInterval = 100 * time.Millisecond
	peersPerInterval    = 8
	// Up to fewPeers and from shortInterval to largeFleet, it is half as long. With few
	// peers there are few proofs, and beyond shortInterval a peer would count as silent
	// between two exchanges. In a larger fleet it does in any case.
	fewPeers      = 4
	shortInterval = 300 * time.Millisecond
	largeFleet    = 128
	// intervalJitter is the fraction by which the interval varies either way. Without it,
	// two instances that call each other at the same time would continue to.
	intervalJitter = 0.1
	// exchangeTimeout bounds one exchange. After a longer one the connection is
	// closed and reopened, because it may be dead.
	exchangeTimeout = 600 * time.Millisecond
	// fetchTimeout bounds the transfer of the configuration and the endpoints from
	// a peer.
	fetchTimeout = 2 * time.Second
	// peerSilentAfter is the time without a reply after which a peer is marked as
	// silent, so that the requests that it reported are no longer counted. The quota
	// has a timeout of its own.
	peerSilentAfter = 1500 * time.Millisecond
	// minRosterAge is the age of this instance's roster after which it adopts that of a peer.
	minRosterAge = 1200 * time.Millisecond
	// crashTimeout bounds an exchange about crashes, for which a retry waits.
	crashTimeout = 150 * time.Millisecond
	// maxCrashPeers bounds the peers of such an exchange. After the loss of an availability
	// zone all instances have crashes to tell at once.
	maxCrashPeers = 16
	// confirmPollInterval is how often ConfirmRoster looks at what peers have stated.
	confirmPollInterval = 20 * time.Millisecond
	// minHurryInterval bounds how often ConfirmRoster begins exchanges early.
	minHurryInterval = 100 * time.Millisecond
)

// serviceName is the net/rpc service name of the methods.
const serviceName = "Gateway"

// Report is the state that an instance reports to its peers. A field that is added
// reaches them with each Statement, as JSON.
type Report struct {
	Name        string            `json:",omitzero"`
	Incarnation usher.Incarnation `json:",omitzero"`
	Address     string            `json:",omitzero"`
	// Version is that of the current configuration, and ProofAge the time since
	// it was last known to be the newest one.
	Version  usher.Version `json:",omitzero"`
	ProofAge time.Duration `json:",omitzero"`
	// RosterVersion is the store's version of the endpoints that it knows. RosterDigest is
	// that of their registrations, and RosterAge the time since a list of the store last
	// had all of them.
	RosterVersion usher.Version `json:",omitzero"`
	RosterDigest  uint64        `json:",omitzero"`
	RosterAge     time.Duration `json:",omitzero"`
	// Members is how many instances it knows, including itself.
	Members  int                 `json:",omitzero"`
	Dispatch dispatch.Report     `json:",omitzero"`
	Quota    quota.Report        `json:",omitzero"`
	Blame    []blame.Record      `json:",omitzero"`
	Streams  streamorigin.Report `json:",omitzero"`
	// Rollouts is what it knows of the answers during rollouts, and OrdersVersion the version
	// of the latest change of the rollout orders that it knows.
	Rollouts      rollout.Report `json:",omitzero"`
	OrdersVersion usher.Version  `json:",omitzero"`
}

// Dependencies are the components whose state is exchanged.
type Dependencies struct {
	Routes    *routing.Holder
	Roster    *roster.Roster
	Scheduler *dispatch.Scheduler
	Quota     *quota.Quota
	Blame     *blame.Table
	Streams   *streamorigin.Table
	// Rollouts and Orders are nil where operators order no rollouts.
	Rollouts *rollout.Table
	Orders   *orderbook.Book
	Log      zerolog.Logger
	// OnStoreAnswered is called with a time at which the store answered a peer.
	OnStoreAnswered func(at boottime.Time)
	// OnEndpointsChanged is called after the roster was replaced by a peer's.
	OnEndpointsChanged func()
}

// Peering runs the exchanges of this instance with its peers.
type Peering struct {
	self     usher.GatewayInstance
	process  processID
	deps     Dependencies
	sender   *peerstate.Sender
	partners *partners
	account  *account

	mu    sync.Mutex
	peers map[string]*peer
	// seeds are the addresses of other instances for ContactSeeds.
	seeds []string
	// hurriedAt is when exchanges were last begun early.
	hurriedAt time.Time
	// fetching is set during a transfer, to allow only one at a time.
	fetching atomic.Bool
}

// peer is another gateway instance and the state of the exchanges with it. Once
// silent is set, the requests that it reported are no longer counted until it replies
// again.
type peer struct {
	instance  usher.GatewayInstance
	client    *peerrpc.Client
	cancel    context.CancelFunc
	lastReply time.Time
	silent    bool
	turn      turn
	// hurry makes the next exchange begin at once.
	hurry chan struct{}
	// rosterVersion and rosterDigest are those of the last reply, and askedAt when it was
	// asked for.
	rosterVersion usher.Version
	rosterDigest  uint64
	askedAt       boottime.Time
	// process is that which replied last. isEarlier is set if it has a version that lacks the
	// method State, and streams is how much it was told of the origins of streams then. Only
	// runExchanges uses these.
	process   processID
	streams   streamorigin.Cursor
	isEarlier bool
}

// New returns a Peering without peers; SetInstances adds them.
func New(self usher.GatewayInstance, seeds []string, deps Dependencies) *Peering {
	return &Peering{
		self: self, process: newProcessID(self.Name, self.Incarnation), deps: deps, sender: peerstate.NewSender(), partners: newPartners(),
		account: newAccount(), seeds: seeds, peers: make(map[string]*peer),
	}
}

// Serve answers calls from peers until ctx ends.
func (p *Peering) Serve(ctx context.Context, server *peerrpc.Server) error {
	if err := server.Register(serviceName, &rpcService{p}); err != nil {
		return err
	}
	return server.Serve(ctx)
}

// SetInstances sets the known gateway instances. The exchange with each runs until
// a later call omits it or ctx ends.
func (p *Peering) SetInstances(ctx context.Context, instances []usher.GatewayInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.Name == p.self.Name {
			continue
		}
		listed[instance.Name] = true
		remote := p.peers[instance.Name]
		if remote != nil && remote.instance.Address == instance.Address {
			continue
		}
		if remote != nil {
			p.stopPeer(remote)
		}
		p.startPeer(ctx, instance)
	}
	for name, remote := range p.peers {
		if !listed[name] {
			p.stopPeer(remote)
			delete(p.peers, name)
			p.deps.Quota.RemovePeer(name)
		}
	}
}

func (p *Peering) startPeer(ctx context.Context, instance usher.GatewayInstance) {
	ctx, cancel := context.WithCancel(ctx)
	remote := &peer{
		instance: instance, client: peerrpc.NewMetered(instance.Address, peerrpc.SmallMessages, p.meter(instance.Zone)), cancel: cancel,
		hurry: make(chan struct{}, 1),
	}
	p.peers[instance.Name] = remote
	p.deps.Quota.AddPeer(instance.Name)
	go p.runExchanges(ctx, remote)
}

func (p *Peering) stopPeer(remote *peer) {
	remote.cancel()
	remote.client.Close()
}

// runExchanges exchanges statements with one peer until ctx ends.
func (p *Peering) runExchanges(ctx context.Context, remote *peer) {
	for ctx.Err() == nil {
		if wait := time.Until(p.nextExchange(remote)); wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-remote.hurry:
				p.exchange(ctx, remote)
			case <-timer.C:
				// The peer may have called meanwhile.
			}
			timer.Stop()
			continue
		}
		p.exchange(ctx, remote)
	}
}

// nextExchange returns when this instance is to call a peer.
func (p *Peering) nextExchange(remote *peer) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return remote.turn.next(exchangeInterval(len(p.peers)), rand.Float64())
}

// turn decides which instance of a pair calls the other. A call tells both what the other
// states, so they take turns: each calls one interval after it was called. If the peer does
// not call when it should, this instance does.
type turn struct {
	// calledAt is when this instance last called the peer, and wasCalledAt when the peer
	// last called it. failed is set if the last call got no reply.
	calledAt, wasCalledAt time.Time
	failed                bool
}

// next returns when this instance is to call. random, from 0 to 1, varies the interval.
func (t *turn) next(interval time.Duration, random float64) time.Time {
	varied := time.Duration(float64(interval) * (1 + intervalJitter*(2*random-1)))
	switch {
	case t.failed:
		return t.calledAt.Add(varied)
	case t.wasCalledAt.After(t.calledAt):
		next := t.wasCalledAt.Add(varied)
		if latest := t.calledAt.Add(2 * interval); next.After(latest) {
			return latest
		}
		return next
	default:
		return t.calledAt.Add(3 * varied / 2)
	}
}

// exchangeInterval returns the time between two exchanges of this instance with the same
// peer, whichever of the two calls.
func exchangeInterval(peers int) time.Duration {
	interval := minExchangeInterval * time.Duration(max(1, (peers+peersPerInterval-1)/peersPerInterval))
	switch {
	case peers <= fewPeers:
		return interval / 2
	case peers <= largeFleet:
		return min(interval, max(shortInterval, interval/2))
	default:
		return interval
	}
}

// recordCall records that a peer has called. What it stated counts again, until it is silent
// once more.
func (p *Peering) recordCall(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if remote := p.peers[instance]; remote != nil {
		remote.turn.wasCalledAt, remote.silent = time.Now(), false
	}
}

func (p *Peering) exchange(ctx context.Context, remote *peer) {
	exchangeCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	p.mu.Lock()
	remote.turn.calledAt = time.Now()
	p.mu.Unlock()
	sentAt := boottime.Now()
	reply, err := p.call(exchangeCtx, remote)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		remote.client.Reset()
		remote.isEarlier = false
		p.recordFailure(remote, err)
		return
	}
	p.markReachable(remote, sentAt, reply)
	// The ages were measured after the request was sent, so subtracting them from
	// the time of sending never overstates how recent the proofs are.
	p.deps.Routes.ConfirmNewest(reply.Version, sentAt.Add(-reply.ProofAge))
	p.deps.Roster.Confirm(reply.RosterDigest, sentAt.Add(-reply.RosterAge))
	p.deps.OnStoreAnswered(sentAt.Add(-reply.ProofAge))
	p.fetchNewer(ctx, remote, reply)
}

// call tells a peer what this instance states, and returns the report that its reply
// amounts to, which is merged.
func (p *Peering) call(ctx context.Context, remote *peer) (*Report, error) {
	if remote.isEarlier {
		return p.callEarlier(ctx, remote)
	}
	told, err := p.state(p.partners.get(remote.process), false).encode()
	if err != nil {
		return nil, err
	}
	var encoded []byte
	err = remote.client.Call(ctx, serviceName+".State", &told, &encoded)
	if isMethodMissing(err) {
		remote.isEarlier = true
		return p.callEarlier(ctx, remote)
	}
	if err != nil {
		return nil, err
	}
	var reply Statement
	if err := reply.decode(encoded); err != nil {
		return nil, err
	}
	_, report := p.receive(&reply)
	remote.process = reply.Sender
	return report, nil
}

// callEarlier is call for a peer that can't read statements.
func (p *Peering) callEarlier(ctx context.Context, remote *peer) (*Report, error) {
	report, reply := p.report(false), new(Report)
	streams := remote.streams
	report.Streams, streams = p.deps.Streams.Report(streams)
	if err := remote.client.Call(ctx, serviceName+".Exchange", report, reply); err != nil {
		return nil, err
	}
	p.merge(reply)
	if process := newProcessID(reply.Name, reply.Incarnation); process != remote.process {
		// What an earlier process was told is lost.
		remote.process, streams = process, streamorigin.Cursor{}
	}
	remote.streams = streams
	return reply, nil
}

// report returns this instance's report. The part that only a learning peer needs
// (quota.Report.Missing) is a sixth of its size and is left out for others.
func (p *Peering) report(peerLearning bool) *Report {
	p.mu.Lock()
	members := len(p.peers) + 1
	p.mu.Unlock()
	// A proof that comes between the two reads may be one of another digest or version, so the age is read
	// before it.
	rosterAge, roster := p.deps.Roster.Age(), p.deps.Roster.Snapshot()
	proofAge, version := p.deps.Routes.Age(), p.deps.Routes.Version()
	report := &Report{
		Members: members,
		Name:    p.self.Name, Incarnation: p.self.Incarnation, Address: p.self.Address,
		Version: version, ProofAge: proofAge,
		RosterVersion: roster.Revision, RosterDigest: roster.Digest, RosterAge: rosterAge,
		Dispatch: p.deps.Scheduler.Report(), Quota: p.deps.Quota.Report(peerLearning), Blame: p.deps.Blame.Report(),
	}
	if p.deps.Rollouts != nil {
		report.Rollouts, report.OrdersVersion = p.deps.Rollouts.Report(), p.deps.Orders.Version()
	}
	return report
}

// merge applies the parts of a report whose validity does not depend on when it
// was sent.
func (p *Peering) merge(report *Report) {
	p.mergeState(report)
	p.mergeRest(report)
}

// mergeState applies what a peer states as a peerstate.State.
func (p *Peering) mergeState(report *Report) {
	p.deps.Quota.Merge(report.Name, report.Quota)
	p.deps.Scheduler.ApplyReport(report.Name, report.Dispatch)
}

// mergeRest applies what does not replace an earlier report.
func (p *Peering) mergeRest(report *Report) {
	p.deps.Blame.Merge(report.Blame)
	p.deps.Streams.Merge(report.Streams)
	if p.deps.Rollouts != nil {
		p.deps.Rollouts.Merge(report.Name, report.Incarnation, report.Rollouts)
	}
}

func (p *Peering) markReachable(remote *peer, askedAt boottime.Time, reply *Report) {
	p.mu.Lock()
	regained := remote.silent
	remote.lastReply, remote.silent, remote.turn.failed = time.Now(), false, false
	remote.askedAt, remote.rosterVersion, remote.rosterDigest = askedAt, reply.RosterVersion, reply.RosterDigest
	p.mu.Unlock()
	if regained {
		p.deps.Log.Info().Str("peer", remote.instance.Name).Msg("peerRegained")
	}
}

func (p *Peering) recordFailure(remote *peer, cause error) {
	p.mu.Lock()
	remote.turn.calledAt, remote.turn.failed = time.Now(), true
	heardAt := remote.lastReply
	if remote.turn.wasCalledAt.After(heardAt) {
		heardAt = remote.turn.wasCalledAt
	}
	silent := !remote.silent && time.Since(heardAt) > peerSilentAfter
	if silent {
		remote.silent = true
	}
	p.mu.Unlock()
	if silent {
		p.deps.Scheduler.MarkPeerSilent(remote.instance.Name)
		p.deps.Log.Warn().Err(cause).Str("peer", remote.instance.Name).Msg("peerLost")
	}
}

// fetchNewer fetches the configuration, the endpoints and the rollout orders from a peer that
// has newer ones.
func (p *Peering) fetchNewer(ctx context.Context, remote *peer, report *Report) {
	newerRoutes := report.Version > p.deps.Routes.Version()
	newerRoster := report.RosterVersion > p.deps.Roster.Snapshot().Revision && p.deps.Roster.Age() > minRosterAge
	newerOrders := p.deps.Orders != nil && report.OrdersVersion > p.deps.Orders.Version()
	if !newerRoutes && !newerRoster && !newerOrders || !p.fetching.CompareAndSwap(false, true) {
		return
	}
	defer p.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if newerRoutes {
		var table usher.RouteTable
		if err := remote.client.Call(ctx, serviceName+".Routes", &Empty{}, &table); err != nil {
			p.deps.Log.Warn().Err(err).Str("peer", remote.instance.Name).Msg("routesNotFetched")
			return
		}
		p.deps.Routes.Adopt(&table, remote.instance.Name)
	}
	if newerRoster {
		var list EndpointList
		if err := remote.client.Call(ctx, serviceName+".Endpoints", &Empty{}, &list); err != nil {
			p.deps.Log.Warn().Err(err).Str("peer", remote.instance.Name).Msg("endpointsNotFetched")
			return
		}
		list.dropInvalid()
		p.deps.Roster.Replace(list.Endpoints, list.Revision)
		p.deps.OnEndpointsChanged()
	}
	if newerOrders {
		var list OrderList
		if err := remote.client.Call(ctx, serviceName+".Orders", &Empty{}, &list); err != nil {
			p.deps.Log.Warn().Err(err).Str("peer", remote.instance.Name).Msg("rolloutOrdersNotFetched")
			return
		}
		p.deps.Orders.Replace(list.Orders, list.Version, false)
	}
}

// ConfirmRoster waits until most instances, including this one, have stated since a time
// that they know no newer endpoints than this one, and no other has stated that it does. A
// minority may have been cut off from the store together, and an instance without peers from
// all others. It returns the error of ctx if that is done before.
func (p *Peering) ConfirmRoster(ctx context.Context, since boottime.Time) error {
	ticker := time.NewTicker(confirmPollInterval)
	defer ticker.Stop()
	for !p.isRosterConfirmed(since) {
		p.hurryExchanges(since)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// hurryExchanges begins an exchange with each peer that has stated nothing since a time. In
// a small fleet, the next one is near.
func (p *Peering) hurryExchanges(since boottime.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if exchangeInterval(len(p.peers)) < shortInterval || time.Since(p.hurriedAt) < minHurryInterval {
		return
	}
	p.hurriedAt = time.Now()
	for _, remote := range p.peers {
		if remote.askedAt < since && !remote.silent {
			select {
			case remote.hurry <- struct{}{}:
			default:
			}
		}
	}
}

func (p *Peering) isRosterConfirmed(since boottime.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.deps.Roster.Snapshot()
	agreeing := 1
	for _, remote := range p.peers {
		// The store's revision also grows without a change of the endpoints.
		if remote.rosterVersion > own.Revision && remote.rosterDigest != own.Digest {
			return false
		}
		if remote.askedAt >= since {
			agreeing++
		}
	}
	return agreeing > 1 && 2*agreeing > len(p.peers)+1
}

// ExchangeCrashes tells peers that can be reached what this instance knows of crashes, and
// learns what they know, without waiting for the next exchange. A peer that does not reply
// within crashTimeout is not waited for. With more than maxCrashPeers the others learn of it
// by the reports.
func (p *Peering) ExchangeCrashes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	told := &CrashList{Records: p.deps.Blame.Report()}
	var asked sync.WaitGroup
	for _, remote := range p.reachablePeers(maxCrashPeers) {
		asked.Go(func() {
			var reply CrashList
			if err := remote.client.Call(ctx, serviceName+".Crashes", told, &reply); err != nil {
				p.deps.Log.Debug().Err(err).Str("peer", remote.instance.Name).Msg("crashesNotExchanged")
				return
			}
			p.deps.Blame.Merge(reply.Records)
		})
	}
	asked.Wait()
}

// reachablePeers returns at most limit peers that are not silent. Which ones depends on the
// order of a map, so that no peer is asked more often than others.
func (p *Peering) reachablePeers(limit int) (reachable []*peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, remote := range p.peers {
		if !remote.silent && len(reachable) < limit {
			reachable = append(reachable, remote)
		}
	}
	return reachable
}

// ContactSeeds contacts the instances at the seed addresses and fetches what they
// have newer. A process that starts while the store is unavailable thereby gets
// a configuration and finds peers.
//
// It returns the instances that replied and those that these know, and the largest
// number of instances that one of them knows.
func (p *Peering) ContactSeeds(ctx context.Context) (found []usher.GatewayInstance, members int) {
	known := map[string]bool{p.self.Name: true}
	add := func(instances ...usher.GatewayInstance) {
		for _, instance := range instances {
			if !known[instance.Name] {
				known[instance.Name] = true
				found = append(found, instance)
			}
		}
	}
	for _, address := range p.seeds {
		if address == p.self.Address || ctx.Err() != nil {
			continue
		}
		client := peerrpc.New(address, peerrpc.SmallMessages)
		exchangeCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		var reply Report
		err := client.Call(exchangeCtx, serviceName+".Exchange", p.report(false), &reply)
		cancel()
		if err == nil && reply.Name != "" {
			instance := usher.GatewayInstance{Name: reply.Name, Incarnation: reply.Incarnation, Address: address}
			add(instance)
			add(p.fetchInstances(ctx, client, reply.Name)...)
			members = max(members, reply.Members)
			p.fetchNewer(ctx, &peer{instance: instance, client: client}, &reply)
		}
		client.Close()
	}
	return found, members
}

// fetchInstances returns the instances that a peer knows. A peer of an earlier version
// can't tell them.
func (p *Peering) fetchInstances(ctx context.Context, client *peerrpc.Client, name string) []usher.GatewayInstance {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var list InstanceList
	if err := client.Call(ctx, serviceName+".Instances", &Empty{}, &list); err != nil {
		p.deps.Log.Warn().Err(err).Str("peer", name).Msg("instancesNotFetched")
	}
	return list.Instances
}

// instances returns the known instances, including this one.
func (p *Peering) instances() []usher.GatewayInstance {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := []usher.GatewayInstance{p.self}
	for _, remote := range p.peers {
		all = append(all, remote.instance)
	}
	return all
}

// State returns the peers' section of the diagnostic dump.
func (p *Peering) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	type peerState struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Age     string `json:"age"`
		Silent  bool   `json:"silent"`
	}
	states := make([]peerState, 0, len(p.peers))
	for _, remote := range p.peers {
		states = append(states, peerState{remote.instance.Name, remote.instance.Address, time.Since(remote.lastReply).String(), remote.silent})
	}
	return states
}
