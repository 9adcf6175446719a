package config

import (
	"context"
	"encoding/json"
	"errors"

	"filbertusher/pkg/usher"
)

// PruneProgressKey stores the newest version that has been pruned.
const PruneProgressKey usher.ObjectKey = Prefix + "pruned"

// pruneProgress is the value stored at PruneProgressKey.
type pruneProgress struct {
	Version usher.Version `json:"version"`
}

// PruneResult counts the versions and the parts that Prune removed.
type PruneResult struct {
	Versions int
	Parts    int
}

// pruner removes the parts that only pruned versions reference.
type pruner struct {
	store usher.Store
	// head is the newest head whose parts have been added to retained.
	head     *Head
	retained map[usher.ObjectKey]bool
	result   PruneResult
}

// Prune removes all but the newest keep versions, with the pages and buckets
// that no retained version references. It may run concurrently with writers,
// because it removes only parts that were last written before the current head:
//
// A writer writes every part that it needs, even if it exists, after it has
// read the head that its change is based on. If a part is older than the
// current head, the last writer that needed it based its change on a head that
// has been replaced since, so that change can no longer be accepted. A writer
// that needs the part from now on either rewrites it, which makes the
// conditional delete fail, or writes it after the delete and so creates it.
// This relies on the store numbering the versions of all objects in one
// sequence.
func Prune(ctx context.Context, store usher.Store, keep usher.Version) (PruneResult, error) {
	head, _, err := LoadHead(ctx, store)
	if err != nil || head.Version <= keep {
		return PruneResult{}, err
	}
	p := &pruner{store: store, head: head, retained: make(map[usher.ObjectKey]bool)}
	if err := p.retain(ctx, head); err != nil {
		return p.result, err
	}
	first := head.Version - keep + 1
	for version := first; version < head.Version; version++ {
		if err := p.retainArchived(ctx, version); err != nil {
			return p.result, err
		}
	}
	return p.result, p.removeBefore(ctx, first)
}

// removeBefore removes the versions before first, starting where the last run
// stopped.
func (p *pruner) removeBefore(ctx context.Context, first usher.Version) error {
	var progress pruneProgress
	object, err := p.store.Get(ctx, PruneProgressKey)
	var notFound *usher.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(object.Value, &progress); err != nil {
			return &ObjectError{Key: PruneProgressKey, Cause: err}
		}
	}
	for version := progress.Version + 1; version < first; version++ {
		err := p.removeVersion(ctx, version)
		var recent *recentlyWrittenError
		if errors.As(err, &recent) {
			// The next run continues from here.
			break
		}
		if err != nil {
			return err
		}
		progress.Version = version
	}
	encoded, err := json.Marshal(progress)
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, PruneProgressKey, object.Version, encoded)
	return err
}

// retainArchived adds the parts of an archived version to retained, unless its
// head is missing.
func (p *pruner) retainArchived(ctx context.Context, version usher.Version) error {
	past, err := LoadArchivedHead(ctx, p.store, version)
	var notFound *usher.NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return p.retain(ctx, past)
}

// retain adds the parts of a head to those that are kept.
func (p *pruner) retain(ctx context.Context, head *Head) error {
	for _, digest := range head.Pages {
		key := pagePrefix + usher.ObjectKey(digest)
		if digest == "" || p.retained[key] {
			continue
		}
		buckets, err := p.bucketKeys(ctx, key)
		if err != nil {
			return err
		}
		p.retained[key] = true
		for _, bucket := range buckets {
			p.retained[bucket] = true
		}
	}
	return nil
}

// bucketKeys returns the keys of the buckets of a page, or none if the page
// does not exist.
func (p *pruner) bucketKeys(ctx context.Context, key usher.ObjectKey) ([]usher.ObjectKey, error) {
	object, err := getPart(ctx, p.store, key)
	var notFound *usher.NotFoundError
	if errors.As(err, &notFound) {
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

// recentlyWrittenError is returned for a part that a writer may be about to
// reference.
type recentlyWrittenError struct{ Key usher.ObjectKey }

// Error implements error.
func (e *recentlyWrittenError) Error() string {
	return "part " + string(e.Key) + " was written after the current head"
}

// removeVersion removes the parts that only this version references, and its
// head.
func (p *pruner) removeVersion(ctx context.Context, version usher.Version) error {
	past, err := LoadArchivedHead(ctx, p.store, version)
	var notFound *usher.NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, digest := range past.Pages {
		key := pagePrefix + usher.ObjectKey(digest)
		if digest == "" || p.retained[key] {
			continue
		}
		buckets, err := p.bucketKeys(ctx, key)
		if err != nil {
			return err
		}
		for _, part := range append(buckets, key) {
			if err := p.removePart(ctx, part); err != nil {
				return err
			}
		}
	}
	object, err := p.store.Get(ctx, archivedHeadKey(version))
	if err != nil {
		return err
	}
	p.result.Versions++
	return p.store.Delete(ctx, object.Key, object.Version)
}

// removePart deletes a part that no retained version references.
func (p *pruner) removePart(ctx context.Context, key usher.ObjectKey) error {
	object, err := getPart(ctx, p.store, key)
	var notFound *usher.NotFoundError
	if p.retained[key] || errors.As(err, &notFound) {
		return nil
	}
	if err != nil {
		return err
	}
	head, written, err := LoadHead(ctx, p.store)
	if err != nil {
		return err
	}
	if head.ID != p.head.ID {
		p.head = head
		if err := p.retain(ctx, head); err != nil {
			return err
		}
	}
	if p.retained[key] {
		return nil
	}
	if object.Version >= written {
		return &recentlyWrittenError{Key: key}
	}
	err = p.store.Delete(ctx, key, object.Version)
	var conflict *usher.ConflictError
	if errors.As(err, &conflict) {
		return &recentlyWrittenError{Key: key}
	}
	if err == nil {
		p.result.Parts++
	}
	return err
}
