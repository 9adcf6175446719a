// Package spread keeps the configuration of every process up to date at a cost
// to the platform's store that does not grow with the fleet. A few companions
// in each availability zone watch the store; every other process waits at a
// peer for the next version and passes it on. The files: tree chooses the
// peers, peers speaks with them, rpc answers them, changes remembers what to
// send, store watches the store, and repair mends it when it has lost history.
package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"filbertusher/internal/config"
	"filbertusher/internal/link"
	"filbertusher/internal/telemetry"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// Self is what a process is to its peers.
type Self struct {
	// Endpoint is set for companions only. Only they relay to others by rank,
	// because their addresses are declared.
	Endpoint    usher.EndpointName
	Incarnation usher.Incarnation
	Zone        usher.AvailabilityZone
	// Address is where peers reach the process.
	Address string
	// Seeds are addresses of peers that a process asks while it knows no
	// configuration, so that it can start while the store is down.
	Seeds []string
}

// Spread keeps one process up to date.
type Spread struct {
	self    Self
	store   usher.Store
	holder  *config.Holder
	log     zerolog.Logger
	changes changes
	metrics metrics

	mu    sync.Mutex
	links map[string]*link.Link
	// suspended holds, for a peer that did not answer, until when it is passed
	// over.
	suspended map[string]time.Time
	// taking lets one snapshot be built at a time.
	taking sync.Mutex
	// watching is held by the one loop of the process that watches the store.
	watching sync.Mutex
	// full bounds the pages that are sent at the same time.
	full chan struct{}
	pin  pin
	// memory is trimmed after large work.
	memory memory
}

type metrics struct {
	polls      func(int64)
	deltas     func(int64)
	pages      func(int64)
	storeReads func(int64)
	watches    func(int64)
	refused    func(int64)
	repairs    func(int64)
}

// parallelPages bounds how many peers are sent pages at the same time.
const parallelPages = 4

// New returns a spread; Run has to be called.
func New(self Self, store usher.Store, holder *config.Holder, log zerolog.Logger) *Spread {
	group := telemetry.NewMetrics("spread")
	return &Spread{
		self: self, store: store, holder: holder, log: log,
		links: make(map[string]*link.Link), suspended: make(map[string]time.Time),
		full: make(chan struct{}, parallelPages),
		metrics: metrics{
			polls:      group.Counter("polls").Add,
			deltas:     group.Counter("changesSent").Add,
			pages:      group.Counter("pagesSent").Add,
			storeReads: group.Counter("storeReads").Add,
			watches:    group.Counter("storeWatches").Add,
			refused:    group.Counter("divergedRefused").Add,
			repairs:    group.Counter("storeRepairs").Add,
		},
	}
}

// Run keeps the holder up to date until ctx ends.
func (s *Spread) Run(ctx context.Context) error {
	s.bootstrap(ctx)
	group, ctx := errgroup.WithContext(ctx)
	for order := range treeCount {
		group.Go(func() error { return s.follow(ctx, treeOrder(order)) })
	}
	group.Go(func() error { return s.askAcross(ctx) })
	group.Go(func() error { return s.listen(ctx) })
	group.Go(func() error { return s.memory.run(ctx) })
	err := group.Wait()
	s.closeLinks()
	return err
}

// caller is embedded in messages to peers. The incarnation is left out because
// nothing that the peer keeps belongs to it.
func (s *Spread) caller() wire.Caller {
	return wire.Caller{ConfigVersion: s.holder.Current().Version, Peer: s.self.Address}
}

// take offers a snapshot to the holder and remembers which objects changed.
func (s *Spread) take(from, next *config.Snapshot, keys []usher.ObjectKey) bool {
	if !s.holder.Offer(next) {
		if config.Diverged(&s.holder.Current().Head, &next.Head) {
			s.metrics.refused(1)
		}
		return false
	}
	s.changes.add(&from.Head, &next.Head, keys)
	s.memory.adjust(next)
	s.log.Info().Uint64("version", uint64(next.Version)).Str("change", string(next.Head.ID)).Msg("configInForce")
	return true
}

// State is the part of the dump that shows where the process gets its
// configuration from.
func (s *Spread) State() any {
	current := s.holder.Current()
	state := map[string]any{
		"version": current.Version, "change": current.Head.ID, "author": current.Head.Author, "accepted": current.Head.Time,
		"services": len(current.Services), "endpoints": len(current.Endpoints), "workspaces": len(current.Workspaces),
		"watchesStore": s.WatchesStore(),
	}
	if current.InForce != nil {
		state["preset"] = current.InForce.Name
	}
	for order := range treeCount {
		state["peers"+string(rune('A'+order))] = s.chain(treeOrder(order))
	}
	return state
}

// WatchesStore says whether this is one of the few processes that watch the
// store now. Other work that only a few should do goes to them as well.
func (s *Spread) WatchesStore() bool {
	if s.watching.TryLock() {
		s.watching.Unlock()
		return false
	}
	return true
}

// jittered returns a duration around d, so that processes that failed at the
// same moment don't come back at the same moment.
func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}
