// Package discovery keeps a gateway instance up to date with the directory: with the
// configuration, the endpoints and the other instances. It limits the rate of its
// calls, logs when the directory's store becomes unavailable and available again,
// and verifies regularly that the configuration in force is the newest.
package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"filbertusher/internal/boottime"
	"filbertusher/internal/erawatch"
	"filbertusher/internal/inquiry"
	"filbertusher/internal/orderbook"
	"filbertusher/internal/pause"
	"filbertusher/internal/roster"
	"filbertusher/internal/routing"
	"filbertusher/pkg/usher"
)

// The intervals of watches and announcements grow with the number of instances up
// to a maximum, so that the load on the store grows more slowly than the number
// of instances.
const (
	// unscaledInstances is the largest number of instances at which the intervals
	// are not scaled up.
	unscaledInstances = 8
	// routesWatchWait is how long the store may hold a watch of the configuration
	// open.
	routesWatchWait = 5 * time.Second
	// maxProofAge is the age of the last proof that the configuration is the newest
	// at which this process reads the configuration again. It checks the age every
	// proofCheckInterval. Peers exchange proofs, so that of many instances only
	// some have to read.
	maxProofAge        = 900 * time.Millisecond
	proofCheckInterval = 100 * time.Millisecond
	// minLapseOutage is the shortest outage of the store in which registrations can
	// lapse. Endpoints renew them about every second.
	minLapseOutage = 1800 * time.Millisecond
	// announceInterval is the interval at which an instance announces itself, and
	// maxAnnounceInterval its maximum with many instances.
	announceInterval    = 3 * time.Second
	maxAnnounceInterval = 12 * time.Second
	// lostAfterIntervals is the number of announcement intervals without an
	// announcement after which another instance is treated as lost.
	lostAfterIntervals = 3.3
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls, before
	// its random jitter. The jitter spreads out instances that failed together.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// relistAfterFailures is the number of consecutive failures after which a watch
	// is resumed. After the next one it starts over with a new list.
	relistAfterFailures = 2
	// callTimeout bounds each call, and is added to the waiting time of a watch.
	callTimeout = 1500 * time.Millisecond
)

// Options hold the directory to watch, the state to update from it and the
// callbacks.
type Options struct {
	Directory usher.Directory
	Routes    *routing.Holder
	Roster    *roster.Roster
	Self      usher.GatewayInstance
	Log       zerolog.Logger
	// RewriteGrace is how long after the store went back to an earlier state what it
	// lost may not have been written again.
	RewriteGrace time.Duration
	// Heartbeat is about how often endpoints renew their registrations.
	Heartbeat time.Duration
	// DrainTime is how long an endpoint serves after it has registered as leaving. 0 stands
	// for defaultDrainTime.
	DrainTime time.Duration
	// OnInstances is called with the live instances, including this one, each time
	// they were listed.
	OnInstances func(ctx context.Context, instances []usher.GatewayInstance)
	// OnEndpointsChanged is called after each update of the roster.
	OnEndpointsChanged func()
	// Rollouts holds the rollout orders that Orders follows. Both are nil where operators
	// order no rollouts.
	Rollouts usher.RolloutDirectory
	Orders   *orderbook.Book
}

// Watcher watches the directory for one process.
type Watcher struct {
	options Options
	store   dependency
	proofs  proofGuard
	// endpointProofs decides which lists of the endpoints prove that no others are
	// registered.
	endpointProofs proofGuard
	// rolloutProofs decides which lists of the rollout orders prove that there are no others.
	rolloutProofs proofGuard
	// rolloutsRefresh receives a value when the orders are to be listed again.
	rolloutsRefresh chan struct{}

	// endpointInquiry shares the lists of endpoints, of which listed is the newest, among
	// the calls of HasNotRestarted.
	endpointInquiry inquiry.Group
	listed          atomic.Pointer[endpointList]

	mu         sync.Mutex
	heartbeats map[string]heartbeat
	// lastLive are the instances that were live in the last list, and instancesEra is
	// the list's era. restoredAt is when a list of a new era came.
	lastLive     []usher.GatewayInstance
	instancesEra usher.StoreEra
	restoredAt   time.Time
	// instanceCount is the number of live instances, or 0 while it is unknown. position is
	// that of this instance among them, by name.
	instanceCount atomic.Int64
	position      atomic.Int64
}

// scaled returns interval scaled up by the number of instances, at most maximum.
func (w *Watcher) scaled(interval, maximum time.Duration) time.Duration {
	count := w.instanceCount.Load()
	if count <= unscaledInstances {
		return interval
	}
	return min(maximum, interval*time.Duration(count)/unscaledInstances)
}

// New returns a watcher. It does nothing until Run is called.
func New(options Options) *Watcher {
	w := &Watcher{
		options: options, store: dependency{name: "store", log: options.Log}, heartbeats: make(map[string]heartbeat),
		proofs: proofGuard{rewriteGrace: options.RewriteGrace}, endpointProofs: proofGuard{rewriteGrace: options.RewriteGrace},
		rolloutProofs: proofGuard{rewriteGrace: options.RewriteGrace}, rolloutsRefresh: make(chan struct{}, 1),
	}
	w.store.onRecovery = func(outage time.Duration) {
		if outage > minLapseOutage {
			options.Roster.StoreRecovered()
			w.RefreshRollouts()
		}
	}
	return w
}

// Run watches the directory until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { w.watchRoutes(ctx); return nil })
	group.Go(func() error { w.renewProofs(ctx); return nil })
	group.Go(func() error { w.watchEndpoints(ctx); return nil })
	group.Go(func() error { w.renewRosterProofs(ctx); return nil })
	group.Go(func() error { w.expireEndpoints(ctx); return nil })
	group.Go(func() error { w.announceAndList(ctx); return nil })
	if w.options.Rollouts != nil {
		group.Go(func() error { w.watchRollouts(ctx); return nil })
	}
	return group.Wait()
}

// StoreAnswered records that the store answered another instance at a time.
func (w *Watcher) StoreAnswered(at boottime.Time) { w.store.answered(at) }

// KnowsInstances reports whether the instances have been listed at least once.
func (w *Watcher) KnowsInstances() bool { return w.instanceCount.Load() > 0 }

// Withdraw removes this instance from the directory for a planned stop.
func (w *Watcher) Withdraw(ctx context.Context) error {
	return w.options.Directory.Withdraw(ctx, w.options.Self.Name)
}

func (w *Watcher) watchRoutes(ctx context.Context) {
	var since usher.Version
	retry := backoff{}
	for ctx.Err() == nil {
		started, listed := boottime.Now(), since == 0
		table, next, err := w.fetchRoutes(ctx, since)
		if err != nil {
			since = w.handleFailure(ctx, "routes", started, err, since, &retry)
			continue
		}
		w.store.succeeded()
		retry.reset()
		since = next
		switch {
		case table == nil:
		case listed:
			w.adoptListed(table, next.Era(), started)
		default:
			// A watch may report a change late, so it is no proof.
			w.options.Routes.Adopt(table, "store")
		}
	}
}

// adoptListed brings a configuration into force that was listed, and records whether
// the list proves that it is the newest.
func (w *Watcher) adoptListed(table *usher.RouteTable, era usher.StoreEra, started boottime.Time) {
	var inForce *usher.RouteTable
	if index := w.options.Routes.Index(); index != nil {
		inForce = index.Table
	}
	proof := w.proofs.isProof(table, inForce, era, started)
	w.options.Routes.Adopt(table, "store")
	if proof {
		w.options.Routes.ConfirmNewest(table.Version, started)
	}
}

// handleFailure waits before the next attempt and returns the revision to watch
// from, or 0 to list again. It returns 0 if the store's history no longer reaches
// back to since, and after several other failures in a row, because the history
// may have been dropped meanwhile.
func (w *Watcher) handleFailure(ctx context.Context, call string, started boottime.Time, err error, since usher.Version, retry *backoff) usher.Version {
	compacted, missing := new(usher.HistoryCompactedError), new(usher.NotFoundError)
	switch {
	case errors.As(err, &compacted):
		since = 0
	case errors.As(err, &missing):
		// The store is available, but holds no configuration yet.
	default:
		w.store.failed(ctx, call, started, err)
		if retry.failures >= relistAfterFailures {
			since = 0
		}
	}
	retry.wait(ctx)
	return since
}

func (w *Watcher) fetchRoutes(ctx context.Context, since usher.Version) (table *usher.RouteTable, next usher.Version, err error) {
	if since == 0 {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return w.options.Directory.Routes(callCtx)
	}
	callCtx, cancel := context.WithTimeout(ctx, routesWatchWait+callTimeout)
	defer cancel()
	err = erawatch.Do(callCtx, w.options.Directory, since, func(watchCtx context.Context) error {
		table, next, err = w.options.Directory.WatchRoutes(watchCtx, since, routesWatchWait)
		return err
	})
	return table, next, err
}

// renewProofs reads the configuration when neither this process nor a peer has
// proven for a while that the one in force is the newest.
func (w *Watcher) renewProofs(ctx context.Context) {
	retry := backoff{}
	maxAge := maxProofAge
	for ctx.Err() == nil {
		pause.For(ctx, proofCheckInterval)
		if w.options.Routes.Index() == nil || w.options.Routes.Age() < maxAge {
			continue
		}
		// The random age keeps instances that share a proof from reading all at once.
		maxAge = maxProofAge/2 + time.Duration(rand.Int64N(int64(maxProofAge/2)))
		started := boottime.Now()
		callCtx, cancel := context.WithTimeout(ctx, retry.proofTimeout())
		table, version, err := w.options.Directory.Routes(callCtx)
		cancel()
		if err != nil {
			w.store.failed(ctx, "proof", started, err)
			retry.wait(ctx)
			continue
		}
		w.store.succeeded()
		retry.reset()
		w.adoptListed(table, version.Era(), started)
		pause.For(ctx, w.proofs.untilSettled(boottime.Now()))
	}
}
