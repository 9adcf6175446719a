// Package configsync distributes the configuration to all entries and companions,
// at a load on the platform's store that does not grow with the fleet. A few
// companions in each availability zone watch the store; every other process
// long-polls a peer for the next version and serves it to others. Gateway
// instances use package discovery instead. tree.go selects the peers,
// peers.go polls them, rpc.go answers their polls, changelog.go records what to
// send, store.go watches the store, and repair.go restores the store after it
// has lost history.
package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"filbertusher/internal/config"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/telemetry"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// LocalProcess describes the local process to the trees and to its peers.
type LocalProcess struct {
	// Endpoint is set for companions only. Only companions have a position in
	// the trees and serve others, because their addresses are declared.
	Endpoint    usher.EndpointName
	Incarnation usher.Incarnation
	Zone        usher.AvailabilityZone
	// Address is the address of the RPC listener for peers.
	Address string
	// Seeds are addresses of peers that the process polls while it has no
	// configuration, so that it can start while the store is down.
	Seeds []string
}

// Syncer keeps the configuration of one process up to date.
type Syncer struct {
	self      LocalProcess
	store     usher.Store
	holder    *config.Holder
	log       zerolog.Logger
	changeLog changeLog
	metrics   metrics

	mu      sync.Mutex
	clients map[string]*peerrpc.Client
	// suspended maps a peer that did not answer to the time until which it is
	// skipped.
	suspended map[string]time.Time
	// installMu serializes building and installing snapshots.
	installMu sync.Mutex
	// watchMu is held by the one goroutine of the process that watches the
	// store.
	watchMu sync.Mutex
	// pageSlots limits the number of pages that are sent concurrently.
	pageSlots chan struct{}
	pinned    pinnedSnapshot
	// memory tunes the garbage collector for large configurations.
	memory memoryTuner
}

// metrics holds the functions that add to the syncer's counters, named as they are
// published. polls also counts probes of peers.
type metrics struct {
	polls           func(int64)
	changesSent     func(int64)
	pagesSent       func(int64)
	storeReads      func(int64)
	storeWatches    func(int64)
	divergedRefused func(int64)
	storeRepairs    func(int64)
}

// maxConcurrentPages is the maximum number of pages that are sent to peers
// concurrently.
const maxConcurrentPages = 4

// New returns a Syncer, which does nothing until Run is called.
func New(self LocalProcess, store usher.Store, holder *config.Holder, log zerolog.Logger) *Syncer {
	group := telemetry.NewMetrics("spread")
	return &Syncer{
		self: self, store: store, holder: holder, log: log,
		clients: make(map[string]*peerrpc.Client), suspended: make(map[string]time.Time),
		pageSlots: make(chan struct{}, maxConcurrentPages),
		metrics: metrics{
			polls:           group.Counter("polls").Add,
			changesSent:     group.Counter("changesSent").Add,
			pagesSent:       group.Counter("pagesSent").Add,
			storeReads:      group.Counter("storeReads").Add,
			storeWatches:    group.Counter("storeWatches").Add,
			divergedRefused: group.Counter("divergedRefused").Add,
			storeRepairs:    group.Counter("storeRepairs").Add,
		},
	}
}

// Run keeps the holder up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	s.bootstrap(ctx)
	group, ctx := errgroup.WithContext(ctx)
	for tree := range treeCount {
		group.Go(func() error { return s.followTree(ctx, treeIndex(tree)) })
	}
	group.Go(func() error { return s.pollFleet(ctx) })
	group.Go(func() error { return s.pollReportingPeers(ctx) })
	group.Go(func() error { return s.memory.run(ctx) })
	err := group.Wait()
	s.closeClients()
	return err
}

// caller returns the header that is embedded in messages to peers. It omits the
// incarnation, because peers keep no state for it.
func (s *Syncer) caller() wire.Caller {
	return wire.Caller{ConfigVersion: s.holder.Current().Version, Peer: s.self.Address}
}

// install offers a snapshot to the holder, records which objects changed, and
// reports whether the holder accepted it.
func (s *Syncer) install(from, next *config.Snapshot, keys []usher.ObjectKey) bool {
	if !s.holder.Offer(next) {
		if config.Diverged(&s.holder.Current().Head, &next.Head) {
			s.metrics.divergedRefused(1)
		}
		return false
	}
	s.changeLog.add(&from.Head, &next.Head, keys)
	s.memory.tuneGC(next)
	s.log.Info().Uint64("version", uint64(next.Version)).Str("change", string(next.Head.ID)).Msg("configInForce")
	return true
}

// State returns the section of the diagnostic dump that shows the active version and
// the peers that it is fetched from.
func (s *Syncer) State() any {
	current := s.holder.Current()
	state := map[string]any{
		"version": current.Version, "change": current.Head.ID, "author": current.Head.Author, "accepted": current.Head.Time,
		"services": len(current.Services), "endpoints": len(current.Endpoints), "workspaces": len(current.Workspaces),
		"watchesStore": s.WatchesStore(),
	}
	if current.ActivePreset != nil {
		state["preset"] = current.ActivePreset.Name
	}
	for tree := range treeCount {
		state["peers"+string(rune('A'+tree))] = s.upstreamPeers(treeIndex(tree))
	}
	return state
}

// WatchesStore reports whether this is one of the few processes that currently
// watch the store. They also perform other tasks that only a few processes
// should do.
func (s *Syncer) WatchesStore() bool {
	if s.watchMu.TryLock() {
		s.watchMu.Unlock()
		return false
	}
	return true
}

// jittered returns a random duration from d/2 to 3d/2, so that processes that
// failed at the same time do not retry at the same time.
func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}
