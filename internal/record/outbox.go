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

// outbox is the chain of one writer: the open batch, the sealed batches that
// are not stored yet, and the index of those that are. Lines become a sealed
// batch long before the store may be up again, because sealed lines take a
// fifth of the memory of open ones.
type outbox struct {
	store  usher.Store
	writer string
	role   Role

	// bytes counts open lines, sealed batches and their items.
	bytes atomic.Int64

	mu       sync.Mutex
	open     *openBatch
	next     uint64
	previous usher.Digest
	backlog  []*sealedBatch
	head     wire.RecordHead
	counts   map[usher.RefusalKind]int64

	// What follows is used by the one goroutine that stores.
	announced bool
	started   time.Time
	index     Index
	indexSize int
}

// item is a line in a batch whose copies have to be released once it is
// stored.
type item struct {
	id usher.RequestID
	at []usher.EndpointName
}

// itemBytes is what an item costs besides the id, in bytes.
const itemBytes = 64

// openBatch gathers lines.
type openBatch struct {
	lines       []byte
	items       []item
	first, last time.Time
	terms       terms
	// stored is closed when the lines are stored.
	stored chan struct{}
}

// sealedBatch is a batch that will not change any more.
type sealedBatch struct {
	wire.SealedBatch
	header Header
	digest usher.Digest
	index  IndexedBatch
	items  []item
	// holder is the companion that holds a copy of the sealed batch.
	holder usher.EndpointName
	stored chan struct{}
}

func newOutbox(store usher.Store, writer string, role Role) *outbox {
	return &outbox{
		store: store, writer: writer, role: role, started: time.Now(),
		open: newOpenBatch(), previous: Genesis(writer), counts: make(map[usher.RefusalKind]int64),
		index: Index{Writer: writer},
	}
}

func newOpenBatch() *openBatch {
	return &openBatch{terms: make(terms), stored: make(chan struct{})}
}

// add puts a decision into the open batch. It returns a channel that is closed
// when the decision is stored, and whether the batch should be sealed now.
func (o *outbox) add(decision *usher.Decision, at []usher.EndpointName) (<-chan struct{}, bool) {
	line := encodeLine(decision)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.open.lines)+len(line) > maxRaw {
		o.seal(nil, false)
	}
	open := o.open
	if open.first.IsZero() || decision.Time.Before(open.first) {
		open.first = decision.Time
	}
	if decision.Time.After(open.last) {
		open.last = decision.Time
	}
	open.lines = append(open.lines, line...)
	open.items = append(open.items, item{id: decision.ID, at: at})
	open.terms.add(decision)
	o.bytes.Add(int64(len(line) + len(decision.ID) + itemBytes))
	return open.stored, len(open.lines) > maxRaw*3/4
}

// count counts a refusal that has no line.
func (o *outbox) count(kind usher.RefusalKind) {
	o.mu.Lock()
	o.counts[kind]++
	o.mu.Unlock()
}

// Seal ends the open batch, if it has anything to tell.
func (o *outbox) Seal(seen []wire.RecordHead, closed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.open.items) > 0 || len(o.counts) > 0 || (closed && o.next > 0) {
		o.seal(seen, closed)
	}
}

// seal needs the lock.
func (o *outbox) seal(seen []wire.RecordHead, closed bool) {
	open := o.open
	now := time.Now()
	if open.first.IsZero() {
		open.first, open.last = now, now
	}
	batch := &sealedBatch{items: open.items, stored: open.stored, header: Header{
		Format: FormatName, Version: FormatVersion, Writer: o.writer, Role: o.role,
		Sequence: o.next, Previous: o.previous, Sealed: now.UTC(), First: open.first.UTC(), Last: open.last.UTC(),
		Lines: len(open.items), Closed: closed, Seen: seen, Counts: o.counts,
	}}
	batch.Key = BatchKey(o.writer, o.next)
	batch.Value = encodeBatch(&batch.header, open.lines)
	batch.digest = usher.DigestOf(batch.Value)
	batch.index = indexed(&batch.header, open.terms)
	o.backlog = append(o.backlog, batch)
	o.bytes.Add(int64(len(batch.Value) + len(batch.index.Terms) - len(open.lines)))
	o.next++
	o.previous = batch.digest
	o.open = newOpenBatch()
	o.counts = make(map[usher.RefusalKind]int64)
}

// oldest returns the first batch that is not stored, or nil.
func (o *outbox) oldest() *sealedBatch {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.backlog) == 0 {
		return nil
	}
	return o.backlog[0]
}

// unstored returns the batches that are not stored.
func (o *outbox) unstored() []*sealedBatch {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]*sealedBatch(nil), o.backlog...)
}

// Drain stores the sealed batches in order, calling done for each, and pauses
// for gap between two writes. It stops at the first failure, and after limit,
// because whoever calls it has other things to do as well.
func (o *outbox) Drain(ctx context.Context, gap, limit time.Duration, done func(*sealedBatch, error)) error {
	started := time.Now()
	for batch, wait := o.oldest(), time.Duration(0); batch != nil; batch, wait = o.oldest(), gap {
		pause.For(ctx, wait)
		if time.Since(started) >= limit || ctx.Err() != nil {
			return ctx.Err()
		}
		if err := o.announce(ctx); err != nil {
			return err
		}
		err := storeBatch(ctx, o.store, batch.Key, batch.Value)
		var displaced *DisplacedError
		if err != nil && !errors.As(err, &displaced) {
			return err
		}
		o.storedOldest(batch)
		done(batch, err)
	}
	return o.storeIndex(ctx, false)
}

// announce stores the object by which readers find the chain.
func (o *outbox) announce(ctx context.Context) error {
	if o.announced {
		return nil
	}
	announcement := o.announcement()
	err := storeOnce(ctx, o.store, announcement.Key, announcement.Value)
	var displaced *DisplacedError
	if err != nil && !errors.As(err, &displaced) {
		return err
	}
	o.announced = true
	return nil
}

// announcement is the object by which readers find the chain.
func (o *outbox) announcement() wire.SealedBatch {
	return wire.SealedBatch{
		Key: WriterKey(o.writer, o.started),
		Value: encodeJSON(Writer{
			Format: FormatName, Version: FormatVersion, Name: o.writer, Role: o.role, Started: o.started.UTC(),
		}),
	}
}

func (o *outbox) storedOldest(batch *sealedBatch) {
	size := len(batch.Value) + len(batch.index.Terms)
	for _, one := range batch.items {
		size += len(one.id) + itemBytes
	}
	o.mu.Lock()
	o.backlog[0] = nil
	o.backlog = o.backlog[1:]
	o.head = wire.RecordHead{Writer: o.writer, Sequence: batch.header.Sequence, Digest: batch.digest}
	o.mu.Unlock()
	o.bytes.Add(-int64(size))
	o.index.Batches = append(o.index.Batches, batch.index)
	o.indexSize += len(batch.index.Terms)
	close(batch.stored)
}

// storeIndex stores the index when it is full, or at the end of the chain. An
// index that could not be stored is tried again after the next batch.
func (o *outbox) storeIndex(ctx context.Context, last bool) error {
	full := len(o.index.Batches) >= indexBatches || o.indexSize >= indexBytes
	if len(o.index.Batches) == 0 || (!full && !last) {
		return nil
	}
	err := storeOnce(ctx, o.store, IndexKey(o.writer, o.index.Number), EncodeIndex(&o.index))
	var displaced *DisplacedError
	if err != nil && !errors.As(err, &displaced) {
		return err
	}
	o.index = Index{Writer: o.writer, Number: o.index.Number + 1}
	o.indexSize = 0
	return nil
}

// drop forgets the items of a batch whose sealed copy is held elsewhere.
func (o *outbox) drop(batch *sealedBatch) []item {
	o.mu.Lock()
	items := batch.items
	batch.items = nil
	o.mu.Unlock()
	size := 0
	for _, one := range items {
		size += len(one.id) + itemBytes
	}
	o.bytes.Add(-int64(size))
	return items
}

// holderOf returns the companion that holds a copy of a sealed batch.
func (o *outbox) holderOf(batch *sealedBatch) usher.EndpointName {
	o.mu.Lock()
	defer o.mu.Unlock()
	return batch.holder
}

// setHolder changes the holder of a sealed batch from one to another.
func (o *outbox) setHolder(batch *sealedBatch, from, to usher.EndpointName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if batch.holder == from {
		batch.holder = to
	}
}

func (o *outbox) storedHead() wire.RecordHead {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.head
}
