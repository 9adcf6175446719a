package archive

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertusher/internal/record"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// BreakKind is what is wrong at a place of the record.
type BreakKind string

// The kinds of breaks.
const (
	// BreakGap batches are missing between others.
	BreakGap BreakKind = "gap"
	// BreakEdited batches are not what the next batch, or the batch of another
	// writer, says that they were.
	BreakEdited BreakKind = "edited"
	// BreakMisplaced batches stand under another key than they were sealed for.
	BreakMisplaced BreakKind = "misplaced"
	// BreakUnreadable values are no batches of a known format.
	BreakUnreadable BreakKind = "unreadable"
	// BreakCutOff chains end before a batch that another writer has seen.
	BreakCutOff BreakKind = "cutOff"
	// BreakMissing chains are gone as a whole, but another writer has seen them.
	BreakMissing BreakKind = "chainMissing"
	// BreakContinued chains go on after the mark of their end.
	BreakContinued BreakKind = "continued"
	// BreakDisplaced batches found their key taken by something else.
	BreakDisplaced BreakKind = "displaced"
	// BreakIndex is an index that does not tell what is in the batches.
	BreakIndex BreakKind = "index"
	// BreakExpiry is an expiry of batches that were younger than the retention.
	BreakExpiry BreakKind = "expiry"
)

// Break is a place where the record is not what its writers stored.
type Break struct {
	Writer   string    `json:"writer"`
	Sequence uint64    `json:"sequence"`
	Kind     BreakKind `json:"kind"`
	Detail   string    `json:"detail"`
}

// Unrecorded tells how many request ids of an entry have no line. They were
// lost with two processes, or were never answered, or are in flight.
type Unrecorded struct {
	Entry   string `json:"entry"`
	Highest uint64 `json:"highest"`
	Missing uint64 `json:"missing"`
	// Closed entries stopped as planned: nothing of theirs is in flight.
	Closed bool `json:"closed"`
}

// Report is the result of a verification.
type Report struct {
	Chains  int `json:"chains"`
	Batches int `json:"batches"`
	Lines   int `json:"lines"`
	// Open lists chains without the mark of a planned stop: their writer runs
	// or died. The end of such a chain is vouched for as far as Countersigned
	// chains go.
	Open       []string     `json:"open,omitempty"`
	Unrecorded []Unrecorded `json:"unrecorded,omitempty"`
	Breaks     []Break      `json:"breaks,omitempty"`
	// Heads are the ends of the chains. Kept elsewhere, they show later whether
	// anything up to them was changed.
	Heads []wire.RecordHead `json:"heads,omitempty"`
}

// BatchError is returned for a batch that can't be read.
type BatchError struct {
	Writer   string
	Sequence uint64
	Cause    error
}

// Error implements error.
func (e *BatchError) Error() string {
	return fmt.Sprintf("batch %d of writer %s: %v", e.Sequence, e.Writer, e.Cause)
}

// Unwrap returns the cause.
func (e *BatchError) Unwrap() error { return e.Cause }

// verification is one verification under way.
type verification struct {
	*Reader
	chains map[string]*Chain

	mu     sync.Mutex
	report Report
	// digests holds the digest of each batch that was read, by writer.
	digests map[string]map[uint64]usher.Digest
	last    map[string]wire.RecordHead
	seen    []countersigned
	lines   map[string]*counters
}

// countersigned is a batch that another batch names.
type countersigned struct {
	wire.RecordHead
	by string
}

// Verify reads the whole record. anchors are heads that were kept elsewhere.
func (r *Reader) Verify(ctx context.Context, anchors []wire.RecordHead) (*Report, error) {
	chains, err := r.Chains(ctx, time.Now())
	if err != nil {
		return nil, err
	}
	v := &verification{
		Reader: r, chains: chains, digests: make(map[string]map[uint64]usher.Digest),
		last: make(map[string]wire.RecordHead), lines: make(map[string]*counters),
	}
	for _, anchor := range anchors {
		v.seen = append(v.seen, countersigned{RecordHead: anchor, by: "the given anchors"})
	}
	group, limited := errgroup.WithContext(ctx)
	group.SetLimit(readersAtOnce)
	for _, chain := range chains {
		group.Go(func() error { return v.chain(limited, chain) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	if err := v.displaced(ctx); err != nil {
		return nil, err
	}
	if err := v.compareSeen(ctx); err != nil {
		return nil, err
	}
	v.count()
	v.sort()
	return &v.report, nil
}

func (v *verification) fail(writer string, sequence uint64, kind BreakKind, detail string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.report.Breaks = append(v.report.Breaks, Break{Writer: writer, Sequence: sequence, Kind: kind, Detail: detail})
}

// walk is the state of reading one chain.
type walk struct {
	chain    *Chain
	expected uint64
	previous usher.Digest
	closed   bool
	indexed  map[uint64]record.IndexedBatch
	// last is the number of the last batch that was read, when any was.
	any  bool
	last uint64
}

func (v *verification) chain(ctx context.Context, chain *Chain) error {
	w := &walk{chain: chain, expected: chain.first(), previous: chain.previous(), indexed: make(map[uint64]record.IndexedBatch)}
	w.closed = chain.Checkpoint != nil && chain.Checkpoint.Closed
	v.checkExpiry(chain)
	known := w.expected
	indexes, err := v.indexes(ctx, chain)
	if unreadable(err) {
		v.fail(chain.Name, 0, BreakIndex, err.Error())
	} else if err != nil {
		return err
	}
	for _, index := range indexes {
		for _, batch := range index.Batches {
			w.indexed[batch.Sequence] = batch
			known = max(known, batch.Sequence)
		}
	}
	err = v.Batches(ctx, chain.Name, w.expected, known, func(batch StoredBatch) error {
		v.batch(w, batch)
		return nil
	})
	v.end(w, known)
	return err
}

func unreadable(err error) bool {
	var format *record.FormatError
	var version *record.VersionError
	return errors.As(err, &format) || errors.As(err, &version)
}

func (v *verification) checkExpiry(chain *Chain) {
	c := chain.Checkpoint
	if c == nil || c.Expired.Sub(c.Newest) >= time.Duration(c.Retention) {
		return
	}
	v.fail(chain.Name, c.Through, BreakExpiry, "expired after "+c.Expired.Sub(c.Newest).String()+", the retention was "+time.Duration(c.Retention).String())
}

// batch checks one batch against the one before it.
func (v *verification) batch(w *walk, stored StoredBatch) {
	name := w.chain.Name
	if w.closed {
		v.fail(name, stored.Sequence, BreakContinued, "the chain was closed before this batch")
		w.closed = false
	}
	if stored.Sequence > w.expected {
		v.fail(name, w.expected, BreakGap, fmt.Sprintf("%d batches before %d are missing", stored.Sequence-w.expected, stored.Sequence))
		w.previous = ""
	}
	digest := usher.DigestOf(stored.Object.Value)
	batch, err := record.Open(stored.Object.Value)
	switch {
	case err != nil:
		v.fail(name, stored.Sequence, BreakUnreadable, err.Error())
	case batch.Writer != name || batch.Sequence != stored.Sequence:
		v.fail(name, stored.Sequence, BreakMisplaced, fmt.Sprintf("it was sealed as batch %d of %s", batch.Sequence, batch.Writer))
	case w.previous != "" && batch.Previous != w.previous:
		v.fail(name, stored.Sequence, BreakEdited, "it does not follow the batch before it: one of the two was changed")
	}
	if err == nil {
		v.compareIndex(w, batch)
		w.closed = batch.Closed
	}
	v.keep(name, stored.Sequence, digest, batch)
	w.expected, w.previous = stored.Sequence+1, digest
	w.any, w.last = true, stored.Sequence
}

func (v *verification) compareIndex(w *walk, batch *record.Batch) {
	indexed, ok := w.indexed[batch.Sequence]
	if !ok {
		return
	}
	rebuilt := record.IndexBatch(&batch.Header, batch.Decisions)
	if string(rebuilt.Terms) != string(indexed.Terms) || rebuilt.Lines != indexed.Lines ||
		!rebuilt.First.Equal(indexed.First) || !rebuilt.Last.Equal(indexed.Last) {
		v.fail(w.chain.Name, batch.Sequence, BreakIndex, "the index does not tell what is in the batch")
	}
}

// keep takes in what a batch says.
func (v *verification) keep(writer string, sequence uint64, digest usher.Digest, batch *record.Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.report.Batches++
	if v.digests[writer] == nil {
		v.digests[writer] = make(map[uint64]usher.Digest)
	}
	v.digests[writer][sequence] = digest
	v.last[writer] = wire.RecordHead{Writer: writer, Sequence: sequence, Digest: digest}
	if batch == nil {
		return
	}
	v.report.Lines += len(batch.Decisions)
	for _, head := range batch.Seen {
		v.seen = append(v.seen, countersigned{RecordHead: head, by: fmt.Sprintf("batch %d of %s", sequence, writer)})
	}
	for i := range batch.Decisions {
		v.number(batch.Decisions[i].ID)
	}
	v.counters(writer).counted += uint64(batch.Counts[usher.RefusalRecordFull])
}

// end takes in where a chain ended.
func (v *verification) end(w *walk, known uint64) {
	if len(w.indexed) > 0 && w.expected <= known {
		v.fail(w.chain.Name, w.expected, BreakCutOff, fmt.Sprintf("the index lists batches up to %d", known))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.report.Chains++
	v.counters(w.chain.Name).closed = w.closed
	if w.chain.Checkpoint != nil {
		v.counters(w.chain.Name).counted += uint64(w.chain.Checkpoint.Lines)
	}
	if !w.closed {
		v.report.Open = append(v.report.Open, w.chain.Name)
	}
}

// displaced reports batches whose key was taken by something else.
func (v *verification) displaced(ctx context.Context) error {
	objects, err := v.list(ctx, record.PrefixDisplaced)
	for _, object := range objects {
		v.fail(string(object.Key), 0, BreakDisplaced, "the key of this batch held something else when it was stored")
	}
	return err
}

// compareSeen checks what writers say of each other's batches.
func (v *verification) compareSeen(ctx context.Context) error {
	for _, seen := range v.seen {
		chain := v.chains[seen.Writer]
		if chain != nil && chain.Checkpoint != nil && seen.Sequence <= chain.Checkpoint.Through {
			if seen.Sequence == chain.Checkpoint.Through && seen.Digest != chain.Checkpoint.Digest {
				v.fail(seen.Writer, seen.Sequence, BreakEdited, seen.by+" has seen another batch than the one that expired")
			}
			continue
		}
		digest, err := v.digestOf(ctx, seen.RecordHead)
		switch {
		case err != nil:
			return err
		case digest == seen.Digest:
		case digest != "":
			v.fail(seen.Writer, seen.Sequence, BreakEdited, seen.by+" has seen another batch here")
		case chain == nil:
			v.fail(seen.Writer, seen.Sequence, BreakMissing, seen.by+" has seen this chain")
		case len(v.digests[seen.Writer]) == 0 || seen.Sequence > v.last[seen.Writer].Sequence:
			v.fail(seen.Writer, seen.Sequence, BreakCutOff, seen.by+" has seen this batch")
		}
	}
	return nil
}

// digestOf returns the digest of a batch that another one names, or "" when
// the batch is not there. One that was stored after its chain had been read is
// read now.
func (v *verification) digestOf(ctx context.Context, head wire.RecordHead) (usher.Digest, error) {
	if digest, ok := v.digests[head.Writer][head.Sequence]; ok {
		return digest, nil
	}
	object, err := v.get(ctx, record.BatchKey(head.Writer, head.Sequence))
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		return "", nil
	}
	return usher.DigestOf(object.Value), err
}

func (v *verification) sort() {
	report := &v.report
	sort.Strings(report.Open)
	for _, head := range v.last {
		report.Heads = append(report.Heads, head)
	}
	sort.Slice(report.Heads, func(i, j int) bool { return report.Heads[i].Writer < report.Heads[j].Writer })
	sort.Slice(report.Unrecorded, func(i, j int) bool { return report.Unrecorded[i].Entry < report.Unrecorded[j].Entry })
	sort.Slice(report.Breaks, func(i, j int) bool {
		a, b := report.Breaks[i], report.Breaks[j]
		if a.Writer != b.Writer {
			return a.Writer < b.Writer
		}
		return a.Sequence < b.Sequence
	})
}
