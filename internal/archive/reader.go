// Package archive reads the record, the log of request decisions that package record
// writes. It searches and exports decisions, verifies the hash chains of the writers'
// batches, and deletes batches that are older than the retention.
package archive

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"filbertusher/internal/record"
	"filbertusher/pkg/usher"
)

const (
	// batchesPerPage is the maximum number of batches that one list call returns:
	// all whose sequence numbers differ only in the last digit. A page is at most
	// ten megabytes.
	batchesPerPage = 10
	// maxEmptyPages is the number of consecutive empty pages after which a chain is
	// considered to end. An index object lists 50 batches, so a batch that is not in
	// an index is at most 50 batches, or five pages, after the last one that is.
	maxEmptyPages = 6
	// maxRetries is how often a call is retried, and initialRetryDelay the delay
	// before the first retry, which doubles each time. They cover a store that
	// exceeds its request budget for a short time.
	maxRetries        = 6
	initialRetryDelay = 100 * time.Millisecond
)

// firstMonth is the month from which chains are listed. No record is older.
var firstMonth = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Reader reads the record from one store.
type Reader struct {
	store   usher.Store
	limiter *rate.Limiter
}

// NewReader returns a reader without a rate limit.
func NewReader(store usher.Store) *Reader { return NewRateLimitedReader(store, rate.Inf) }

// NewRateLimitedReader returns a reader that makes at most callsPerSecond calls to the
// store, so that the processes that serve callers can use the rest of its capacity.
func NewRateLimitedReader(store usher.Store, callsPerSecond rate.Limit) *Reader {
	return &Reader{store: store, limiter: rate.NewLimiter(callsPerSecond, maxConcurrentChains)}
}

// Chain is the hash chain of one writer's batches: the writer's announcement and the
// checkpoint of the batches that have expired.
type Chain struct {
	record.Writer
	Checkpoint *record.Checkpoint
	// checkpointVersion is the version of the checkpoint object in the store.
	checkpointVersion usher.Version
	// damage has an error for each of the two objects above that can't be read.
	damage []error
}

// firstSequence returns the sequence number of the first batch that has not expired.
func (c *Chain) firstSequence() uint64 {
	if c.Checkpoint == nil {
		return 0
	}
	return c.Checkpoint.Through + 1
}

// previousDigest returns the digest that the first batch that has not expired must
// refer to as its predecessor.
func (c *Chain) previousDigest() usher.Digest {
	if c.Checkpoint == nil {
		return record.GenesisDigest(c.Name)
	}
	return c.Checkpoint.Digest
}

// StoredBatch is the store object of a batch, not yet decoded. misnamed is set if the
// object's name has no sequence number: another program has written it.
type StoredBatch struct {
	Sequence uint64
	Object   usher.Object
	misnamed error
}

// Chains returns every chain that was started up to the end of the month of until,
// by the name of its writer. A chain with a checkpoint but without a Writer object
// has expired completely. Chains of which one of the two can't be read are included.
func (r *Reader) Chains(ctx context.Context, until time.Time) (map[string]*Chain, error) {
	chains := make(map[string]*Chain)
	for month := firstMonth; !month.After(until); month = month.AddDate(0, 1, 0) {
		if err := r.addWriters(ctx, month, chains); err != nil {
			return nil, err
		}
		if err := r.addCheckpoints(ctx, month, chains); err != nil {
			return nil, err
		}
	}
	return chains, nil
}

func (r *Reader) addWriters(ctx context.Context, month time.Time, chains map[string]*Chain) error {
	objects, err := r.list(ctx, usher.ObjectKey(record.WriterMonthPrefix(month)))
	if err != nil {
		return err
	}
	for _, object := range objects {
		chain := &Chain{}
		if err := json.Unmarshal(object.Value, &chain.Writer); err != nil {
			chain.Writer = record.Writer{Name: lastElement(object.Key)}
			chain.damage = append(chain.damage, &record.FormatError{Reason: string(object.Key), Cause: err})
		}
		chains[lastElement(object.Key)] = chain
	}
	return nil
}

func (r *Reader) addCheckpoints(ctx context.Context, month time.Time, chains map[string]*Chain) error {
	objects, err := r.list(ctx, usher.ObjectKey(record.CheckpointMonthPrefix(month)))
	if err != nil {
		return err
	}
	for _, object := range objects {
		checkpoint := &record.Checkpoint{}
		err := json.Unmarshal(object.Value, checkpoint)
		name := lastElement(object.Key)
		if chains[name] == nil {
			chains[name] = &Chain{Writer: record.Writer{Name: name, Started: checkpoint.Started}}
		}
		if err != nil {
			chains[name].damage = append(chains[name].damage, &record.FormatError{Reason: string(object.Key), Cause: err})
			continue
		}
		chains[name].Checkpoint, chains[name].checkpointVersion = checkpoint, object.Version
	}
	return nil
}

func lastElement(key usher.ObjectKey) string {
	return string(key[strings.LastIndexByte(string(key), '/')+1:])
}

// ForEachBatch calls each for the batches of a chain in order, starting at sequence number
// from, and for objects among them that are misnamed. It stops after maxEmptyPages empty pages, but reads at least up to the batch
// known, the last one that the caller knows of.
func (r *Reader) ForEachBatch(ctx context.Context, writer string, from, known uint64, each func(StoredBatch) error) error {
	emptyPages := 0
	for page := from / batchesPerPage; emptyPages < maxEmptyPages || page*batchesPerPage <= known; page++ {
		batches, err := r.readPage(ctx, writer, page)
		if err != nil {
			return err
		}
		emptyPages++
		for _, batch := range batches {
			emptyPages = 0
			if batch.misnamed == nil && batch.Sequence < from {
				continue
			}
			if err := each(batch); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Reader) readPage(ctx context.Context, writer string, page uint64) ([]StoredBatch, error) {
	key := record.BatchKey(writer, page*batchesPerPage)
	objects, err := r.list(ctx, key[:len(key)-1])
	if err != nil {
		return nil, err
	}
	batches := make([]StoredBatch, 0, len(objects))
	for _, object := range objects {
		sequence, err := strconv.ParseUint(lastElement(object.Key), 10, 64)
		if err != nil {
			err = &record.FormatError{Reason: string(object.Key), Cause: err}
		}
		batches = append(batches, StoredBatch{Sequence: sequence, Object: object, misnamed: err})
	}
	return batches, nil
}

// readIndexes returns the index objects of a chain in order.
func (r *Reader) readIndexes(ctx context.Context, chain *Chain) ([]*record.Index, error) {
	var indexes []*record.Index
	number := uint64(0)
	if chain.Checkpoint != nil {
		number = chain.Checkpoint.FirstIndex
	}
	for ; ; number++ {
		object, err := r.get(ctx, record.IndexKey(chain.Name, number))
		var missing *usher.NotFoundError
		if errors.As(err, &missing) {
			return indexes, nil
		}
		if err != nil {
			return nil, err
		}
		index, err := record.DecodeIndex(object.Value)
		if err != nil {
			return nil, err
		}
		indexes = append(indexes, index)
	}
}

func (r *Reader) get(ctx context.Context, key usher.ObjectKey) (object usher.Object, err error) {
	err = r.callWithRetry(ctx, func() error {
		object, err = r.store.Get(ctx, key)
		return err
	})
	return object, err
}

func (r *Reader) list(ctx context.Context, prefix usher.ObjectKey) (objects []usher.Object, err error) {
	err = r.callWithRetry(ctx, func() error {
		objects, _, err = r.store.List(ctx, prefix)
		return err
	})
	return objects, err
}

// callWithRetry makes a store call within the rate limit. If the store is
// unavailable, it retries with exponential backoff.
func (r *Reader) callWithRetry(ctx context.Context, call func() error) error {
	for attempt := 0; ; attempt++ {
		if err := r.limiter.Wait(ctx); err != nil {
			return err
		}
		err := call()
		var unavailable *usher.UnavailableError
		if !errors.As(err, &unavailable) || attempt == maxRetries {
			return err
		}
		timer := time.NewTimer(initialRetryDelay << attempt)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}
