package discovery

import (
	"context"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/internal/erawatch"
	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

const (
	// endpointsWatchWait is how long the store may hold a watch of the endpoints
	// open.
	endpointsWatchWait = 5 * time.Second
	// endpointsWatchInterval is the least time between the starts of two watches
	// of the endpoints, and maxEndpointsWatchInterval its maximum with many
	// instances. Without it, the watches would follow each other at once while
	// many registrations change.
	endpointsWatchInterval    = 450 * time.Millisecond
	maxEndpointsWatchInterval = 900 * time.Millisecond
	// expiryCheckInterval is the interval between checks for endpoints that did not
	// register again after an outage.
	expiryCheckInterval = 100 * time.Millisecond
	// defaultDrainTime is used where Options.DrainTime is 0.
	defaultDrainTime = 2 * time.Second
	// minRosterAge and maxRosterAge bound how old the proof of the roster may become.
	minRosterAge = 400 * time.Millisecond
	maxRosterAge = 2 * time.Second
	// rosterAgeFraction is the fraction of Options.DrainTime that the proof of the roster may
	// be old. The rest is left for a list that is lost, and one more.
	rosterAgeFraction = 0.5
)

// renewalFractions are the fractions of rosterAgeLimit at which the first and the second of the
// live instances renew the proof of the roster. All others wait for the whole, so that few
// instances list the endpoints while the first ones reach the store.
var renewalFractions = [...]float64{0.7, 0.85}

// rosterAgeLimit returns how old the proof of the roster may become while the store is available.
func (w *Watcher) rosterAgeLimit() time.Duration {
	drainTime := w.options.DrainTime
	if drainTime == 0 {
		drainTime = defaultDrainTime
	}
	return min(max(time.Duration(float64(drainTime)*rosterAgeFraction), minRosterAge), maxRosterAge)
}

// renewalAge returns the age of the proof of the roster at which this instance renews it.
func (w *Watcher) renewalAge() time.Duration {
	age := w.rosterAgeLimit()
	if position := int(w.position.Load()); position < len(renewalFractions) {
		return time.Duration(float64(age) * renewalFractions[position])
	}
	return age
}

func (w *Watcher) watchEndpoints(ctx context.Context) {
	var since usher.Version
	retry := backoff{}
	for ctx.Err() == nil {
		started := boottime.Now()
		if since > 0 {
			// A list may have come while no watch was waiting.
			since = max(since, w.options.Roster.Snapshot().Revision)
		}
		changes, next, err := w.fetchEndpoints(ctx, since)
		if err != nil {
			since = w.handleFailure(ctx, "endpoints", started, err, since, &retry)
			continue
		}
		w.store.succeeded()
		retry.reset()
		update := w.options.Roster.Apply
		if since == 0 {
			update = w.options.Roster.Replace
		}
		if !update(changes, next) && len(changes) > 0 {
			current := w.options.Roster.Snapshot().Revision
			w.options.Log.Warn().Uint16("era", uint16(next.Era())).Uint64("revision", next.Revision()).
				Uint16("currentEra", uint16(current.Era())).Uint64("current", current.Revision()).Int("changes", len(changes)).Msg("endpointsIgnored")
		}
		w.options.OnEndpointsChanged()
		// A watch may report a change late, so it is no proof.
		if settled := w.endpointProofs.isSettled(next.Era(), started); settled && since == 0 {
			w.confirmRoster(started)
		}
		since = next
		pause.For(ctx, w.scaled(endpointsWatchInterval, maxEndpointsWatchInterval)-boottime.Since(started))
	}
}

// confirmRoster records that the roster has all endpoints that were registered at a time.
func (w *Watcher) confirmRoster(at boottime.Time) {
	w.options.Roster.Confirm(w.options.Roster.Snapshot().Digest, at)
}

// renewRosterProofs lists the endpoints when neither this process nor a peer has proven for a
// while that the roster has all of them. A watch that is never answered looks like one
// without news, so a watch alone bounds no age.
func (w *Watcher) renewRosterProofs(ctx context.Context) {
	retry := backoff{}
	for ctx.Err() == nil {
		pause.For(ctx, proofCheckInterval)
		if w.options.Roster.Snapshot().Revision == 0 || w.options.Roster.Age() < w.renewalAge() {
			continue
		}
		started := boottime.Now()
		callCtx, cancel := context.WithTimeout(ctx, retry.proofTimeout())
		list, revision, err := w.options.Directory.Endpoints(callCtx)
		cancel()
		if err != nil {
			w.store.failed(ctx, "endpointsProof", started, err)
			retry.wait(ctx)
			continue
		}
		w.store.succeeded()
		retry.reset()
		// An older list than the roster proves that nothing else was registered when it began, too.
		if w.options.Roster.Replace(list, revision) {
			w.options.OnEndpointsChanged()
		}
		if w.endpointProofs.isSettled(revision.Era(), started) {
			w.confirmRoster(started)
		}
		pause.For(ctx, min(w.endpointProofs.untilSettled(boottime.Now()), w.renewalAge()))
	}
}

// ListEndpoints returns a list that the store makes after the call, unlike a watch, which may
// report a change late. It returns an error unless the list has all endpoints that were
// registered by then: the store may be unavailable, or have gone back to an earlier state. The
// roster does not change, because it depends on the time and the outages between two lists what
// an endpoint that is missing means.
func (w *Watcher) ListEndpoints(ctx context.Context) ([]usher.EndpointChange, error) {
	started := boottime.Now()
	list, revision, err := w.options.Directory.Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	if !w.endpointProofs.isSettled(revision.Era(), started) {
		return nil, &UnsettledError{}
	}
	return list, nil
}

// UnsettledError is returned while the store may lack what was written to it, because it
// has gone back to an earlier state.
type UnsettledError struct{}

// Error implements error.
func (*UnsettledError) Error() string { return "the store has gone back to an earlier state" }

// expireEndpoints drops the endpoints that did not register again after an outage
// of the store, while a recent list proves that they have not.
func (w *Watcher) expireEndpoints(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, expiryCheckInterval)
		if w.options.Roster.Age() < w.rosterAgeLimit() && w.options.Roster.Expire() {
			w.options.OnEndpointsChanged()
		}
	}
}

func (w *Watcher) fetchEndpoints(ctx context.Context, since usher.Version) (changes []usher.EndpointChange, next usher.Version, err error) {
	if since == 0 {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return w.options.Directory.Endpoints(callCtx)
	}
	callCtx, cancel := context.WithTimeout(ctx, endpointsWatchWait+callTimeout)
	defer cancel()
	err = erawatch.Do(callCtx, w.options.Directory, since, func(watchCtx context.Context) error {
		changes, next, err = w.options.Directory.WatchEndpoints(watchCtx, since, endpointsWatchWait)
		return err
	})
	return changes, next, err
}
