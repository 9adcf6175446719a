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

// BreakKind is the kind of a break, as printed in reports.
type BreakKind string

// The kinds of breaks, described in docs/record-format.md.
const (
	// BreakGap is a gap: batches are missing between others of the chain.
	BreakGap BreakKind = "gap"
	// BreakEdited is a batch whose digest differs from the one in the next batch or
	// in a batch of another writer.
	BreakEdited BreakKind = "edited"
	// BreakMisplaced is a batch stored under the key of another batch, or an object among
	// the batches whose name has no number.
	BreakMisplaced BreakKind = "misplaced"
	// BreakUnreadable is an object that is not a batch of a known format, or an announcement
	// or a checkpoint that can't be decoded.
	BreakUnreadable BreakKind = "unreadable"
	// BreakCutOff is a chain that ends before a batch that another writer has
	// countersigned or an index lists.
	BreakCutOff BreakKind = "cutOff"
	// BreakChainMissing is a missing chain that another writer has countersigned.
	BreakChainMissing BreakKind = "chainMissing"
	// BreakContinued is a chain with batches after the one that closed it.
	BreakContinued BreakKind = "continued"
	// BreakDisplaced is a batch whose key was already occupied by another value when
	// it was stored.
	BreakDisplaced BreakKind = "displaced"
	// BreakIndex is an index that does not match the batches or is unreadable.
	BreakIndex BreakKind = "index"
	// BreakExpiry is a checkpoint that expired batches before the retention was over.
	BreakExpiry BreakKind = "expiry"
)

// Break is a place in the record that differs from what its writers stored.
type Break struct {
	Writer   string    `json:"writer"`
	Sequence uint64    `json:"sequence"`
	Kind     BreakKind `json:"kind"`
	Detail   string    `json:"detail"`
}

// UnrecordedRequests is the number of request IDs of an entry that have no line.
// Either the lines were lost because two processes crashed, or the requests were
// never answered or are still in flight.
type UnrecordedRequests struct {
	Entry   string `json:"entry"`
	Highest uint64 `json:"highest"`
	Missing uint64 `json:"missing"`
	// Closed is set if the entry shut down cleanly, so none of its requests is in
	// flight.
	Closed bool `json:"closed"`
}

// Report is the result of a verification.
type Report struct {
	Chains  int `json:"chains"`
	Batches int `json:"batches"`
	Lines   int `json:"lines"`
	// OpenChains lists the chains that no clean shutdown has closed: their writer is
	// running or has crashed. The end of such a chain is verifiable only up to the
	// newest batch that another writer has countersigned.
	OpenChains []string             `json:"open,omitempty"`
	Unrecorded []UnrecordedRequests `json:"unrecorded,omitempty"`
	Breaks     []Break              `json:"breaks,omitempty"`
	// Heads are the last batches of the chains. Copies kept outside the store can be
	// given to a later Verify to detect changes up to these batches.
	Heads []wire.RecordHead `json:"heads,omitempty"`
}

// BatchError is returned for a batch that can't be decoded.
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

// verification is the state of a running verification.
type verification struct {
	*Reader
	chains map[string]*Chain

	mu     sync.Mutex
	report Report
	// digests are the digests of the batches read, by writer and sequence number.
	digests           map[string]map[uint64]usher.Digest
	heads             map[string]wire.RecordHead
	countersignatures []countersignature
	numbers           map[string]*requestNumbers
}

// countersignature is the head of a chain as recorded by another batch or by an
// anchor, and a description of which one.
type countersignature struct {
	wire.RecordHead
	source string
}

// Verify checks the integrity of the whole record. anchors are heads of earlier
// reports that were kept outside the store.
func (r *Reader) Verify(ctx context.Context, anchors []wire.RecordHead) (*Report, error) {
	chains, err := r.Chains(ctx, time.Now())
	if err != nil {
		return nil, err
	}
	v := &verification{
		Reader: r, chains: chains, digests: make(map[string]map[uint64]usher.Digest),
		heads: make(map[string]wire.RecordHead), numbers: make(map[string]*requestNumbers),
	}
	for _, anchor := range anchors {
		v.countersignatures = append(v.countersignatures, countersignature{RecordHead: anchor, source: "an anchor"})
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentChains)
	for _, chain := range chains {
		group.Go(func() error { return v.checkChain(groupCtx, chain) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	if err := v.reportDisplaced(ctx); err != nil {
		return nil, err
	}
	if err := v.checkCountersignatures(ctx); err != nil {
		return nil, err
	}
	v.addUnrecorded()
	v.sortReport()
	return &v.report, nil
}

func (v *verification) addBreak(writer string, sequence uint64, kind BreakKind, detail string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.report.Breaks = append(v.report.Breaks, Break{Writer: writer, Sequence: sequence, Kind: kind, Detail: detail})
}

// chainCheck is the state of the verification of one chain.
type chainCheck struct {
	chain    *Chain
	expected uint64
	previous usher.Digest
	closed   bool
	indexed  map[uint64]record.IndexedBatch
	// last is the sequence number of the last batch read, if hasLast is set.
	hasLast bool
	last    uint64
}

func (v *verification) checkChain(ctx context.Context, chain *Chain) error {
	c := &chainCheck{chain: chain, expected: chain.firstSequence(), previous: chain.previousDigest(), indexed: make(map[uint64]record.IndexedBatch)}
	c.closed = chain.Checkpoint != nil && chain.Checkpoint.Closed
	for _, err := range chain.damage {
		v.addBreak(chain.Name, 0, BreakUnreadable, err.Error())
	}
	v.checkExpiry(chain)
	known := c.expected
	indexes, err := v.readIndexes(ctx, chain)
	if isUnreadable(err) {
		v.addBreak(chain.Name, 0, BreakIndex, err.Error())
	} else if err != nil {
		return err
	}
	for _, index := range indexes {
		for _, batch := range index.Batches {
			c.indexed[batch.Sequence] = batch
			known = max(known, batch.Sequence)
		}
	}
	err = v.ForEachBatch(ctx, chain.Name, c.expected, known, func(batch StoredBatch) error {
		v.checkBatch(c, batch)
		return nil
	})
	v.finishChain(c, known)
	return err
}

func (v *verification) checkExpiry(chain *Chain) {
	checkpoint := chain.Checkpoint
	if checkpoint == nil || checkpoint.Expired.Sub(checkpoint.Newest) >= time.Duration(checkpoint.Retention) {
		return
	}
	v.addBreak(chain.Name, checkpoint.Through, BreakExpiry, "expired after "+checkpoint.Expired.Sub(checkpoint.Newest).String()+", the retention was "+time.Duration(checkpoint.Retention).String())
}

// checkBatch checks one batch against the one before it.
func (v *verification) checkBatch(c *chainCheck, stored StoredBatch) {
	name := c.chain.Name
	if stored.misnamed != nil {
		v.addBreak(name, c.expected, BreakMisplaced, stored.misnamed.Error())
		return
	}
	if c.closed {
		v.addBreak(name, stored.Sequence, BreakContinued, "the chain was closed before this batch")
		c.closed = false
	}
	if stored.Sequence > c.expected {
		v.addBreak(name, c.expected, BreakGap, fmt.Sprintf("%d batches before %d are missing", stored.Sequence-c.expected, stored.Sequence))
		c.previous = ""
	}
	digest := usher.DigestOf(stored.Object.Value)
	batch, err := record.Decode(stored.Object.Value)
	switch {
	case err != nil:
		v.addBreak(name, stored.Sequence, BreakUnreadable, err.Error())
	case batch.Writer != name || batch.Sequence != stored.Sequence:
		v.addBreak(name, stored.Sequence, BreakMisplaced, fmt.Sprintf("it was sealed as batch %d of %s", batch.Sequence, batch.Writer))
	case c.previous != "" && batch.Previous != c.previous:
		v.addBreak(name, stored.Sequence, BreakEdited, "it does not follow the batch before it: one of the two was changed")
	}
	if err == nil {
		v.checkIndex(c, batch)
		c.closed = batch.Closed
	}
	v.addBatch(name, stored.Sequence, digest, batch)
	c.expected, c.previous = stored.Sequence+1, digest
	c.hasLast, c.last = true, stored.Sequence
}

func (v *verification) checkIndex(c *chainCheck, batch *record.Batch) {
	indexed, ok := c.indexed[batch.Sequence]
	if !ok {
		return
	}
	expected := record.IndexBatch(&batch.Header, batch.Decisions)
	if string(expected.Terms) != string(indexed.Terms) || expected.Lines != indexed.Lines ||
		!expected.First.Equal(indexed.First) || !expected.Last.Equal(indexed.Last) {
		v.addBreak(c.chain.Name, batch.Sequence, BreakIndex, "the index does not match the batch")
	}
}

// addBatch adds the contents of a batch to the report and the counts.
func (v *verification) addBatch(writer string, sequence uint64, digest usher.Digest, batch *record.Batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.report.Batches++
	if v.digests[writer] == nil {
		v.digests[writer] = make(map[uint64]usher.Digest)
	}
	v.digests[writer][sequence] = digest
	v.heads[writer] = wire.RecordHead{Writer: writer, Sequence: sequence, Digest: digest}
	if batch == nil {
		return
	}
	v.report.Lines += len(batch.Decisions)
	for _, head := range batch.Seen {
		v.countersignatures = append(v.countersignatures, countersignature{RecordHead: head, source: fmt.Sprintf("batch %d of %s", sequence, writer)})
	}
	for i := range batch.Decisions {
		v.addRequest(batch.Decisions[i].ID)
	}
	v.numbersOf(writer).countedOnly += uint64(batch.Counts[usher.RefusalRecordFull])
}

// finishChain checks and reports the end of a chain.
func (v *verification) finishChain(c *chainCheck, known uint64) {
	if len(c.indexed) > 0 && c.expected <= known {
		v.addBreak(c.chain.Name, c.expected, BreakCutOff, fmt.Sprintf("the index lists batches up to %d", known))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.report.Chains++
	v.numbersOf(c.chain.Name).closed = c.closed
	if c.chain.Checkpoint != nil {
		v.numbersOf(c.chain.Name).countedOnly += uint64(c.chain.Checkpoint.Lines)
	}
	if !c.closed {
		v.report.OpenChains = append(v.report.OpenChains, c.chain.Name)
	}
}

// reportDisplaced reports batches whose key was occupied by another value.
func (v *verification) reportDisplaced(ctx context.Context) error {
	objects, err := v.list(ctx, record.PrefixDisplaced)
	for _, object := range objects {
		v.addBreak(string(object.Key), 0, BreakDisplaced, "the key of this batch already held another value when it was stored")
	}
	return err
}

// checkCountersignatures checks the countersignatures and the anchors against the
// batches.
func (v *verification) checkCountersignatures(ctx context.Context) error {
	for _, signature := range v.countersignatures {
		chain := v.chains[signature.Writer]
		if chain != nil && chain.Checkpoint != nil && signature.Sequence <= chain.Checkpoint.Through {
			if signature.Sequence == chain.Checkpoint.Through && signature.Digest != chain.Checkpoint.Digest {
				v.addBreak(signature.Writer, signature.Sequence, BreakEdited, signature.source+" refers to another batch than the one that expired")
			}
			continue
		}
		digest, err := v.batchDigest(ctx, signature.RecordHead)
		switch {
		case err != nil:
			return err
		case digest == signature.Digest:
		case digest != "":
			v.addBreak(signature.Writer, signature.Sequence, BreakEdited, signature.source+" refers to another batch here")
		case chain == nil:
			v.addBreak(signature.Writer, signature.Sequence, BreakChainMissing, signature.source+" refers to this chain")
		case len(v.digests[signature.Writer]) == 0 || signature.Sequence > v.heads[signature.Writer].Sequence:
			v.addBreak(signature.Writer, signature.Sequence, BreakCutOff, signature.source+" refers to this batch")
		}
	}
	return nil
}

// batchDigest returns the digest of a countersigned batch, or "" if the batch does
// not exist. A batch that was stored after its chain had been read is read now.
func (v *verification) batchDigest(ctx context.Context, head wire.RecordHead) (usher.Digest, error) {
	if digest, ok := v.digests[head.Writer][head.Sequence]; ok {
		return digest, nil
	}
	object, err := v.get(ctx, record.BatchKey(head.Writer, head.Sequence))
	var missing *usher.NotFoundError
	if errors.As(err, &missing) {
		return "", nil
	}
	if isUnreadable(err) {
		// It is another value than the one that was countersigned.
		return usher.DigestOf(nil), nil
	}
	return usher.DigestOf(object.Value), err
}

func (v *verification) sortReport() {
	report := &v.report
	sort.Strings(report.OpenChains)
	for _, head := range v.heads {
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
