package config

import (
	"context"
	"encoding/json"
	"errors"

	"filbertusher/pkg/usher"
)

// PrunedKey holds the newest version whose past head was removed.
const PrunedKey usher.ObjectKey = Prefix + "pruned"

// pruned is the value at PrunedKey.
type pruned struct {
	Version usher.Version `json:"version"`
}

// Pruned says what Prune removed.
type Pruned struct {
	Versions int
	Parts    int
}

// pruner removes the parts that only old versions refer to.
type pruner struct {
	store usher.Store
	// known is the head whose parts are all in referred.
	known    *Head
	referred map[usher.ObjectKey]bool
	result   Pruned
}

// Prune removes versions but for the newest keep, with the pages and buckets
// that no kept version refers to. It may run beside writers, because it removes
// only parts that were last written before the current head was:
//
// A writer that wants a part writes it, also if it exists, after it has read the
// head that its change is built on. A part that is older than the current head
// was therefore last wanted by a writer whose head has been replaced since, and
// whose change can't be accepted any more. A writer that wants it from now on
// writes it anew, which makes the conditional removal fail, or comes after the
// removal and creates it. This rests on the store's versions being those of one
// sequence for all objects.
func Prune(ctx context.Context, store usher.Store, keep usher.Version) (Pruned, error) {
	head, _, err := LoadHead(ctx, store)
	if err != nil || head.Version <= keep {
		return Pruned{}, err
	}
	p := &pruner{store: store, known: head, referred: make(map[usher.ObjectKey]bool)}
	if err := p.refer(ctx, head); err != nil {
		return p.result, err
	}
	first := head.Version - keep + 1
	for version := first; version < head.Version; version++ {
		if err := p.referPast(ctx, version); err != nil {
			return p.result, err
		}
	}
	return p.result, p.run(ctx, first)
}

// run removes the versions before first, from where the last run ended.
func (p *pruner) run(ctx context.Context, first usher.Version) error {
	var done pruned
	object, err := p.store.Get(ctx, PrunedKey)
	var missing *usher.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(object.Value, &done); err != nil {
			return &ObjectError{Key: PrunedKey, Cause: err}
		}
	}
	for version := done.Version + 1; version < first; version++ {
		err := p.removeVersion(ctx, version)
		var wanted *wantedError
		if errors.As(err, &wanted) {
			// The next run goes on from here.
			break
		}
		if err != nil {
			return err
		}
		done.Version = version
	}
	encoded, err := json.Marshal(done)
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, PrunedKey, object.Version, encoded)
	return err
}

// referPast adds the parts of an earlier version, which may be missing.
func (p *pruner) referPast(ctx context.Context, version usher.Version) error {
	past, err := LoadPast(ctx, p.store, version)
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	return p.refer(ctx, past)
}

// refer adds the parts of a head to those that stay.
func (p *pruner) refer(ctx context.Context, head *Head) error {
	for _, digest := range head.Pages {
		key := pagePrefix + usher.ObjectKey(digest)
		if digest == "" || p.referred[key] {
			continue
		}
		buckets, err := p.buckets(ctx, key)
		if err != nil {
			return err
		}
		p.referred[key] = true
		for _, bucket := range buckets {
			p.referred[bucket] = true
		}
	}
	return nil
}

// buckets returns the keys of the buckets of a page, none if it is gone.
func (p *pruner) buckets(ctx context.Context, key usher.ObjectKey) ([]usher.ObjectKey, error) {
	object, err := getPart(ctx, p.store, key)
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var content page
	if err := json.Unmarshal(object.Value, &content); err != nil {
		return nil, &ObjectError{Key: key, Cause: err}
	}
	var keys []usher.ObjectKey
	for _, digest := range content.Buckets {
		if digest != "" {
			keys = append(keys, bucketPrefix+usher.ObjectKey(digest))
		}
	}
	return keys, nil
}

// wantedError is returned for a part that a writer may be about to refer to.
type wantedError struct{ Key usher.ObjectKey }

// Error implements error.
func (e *wantedError) Error() string { return "part " + string(e.Key) + " was written a moment ago" }

// removeVersion removes the parts that only this version refers to.
func (p *pruner) removeVersion(ctx context.Context, version usher.Version) error {
	past, err := LoadPast(ctx, p.store, version)
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, digest := range past.Pages {
		key := pagePrefix + usher.ObjectKey(digest)
		if digest == "" || p.referred[key] {
			continue
		}
		buckets, err := p.buckets(ctx, key)
		if err != nil {
			return err
		}
		for _, part := range append(buckets, key) {
			if err := p.remove(ctx, part); err != nil {
				return err
			}
		}
	}
	object, err := p.store.Get(ctx, pastKey(version))
	if err != nil {
		return err
	}
	p.result.Versions++
	return p.store.Delete(ctx, object.Key, object.Version)
}

// remove deletes a part that nothing kept refers to.
func (p *pruner) remove(ctx context.Context, key usher.ObjectKey) error {
	object, err := getPart(ctx, p.store, key)
	var missing *usher.NotFoundError
	if p.referred[key] || errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	head, written, err := LoadHead(ctx, p.store)
	if err != nil {
		return err
	}
	if head.ID != p.known.ID {
		p.known = head
		if err := p.refer(ctx, head); err != nil {
			return err
		}
	}
	if p.referred[key] {
		return nil
	}
	if object.Version >= written {
		return &wantedError{Key: key}
	}
	err = p.store.Delete(ctx, key, object.Version)
	var conflict *usher.ConflictError
	if errors.As(err, &conflict) {
		return &wantedError{Key: key}
	}
	if err == nil {
		p.result.Parts++
	}
	return err
}
