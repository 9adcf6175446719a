package record

import (
	"bytes"
	"context"
	"errors"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

const (
	// rewritePeriod is how long an object is kept in memory after it was stored, so that
	// it can be stored again if the store goes back to an earlier state.
	rewritePeriod = time.Minute
	// maxRewriteBytes bounds the memory of these objects. The oldest are dropped first.
	maxRewriteBytes = 2 << 20
)

// objectWriter stores the immutable objects of the record. One goroutine at a time may
// use it.
type objectWriter struct {
	store usher.Store
	// written are the objects that were stored within rewritePeriod, oldest first, and
	// writtenBytes is the size of their values.
	written      []*writtenObject
	writtenBytes int
}

// writtenObject is an object that was stored, and the era in which the store had it.
type writtenObject struct {
	key      usher.ObjectKey
	value    []byte
	isBatch  bool
	era      usher.StoreEra
	storedAt time.Time
}

// put stores an object that is no batch. It is no error if the key holds another value:
// a batch then names what the object would have.
func (w *objectWriter) put(ctx context.Context, key usher.ObjectKey, value []byte) error {
	err := w.write(ctx, &writtenObject{key: key, value: value})
	if displaced := new(DisplacedError); errors.As(err, &displaced) {
		return nil
	}
	return err
}

// putBatch stores a batch under its key, or under its displaced key if the key holds
// another value, so that whoever took the key can't suppress the batch as well. It
// returns the DisplacedError although the batch is stored then.
func (w *objectWriter) putBatch(ctx context.Context, key usher.ObjectKey, value []byte) error {
	return w.write(ctx, &writtenObject{key: key, value: value, isBatch: true})
}

func (w *objectWriter) write(ctx context.Context, object *writtenObject) error {
	err := object.store(ctx, w.store)
	if displaced := new(DisplacedError); err != nil && !errors.As(err, &displaced) {
		return err
	}
	object.storedAt = time.Now()
	w.written = append(w.written, object)
	w.writtenBytes += len(object.value)
	w.dropOldest()
	return err
}

// store writes the object and notes the era in which the store has it.
func (o *writtenObject) store(ctx context.Context, store usher.Store) error {
	version, err := putImmutable(ctx, store, o.key, o.value)
	if displaced := new(DisplacedError); o.isBatch && errors.As(err, &displaced) {
		var displacedErr error
		if version, displacedErr = putImmutable(ctx, store, displacedKey(o.key), o.value); displacedErr != nil {
			return displacedErr
		}
	}
	o.era = version.Era()
	return err
}

func (w *objectWriter) dropOldest() {
	for len(w.written) > 0 && (w.writtenBytes > maxRewriteBytes || time.Since(w.written[0].storedAt) > rewritePeriod) {
		w.writtenBytes -= len(w.written[0].value)
		w.written[0] = nil
		w.written = w.written[1:]
	}
}

// rewriteLost stores the objects again that the store may have lost because it went
// back to an earlier state, with gap between two writes, and returns their number.
func (w *objectWriter) rewriteLost(ctx context.Context, gap time.Duration) (rewritten int, err error) {
	w.dropOldest()
	for _, object := range w.written {
		if object.era >= w.store.Era() {
			continue
		}
		if rewritten > 0 {
			pause.For(ctx, gap)
		}
		err := object.store(ctx, w.store)
		if displaced := new(DisplacedError); err != nil && !errors.As(err, &displaced) {
			return rewritten, err
		}
		rewritten++
	}
	return rewritten, nil
}

// putImmutable creates an object whose value never changes, under a key reserved
// for that value, and returns its version. It is idempotent, and any process that has
// the value may repeat it: a write that took effect late, twice or without a reply
// leaves the same object. It returns a DisplacedError if the key holds another value.
func putImmutable(ctx context.Context, store usher.Store, key usher.ObjectKey, value []byte) (usher.Version, error) {
	version, err := store.Put(ctx, key, 0, value)
	var conflict *usher.ConflictError
	var ambiguous *usher.AmbiguousError
	if err == nil || (!errors.As(err, &conflict) && !errors.As(err, &ambiguous)) {
		return version, err
	}
	// Read the object back to learn the outcome. If it does not exist, a delayed
	// write may still create it; the caller's retry is harmless then.
	object, readErr := store.Get(ctx, key)
	if readErr != nil {
		return 0, readErr
	}
	if !bytes.Equal(object.Value, value) {
		return object.Version, &DisplacedError{Key: key}
	}
	return object.Version, nil
}
