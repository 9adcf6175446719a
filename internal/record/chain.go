package record

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// chainWriter writes the hash chain of one writer. It has the open batch, the
// sealed batches that are not stored yet, and the index of the stored ones.
// Batches are sealed during an outage of the store too, because sealed lines,
// which are compressed, take a fifth of the memory of open ones.
type chainWriter struct {
	writer string
	role   Role

	// bytes is the memory of open lines, sealed batches and their line references.
	bytes atomic.Int64
	// rewritten is the number of objects that were stored again after the store lost them.
	rewritten atomic.Int64

	mu             sync.Mutex
	open           *openBatch
	nextSequence   uint64
	previousDigest usher.Digest
	unstored       []*sealedBatch
	newestStored   wire.RecordHead
	refusalCounts  map[usher.RefusalKind]int64

	// The fields below are used only by the goroutine that stores batches.
	objects    objectWriter
	announced  bool
	started    time.Time
	index      Index
	indexBytes int
}

// lineRef identifies a line of a batch and the endpoints whose companions hold
// copies of it, which are released once the batch is stored.
type lineRef struct {
	id      usher.RequestID
	holders []usher.EndpointName
}

// lineRefBytes is the estimated memory of a lineRef besides its ID.
const lineRefBytes = 64

// openBatch collects the lines of the next batch.
type openBatch struct {
	lines       []byte
	refs        []lineRef
	first, last time.Time
	terms       termSet
	// stored is closed when the batch is stored.
	stored chan struct{}
}

// sealedBatch is an encoded batch that no longer changes.
type sealedBatch struct {
	wire.SealedBatch
	header Header
	digest usher.Digest
	index  IndexedBatch
	refs   []lineRef
	// holder is the endpoint whose companion holds a copy of the sealed batch, or
	// empty.
	holder usher.EndpointName
	stored chan struct{}
}

func newChainWriter(store usher.Store, writer string, role Role) *chainWriter {
	return &chainWriter{
		objects: objectWriter{store: store}, writer: writer, role: role, started: time.Now(),
		open: newOpenBatch(), previousDigest: GenesisDigest(writer), refusalCounts: make(map[usher.RefusalKind]int64),
		index: Index{Writer: writer},
	}
}

func newOpenBatch() *openBatch {
	return &openBatch{terms: make(termSet), stored: make(chan struct{})}
}

// add appends a decision to the open batch, which is sealed first if it has no room.
// It returns a channel that is closed when the decision is stored, and whether the
// batch should be sealed now because it is more than three quarters full.
func (c *chainWriter) add(decision *usher.Decision, holders []usher.EndpointName) (<-chan struct{}, bool) {
	line := encodeLine(decision)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open.lines)+len(line) > maxBatchBytes {
		c.sealLocked(nil, false)
	}
	open := c.open
	if open.first.IsZero() || decision.Time.Before(open.first) {
		open.first = decision.Time
	}
	if decision.Time.After(open.last) {
		open.last = decision.Time
	}
	open.lines = append(open.lines, line...)
	open.refs = append(open.refs, lineRef{id: decision.ID, holders: holders})
	open.terms.add(decision)
	c.bytes.Add(int64(len(line) + len(decision.ID) + lineRefBytes))
	return open.stored, len(open.lines) > maxBatchBytes*3/4
}

// countRefusal counts a refusal that has no line of its own.
func (c *chainWriter) countRefusal(kind usher.RefusalKind) {
	c.mu.Lock()
	c.refusalCounts[kind]++
	c.mu.Unlock()
}

// Seal seals the open batch unless it is empty. With closed set, an empty batch is
// sealed too if the chain has batches, to mark the end of the chain.
func (c *chainWriter) Seal(seen []wire.RecordHead, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open.refs) > 0 || len(c.refusalCounts) > 0 || (closed && c.nextSequence > 0) {
		c.sealLocked(seen, closed)
	}
}

// sealLocked seals the open batch. The caller must hold c.mu.
func (c *chainWriter) sealLocked(seen []wire.RecordHead, closed bool) {
	open := c.open
	now := time.Now()
	if open.first.IsZero() {
		open.first, open.last = now, now
	}
	batch := &sealedBatch{refs: open.refs, stored: open.stored, header: Header{
		Format: FormatName, Version: FormatVersion, Writer: c.writer, Role: c.role,
		Sequence: c.nextSequence, Previous: c.previousDigest, Sealed: now.UTC(), First: open.first.UTC(), Last: open.last.UTC(),
		Lines: len(open.refs), Closed: closed, Seen: seen, Counts: c.refusalCounts,
	}}
	batch.Key = BatchKey(c.writer, c.nextSequence)
	batch.Value = encodeBatch(&batch.header, open.lines)
	batch.digest = usher.DigestOf(batch.Value)
	batch.index = newIndexedBatch(&batch.header, open.terms)
	c.unstored = append(c.unstored, batch)
	c.bytes.Add(int64(len(batch.Value) + len(batch.index.Terms) - len(open.lines)))
	c.nextSequence++
	c.previousDigest = batch.digest
	c.open = newOpenBatch()
	c.refusalCounts = make(map[usher.RefusalKind]int64)
}

// oldestUnstored returns the first sealed batch that is not stored, or nil.
func (c *chainWriter) oldestUnstored() *sealedBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unstored) == 0 {
		return nil
	}
	return c.unstored[0]
}

// unstoredBatches returns the sealed batches that are not stored.
func (c *chainWriter) unstoredBatches() []*sealedBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sealedBatch(nil), c.unstored...)
}

// Drain stores the sealed batches in order, calls onStored after each, and pauses
// for gap between two writes. If the store went back to an earlier state, it first
// stores what was lost again. It returns at the first failure, and without an
// error after timeout, because its caller has other work to do between batches.
func (c *chainWriter) Drain(ctx context.Context, gap, timeout time.Duration, onStored func(*sealedBatch, error)) error {
	started := time.Now()
	rewritten, err := c.objects.rewriteLost(ctx, gap)
	c.rewritten.Add(int64(rewritten))
	if err != nil {
		return err
	}
	for batch, wait := c.oldestUnstored(), time.Duration(0); batch != nil; batch, wait = c.oldestUnstored(), gap {
		pause.For(ctx, wait)
		if time.Since(started) >= timeout || ctx.Err() != nil {
			return ctx.Err()
		}
		if err := c.announce(ctx); err != nil {
			return err
		}
		err := c.objects.putBatch(ctx, batch.Key, batch.Value)
		var displaced *DisplacedError
		if err != nil && !errors.As(err, &displaced) {
			return err
		}
		c.completeOldest(batch)
		onStored(batch, err)
	}
	return c.storeIndex(ctx, false)
}

// announce stores the announcement of the chain unless it is stored already.
func (c *chainWriter) announce(ctx context.Context) error {
	if c.announced {
		return nil
	}
	announcement := c.announcement()
	if err := c.objects.put(ctx, announcement.Key, announcement.Value); err != nil {
		return err
	}
	c.announced = true
	return nil
}

// announcement returns the object by which readers find the chain.
func (c *chainWriter) announcement() wire.SealedBatch {
	return wire.SealedBatch{
		Key: WriterKey(c.writer, c.started),
		Value: encodeJSON(Writer{
			Format: FormatName, Version: FormatVersion, Name: c.writer, Role: c.role, Started: c.started.UTC(),
		}),
	}
}

func (c *chainWriter) completeOldest(batch *sealedBatch) {
	size := len(batch.Value) + len(batch.index.Terms)
	for _, ref := range batch.refs {
		size += len(ref.id) + lineRefBytes
	}
	c.mu.Lock()
	c.unstored[0] = nil
	c.unstored = c.unstored[1:]
	c.newestStored = wire.RecordHead{Writer: c.writer, Sequence: batch.header.Sequence, Digest: batch.digest}
	c.mu.Unlock()
	c.bytes.Add(-int64(size))
	c.index.Batches = append(c.index.Batches, batch.index)
	c.indexBytes += len(batch.index.Terms)
	close(batch.stored)
}

// storeIndex stores the index if it is full, or if last is set because the chain
// ends. An index that could not be stored is retried by the next Drain.
func (c *chainWriter) storeIndex(ctx context.Context, last bool) error {
	full := len(c.index.Batches) >= maxIndexBatches || c.indexBytes >= maxIndexBytes
	if len(c.index.Batches) == 0 || (!full && !last) {
		return nil
	}
	if err := c.objects.put(ctx, IndexKey(c.writer, c.index.Number), EncodeIndex(&c.index)); err != nil {
		return err
	}
	c.index = Index{Writer: c.writer, Number: c.index.Number + 1}
	c.indexBytes = 0
	return nil
}

// dropLineRefs removes and returns the line references of a batch whose sealed copy
// a companion holds.
func (c *chainWriter) dropLineRefs(batch *sealedBatch) []lineRef {
	c.mu.Lock()
	refs := batch.refs
	batch.refs = nil
	c.mu.Unlock()
	size := 0
	for _, ref := range refs {
		size += len(ref.id) + lineRefBytes
	}
	c.bytes.Add(-int64(size))
	return refs
}

// holderOf returns the endpoint whose companion holds a copy of a sealed batch, or
// an empty name.
func (c *chainWriter) holderOf(batch *sealedBatch) usher.EndpointName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return batch.holder
}

// setHolder replaces the holder of a sealed batch, if from is its holder.
func (c *chainWriter) setHolder(batch *sealedBatch, from, to usher.EndpointName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if batch.holder == from {
		batch.holder = to
	}
}

func (c *chainWriter) storedHead() wire.RecordHead {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestStored
}
