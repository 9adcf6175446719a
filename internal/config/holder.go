package config

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/pkg/usher"
)

const (
	// watchWait is how long one watch waits for a change.
	watchWait = 20 * time.Second
	// retryDelay is the pause after a failed call to the store.
	retryDelay = 200 * time.Millisecond
)

// Holder keeps the newest snapshot that the process has seen. Reading it costs
// one atomic load. Versions only go up: an older snapshot is never taken in,
// whoever offers it.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}
}

// NewHolder returns a holder of the empty snapshot.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(Empty())
	return h
}

// Current returns the newest snapshot.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// ShareOf returns the weight of a workspace against others inside a tier.
func (h *Holder) ShareOf(name usher.WorkspaceName) int {
	if workspace, ok := h.Current().Workspaces[name]; ok {
		return max(1, workspace.Share)
	}
	return 1
}

// Changed returns a channel that is closed when the next snapshot is taken in.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Offer takes a snapshot in if it is newer and says whether it did.
func (h *Holder) Offer(snapshot *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if snapshot.Version <= h.current.Load().Version {
		return false
	}
	h.current.Store(snapshot)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Follower keeps a holder up to date from the store.
type Follower struct {
	store  usher.Store
	holder *Holder
	log    zerolog.Logger
}

// NewFollower returns a follower; Run has to be called.
func NewFollower(store usher.Store, holder *Holder, log zerolog.Logger) *Follower {
	return &Follower{store: store, holder: holder, log: log}
}

// Run reads the configuration and follows its changes until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var revision usher.Version
	for ctx.Err() == nil {
		next, err := f.step(ctx, revision)
		var lost *usher.HistoryLostError
		if errors.As(err, &lost) {
			revision = 0
			continue
		}
		if err != nil {
			f.log.Warn().Err(err).Msg("configFollowFailed")
			pause(ctx, retryDelay)
			continue
		}
		revision = next
	}
	return nil
}

// step waits for a change after revision, unless none was ever read, and
// takes in what the store holds then.
func (f *Follower) step(ctx context.Context, revision usher.Version) (usher.Version, error) {
	if revision > 0 {
		events, next, err := f.store.Watch(ctx, Prefix, revision, watchWait)
		if err != nil || len(events) == 0 {
			return next, err
		}
	}
	objects, next, err := f.store.List(ctx, Prefix)
	if err != nil {
		return revision, err
	}
	snapshot, err := Build(objects, next)
	if err != nil {
		// A malformed object must not stop the process; it keeps the last
		// configuration that could be read and waits for the next change.
		f.log.Error().Err(err).Msg("configMalformed")
		return next, nil
	}
	if f.holder.Offer(snapshot) {
		f.log.Info().Uint64("version", uint64(snapshot.Version)).Msg("configInForce")
	}
	return next, nil
}

func pause(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
