package suspect

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/pkg/usher"
)

// Key is the object that holds the suspects of all services.
const Key usher.ObjectKey = "suspects/all"

const (
	// readInterval is how often a process reads the object. A clearance by an
	// operator is known everywhere after it at the latest.
	readInterval = 20 * time.Second
	// writeAttempts bounds the races that one write goes through.
	writeAttempts = 5
)

// MalformedError is returned for a stored list that can't be read.
type MalformedError struct{ Cause error }

// Error implements error.
func (e *MalformedError) Error() string {
	return "the stored suspects are malformed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// UnknownError is returned for a fingerprint that is not listed.
type UnknownError struct{ Fingerprint Fingerprint }

// Error implements error.
func (e *UnknownError) Error() string { return "suspect " + string(e.Fingerprint) + " is not listed" }

func newestFirst(suspects []Suspect) {
	sort.Slice(suspects, func(i, j int) bool { return suspects[i].Seen.After(suspects[j].Seen) })
}

// List returns the stored suspects, the ones seen last first.
func List(ctx context.Context, store usher.Store) ([]Suspect, error) {
	suspects, _, err := read(ctx, store)
	newestFirst(suspects)
	return suspects, err
}

func read(ctx context.Context, store usher.Store) ([]Suspect, usher.Version, error) {
	object, err := store.Get(ctx, Key)
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var suspects []Suspect
	if err := json.Unmarshal(object.Value, &suspects); err != nil {
		return nil, 0, &MalformedError{Cause: err}
	}
	return suspects, object.Version, nil
}

// Clear clears a suspect, or all of them when fingerprint is empty. It returns
// how many there were.
func Clear(ctx context.Context, store usher.Store, fingerprint Fingerprint) (int, error) {
	var last error
	for range writeAttempts {
		suspects, version, err := read(ctx, store)
		if err != nil {
			return 0, err
		}
		cleared := 0
		for i := range suspects {
			if suspects[i].Crashes == 0 || fingerprint != "" && suspects[i].Fingerprint != fingerprint {
				continue
			}
			suspects[i].Crashes, suspects[i].Seen = 0, time.Now()
			suspects[i].Generation++
			cleared++
		}
		if cleared == 0 && fingerprint != "" {
			return 0, &UnknownError{Fingerprint: fingerprint}
		}
		if last = write(ctx, store, version, suspects); last == nil {
			return cleared, nil
		}
	}
	return 0, last
}

func write(ctx context.Context, store usher.Store, version usher.Version, suspects []Suspect) error {
	encoded, err := json.Marshal(suspects)
	if err != nil {
		return &MalformedError{Cause: err}
	}
	_, err = store.Put(ctx, Key, version, encoded)
	return err
}

// Follow reads the stored suspects now and then until ctx ends. A process that
// sees crashes itself also writes what the store does not have yet; a write
// whose answer was lost does no harm, because merging is idempotent.
func (t *Table) Follow(ctx context.Context, store usher.Store, writes bool, log zerolog.Logger) error {
	for ctx.Err() == nil {
		if err := t.merge(ctx, store, writes); err != nil {
			log.Warn().Err(err).Msg("suspectsNotStored")
		}
		timer := time.NewTimer(readInterval)
		select {
		case <-timer.C:
		case <-t.changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// merge takes in what is stored and, if asked to, stores what is missing there.
func (t *Table) merge(ctx context.Context, store usher.Store, writes bool) error {
	stored, version, err := read(ctx, store)
	if err != nil {
		return err
	}
	t.Learn(stored)
	if !writes {
		return nil
	}
	merged, missing := t.missing(stored)
	if !missing {
		return nil
	}
	return write(ctx, store, version, merged)
}

// missing adds to the stored suspects what only this process knows, and drops
// those that are too old.
func (t *Table) missing(stored []Suspect) ([]Suspect, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byFingerprint := make(map[Fingerprint]Suspect, len(stored))
	for _, suspect := range stored {
		if time.Since(suspect.Seen) <= remembered {
			byFingerprint[suspect.Fingerprint] = suspect
		}
	}
	missing := false
	for fingerprint, suspect := range t.known {
		known, ok := byFingerprint[fingerprint]
		if time.Since(suspect.Seen) > remembered || ok && !suspect.newer(&known) {
			continue
		}
		byFingerprint[fingerprint] = suspect
		missing = true
	}
	merged := make([]Suspect, 0, len(byFingerprint))
	for _, suspect := range byFingerprint {
		merged = append(merged, suspect)
	}
	newestFirst(merged)
	return merged[:min(len(merged), maxSuspects)], missing
}
