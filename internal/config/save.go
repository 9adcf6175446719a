package config

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"golang.org/x/sync/errgroup"

	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// maxPartBytes is the largest value that the store accepts.
const maxPartBytes = 1 << 20

// PartTooLargeError is returned for a part that exceeds the maximum value size
// of the store.
type PartTooLargeError struct {
	Key  usher.ObjectKey
	Size int
}

// Error implements error.
func (e *PartTooLargeError) Error() string {
	return string(e.Key) + " is " + strconv.Itoa(e.Size) + " bytes, more than the store accepts"
}

func archivedHeadKey(version usher.Version) usher.ObjectKey {
	return archivedHeadPrefix + usher.ObjectKey(strconv.FormatUint(uint64(version), 10))
}

// Successor applies a change to s and returns the result, with a head that
// descends from s. others are further parents whose changes are included.
func (s *Snapshot) Successor(draft Head, changed []usher.Object, deleted []usher.ObjectKey, others ...*Head) (*Snapshot, error) {
	parents := append([]*Head{&s.Head}, others...)
	for _, parent := range parents {
		draft.Version = max(draft.Version, parent.Version+1)
	}
	draft.Lineage = mergeLineages(parents...)
	draft.Changed = nil
	for _, object := range changed {
		draft.Changed = append(draft.Changed, object.Key)
	}
	draft.Changed = append(draft.Changed, deleted...)
	if draft.Truncated = len(draft.Changed) > maxChangedKeys; draft.Truncated {
		draft.Changed = draft.Changed[:maxChangedKeys]
	}
	next, err := s.With(&draft, changed, deleted)
	if err != nil {
		return nil, err
	}
	next.Head.Pages = next.tree.pages[:]
	next.Head.Relays = next.chooseRelays()
	return next, nil
}

// chooseRelays selects relay addresses evenly across the availability zones.
func (s *Snapshot) chooseRelays() []string {
	byZone := make(map[usher.AvailabilityZone]int)
	var relays []string
	for round := 1; len(relays) < maxRelays && round <= maxRelays; round++ {
		for _, endpoint := range s.Endpoints {
			if byZone[endpoint.AvailabilityZone] < round && len(relays) < maxRelays && !contains(relays, endpoint.Companion) {
				byZone[endpoint.AvailabilityZone]++
				relays = append(relays, endpoint.Companion)
			}
		}
	}
	return relays
}

func contains(list []string, text string) bool {
	for _, item := range list {
		if item == text {
			return true
		}
	}
	return false
}

// SaveParts writes the pages and buckets of s that base does not have. Parts
// are immutable: an existing one is rewritten with the same content, because
// its newer version in the store tells Prune that a head may soon reference it.
func (s *Snapshot) SaveParts(ctx context.Context, store usher.Store, base *Snapshot) error {
	members := s.objectsByBucket(func(index bucketIndex) bool { return s.tree.buckets[index] != base.tree.buckets[index] })
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(partConcurrency)
	for _, objects := range members {
		group.Go(func() error {
			encoded, digest, err := encodeBucket(objects)
			if err != nil {
				return err
			}
			return savePart(ctx, store, bucketPrefix+usher.ObjectKey(digest), encoded)
		})
	}
	for number, digest := range s.tree.pages {
		if digest == "" || digest == base.tree.pages[number] {
			continue
		}
		group.Go(func() error {
			encoded, _, err := s.tree.encodePage(number)
			if err != nil {
				return err
			}
			return savePart(ctx, store, pagePrefix+usher.ObjectKey(digest), encoded)
		})
	}
	return group.Wait()
}

// ArchiveHead archives the head of s before it is replaced, so that its version
// stays in the history.
func (s *Snapshot) ArchiveHead(ctx context.Context, store usher.Store) error {
	if s.Version == 0 {
		return nil
	}
	encoded, err := json.Marshal(s.Head)
	if err != nil {
		return err
	}
	for range maxWriteAttempts {
		_, err = store.Put(ctx, archivedHeadKey(s.Version), 0, encoded)
		var conflict *usher.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
		pause.For(ctx, partRetryDelay)
	}
	return err
}

// savePart creates a part, or rewrites it if it exists. A write whose response
// was lost is retried, since every write of a part has the same content. A
// conflict on the rewrite means that another writer has just rewritten the
// part, which has the same effect.
func savePart(ctx context.Context, store usher.Store, key usher.ObjectKey, value []byte) error {
	if len(value) > maxPartBytes {
		return &PartTooLargeError{Key: key, Size: len(value)}
	}
	var err error
	var expected usher.Version
	for range maxWriteAttempts {
		_, err = store.Put(ctx, key, expected, value)
		var conflict *usher.ConflictError
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &conflict):
			pause.For(ctx, partRetryDelay)
		case expected != 0 && conflict.Current != 0:
			return nil
		default:
			expected = conflict.Current
		}
	}
	return err
}

// maxWriteAttempts is the number of attempts to write a part or an archived head.
const maxWriteAttempts = 10

// SaveHead replaces the head if the store's version of it equals expected.
func (s *Snapshot) SaveHead(ctx context.Context, store usher.Store, expected usher.Version) error {
	encoded, err := json.Marshal(s.Head)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, HeadKey, expected, encoded)
	return err
}
