package streamorigin

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// ObjectKey is the key of the stored object that lists the versions that served lately.
const ObjectKey usher.ObjectKey = "software/served"

const (
	// syncInterval is how often the object is read, and written if nobody else has, while
	// several versions serve. It is well below versionTTL, because a version serves for at
	// most that long without being stored.
	syncInterval = 15 * time.Second
	// retryInterval is the pause after a failed call.
	retryInterval = time.Second
	// maxWriteDelay spreads the writes of instances that see a change at the same time.
	maxWriteDelay = 200 * time.Millisecond
	// maxWriteAttempts is how often a write is tried that met one of another instance.
	maxWriteAttempts = 3
	// staleAfter is the age of a stored time at which it is written again.
	staleAfter = 10 * time.Second
)

// MalformedError is returned if the versions can't be encoded.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string {
	return "the software versions can't be encoded: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Sync reads the stored versions and streams at the start, and keeps the versions up to
// date while several serve, until ctx ends. name is that of this instance.
func (t *Table) Sync(ctx context.Context, store usher.Store, name string, log zerolog.Logger) {
	streamsLoaded := false
	for ctx.Err() == nil {
		restored := store.Restored()
		var err error
		if !streamsLoaded {
			if err = t.load(ctx, store, name); err == nil {
				streamsLoaded = true
				close(t.streamsLoaded)
			}
		}
		if err == nil {
			err = t.syncOnce(ctx, store)
		}
		if err != nil && ctx.Err() == nil {
			log.Warn().Err(err).Msg("softwareVersionsNotStored")
		}
		select {
		case <-t.nextSync(err != nil):
		case <-restored:
			pause.For(ctx, rand.N(maxWriteDelay))
		case <-t.changed:
			pause.For(ctx, rand.N(maxWriteDelay))
		case <-ctx.Done():
		}
	}
}

// nextSync returns a channel that receives when the object is to be read again, or nil if
// only a change requires it.
func (t *Table) nextSync(failed bool) <-chan time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case failed:
		return time.After(retryInterval + rand.N(retryInterval))
	case t.isMixed(versionTTL):
		return time.After(syncInterval/2 + rand.N(syncInterval/2))
	default:
		return nil
	}
}

// syncOnce merges the stored versions and stores those that are news.
func (t *Table) syncOnce(ctx context.Context, store usher.Store) error {
	var err error
	for range maxWriteAttempts {
		err = t.tryStore(ctx, store)
		if conflict := new(usher.ConflictError); !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}

// LoadVersions merges the stored versions.
func (t *Table) LoadVersions(ctx context.Context, store usher.Store) error {
	stored, _, err := readVersions(ctx, store)
	if err == nil {
		t.mergeStored(stored)
	}
	return err
}

// readVersions returns the stored versions and the version of the object that lists them.
// A malformed object is as if there were none, so that it is replaced.
func readVersions(ctx context.Context, store usher.Store) ([]storedVersion, usher.Version, error) {
	object, err := store.Get(ctx, ObjectKey)
	if unreadable := new(usher.UnreadableError); errors.As(err, &unreadable) {
		return nil, unreadable.Version, nil
	}
	if missing := new(usher.NotFoundError); err != nil && !errors.As(err, &missing) {
		return nil, 0, err
	}
	var stored []storedVersion
	if len(object.Value) > 0 && json.Unmarshal(object.Value, &stored) != nil {
		stored = nil
	}
	return stored, object.Version, nil
}

func (t *Table) tryStore(ctx context.Context, store usher.Store) error {
	stored, version, err := readVersions(ctx, store)
	if err != nil {
		return err
	}
	merged, isNews := t.mergeStored(stored)
	if !isNews {
		return nil
	}
	encoded, err := json.Marshal(merged)
	if err != nil {
		return &MalformedError{Cause: err}
	}
	_, err = store.Put(ctx, ObjectKey, version, encoded)
	return err
}

// mergeStored adds the stored versions, and returns what has to be stored and whether that
// is more than is stored.
func (t *Table) mergeStored(stored []storedVersion) (merged []storedVersion, isNews bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loaded = true
	now := t.now()
	until := make(map[Origin]time.Time, len(stored))
	for _, s := range stored {
		// The clock of the instance that stored it may be ahead.
		if s.ServedUntil.After(now) {
			s.ServedUntil = now
		}
		if now.Sub(s.ServedUntil) < versionTTL {
			until[Origin{s.Service, s.Software}] = s.ServedUntil
			t.setServed(Origin{s.Service, s.Software}, s.ServedUntil)
		}
	}
	merged = t.snapshot()
	for _, m := range merged {
		at, found := until[Origin{m.Service, m.Software}]
		isNews = isNews || !found || m.ServedUntil.Sub(at) >= staleAfter
	}
	slices.SortFunc(merged, func(a, b storedVersion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
	return merged, isNews
}
