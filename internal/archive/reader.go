// Package archive reads the record that package record has written: it finds
// decisions, verifies the chains, exports them, and lets old batches expire.
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
	// pageSize is how many batches one list returns: all whose numbers differ
	// in the last digit only. A page is at most ten megabytes.
	pageSize = 10
	// probedPages is how many empty pages are read before a chain is taken for
	// ended. An index object lists 50 batches, so a batch that no index tells
	// of is at most that far behind the last one.
	probedPages = 6
	// retries and retryDelay get a reader over a store that is over its budget
	// for a moment.
	retries    = 6
	retryDelay = 100 * time.Millisecond
)

// firstMonth is older than any record.
var firstMonth = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Reader reads the record of one store.
type Reader struct {
	store usher.Store
	pace  *rate.Limiter
}

// NewReader returns a reader that reads as fast as the store answers.
func NewReader(store usher.Store) *Reader { return NewPacedReader(store, rate.Inf) }

// NewPacedReader returns a reader that leaves the rest of the store's reads to
// the processes that serve callers.
func NewPacedReader(store usher.Store, callsPerSecond rate.Limit) *Reader {
	return &Reader{store: store, pace: rate.NewLimiter(callsPerSecond, readersAtOnce)}
}

// Chain is a writer with what is known of its expired batches.
type Chain struct {
	record.Writer
	Checkpoint *record.Checkpoint
	// checkpointVersion is the version of the checkpoint's object.
	checkpointVersion usher.Version
}

// first returns the number of the first batch that should be there.
func (c *Chain) first() uint64 {
	if c.Checkpoint == nil {
		return 0
	}
	return c.Checkpoint.Through + 1
}

// previous returns the digest before the first batch that should be there.
func (c *Chain) previous() usher.Digest {
	if c.Checkpoint == nil {
		return record.Genesis(c.Name)
	}
	return c.Checkpoint.Digest
}

// StoredBatch is a batch as the store has it.
type StoredBatch struct {
	Sequence uint64
	Object   usher.Object
}

// Chains returns every chain that was begun up to until, by its name. A chain
// with a checkpoint and without a Writer has expired as a whole.
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
	objects, err := r.list(ctx, usher.ObjectKey(record.WriterMonth(month)))
	if err != nil {
		return err
	}
	for _, object := range objects {
		chain := &Chain{}
		if err := json.Unmarshal(object.Value, &chain.Writer); err != nil {
			return &record.FormatError{Reason: string(object.Key), Cause: err}
		}
		chains[lastPart(object.Key)] = chain
	}
	return nil
}

func (r *Reader) addCheckpoints(ctx context.Context, month time.Time, chains map[string]*Chain) error {
	objects, err := r.list(ctx, usher.ObjectKey(record.CheckpointMonth(month)))
	if err != nil {
		return err
	}
	for _, object := range objects {
		checkpoint := &record.Checkpoint{}
		if err := json.Unmarshal(object.Value, checkpoint); err != nil {
			return &record.FormatError{Reason: string(object.Key), Cause: err}
		}
		name := lastPart(object.Key)
		if chains[name] == nil {
			chains[name] = &Chain{Writer: record.Writer{Name: name, Started: checkpoint.Started}}
		}
		chains[name].Checkpoint, chains[name].checkpointVersion = checkpoint, object.Version
	}
	return nil
}

func lastPart(key usher.ObjectKey) string {
	return string(key[strings.LastIndexByte(string(key), '/')+1:])
}

// Batches calls each for the batches of a chain from number from on, in order,
// as far as any are found or known tells that there should be some.
func (r *Reader) Batches(ctx context.Context, writer string, from, known uint64, each func(StoredBatch) error) error {
	empty := 0
	for page := from / pageSize; empty < probedPages || page*pageSize <= known; page++ {
		batches, err := r.page(ctx, writer, page)
		if err != nil {
			return err
		}
		empty++
		for _, batch := range batches {
			empty = 0
			if batch.Sequence < from {
				continue
			}
			if err := each(batch); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Reader) page(ctx context.Context, writer string, page uint64) ([]StoredBatch, error) {
	key := record.BatchKey(writer, page*pageSize)
	objects, err := r.list(ctx, key[:len(key)-1])
	if err != nil {
		return nil, err
	}
	batches := make([]StoredBatch, 0, len(objects))
	for _, object := range objects {
		sequence, err := strconv.ParseUint(lastPart(object.Key), 10, 64)
		if err != nil {
			return nil, &record.FormatError{Reason: string(object.Key), Cause: err}
		}
		batches = append(batches, StoredBatch{Sequence: sequence, Object: object})
	}
	return batches, nil
}

// indexes returns the index objects of a chain in order.
func (r *Reader) indexes(ctx context.Context, chain *Chain) ([]*record.Index, error) {
	var found []*record.Index
	number := uint64(0)
	if chain.Checkpoint != nil {
		number = chain.Checkpoint.FirstIndex
	}
	for ; ; number++ {
		object, err := r.get(ctx, record.IndexKey(chain.Name, number))
		var missing *usher.NotFoundError
		if errors.As(err, &missing) {
			return found, nil
		}
		if err != nil {
			return nil, err
		}
		index, err := record.OpenIndex(object.Value)
		if err != nil {
			return nil, err
		}
		found = append(found, index)
	}
}

func (r *Reader) get(ctx context.Context, key usher.ObjectKey) (object usher.Object, err error) {
	err = r.again(ctx, func() error {
		object, err = r.store.Get(ctx, key)
		return err
	})
	return object, err
}

func (r *Reader) list(ctx context.Context, prefix usher.ObjectKey) (objects []usher.Object, err error) {
	err = r.again(ctx, func() error {
		objects, _, err = r.store.List(ctx, prefix)
		return err
	})
	return objects, err
}

// again makes a call at the pace of the reader, and repeats one that the store
// did not serve, with growing pauses.
func (r *Reader) again(ctx context.Context, call func() error) error {
	for attempt := 0; ; attempt++ {
		if err := r.pace.Wait(ctx); err != nil {
			return err
		}
		err := call()
		var unavailable *usher.UnavailableError
		if !errors.As(err, &unavailable) || attempt == retries {
			return err
		}
		timer := time.NewTimer(retryDelay << attempt)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}
