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

// loadParallel bounds how many parts are read at the same time.
const loadParallel = 16

// DigestError is returned when a part does not have the content that it is
// named by, or when the objects of a version don't add up to its head.
type DigestError struct{ Key usher.ObjectKey }

// Error implements error.
func (e *DigestError) Error() string {
	return "the content of " + string(e.Key) + " does not match its digest"
}

// LoadHead reads the head and the store's version of it, which a conditional
// update needs. A store that has never held a configuration gives an empty
// head at version 0.
func LoadHead(ctx context.Context, store usher.Store) (*Head, usher.Version, error) {
	object, err := store.Get(ctx, HeadKey)
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
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

// LoadPast reads the head of a version that has been replaced since.
func LoadPast(ctx context.Context, store usher.Store, version usher.Version) (*Head, error) {
	object, err := store.Get(ctx, pastKey(version))
	if err != nil {
		return nil, err
	}
	head := &Head{}
	if err := json.Unmarshal(object.Value, head); err != nil {
		return nil, &ObjectError{Key: object.Key, Cause: err}
	}
	return head, nil
}

// Load returns the snapshot of a head. It reads only the parts in which from
// differs from the head; from may be Empty. The pages are taken in one by one,
// so that a whole configuration is never held twice.
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
		// Nothing differs but the head itself.
		same, err := from.With(head, nil, nil)
		if err != nil {
			return nil, err
		}
		next = same
	}
	return next, next.Verify()
}

// LoadInForce returns the snapshot that the head names now, and the store's
// version of the head. It reads only the parts in which from differs from it.
//
// A reader can be so slow that its version is replaced and its parts are pruned
// while it reads them:
//
//	reader: head 7 -> page A ...                    page B is missing
//	others:            versions 8 to 17, prune removes 7
//
// It then begins again with the head of that moment. A part that is missing
// while its head stands is an error.
func LoadInForce(ctx context.Context, store usher.Store, from *Snapshot) (*Snapshot, usher.Version, error) {
	for {
		head, version, err := LoadHead(ctx, store)
		if err != nil {
			return nil, 0, err
		}
		next, err := Load(ctx, store, head, from)
		var missing *usher.NotFoundError
		if !errors.As(err, &missing) {
			return next, version, err
		}
		now, _, errHead := LoadHead(ctx, store)
		if errHead != nil || now.ID == head.ID {
			return nil, 0, err
		}
	}
}

// Verify says whether the objects are those that the head was accepted with.
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

// loader reads one page.
type loader struct {
	store usher.Store
	from  *Snapshot

	// differing maps each bucket that has to be read to its digest.
	differing map[bucketIndex]usher.Digest

	mu      sync.Mutex
	changed []usher.Object
	present map[usher.ObjectKey]bool
}

// readPage finds the buckets of a page that differ.
func (l *loader) readPage(ctx context.Context, number int, head *Head) error {
	l.differing = make(map[bucketIndex]usher.Digest)
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
			l.differing[bucketIndex(index)] = bucketDigest
		}
	}
	return nil
}

func (l *loader) readBuckets(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(loadParallel)
	for _, digest := range l.differing {
		group.Go(func() error {
			var content bucket
			if err := l.read(ctx, bucketPrefix, digest, &content); err != nil {
				return err
			}
			l.take(content)
			return nil
		})
	}
	return group.Wait()
}

func (l *loader) take(content bucket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, object := range content.Objects {
		l.present[object.Key] = true
		l.changed = append(l.changed, usher.Object{Key: object.Key, Value: object.Value})
	}
}

// deleted lists the objects that the differing buckets no longer hold.
func (l *loader) deleted() []usher.ObjectKey {
	var keys []usher.ObjectKey
	l.from.each(func(kind Kind, name string, _ any) {
		if _, differs := l.differing[bucketOf(kind, name)]; !differs {
			return
		}
		if key := Key(kind, name); !l.present[key] {
			keys = append(keys, key)
		}
	})
	return keys
}

// read fetches a part; the part without a digest is empty.
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
	// readAttempts is how often the read of a part is tried. A whole load makes
	// hundreds of reads, of which some may meet the store's limit on calls.
	readAttempts = 6
	// readDelay is about the pause before the second try; it doubles.
	readDelay = 100 * time.Millisecond
)

func getPart(ctx context.Context, store usher.Store, key usher.ObjectKey) (usher.Object, error) {
	delay := readDelay
	for attempt := 1; ; attempt++ {
		object, err := store.Get(ctx, key)
		var unavailable *usher.UnavailableError
		if !errors.As(err, &unavailable) || attempt == readAttempts || ctx.Err() != nil {
			return object, err
		}
		pause.For(ctx, delay/2+rand.N(delay))
		delay *= 2
	}
}
