package config

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// partConcurrency is the maximum number of concurrent reads or writes of parts.
const partConcurrency = 16

// DigestError is returned when the content of a part does not match the digest
// in its key, or when the objects of a version do not match the digests in its
// head.
type DigestError struct{ Key usher.ObjectKey }

// Error implements error.
func (e *DigestError) Error() string {
	return "content of " + string(e.Key) + " does not match its digest"
}

// LoadHead reads the head and the store's version of it, which a conditional
// update needs. If the store has never held a configuration, it returns an
// empty head and version 0.
func LoadHead(ctx context.Context, store usher.Store) (*Head, usher.Version, error) {
	object, err := store.Get(ctx, HeadKey)
	var notFound *usher.NotFoundError
	if errors.As(err, &notFound) {
		return &Head{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	head := &Head{}
	if err := json.Unmarshal(object.Value, head); err != nil {
		return nil, 0, &ObjectError{Key: HeadKey, Cause: err}
	}
	return head, object.Version, nil
}

// LoadArchivedHead reads the archived head of a version that has been replaced.
func LoadArchivedHead(ctx context.Context, store usher.Store, version usher.Version) (*Head, error) {
	object, err := store.Get(ctx, archivedHeadKey(version))
	if err != nil {
		return nil, err
	}
	head := &Head{}
	if err := json.Unmarshal(object.Value, head); err != nil {
		return nil, &ObjectError{Key: object.Key, Cause: err}
	}
	return head, nil
}

// Load returns the snapshot of a head. It reads only the parts that differ
// between from and the head; from may be Empty. Pages are applied one at a
// time, so that a whole configuration is never in memory twice.
func Load(ctx context.Context, store usher.Store, head *Head, from *Snapshot) (*Snapshot, error) {
	next := from
	for number := range pageCount {
		if !next.PageDiffers(head, number) {
			continue
		}
		l := &loader{store: store, from: next, present: make(map[usher.ObjectKey]bool)}
		err := l.readPage(ctx, number, head)
		if err == nil {
			err = l.readBuckets(ctx)
		}
		if err != nil {
			return nil, err
		}
		if next, err = next.With(head, l.changed, l.deleted()); err != nil {
			return nil, err
		}
	}
	if next == from {
		// Only the head itself differs.
		same, err := from.With(head, nil, nil)
		if err != nil {
			return nil, err
		}
		next = same
	}
	return next, next.Verify()
}

// LoadCurrent returns the snapshot of the current head and the store's version
// of that head. It reads only the parts that differ from the snapshot in from.
//
// The version may be replaced and its parts pruned while a slow reader still
// reads them:
//
//	reader: head 7 -> page A ...                    page B is missing
//	others:            versions 8 to 17, prune removes 7
//
// The reader then starts over with the new head. A part that is missing while
// its head is still current is an error.
func LoadCurrent(ctx context.Context, store usher.Store, from *Snapshot) (*Snapshot, usher.Version, error) {
	for {
		head, version, err := LoadHead(ctx, store)
		if err != nil {
			return nil, 0, err
		}
		next, err := Load(ctx, store, head, from)
		var notFound *usher.NotFoundError
		if !errors.As(err, &notFound) {
			return next, version, err
		}
		now, _, headErr := LoadHead(ctx, store)
		if headErr != nil || now.ID == head.ID {
			return nil, 0, err
		}
	}
}

// Verify checks that the objects match the page digests in the head.
func (s *Snapshot) Verify() error {
	for number, digest := range s.tree.pages {
		var expected usher.Digest
		if number < len(s.Head.Pages) {
			expected = s.Head.Pages[number]
		}
		if digest != expected {
			return &DigestError{Key: HeadKey}
		}
	}
	return nil
}

// loader reads the changed objects of one page.
type loader struct {
	store usher.Store
	from  *Snapshot

	// stale maps each bucket to be read to its digest.
	stale map[bucketIndex]usher.Digest

	mu      sync.Mutex
	changed []usher.Object
	present map[usher.ObjectKey]bool
}

// readPage finds the buckets of a page that differ from the snapshot in from.
func (l *loader) readPage(ctx context.Context, number int, head *Head) error {
	l.stale = make(map[bucketIndex]usher.Digest)
	var digest usher.Digest
	if number < len(head.Pages) {
		digest = head.Pages[number]
	}
	content := page{Buckets: make([]usher.Digest, bucketsPerPage)}
	if err := l.read(ctx, pagePrefix, digest, &content); err != nil {
		return err
	}
	for i, bucketDigest := range content.Buckets {
		index := number*bucketsPerPage + i
		if i < bucketsPerPage && bucketDigest != l.from.tree.buckets[index] {
			l.stale[bucketIndex(index)] = bucketDigest
		}
	}
	return nil
}

func (l *loader) readBuckets(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(partConcurrency)
	for _, digest := range l.stale {
		group.Go(func() error {
			var content bucket
			if err := l.read(ctx, bucketPrefix, digest, &content); err != nil {
				return err
			}
			l.addObjects(content)
			return nil
		})
	}
	return group.Wait()
}

func (l *loader) addObjects(content bucket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, object := range content.Objects {
		l.present[object.Key] = true
		l.changed = append(l.changed, usher.Object{Key: object.Key, Value: object.Value})
	}
}

// deleted returns the keys of objects that the stale buckets no longer contain.
func (l *loader) deleted() []usher.ObjectKey {
	var keys []usher.ObjectKey
	l.from.forEach(func(kind Kind, name string, _ any) {
		if _, differs := l.stale[bucketOf(kind, name)]; !differs {
			return
		}
		if key := Key(kind, name); !l.present[key] {
			keys = append(keys, key)
		}
	})
	return keys
}

// read fetches and decodes a part. An empty digest stands for an empty part.
func (l *loader) read(ctx context.Context, prefix usher.ObjectKey, digest usher.Digest, into any) error {
	if digest == "" {
		return nil
	}
	key := prefix + usher.ObjectKey(digest)
	object, err := getPart(ctx, l.store, key)
	if err != nil {
		return err
	}
	if usher.DigestOf(object.Value) != digest {
		return &DigestError{Key: key}
	}
	return json.Unmarshal(object.Value, into)
}

const (
	// maxReadAttempts is the number of attempts to read a part. Loading a
	// whole configuration takes hundreds of reads, some of which may hit the
	// store's rate limit.
	maxReadAttempts = 6
	// readRetryDelay is the approximate delay before the second attempt; it
	// doubles with each further one.
	readRetryDelay = 100 * time.Millisecond
)

func getPart(ctx context.Context, store usher.Store, key usher.ObjectKey) (usher.Object, error) {
	delay := readRetryDelay
	for attempt := 1; ; attempt++ {
		object, err := store.Get(ctx, key)
		var unavailable *usher.UnavailableError
		if !errors.As(err, &unavailable) || attempt == maxReadAttempts || ctx.Err() != nil {
			return object, err
		}
		pause.For(ctx, delay/2+rand.N(delay))
		delay *= 2
	}
}
