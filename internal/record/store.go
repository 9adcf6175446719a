package record

import (
	"bytes"
	"context"
	"errors"

	"filbertusher/pkg/usher"
)

// putImmutable creates an object whose value never changes, under a key reserved
// for that value. It is idempotent, and any process that has the value may repeat
// it: a write that took effect late, twice or without a reply leaves the same
// object. It returns a DisplacedError if the key holds another value.
func putImmutable(ctx context.Context, store usher.Store, key usher.ObjectKey, value []byte) error {
	_, err := store.Put(ctx, key, 0, value)
	var conflict *usher.ConflictError
	var ambiguous *usher.AmbiguousError
	if err == nil || (!errors.As(err, &conflict) && !errors.As(err, &ambiguous)) {
		return err
	}
	// Read the object back to learn the outcome. If it does not exist, a delayed
	// write may still create it; the caller's retry is harmless then.
	object, readErr := store.Get(ctx, key)
	if readErr != nil {
		return readErr
	}
	if !bytes.Equal(object.Value, value) {
		return &DisplacedError{Key: key}
	}
	return nil
}

// storeBatch stores a batch under its key, or under its displaced key if the key
// holds another value, so that whoever took the key can't suppress the batch as
// well. It returns the DisplacedError although the batch is stored then.
func storeBatch(ctx context.Context, store usher.Store, key usher.ObjectKey, value []byte) error {
	err := putImmutable(ctx, store, key, value)
	var displaced *DisplacedError
	if !errors.As(err, &displaced) {
		return err
	}
	if displacedErr := putImmutable(ctx, store, displacedKey(key), value); displacedErr != nil {
		return displacedErr
	}
	return err
}
