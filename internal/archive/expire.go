package archive

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"filbertusher/internal/record"
	"filbertusher/pkg/usher"
)

// maxExpiredPerCheckpoint is the maximum number of batches that are deleted after
// one checkpoint.
const maxExpiredPerCheckpoint = 1000

// ExpiryResult counts the batches that an expiry deleted, their lines and chains.
type ExpiryResult struct {
	Chains  int `json:"chains"`
	Batches int `json:"batches"`
	Lines   int `json:"lines"`
}

// BrokenChainError is returned for a chain that does not verify. Such a chain does not
// expire, because the checkpoint would hide where it is broken.
type BrokenChainError struct {
	Writer   string
	Sequence uint64
}

// Error implements error.
func (e *BrokenChainError) Error() string {
	return (&BatchError{Writer: e.Writer, Sequence: e.Sequence, Cause: &record.FormatError{Reason: "the chain is broken here and does not expire"}}).Error()
}

// Expire deletes the batches whose newest decision is older than retention. It
// stores a checkpoint with the digest of the last expired batch first, so that the
// rest of the chain can be verified at any time during the deletion. A broken chain is
// left as it is and does not keep the others from expiring; the error is a
// *BrokenChainError for each of them.
func (r *Reader) Expire(ctx context.Context, now time.Time, retention time.Duration) (ExpiryResult, error) {
	var total ExpiryResult
	chains, err := r.Chains(ctx, now)
	if err != nil {
		return total, err
	}
	var broken []error
	for _, chain := range chains {
		batches, lines, err := r.expireChain(ctx, chain, now, retention)
		total.Batches += batches
		total.Lines += lines
		if batches > 0 {
			total.Chains++
		}
		var brokenChain *BrokenChainError
		switch {
		case errors.As(err, &brokenChain):
			broken = append(broken, err)
		case err != nil:
			return total, err
		}
	}
	if len(broken) == 1 {
		return total, broken[0]
	}
	return total, errors.Join(broken...)
}

// expireChain expires the batches of one chain, in as many checkpoints as needed. It
// returns the numbers of batches and lines that expired.
func (r *Reader) expireChain(ctx context.Context, chain *Chain, now time.Time, retention time.Duration) (batches, lines int, err error) {
	if len(chain.damage) > 0 {
		return 0, 0, &BrokenChainError{Writer: chain.Name, Sequence: chain.firstSequence()}
	}
	for {
		e := &expiry{Reader: r, chain: chain, cutoff: now.Add(-retention)}
		err := e.run(ctx, now, retention)
		if isUnreadable(err) {
			err = &BrokenChainError{Writer: chain.Name, Sequence: chain.firstSequence()}
		}
		if err != nil {
			return batches, lines, err
		}
		if len(e.expired) == 0 {
			return batches, lines, nil
		}
		batches += len(e.expired)
		lines += e.lines
	}
}

// retainedBatchError stops the iteration at the first batch that is not deleted: it
// is within the retention, or one checkpoint has no room for it.
type retainedBatchError struct{}

// Error implements error.
func (*retainedBatchError) Error() string { return "the batch is retained" }

// expiry is the state of the expiry of one chain, up to one checkpoint. last is the
// newest batch in expired, and lines is the number of lines in all of them.
type expiry struct {
	*Reader
	chain   *Chain
	cutoff  time.Time
	expired []StoredBatch
	lines   int
	last    *record.Batch
}

func (e *expiry) run(ctx context.Context, now time.Time, retention time.Duration) error {
	if err := e.finishPrevious(ctx); err != nil {
		return err
	}
	previous := e.chain.previousDigest()
	next := e.chain.firstSequence()
	err := e.ForEachBatch(ctx, e.chain.Name, next, 0, func(stored StoredBatch) error {
		batch, err := record.Decode(stored.Object.Value)
		if stored.misnamed != nil || err != nil || batch.Previous != previous || batch.Sequence != next || stored.Sequence != next {
			return &BrokenChainError{Writer: e.chain.Name, Sequence: next}
		}
		if !batch.Last.Before(e.cutoff) || len(e.expired) == maxExpiredPerCheckpoint {
			return &retainedBatchError{}
		}
		stored.Object.Value = nil
		e.expired = append(e.expired, stored)
		e.lines += batch.Lines
		e.last = batch
		previous = batch.Digest
		next++
		return nil
	})
	var retained *retainedBatchError
	if err != nil && !errors.As(err, &retained) {
		return err
	}
	if len(e.expired) == 0 {
		return nil
	}
	complete := err == nil
	return e.checkpointAndDelete(ctx, now, retention, complete)
}

// finishPrevious deletes the batches that a previous expiry left behind because
// deletions failed after its checkpoint was stored.
func (e *expiry) finishPrevious(ctx context.Context) error {
	checkpoint := e.chain.Checkpoint
	if checkpoint == nil {
		return nil
	}
	for page := checkpoint.From / batchesPerPage; page <= checkpoint.Through/batchesPerPage; page++ {
		batches, err := e.readPage(ctx, e.chain.Name, page)
		if err != nil {
			return err
		}
		for _, batch := range batches {
			if batch.misnamed != nil {
				continue
			}
			if batch.Sequence > checkpoint.Through {
				break
			}
			if err := e.delete(ctx, batch.Object); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *expiry) checkpointAndDelete(ctx context.Context, now time.Time, retention time.Duration, complete bool) error {
	checkpoint := &record.Checkpoint{
		Format: record.FormatName, Version: record.FormatVersion, Writer: e.chain.Name, Started: e.chain.Started,
		From: e.expired[0].Sequence, Through: e.last.Sequence, Digest: e.last.Digest, Closed: e.last.Closed,
		Lines: e.lines, Newest: e.last.Last, Retention: usher.Duration(retention), Expired: now.UTC(),
	}
	if previous := e.chain.Checkpoint; previous != nil {
		checkpoint.Lines += previous.Lines
		checkpoint.FirstIndex = previous.FirstIndex
	}
	indexes, err := e.readIndexes(ctx, e.chain)
	if err != nil {
		return err
	}
	coveredIndexes := 0
	for coveredIndexes < len(indexes) && isCovered(indexes[coveredIndexes], checkpoint.Through) {
		coveredIndexes++
	}
	checkpoint.FirstIndex += uint64(coveredIndexes)
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
	return e.deleteExpired(ctx, indexes[:coveredIndexes], complete)
}

func isCovered(index *record.Index, through uint64) bool {
	return len(index.Batches) > 0 && index.Batches[len(index.Batches)-1].Sequence <= through
}

func (e *expiry) deleteExpired(ctx context.Context, indexes []*record.Index, complete bool) error {
	for _, batch := range e.expired {
		if err := e.delete(ctx, batch.Object); err != nil {
			return err
		}
	}
	for _, index := range indexes {
		if err := e.deleteKey(ctx, record.IndexKey(e.chain.Name, index.Number)); err != nil {
			return err
		}
	}
	if !complete || !e.last.Closed {
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

// delete deletes an object. If it is not known whether a deletion took effect, it
// tries again: after one that did, the next fails with a conflict or as not found.
func (e *expiry) delete(ctx context.Context, object usher.Object) error {
	return e.callWithRetry(ctx, func() error {
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
