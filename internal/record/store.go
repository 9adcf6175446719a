package record

import (
	"bytes"
	"context"
	"errors"

	"filbertusher/pkg/usher"
)

// storeOnce writes a value that never changes under a key that only this value
// may have. It may be called again by anyone who holds the value: a write that
// took effect without an answer, or late, or twice, leaves the same object.
func storeOnce(ctx context.Context, store usher.Store, key usher.ObjectKey, value []byte) error {
	_, err := store.Put(ctx, key, 0, value)
	var conflict *usher.ConflictError
	var ambiguous *usher.AmbiguousError
	if err == nil || (!errors.As(err, &conflict) && !errors.As(err, &ambiguous)) {
		return err
	}
	// Reading back settles it. An object that is not there yet may still come
	// from a late write; the caller then tries again, which is harmless.
	object, errRead := store.Get(ctx, key)
	if errRead != nil {
		return errRead
	}
	if !bytes.Equal(object.Value, value) {
		return &DisplacedError{Key: key}
	}
	return nil
}

// storeBatch stores a batch, elsewhere if its own key holds something else:
// whoever took the key must not also make the batch disappear. It returns the
// DisplacedError after the batch was stored all the same.
func storeBatch(ctx context.Context, store usher.Store, key usher.ObjectKey, value []byte) error {
	err := storeOnce(ctx, store, key, value)
	var displaced *DisplacedError
	if !errors.As(err, &displaced) {
		return err
	}
	if errElsewhere := storeOnce(ctx, store, displacedKey(key), value); errElsewhere != nil {
		return errElsewhere
	}
	return err
}
