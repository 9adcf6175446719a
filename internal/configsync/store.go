package configsync

import (
	"context"
	"errors"
	"slices"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/erawatch"
	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

const (
	// watchWait is how long the store may hold one watch open. With replyGrace it bounds how
	// long a watch that is lost goes unnoticed: it looks like one without a change.
	watchWait = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after failed calls to
	// the store. It doubles with each failure and is jittered.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
	// minStoreReadInterval is the approximate minimum interval between two
	// versions that a process reads from the store. It limits the load during
	// a burst of changes to about five rounds of reads a second from each
	// watching process.
	minStoreReadInterval = 200 * time.Millisecond
	// maxWatchDuration is how long a process without a reachable peer watches
	// the store before it tries its peers again.
	maxWatchDuration = 10 * time.Second
)

// bootstrap obtains a first configuration: from the seeds, from the relays
// listed in the head, or from the store if no peer has one. When a whole fleet
// starts at once, the first few relays load it from the store and the others
// fetch it from them; hundreds of processes that each read hundreds of parts
// would overload the store for minutes.
func (s *Syncer) bootstrap(ctx context.Context) {
	delay := minRetryDelay
	for round := 0; ctx.Err() == nil && s.holder.Current().Version == 0; round++ {
		if s.pollUntilConfigured(ctx, s.self.Seeds) || s.bootstrapFromStore(ctx, round) == nil {
			continue
		}
		s.awaitPeerVersion(ctx, jittered(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

const (
	// primaryRelays is the number of relays that load the configuration from
	// the store at once.
	primaryRelays = 4
	// maxRelayRounds is how many times another process tries the relays before
	// it loads the configuration from the store itself.
	maxRelayRounds = 6
)

// NoPeerConfigError is returned while no peer has a configuration yet.
type NoPeerConfigError struct{}

// Error implements error.
func (*NoPeerConfigError) Error() string { return "no peer has the configuration yet" }

// awaitPeerVersion waits before the next attempt. If a peer reports a newer
// version meanwhile, it polls that peer.
func (s *Syncer) awaitPeerVersion(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case reported := <-s.holder.PeerVersions():
		_ = s.poll(ctx, reported.Peer, 0)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pollUntilConfigured polls the peers in order until the process has a
// configuration, and reports whether it has.
func (s *Syncer) pollUntilConfigured(ctx context.Context, addresses []string) bool {
	for _, address := range addresses {
		if address != s.self.Address && s.poll(ctx, address, 0) == nil && s.holder.Current().Version > 0 {
			return true
		}
	}
	return false
}

// bootstrapFromStore reads the head, which costs the store one call, and
// fetches the objects from a relay if possible.
func (s *Syncer) bootstrapFromStore(ctx context.Context, round int) error {
	head, _, err := config.LoadHead(ctx, s.store)
	s.metrics.storeReads(1)
	if err != nil {
		s.log.Warn().Err(err).Msg("storeUnavailable")
		return err
	}
	if head.Version == 0 {
		return &NoPeerConfigError{}
	}
	isPrimary := slices.Contains(head.Relays[:min(primaryRelays, len(head.Relays))], s.self.Address)
	if !isPrimary && s.pollUntilConfigured(ctx, shuffled(head.Relays)) {
		return nil
	}
	if !isPrimary && len(head.Relays) > 0 && round < maxRelayRounds {
		return &NoPeerConfigError{}
	}
	return s.load(ctx, s.holder.Current(), head)
}

// watchStore watches the store for up to maxWatchDuration and installs new
// versions. Only one goroutine of a process does so; the other ones wait until
// a version arrives or a while has passed.
func (s *Syncer) watchStore(ctx context.Context) {
	if !s.watchMu.TryLock() {
		select {
		case <-s.holder.Changed():
		case <-ctx.Done():
		case <-time.After(jittered(pollWait)):
		}
		return
	}
	defer s.watchMu.Unlock()
	delay := minRetryDelay
	var revision usher.Version
	for started := time.Now(); ctx.Err() == nil && time.Since(started) < maxWatchDuration; {
		before := s.holder.Current().Version
		next, err := s.watchHead(ctx, revision)
		if err == nil {
			revision, delay = next, minRetryDelay
			if s.holder.Current().Version > before {
				pause.For(ctx, jittered(minStoreReadInterval))
			}
			continue
		}
		var compacted *usher.HistoryCompactedError
		if errors.As(err, &compacted) {
			revision = 0
			pause.For(ctx, jittered(minStoreReadInterval))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.log.Warn().Err(err).Msg("storeUnavailable")
		// The next round reads what a lost watch has missed.
		revision = 0
		pause.For(ctx, jittered(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// watchHead waits for a change after revision, or skips the wait if revision is
// 0, and then reads and reconciles the head. A watch event only triggers the
// read: it may be late, so its content is never used as the current head.
func (s *Syncer) watchHead(ctx context.Context, revision usher.Version) (usher.Version, error) {
	next := revision
	if revision > 0 {
		s.metrics.storeWatches(1)
		var events []usher.WatchEvent
		var upTo usher.Version
		callCtx, cancel := context.WithTimeout(ctx, watchWait+replyGrace)
		defer cancel()
		err := erawatch.Do(callCtx, s.store, revision, func(watchCtx context.Context) (err error) {
			events, upTo, err = s.store.Watch(watchCtx, config.HeadKey, revision, watchWait)
			return err
		})
		if err != nil || len(events) == 0 {
			return upTo, err
		}
		next = upTo
	}
	head, objectVersion, err := config.LoadHead(ctx, s.store)
	s.metrics.storeReads(1)
	if err != nil {
		return revision, err
	}
	if err := s.reconcile(ctx, head, objectVersion); err != nil {
		return revision, err
	}
	// Without a head there is no version to watch from.
	return max(next, objectVersion, usher.NewVersion(s.store.Era(), 1)), nil
}

// reconcile updates the process or repairs the store, depending on how their
// heads are related. objectVersion is the store's version of the head, which a
// conditional update needs.
func (s *Syncer) reconcile(ctx context.Context, head *config.Head, objectVersion usher.Version) error {
	current := s.holder.Current()
	switch {
	case head.ID == current.Head.ID:
		return nil
	case current.Version == 0:
		return s.load(ctx, current, head)
	case config.Diverged(&current.Head, head):
		return s.merge(ctx, current, head, objectVersion)
	case head.Version > current.Version:
		return s.loadSuccessor(ctx, current, head, objectVersion)
	default:
		return s.restore(ctx, objectVersion)
	}
}

// loadSuccessor installs a newer head. If its lineage does not contain the
// current version, it checks the archived heads to tell a successor from a
// diverged head.
func (s *Syncer) loadSuccessor(ctx context.Context, current *config.Snapshot, head *config.Head, objectVersion usher.Version) error {
	for _, id := range head.Lineage {
		if id == current.Head.ID {
			return s.load(ctx, current, head)
		}
	}
	past, err := config.LoadArchivedHead(ctx, s.store, current.Version)
	var notFound *usher.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return err
	}
	if err != nil || past.ID != current.Head.ID {
		return s.merge(ctx, current, head, objectVersion)
	}
	return s.load(ctx, current, head)
}

// load reads the parts that differ and installs the version of the head.
func (s *Syncer) load(ctx context.Context, from *config.Snapshot, head *config.Head) error {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	if current := s.holder.Current(); current.Version >= head.Version {
		return nil
	}
	next, err := config.Load(ctx, s.store, head, from)
	if err != nil {
		return err
	}
	if from.Version == 0 {
		// All objects are new; a list of them would not be useful.
		s.install(from, next, nil)
		return nil
	}
	changed, deleted := config.Diff(from, next)
	s.install(from, next, changedKeys(changed, deleted))
	return nil
}
