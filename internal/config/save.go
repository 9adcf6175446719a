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

// maxPart is the largest value that the platform takes, in bytes.
const maxPart = 1 << 20

// PartTooLargeError is returned when a part would be larger than the platform
// takes.
type PartTooLargeError struct {
	Key  usher.ObjectKey
	Size int
}

// Error implements error.
func (e *PartTooLargeError) Error() string {
	return string(e.Key) + " would be " + strconv.Itoa(e.Size) + " bytes, more than the platform takes"
}

func pastKey(version usher.Version) usher.ObjectKey {
	return pastPrefix + usher.ObjectKey(strconv.FormatUint(uint64(version), 10))
}

// Successor returns the snapshot that a change makes of s, with a head that is
// built on s. The other parents are heads that the change also takes in.
func (s *Snapshot) Successor(draft Head, changed []usher.Object, deleted []usher.ObjectKey, others ...*Head) (*Snapshot, error) {
	parents := append([]*Head{&s.Head}, others...)
	for _, parent := range parents {
		draft.Version = max(draft.Version, parent.Version+1)
	}
	draft.Lineage = lineageAfter(parents...)
	draft.Changed = nil
	for _, object := range changed {
		draft.Changed = append(draft.Changed, object.Key)
	}
	draft.Changed = append(draft.Changed, deleted...)
	if draft.Truncated = len(draft.Changed) > maxListed; draft.Truncated {
		draft.Changed = draft.Changed[:maxListed]
	}
	next, err := s.With(&draft, changed, deleted)
	if err != nil {
		return nil, err
	}
	next.Head.Pages = next.tree.pages[:]
	next.Head.Relays = next.chooseRelays()
	return next, nil
}

// chooseRelays spreads the addresses over the availability zones.
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
	for _, one := range list {
		if one == text {
			return true
		}
	}
	return false
}

// SaveParts writes the pages and buckets of s that base does not have. Parts
// are immutable, so one that exists is only written anew with the same content.
// Its later version in the store tells Prune that a head may soon refer to it.
func (s *Snapshot) SaveParts(ctx context.Context, store usher.Store, base *Snapshot) error {
	members := s.members(func(index bucketIndex) bool { return s.tree.buckets[index] != base.tree.buckets[index] })
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(loadParallel)
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

// SavePast keeps the head that is about to be replaced, for the history.
func (s *Snapshot) SavePast(ctx context.Context, store usher.Store) error {
	if s.Version == 0 {
		return nil
	}
	encoded, err := json.Marshal(s.Head)
	if err != nil {
		return err
	}
	for range partAttempts {
		_, err = store.Put(ctx, pastKey(s.Version), 0, encoded)
		var conflict *usher.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
		pause.For(ctx, retryDelay)
	}
	return err
}

// savePart writes a part, or writes it anew if it exists. A write whose answer
// was lost is repeated; all writes of a part have the same content. A conflict
// with a second write means that somebody else has just written the part anew,
// which serves as well.
func savePart(ctx context.Context, store usher.Store, key usher.ObjectKey, value []byte) error {
	if len(value) > maxPart {
		return &PartTooLargeError{Key: key, Size: len(value)}
	}
	var err error
	var expected usher.Version
	for range partAttempts {
		_, err = store.Put(ctx, key, expected, value)
		var conflict *usher.ConflictError
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &conflict):
			pause.For(ctx, retryDelay)
		case expected != 0 && conflict.Current != 0:
			return nil
		default:
			expected = conflict.Current
		}
	}
	return err
}

// partAttempts is how often the write of a part is tried.
const partAttempts = 10

// SaveHead replaces the head, on the condition that it is at expected.
func (s *Snapshot) SaveHead(ctx context.Context, store usher.Store, expected usher.Version) error {
	encoded, err := json.Marshal(s.Head)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, HeadKey, expected, encoded)
	return err
}
