package blame

import (
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

// ObjectKey is the key of the stored object that holds the blamed traits, so that they
// survive a restart of all processes.
const ObjectKey usher.ObjectKey = "suspects/causes"

const (
	// syncInterval is how often a process reads the object while it blames a trait. It
	// bounds the time until a clearance by an operator is known everywhere.
	syncInterval = 20 * time.Second
	// syncRetryInterval is the pause after a failed call.
	syncRetryInterval = time.Second
	// maxWriteDelay spreads the writes of instances that learn of the same cause, most
	// of which then find it stored.
	maxWriteDelay = 500 * time.Millisecond
	// maxWriteAttempts is how often Clear reads and writes the object before it gives up,
	// because another writer has changed it meanwhile.
	maxWriteAttempts = 5
)

// StoredRecord is a record as it is stored. Seen is the time of its last change.
type StoredRecord struct {
	Record
	Seen time.Time `json:"seen"`
}

// MalformedError is returned if the stored records can't be decoded or encoded.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string {
	return "the stored crash causes are malformed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// UnknownKeyError is returned for a key that has no stored record with crashes.
type UnknownKeyError struct{ Key string }

// Error implements error.
func (e *UnknownKeyError) Error() string { return "crash cause " + e.Key + " is not listed" }

// List returns the stored records that have not expired, and the version of the object.
func List(ctx context.Context, store usher.Store) ([]StoredRecord, usher.Version, error) {
	object, err := store.Get(ctx, ObjectKey)
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		return nil, 0, nil
	}
	if unreadable := new(usher.UnreadableError); errors.As(err, &unreadable) {
		return nil, unreadable.Version, &MalformedError{Cause: err}
	}
	if err != nil {
		return nil, 0, err
	}
	var records []StoredRecord
	if err := json.Unmarshal(object.Value, &records); err != nil {
		return nil, object.Version, &MalformedError{Cause: err}
	}
	records = slices.DeleteFunc(records, func(r StoredRecord) bool { return time.Since(r.Seen) > recordTTL })
	return records, object.Version, nil
}

// Clear clears the stored record of a key, or all records if it is empty, as an answer
// does. It returns the number of records that it cleared.
func Clear(ctx context.Context, store usher.Store, key string) (int, error) {
	var lastErr error
	for range maxWriteAttempts {
		records, version, err := List(ctx, store)
		if err != nil {
			return 0, err
		}
		cleared := 0
		for i := range records {
			record := &records[i]
			if len(record.Crashes) == 0 || key != "" && record.Key.String() != key {
				continue
			}
			record.Generation++
			record.Answered, record.Crashes, record.Seen = true, nil, time.Now()
			cleared++
		}
		if cleared == 0 {
			if key != "" {
				return 0, &UnknownKeyError{Key: key}
			}
			return 0, nil
		}
		if lastErr = write(ctx, store, version, records); lastErr == nil {
			return cleared, nil
		}
	}
	return 0, lastErr
}

func write(ctx context.Context, store usher.Store, version usher.Version, records []StoredRecord) error {
	encoded, err := json.Marshal(records)
	if err != nil {
		return &MalformedError{Cause: err}
	}
	_, err = store.Put(ctx, ObjectKey, version, encoded)
	return err
}

// Reading says how often Sync reads the stored records while the table blames no trait.
type Reading bool

const (
	// ReadOnce is for processes that learn from each other what the others blame.
	ReadOnce Reading = false
	// ReadRegularly is for processes that learn it from the store only.
	ReadRegularly Reading = true
)

// Sync merges the stored records into the table at the start, regularly and when the
// store went back to an earlier state, and stores the traits that this process blames,
// until ctx ends. A write whose response was lost is
// repeated without harm, because merging is idempotent.
func (t *Table) Sync(ctx context.Context, store usher.Store, reading Reading, log zerolog.Logger) {
	for ctx.Err() == nil {
		restored := store.Restored()
		err := t.syncOnce(ctx, store)
		if err != nil && ctx.Err() == nil {
			log.Warn().Err(err).Msg("crashCausesNotStored")
		}
		malformed := new(MalformedError)
		select {
		case <-t.nextSync(reading, err != nil && !errors.As(err, &malformed)):
		case <-restored:
			pause.For(ctx, rand.N(maxWriteDelay))
		case <-t.changed:
			pause.For(ctx, rand.N(maxWriteDelay))
		case <-ctx.Done():
		}
	}
}

// nextSync returns a channel that receives when the object is to be read again, or nil
// if only a change requires it.
func (t *Table) nextSync(reading Reading, failed bool) <-chan time.Time {
	switch {
	case failed:
		return time.After(syncRetryInterval + rand.N(syncRetryInterval))
	case reading == ReadRegularly || t.causes.Load() != nil:
		return time.After(syncInterval)
	default:
		return nil
	}
}

// syncOnce merges the stored records into the table, and stores the traits that are
// blamed here and not there.
func (t *Table) syncOnce(ctx context.Context, store usher.Store) error {
	stored, version, err := List(ctx, store)
	malformed := new(MalformedError)
	if err != nil && !errors.As(err, &malformed) {
		return err
	}
	records := make([]Record, 0, len(stored))
	for _, s := range stored {
		s.Age = max(0, time.Since(s.Seen))
		records = append(records, s.Record)
	}
	t.Merge(records)
	added := t.unstored(stored)
	if len(added) == 0 {
		return err
	}
	slices.SortFunc(added, func(a, b StoredRecord) int { return b.Seen.Compare(a.Seen) })
	for _, s := range stored {
		if !slices.ContainsFunc(added, func(a StoredRecord) bool { return a.Key == s.Key }) {
			added = append(added, s)
		}
	}
	// A malformed object is replaced.
	return write(ctx, store, version, added[:min(len(added), maxReported)])
}

// unstored returns the blamed traits that the stored records don't list with crashes, and
// the stored traits that were cleared since.
func (t *Table) unstored(stored []StoredRecord) []StoredRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[Key]*StoredRecord, len(stored))
	for i := range stored {
		known[stored[i].Key] = &stored[i]
	}
	age := func(e *entry) time.Duration { return t.now().Sub(e.changed) }
	var added []StoredRecord
	for key, e := range t.records {
		found := known[key]
		switch {
		case found == nil && e.cause, found != nil && found.Generation < e.Generation, e.cause && len(found.Crashes) == 0:
			record := StoredRecord{Record: e.Record, Seen: time.Now().Add(-age(e))}
			record.Crashes = slices.Clone(record.Crashes)
			added = append(added, record)
		}
	}
	return added
}
