package journal

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/pkg/usher"
)

// defaultMaxHeadBytes is the default of Options.MaxHeadBytes. Every write sends the
// whole head, so it is kept small.
const defaultMaxHeadBytes = 8 << 10

// maxSendAttempts is how often one write is sent, and read back if the response
// does not tell whether it took effect, before the caller gets an error.
const maxSendAttempts = 3

// change is a record to write, a release of the slot, or, with neither, a check
// that the slot is still held. done is nil if no caller waits for it.
type change struct {
	record *Record
	// release clears the holder of the slot.
	release bool
	done    chan struct{}
	err     error
}

func (c *change) complete(err error) {
	if c.done == nil {
		return
	}
	c.err = err
	close(c.done)
	c.done = nil
}

// batch is one write of the head with the changes that it includes.
type batch struct {
	changes  []*change
	expected usher.Version
	value    head
	encoded  []byte
	// expiredSegments are segments that value no longer refers to. They are deleted
	// only after the write took effect, because a successor reads every segment that
	// the stored head refers to.
	expiredSegments []segmentRef
}

// submit queues a change and waits until it is written. The first caller that gets
// writeLock writes the changes of all waiting callers, so the number of writes is
// bounded by the rate limit and does not grow with the number of requests.
func (s *Slot) submit(ctx context.Context, queued *change) error {
	if s.local {
		return nil
	}
	done := queued.done
	s.mu.Lock()
	if s.lost != nil {
		s.mu.Unlock()
		return s.lost
	}
	s.pending = append(s.pending, queued)
	s.mu.Unlock()
	for {
		select {
		case <-done:
			return queued.err
		case <-ctx.Done():
			return &UnconfirmedError{Cause: context.Cause(ctx)}
		case s.writeLock <- struct{}{}:
		}
		select {
		case <-done:
			<-s.writeLock
			return queued.err
		default:
		}
		err := s.writePending(ctx)
		<-s.writeLock
		if err != nil && ctx.Err() == nil {
			pause.For(ctx, retryDelay)
		}
	}
}

// retryDelay is the delay before a failed write is retried.
const retryDelay = 50 * time.Millisecond

// flush writes the pending changes. Unlike submit, it does not add one.
func (s *Slot) flush(ctx context.Context) error {
	select {
	case s.writeLock <- struct{}{}:
	case <-ctx.Done():
		return &UnconfirmedError{Cause: context.Cause(ctx)}
	}
	defer func() { <-s.writeLock }()
	return s.writePending(ctx)
}

// writePending writes the pending changes. If the previous write is still
// unconfirmed, it sends that one again first, because the next write depends on its
// version. The caller holds writeLock.
func (s *Slot) writePending(ctx context.Context) error {
	if s.unconfirmed != nil {
		if err := s.sendUnconfirmed(ctx); err != nil {
			return err
		}
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return &UnconfirmedError{Cause: err}
	}
	if s.headAge() > maxHeadAge {
		if err := s.checkHeld(ctx, nil); err != nil {
			return err
		}
	}
	s.mu.Lock()
	changes := s.pending
	s.pending = nil
	s.mu.Unlock()
	if len(changes) == 0 {
		return nil
	}
	if onlyChecks(changes) {
		return s.checkHeld(ctx, changes)
	}
	next, err := s.buildBatch(ctx, changes)
	if err != nil {
		s.requeue(changes)
		return err
	}
	s.mu.Lock()
	s.unconfirmed = next
	s.mu.Unlock()
	return s.sendUnconfirmed(ctx)
}

func onlyChecks(changes []*change) bool {
	for _, change := range changes {
		if change.record != nil || change.release {
			return false
		}
	}
	return true
}

func (s *Slot) requeue(changes []*change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost != nil {
		for _, change := range changes {
			change.complete(s.lost)
		}
		return
	}
	s.pending = append(changes, s.pending...)
}

// checkHeld reads the head object to check that the slot is still held.
func (s *Slot) checkHeld(ctx context.Context, changes []*change) error {
	version, current, err := s.table.readHead(ctx, headKey(s.id.service, s.id.number))
	if err != nil {
		s.requeue(changes)
		return err
	}
	if version == s.version {
		s.mu.Lock()
		s.confirmedAt = time.Now()
		s.mu.Unlock()
		completeAll(changes, nil)
		return nil
	}
	s.requeue(changes)
	if s.canRewrite(&current) {
		return s.rewrite(ctx, version, &current)
	}
	s.markLost(&MovedError{Holder: current.Holder})
	return nil
}

func completeAll(changes []*change, err error) {
	for _, change := range changes {
		change.complete(err)
	}
}

// buildBatch builds the next value of the head. If the records in the current head
// exceed the limit, it moves them to a segment first.
func (s *Slot) buildBatch(ctx context.Context, changes []*change) (*batch, error) {
	next := &batch{changes: changes, expected: s.version, value: s.value}
	if estimatedBytes(s.value.Records) > s.table.options.MaxHeadBytes {
		ref, err := s.moveToSegment(ctx)
		if err != nil {
			return nil, err
		}
		next.value.Segments, next.expiredSegments = s.splitSegments()
		next.value.Segments = append(next.value.Segments, ref)
		next.value.Records = nil
	}
	records := append([]Record(nil), next.value.Records...)
	for _, change := range changes {
		if change.record != nil {
			records = append(records, *change.record)
		}
		if change.release {
			next.value.Holder = Holder{}
		}
	}
	next.value.Records = compact(records)
	next.value.WriteID, next.value.Era = s.table.newWriteID(), s.version.Era()
	encoded, err := json.Marshal(next.value)
	if err != nil {
		return nil, &MalformedError{Key: headKey(s.id.service, s.id.number), Cause: err}
	}
	next.encoded = encoded
	return next, nil
}

// compact keeps the last record of each key.
func compact(records []Record) []Record {
	lastRecord := make(map[KeyHash]int, len(records))
	for i, record := range records {
		lastRecord[record.Key] = i
	}
	kept := records[:0]
	for i, record := range records {
		if lastRecord[record.Key] == i {
			kept = append(kept, record)
		}
	}
	return kept
}

// recordOverheadBytes is the approximate encoded size of a record without its body.
const recordOverheadBytes = 260

func estimatedBytes(records []Record) int {
	total := 0
	for _, record := range records {
		// JSON encodes the body in base64.
		total += recordOverheadBytes + len(record.Body)*4/3
	}
	return total
}

// moveToSegment writes the head's records to a new segment. The segment's name
// contains the fencing token, so no other holder writes to the same key. The segment
// is not read until the head refers to it.
func (s *Slot) moveToSegment(ctx context.Context) (segmentRef, error) {
	return s.writeSegment(ctx, s.value.Records)
}

// writeSegment writes records to a new segment.
func (s *Slot) writeSegment(ctx context.Context, records []Record) (segmentRef, error) {
	ref := segmentRef{Name: strconv.FormatUint(uint64(s.value.Fence), 10) + "-" + strconv.FormatUint(s.table.writeNumber.Add(1), 10)}
	for _, record := range records {
		if record.Taken.After(ref.Newest) {
			ref.Newest = record.Taken
		}
	}
	key := segmentKey(s.id.service, s.id.number, ref.Name)
	encoded, err := json.Marshal(records)
	if err != nil {
		return ref, &MalformedError{Key: key, Cause: err}
	}
	s.table.counts.writes.Add(1)
	if _, err := s.table.store.Put(ctx, key, 0, encoded); err != nil {
		return ref, &UnconfirmedError{Cause: err}
	}
	return ref, nil
}

// splitSegments separates segments with keys within the retention from expired ones.
func (s *Slot) splitSegments() (retained, expired []segmentRef) {
	for _, ref := range s.value.Segments {
		if time.Since(ref.Newest) <= s.retention {
			retained = append(retained, ref)
			continue
		}
		expired = append(expired, ref)
	}
	return retained, expired
}

// deleteSegment deletes a segment. Errors are ignored, because a segment that no
// head refers to is never read.
func (s *Slot) deleteSegment(ctx context.Context, ref segmentRef) {
	key := segmentKey(s.id.service, s.id.number, ref.Name)
	if object, err := s.table.store.Get(ctx, key); err == nil {
		_ = s.table.store.Delete(ctx, key, object.Version)
	}
}

// sendUnconfirmed sends the unconfirmed write until it is known whether it took effect,
// at most maxSendAttempts times. The condition and the write ID stay the same, so at
// most one attempt takes effect, even if the store applies it later. If another
// incarnation has changed the head, the slot is lost.
func (s *Slot) sendUnconfirmed(ctx context.Context) error {
	unconfirmed := s.unconfirmed
	key := headKey(s.id.service, s.id.number)
	var lastErr error
	for range maxSendAttempts {
		s.table.counts.writes.Add(1)
		version, err := s.table.store.Put(ctx, key, unconfirmed.expected, unconfirmed.encoded)
		if err == nil {
			s.markConfirmed(ctx, version)
			return nil
		}
		lastErr = err
		var unavailable *usher.UnavailableError
		if errors.As(err, &unavailable) {
			break
		}
		version, current, err := s.table.readHead(ctx, key)
		if err != nil {
			break
		}
		if s.canRewrite(&current) {
			s.mu.Lock()
			s.unconfirmed = nil
			s.mu.Unlock()
			s.requeue(unconfirmed.changes)
			return s.rewrite(ctx, version, &current)
		}
		if current.WriteID == unconfirmed.value.WriteID {
			s.markConfirmed(ctx, version)
			return nil
		}
		if version != unconfirmed.expected {
			s.mu.Lock()
			s.unconfirmed = nil
			s.mu.Unlock()
			s.requeue(unconfirmed.changes)
			s.markLost(&MovedError{Holder: current.Holder})
			return nil
		}
	}
	return &UnconfirmedError{Cause: lastErr}
}

func (s *Slot) markConfirmed(ctx context.Context, version usher.Version) {
	s.mu.Lock()
	written := s.unconfirmed
	s.version, s.value, s.unconfirmed = version, written.value, nil
	s.writtenAt, s.confirmedAt = time.Now(), time.Now()
	s.mu.Unlock()
	completeAll(written.changes, nil)
	for _, ref := range written.expiredSegments {
		s.deleteSegment(ctx, ref)
	}
}
