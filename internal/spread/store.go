package spread

import (
	"context"
	"errors"
	"slices"
	"time"

	"filbertusher/internal/config"
	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

const (
	// watchWait is how long one watch waits for a change.
	watchWait = 20 * time.Second
	// firstRetry and maxRetry bound the pauses after failed calls to the store,
	// which double and are spread.
	firstRetry = 200 * time.Millisecond
	maxRetry   = 3 * time.Second
	// watchInterval is about the least time between two versions that a process
	// reads from the store. It bounds what a burst of changes costs the store to
	// five rounds of reads a second from each process that watches.
	watchInterval = 200 * time.Millisecond
	// watcherTerm is how long a process that took over the watch from its peers
	// goes on before it tries them again.
	watcherTerm = 10 * time.Second
)

// bootstrap finds a first configuration: from seeds, from the relays that the
// head names, and from the store itself only when no peer has one. When a whole
// fleet starts at once, the first few relays load it from the store and the
// others find it there; hundreds of processes that each read hundreds of parts
// would hold the store up for minutes.
func (s *Spread) bootstrap(ctx context.Context) {
	delay := firstRetry
	for round := 0; ctx.Err() == nil && s.holder.Current().Version == 0; round++ {
		if s.askSeeds(ctx, s.self.Seeds) || s.bootstrapFromStore(ctx, round) == nil {
			continue
		}
		s.awaitPeerVersion(ctx, jittered(delay))
		delay = min(2*delay, maxRetry)
	}
}

const (
	// firstRelays is how many relays load the configuration at once.
	firstRelays = 4
	// patientRounds is how often other processes ask the relays before they load
	// it themselves.
	patientRounds = 6
)

// NoPeerError is returned while no peer has a configuration yet.
type NoPeerError struct{}

// Error implements error.
func (*NoPeerError) Error() string { return "no peer has the configuration yet" }

// awaitPeerVersion pauses before the next try, or asks the peer that was heard of.
func (s *Spread) awaitPeerVersion(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case heard := <-s.holder.Heard():
		_ = s.poll(ctx, heard.Peer, 0)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// askSeeds says whether a peer gave a configuration.
func (s *Spread) askSeeds(ctx context.Context, addresses []string) bool {
	for _, address := range addresses {
		if address != s.self.Address && s.poll(ctx, address, 0) == nil && s.holder.Current().Version > 0 {
			return true
		}
	}
	return false
}

// bootstrapFromStore reads the head, which costs the store one call, and finds
// the rest at a relay.
func (s *Spread) bootstrapFromStore(ctx context.Context, round int) error {
	head, _, err := config.LoadHead(ctx, s.store)
	s.metrics.storeReads(1)
	if err != nil {
		s.log.Warn().Err(err).Msg("storeUnavailable")
		return err
	}
	if head.Version == 0 {
		return &NoPeerError{}
	}
	first := slices.Contains(head.Relays[:min(firstRelays, len(head.Relays))], s.self.Address)
	if !first && s.askSeeds(ctx, shuffled(head.Relays)) {
		return nil
	}
	if !first && len(head.Relays) > 0 && round < patientRounds {
		return &NoPeerError{}
	}
	return s.load(ctx, s.holder.Current(), head)
}

// watchOnce watches the store for one wait and takes in what changed. Only one
// loop of a process does so; the other one waits for it.
func (s *Spread) watchOnce(ctx context.Context) {
	if !s.watching.TryLock() {
		select {
		case <-s.holder.Changed():
		case <-ctx.Done():
		case <-time.After(jittered(pollWait)):
		}
		return
	}
	defer s.watching.Unlock()
	delay := firstRetry
	var revision usher.Version
	for started := time.Now(); ctx.Err() == nil && time.Since(started) < watcherTerm; {
		before := s.holder.Current().Version
		next, err := s.watchStep(ctx, revision)
		if err == nil {
			revision, delay = next, firstRetry
			if s.holder.Current().Version > before {
				pause.For(ctx, jittered(watchInterval))
			}
			continue
		}
		var lost *usher.HistoryLostError
		if errors.As(err, &lost) {
			revision = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.log.Warn().Err(err).Msg("storeUnavailable")
		pause.For(ctx, jittered(delay))
		delay = min(2*delay, maxRetry)
	}
}

// watchStep waits for a change after revision, unless none was ever read, and
// takes in the head that the store holds then. The watch only wakes the
// process: what a late watch delivers is never taken for the current head.
func (s *Spread) watchStep(ctx context.Context, revision usher.Version) (usher.Version, error) {
	next := revision
	if revision > 0 {
		s.metrics.watches(1)
		events, upTo, err := s.store.Watch(ctx, config.HeadKey, revision, watchWait)
		if err != nil || len(events) == 0 {
			return upTo, err
		}
		next = upTo
	}
	head, version, err := config.LoadHead(ctx, s.store)
	s.metrics.storeReads(1)
	if err != nil {
		return revision, err
	}
	if err := s.reconcile(ctx, head, version); err != nil {
		return revision, err
	}
	return max(next, version, 1), nil
}

// reconcile brings the process and the store together.
func (s *Spread) reconcile(ctx context.Context, head *config.Head, version usher.Version) error {
	current := s.holder.Current()
	switch {
	case head.ID == current.Head.ID:
		return nil
	case current.Version == 0:
		return s.load(ctx, current, head)
	case config.Diverged(&current.Head, head):
		return s.merge(ctx, current, head, version)
	case head.Version > current.Version:
		return s.follows(ctx, current, head, version)
	default:
		return s.restore(ctx, version)
	}
}

// follows takes in a newer head, after a check of its history where it is too
// far ahead for its lineage to show the current version.
func (s *Spread) follows(ctx context.Context, current *config.Snapshot, head *config.Head, version usher.Version) error {
	for _, id := range head.Lineage {
		if id == current.Head.ID {
			return s.load(ctx, current, head)
		}
	}
	past, err := config.LoadPast(ctx, s.store, current.Version)
	var missing *usher.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if err != nil || past.ID != current.Head.ID {
		return s.merge(ctx, current, head, version)
	}
	return s.load(ctx, current, head)
}

// load reads what differs and takes the head in.
func (s *Spread) load(ctx context.Context, from *config.Snapshot, head *config.Head) error {
	s.taking.Lock()
	defer s.taking.Unlock()
	if current := s.holder.Current(); current.Version >= head.Version {
		return nil
	}
	next, err := config.Load(ctx, s.store, head, from)
	if err != nil {
		return err
	}
	if from.Version == 0 {
		// Everything changed, which need not be listed.
		s.take(from, next, nil)
		return nil
	}
	changed, deleted := config.Difference(from, next)
	s.take(from, next, keysOf(changed, deleted))
	return nil
}
