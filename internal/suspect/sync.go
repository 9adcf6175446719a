package suspect

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// Key is the key of the stored object that holds the crash records of all
// services.
const Key usher.ObjectKey = "suspects/all"

const (
	// syncInterval is the interval at which a process reads the object. It bounds
	// the time until a clearance by an operator is known everywhere.
	syncInterval = 20 * time.Second
	// maxRewriteDelay spreads the writes of processes that learn at the same time that
	// the store went back to an earlier state.
	maxRewriteDelay = time.Second
	// maxWriteAttempts is how often Clear reads and writes the object before it
	// gives up. A write fails if another writer has changed the object meanwhile.
	maxWriteAttempts = 5
)

// MalformedError is returned if the records in the stored object can't be decoded
// or encoded.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string {
	return "the stored suspects are malformed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// UnknownFingerprintError is returned for a fingerprint that has no stored record,
// or only one that is already cleared.
type UnknownFingerprintError struct{ Fingerprint Fingerprint }

// Error implements error.
func (e *UnknownFingerprintError) Error() string {
	return "suspect " + string(e.Fingerprint) + " is not listed"
}

func sortNewestFirst(records []CrashRecord) {
	sort.Slice(records, func(i, j int) bool { return records[i].Seen.After(records[j].Seen) })
}

// List returns the stored records, the ones seen last first.
func List(ctx context.Context, store usher.Store) ([]CrashRecord, error) {
	records, _, err := readRecords(ctx, store)
	sortNewestFirst(records)
	return records, err
}

func readRecords(ctx context.Context, store usher.Store) ([]CrashRecord, usher.Version, error) {
	object, err := store.Get(ctx, Key)
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
	var records []CrashRecord
	if err := json.Unmarshal(object.Value, &records); err != nil {
		return nil, object.Version, &MalformedError{Cause: err}
	}
	return records, object.Version, nil
}

// Clear clears the stored record of fingerprint, or all records if fingerprint is
// empty. It returns the number of records that it cleared.
func Clear(ctx context.Context, store usher.Store, fingerprint Fingerprint) (int, error) {
	var lastErr error
	for range maxWriteAttempts {
		records, version, err := readRecords(ctx, store)
		if err != nil {
			return 0, err
		}
		cleared := 0
		for i := range records {
			if records[i].Crashes == 0 || fingerprint != "" && records[i].Fingerprint != fingerprint {
				continue
			}
			records[i].Crashes, records[i].Seen = 0, time.Now()
			records[i].Generation++
			cleared++
		}
		if cleared == 0 && fingerprint != "" {
			return 0, &UnknownFingerprintError{Fingerprint: fingerprint}
		}
		if lastErr = writeRecords(ctx, store, version, records); lastErr == nil {
			return cleared, nil
		}
	}
	return 0, lastErr
}

func writeRecords(ctx context.Context, store usher.Store, version usher.Version, records []CrashRecord) error {
	encoded, err := json.Marshal(records)
	if err != nil {
		return &MalformedError{Cause: err}
	}
	_, err = store.Put(ctx, Key, version, encoded)
	return err
}

// Sync merges the stored records into t regularly, after each change, and when the store
// went back to an earlier state, until ctx ends. With writeBack, which is for processes that see crashes themselves, it
// also writes the records that the store does not have. A write whose response was
// lost is repeated without harm, because merging is idempotent.
func (t *Table) Sync(ctx context.Context, store usher.Store, writeBack bool, log zerolog.Logger) error {
	for ctx.Err() == nil {
		restored := store.Restored()
		if err := t.syncOnce(ctx, store, writeBack); err != nil {
			log.Warn().Err(err).Msg("suspectsNotStored")
		}
		timer := time.NewTimer(syncInterval)
		select {
		case <-timer.C:
		case <-t.changed:
		case <-restored:
			pause.For(ctx, rand.N(maxRewriteDelay))
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// syncOnce merges the stored records into t and, with writeBack, writes the ones
// that the store lacks.
func (t *Table) syncOnce(ctx context.Context, store usher.Store, writeBack bool) error {
	stored, version, err := readRecords(ctx, store)
	malformed := new(MalformedError)
	if err != nil && !errors.As(err, &malformed) {
		return err
	}
	t.Merge(stored)
	if !writeBack {
		return err
	}
	merged, changed := t.mergeWith(stored)
	if !changed {
		return err
	}
	// A malformed object is replaced.
	return writeRecords(ctx, store, version, merged)
}

// mergeWith returns the stored records merged with those of t, without expired
// ones, and reports whether t has a record that the store lacks.
func (t *Table) mergeWith(stored []CrashRecord) ([]CrashRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byFingerprint := make(map[Fingerprint]CrashRecord, len(stored))
	for _, record := range stored {
		if time.Since(record.Seen) <= recordTTL {
			byFingerprint[record.Fingerprint] = record
		}
	}
	changed := false
	for fingerprint, record := range t.records {
		storedRecord, ok := byFingerprint[fingerprint]
		if time.Since(record.Seen) > recordTTL || ok && !record.supersedes(&storedRecord) {
			continue
		}
		byFingerprint[fingerprint] = record
		changed = true
	}
	merged := make([]CrashRecord, 0, len(byFingerprint))
	for _, record := range byFingerprint {
		merged = append(merged, record)
	}
	sortNewestFirst(merged)
	return merged[:min(len(merged), maxRecords)], changed
}
