package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/internal/erawatch"
	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

const (
	// rolloutsWatchWait is how long the store may hold a watch of the rollout orders open, and
	// activeRolloutsWatchWait the same while an order is carried out. A watch that is lost
	// without a sign delays what it would have reported by that time, unless a peer tells it.
	rolloutsWatchWait       = 28 * time.Second
	activeRolloutsWatchWait = 2500 * time.Millisecond
	// rolloutsPollInterval is the interval between lists of the rollout orders while the store
	// has none to watch from.
	rolloutsPollInterval = 2 * time.Second
	// rolloutsWaitJitter is the fraction by which the waiting times are shortened at random, so
	// that watches which began together don't end together.
	rolloutsWaitJitter = 0.2
)

// RefreshRollouts lists the rollout orders again instead of waiting for changes.
func (w *Watcher) RefreshRollouts() {
	select {
	case w.rolloutsRefresh <- struct{}{}:
	default:
	}
}

// watchRollouts keeps the rollout orders up to date.
func (w *Watcher) watchRollouts(ctx context.Context) {
	var since usher.Version
	retry := backoff{}
	for ctx.Err() == nil {
		started := boottime.Now()
		next, err := w.updateRollouts(ctx, since, started)
		refreshed, missing := new(refreshError), new(usher.NotFoundError)
		switch {
		case err == nil:
			w.store.succeeded()
			retry.reset()
			since = next
		case errors.As(err, &refreshed):
			since = 0
		case since == 0 && errors.As(err, &missing):
			w.store.succeeded()
			w.options.Orders.Replace(nil, usher.NewVersion(w.options.Rollouts.Era(), 1), false)
			pause.For(ctx, rolloutsPollInterval)
		default:
			since = w.handleFailure(ctx, "rollouts", started, err, since, &retry)
		}
	}
}

// updateRollouts lists the orders if since is 0, and otherwise waits for changes. It returns
// the version to watch from.
func (w *Watcher) updateRollouts(ctx context.Context, since usher.Version, started boottime.Time) (usher.Version, error) {
	if since == 0 {
		select {
		case <-w.rolloutsRefresh:
		default:
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		orders, version, err := w.options.Rollouts.Rollouts(callCtx)
		if err != nil {
			return 0, err
		}
		settled := w.rolloutProofs.isSettled(version.Era(), started)
		w.options.Orders.Replace(orders, version, !settled)
		if !settled {
			// What the store lost may be written again until then.
			time.AfterFunc(w.rolloutProofs.untilSettled(boottime.Now()), w.RefreshRollouts)
		}
		return version, nil
	}
	changes, next, err := w.awaitRolloutChanges(ctx, since)
	if err == nil {
		w.options.Orders.Apply(changes, next)
	}
	return next, err
}

// awaitRolloutChanges waits for changes of orders, until RefreshRollouts is called.
func (w *Watcher) awaitRolloutChanges(ctx context.Context, since usher.Version) (changes []usher.RolloutChange, next usher.Version, err error) {
	wait := rolloutsWatchWait
	if w.options.Orders.IsActive() {
		wait = activeRolloutsWatchWait
	}
	wait -= time.Duration(rand.Float64() * rolloutsWaitJitter * float64(wait))
	callCtx, cancelCall := context.WithTimeout(ctx, wait+callTimeout)
	defer cancelCall()
	callCtx, cancel := context.WithCancelCause(callCtx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-w.rolloutsRefresh:
			cancel(&refreshError{})
		case <-callCtx.Done():
		}
	}()
	err = erawatch.Do(callCtx, w.options.Rollouts, since, func(watchCtx context.Context) error {
		changes, next, err = w.options.Rollouts.WatchRollouts(watchCtx, since, wait)
		return err
	})
	cancel(nil)
	<-ended
	if refreshed := new(refreshError); errors.As(context.Cause(callCtx), &refreshed) {
		return nil, 0, refreshed
	}
	return changes, next, err
}

// refreshError is the cancellation cause of a watch that RefreshRollouts ends.
type refreshError struct{}

// Error implements error.
func (*refreshError) Error() string { return "the orders are listed again" }
