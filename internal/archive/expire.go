package archive

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"filbertusher/internal/record"
	"filbertusher/pkg/usher"
)

// maxRemoved is how many batches one checkpoint removes at most.
const maxRemoved = 1000

// Expired counts what an expiry removed.
type Expired struct {
	Chains  int `json:"chains"`
	Batches int `json:"batches"`
	Lines   int `json:"lines"`
}

// BrokenChainError is returned for a chain that is not whole and therefore may
// not expire: its checkpoint would hide where it breaks.
type BrokenChainError struct {
	Writer   string
	Sequence uint64
}

// Error implements error.
func (e *BrokenChainError) Error() string {
	return (&BatchError{Writer: e.Writer, Sequence: e.Sequence, Cause: &record.FormatError{Reason: "the chain breaks here; it does not expire"}}).Error()
}

// Expire removes the batches whose newest decision is older than retention. A
// checkpoint with the digest of the last removed batch is stored first, so
// that the rest of the chain can be verified at any moment in between.
func (r *Reader) Expire(ctx context.Context, now time.Time, retention time.Duration) (Expired, error) {
	var total Expired
	chains, err := r.Chains(ctx, now)
	if err != nil {
		return total, err
	}
	for _, chain := range chains {
		batches := 0
		for {
			e := &expiry{Reader: r, chain: chain, cut: now.Add(-retention)}
			if err := e.run(ctx, now, retention); err != nil {
				return total, err
			}
			if len(e.removed) == 0 {
				break
			}
			batches += len(e.removed)
			total.Lines += e.lines
		}
		if batches > 0 {
			total.Chains++
		}
		total.Batches += batches
	}
	return total, nil
}

// youngError ends the walk at the first batch that has to stay.
type youngError struct{}

// Error implements error.
func (*youngError) Error() string { return "the batch has to stay" }

// expiry is the expiry of one chain.
type expiry struct {
	*Reader
	chain   *Chain
	cut     time.Time
	removed []StoredBatch
	lines   int
	last    *record.Batch
}

func (e *expiry) run(ctx context.Context, now time.Time, retention time.Duration) error {
	if err := e.finishEarlier(ctx); err != nil {
		return err
	}
	previous := e.chain.previous()
	next := e.chain.first()
	err := e.Batches(ctx, e.chain.Name, next, 0, func(stored StoredBatch) error {
		batch, err := record.Open(stored.Object.Value)
		if err != nil || batch.Previous != previous || batch.Sequence != next || stored.Sequence != next {
			return &BrokenChainError{Writer: e.chain.Name, Sequence: stored.Sequence}
		}
		if !batch.Last.Before(e.cut) || len(e.removed) == maxRemoved {
			return &youngError{}
		}
		stored.Object.Value = nil
		e.removed = append(e.removed, stored)
		e.lines += batch.Lines
		e.last = batch
		previous = batch.Digest
		next++
		return nil
	})
	var young *youngError
	if err != nil && !errors.As(err, &young) {
		return err
	}
	if len(e.removed) == 0 {
		return nil
	}
	whole := err == nil
	return e.remove(ctx, now, retention, whole)
}

// finishEarlier removes what an earlier expiry had to leave, because its
// deletions failed after its checkpoint was stored.
func (e *expiry) finishEarlier(ctx context.Context) error {
	c := e.chain.Checkpoint
	if c == nil {
		return nil
	}
	for page := c.From / pageSize; page <= c.Through/pageSize; page++ {
		batches, err := e.page(ctx, e.chain.Name, page)
		if err != nil {
			return err
		}
		for _, batch := range batches {
			if batch.Sequence > c.Through {
				break
			}
			if err := e.delete(ctx, batch.Object); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *expiry) remove(ctx context.Context, now time.Time, retention time.Duration, whole bool) error {
	checkpoint := &record.Checkpoint{
		Format: record.FormatName, Version: record.FormatVersion, Writer: e.chain.Name, Started: e.chain.Started,
		From: e.removed[0].Sequence, Through: e.last.Sequence, Digest: e.last.Digest, Closed: e.last.Closed,
		Lines: e.lines, Newest: e.last.Last, Retention: usher.Duration(retention), Expired: now.UTC(),
	}
	if before := e.chain.Checkpoint; before != nil {
		checkpoint.Lines += before.Lines
		checkpoint.FirstIndex = before.FirstIndex
	}
	indexes, err := e.indexes(ctx, e.chain)
	if err != nil {
		return err
	}
	old := 0
	for old < len(indexes) && covered(indexes[old], checkpoint.Through) {
		old++
	}
	checkpoint.FirstIndex += uint64(old)
	value, err := json.Marshal(checkpoint)
	if err != nil {
		return err
	}
	key := record.CheckpointKey(e.chain.Name, e.chain.Started)
	version, err := e.store.Put(ctx, key, e.chain.checkpointVersion, value)
	if err != nil {
		return err
	}
	e.chain.Checkpoint, e.chain.checkpointVersion = checkpoint, version
	return e.removeAll(ctx, indexes[:old], whole)
}

func covered(index *record.Index, through uint64) bool {
	return len(index.Batches) > 0 && index.Batches[len(index.Batches)-1].Sequence <= through
}

func (e *expiry) removeAll(ctx context.Context, indexes []*record.Index, whole bool) error {
	for _, batch := range e.removed {
		if err := e.delete(ctx, batch.Object); err != nil {
			return err
		}
	}
	for _, index := range indexes {
		if err := e.deleteKey(ctx, record.IndexKey(e.chain.Name, index.Number)); err != nil {
			return err
		}
	}
	if !whole || !e.last.Closed {
		return nil
	}
	return e.deleteKey(ctx, record.WriterKey(e.chain.Name, e.chain.Started))
}

func (e *expiry) deleteKey(ctx context.Context, key usher.ObjectKey) error {
	object, err := e.get(ctx, key)
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	return e.delete(ctx, object)
}

// delete removes an object. An ambiguous answer is settled by trying again:
// a deletion that took effect makes the next one a conflict or a miss.
func (e *expiry) delete(ctx context.Context, object usher.Object) error {
	return e.again(ctx, func() error {
		err := e.store.Delete(ctx, object.Key, object.Version)
		var missing *usher.NotFoundError
		var conflict *usher.ConflictError
		var ambiguous *usher.AmbiguousError
		switch {
		case errors.As(err, &missing), errors.As(err, &conflict):
			return nil
		case errors.As(err, &ambiguous):
			return &usher.UnavailableError{Operation: "delete " + string(object.Key), Cause: err}
		}
		return err
	})
}
