package store

import (
	"context"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Direct implements usher.Store on a Memory without a network. Like a client, it learns
// that the memory was restored from its next call only.
type Direct struct {
	memory *Memory

	mu       sync.Mutex
	era      usher.StoreEra
	restored chan struct{}
}

var _ usher.Store = (*Direct)(nil)

// NewDirect returns a store that reads and writes memory.
func NewDirect(memory *Memory) *Direct {
	return &Direct{memory: memory, era: memory.Era(), restored: make(chan struct{})}
}

// Era implements usher.EraSource.
func (d *Direct) Era() usher.StoreEra {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.era
}

// Restored implements usher.EraSource.
func (d *Direct) Restored() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.restored
}

// observe returns the memory's era and notes it.
func (d *Direct) observe() usher.StoreEra {
	d.mu.Lock()
	defer d.mu.Unlock()
	if era := d.memory.Era(); era > d.era {
		d.era = era
		close(d.restored)
		d.restored = make(chan struct{})
	}
	return d.era
}

func tagged(object usher.Object, era usher.StoreEra) usher.Object {
	object.Version = usher.NewVersion(era, object.Version.Revision())
	return object
}

// Get implements usher.Store.
func (d *Direct) Get(_ context.Context, key usher.ObjectKey) (usher.Object, error) {
	object, found := d.memory.Get(key)
	era := d.observe()
	if !found {
		return usher.Object{}, &usher.NotFoundError{Key: key}
	}
	return tagged(object, era), nil
}

// List implements usher.Store.
func (d *Direct) List(_ context.Context, prefix usher.ObjectKey) ([]usher.Object, usher.Version, error) {
	objects, revision := d.memory.List(prefix)
	era := d.observe()
	for i := range objects {
		objects[i] = tagged(objects[i], era)
	}
	return objects, usher.NewVersion(era, revision.Revision()), nil
}

// Put implements usher.Store.
func (d *Direct) Put(_ context.Context, key usher.ObjectKey, expected usher.Version, value []byte) (usher.Version, error) {
	return d.write(key, expected, value, false)
}

// Delete implements usher.Store.
func (d *Direct) Delete(_ context.Context, key usher.ObjectKey, expected usher.Version) error {
	_, err := d.write(key, expected, nil, true)
	return err
}

func (d *Direct) write(key usher.ObjectKey, expected usher.Version, value []byte, deleted bool) (usher.Version, error) {
	if expected != 0 && expected.Era() != d.Era() {
		return 0, &usher.ConflictError{Key: key, Expected: expected}
	}
	revision, applied := d.memory.Write(key, usher.Version(expected.Revision()), value, deleted)
	era := d.observe()
	version := usher.NewVersion(era, revision.Revision())
	switch {
	case !applied:
		return 0, &usher.ConflictError{Key: key, Expected: expected, Current: version}
	case expected != 0 && expected.Era() != era:
		return 0, &usher.AmbiguousError{Key: key}
	}
	return version, nil
}

// Watch implements usher.Store.
func (d *Direct) Watch(ctx context.Context, prefix usher.ObjectKey, since usher.Version, wait time.Duration) ([]usher.WatchEvent, usher.Version, error) {
	events, revision, compacted := d.memory.Watch(ctx.Done(), prefix, usher.Version(since.Revision()), wait)
	era := d.observe()
	if compacted || since.Era() != era {
		return nil, 0, &usher.HistoryCompactedError{Prefix: prefix}
	}
	for i := range events {
		events[i].Object = tagged(events[i].Object, era)
	}
	return events, usher.NewVersion(era, revision.Revision()), nil
}
